//! A gateway gets SIGTERM while all servers are at work on long lookups.

mod kit;

use std::io::Write;
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use kit::*;

const KEY: &str = "key-of-the-first-tenant";
const SLOTS: u32 = 6;
const SERVERS: usize = 3;
/// Work of a lookup.
const WORK: Duration = Duration::from_millis(3_000);
/// Time from the sending of the lookups to the SIGTERM.
const BEFORE_STOP: Duration = Duration::from_millis(300);
/// Time limit of the callers, in milliseconds.
const LIMIT_MS: u64 = 20_000;
/// Twice as many as there are slots.
const LOOKUPS: usize = 2 * SERVERS * SLOTS as usize;
const ROUNDS: usize = 3;

/// The slots of a server, which lookups and health probes wait for in turn.
struct Slots {
    // Next ticket, and the first one that has no slot yet.
    tickets: Mutex<(u64, u64)>,
    freed: Condvar,
}

impl Slots {
    fn new() -> Slots {
        Slots {
            tickets: Mutex::new((0, u64::from(SLOTS))),
            freed: Condvar::new(),
        }
    }

    fn take(&self) {
        let mut tickets = self.tickets.lock().unwrap();
        let own = tickets.0;
        tickets.0 += 1;
        while tickets.1 <= own {
            tickets = self.freed.wait(tickets).unwrap();
        }
    }

    fn give(&self) {
        self.tickets.lock().unwrap().1 += 1;
        self.freed.notify_all();
    }
}

/// Identifiers of the lookups whose work was broken off by the gateway.
type BrokenOff = Arc<Mutex<Vec<String>>>;

fn start_server(site: &Site, list: &List, n: usize, record: &Arc<Record>, broken: &BrokenOff) -> Fallible<()> {
    let slots = Arc::new(Slots::new());
    let (record, broken, probed) = (record.clone(), broken.clone(), slots.clone());
    let work: Work = Arc::new(move |arrived: &mut Arrived| {
        let (server, id) = (arrived.server.id.clone(), arrived.id().to_owned());
        slots.take();
        record.note(format!("{server} begins to work on {id}"));
        let finished = arrived.work(WORK);
        slots.give();
        if !finished {
            record.note(format!("{server}: the gateway breaks off {id} at work"));
            broken.lock().unwrap().push(id);
            return false;
        }
        record.note(format!("{server} answers {id}"));
        let answer = arrived.head(2) + "ok";
        arrived.stream.write_all(answer.as_bytes()).is_ok()
    });
    let probe = Arc::new(move || {
        probed.take();
        probed.give();
    });
    let ip = format!("{}.{}", site.net, 110 + n);
    let place = (&*format!("i-{n}"), "depot", &*site.zones[n].0, &*ip);
    Server::start_with(list, place, SLOTS, work, probe).map(drop)
}

fn case(trouble: bool, record: &Arc<Record>) -> Fallible<bool> {
    let zones = [("a1", "a"), ("b1", "b"), ("c1", "c")];
    let mut site = Site::new(&zones, &[0, 1, 2], &[0, 1, 2])?;
    let list = Arc::new(List::default());
    list.serve(&site.list)?;
    let broken_off = BrokenOff::default();
    for n in 0..SERVERS {
        start_server(&site, &list, n, record, &broken_off)?;
    }
    site.start_all()?;
    let route = Route {
        name: "sync",
        kind: "safe",
        prefix: "/sync/",
        service: "depot",
        timeout_s: 20.0,
        attempts: 2,
        target_s: 8.0,
    };
    let tenant = Tenant {
        name: "first",
        keys: &[KEY],
        rate: 0,
        burst: 0,
    };
    let table = config(1, &[tenant], &[route], &["depot"]);
    order(&site, record, "/-/Config.Replace", Some(0), &table)?;
    site.wait_ready(Duration::from_secs(15))?;
    // Until all machines are in touch.
    thread::sleep(Duration::from_secs(6));
    let mut found = 0;
    for round in 0..ROUNDS {
        let stopped = site.edges()[round % SERVERS];
        let callers: Vec<_> = (0..LOOKUPS)
            .map(|n| {
                let node = &site.nodes[site.edges()[n % SERVERS]];
                let (name, address) = (node.name.clone(), node.address(CALLER_PORT));
                let (record, id) = (record.clone(), request_id("s", round * 100 + n));
                thread::spawn(move || look_up(&record, &name, &address, id))
            })
            .collect();
        thread::sleep(BEFORE_STOP);
        let name = site.nodes[stopped].name.clone();
        if trouble {
            record.note(format!("SIGTERM to {name}"));
            signal(site.nodes[stopped].pid(), "TERM");
        }
        for caller in callers {
            let (at, id, served) = caller.join().map_err(|_| "a caller has failed")?;
            let broken = broken_off.lock().unwrap().contains(&id);
            if trouble && at == name && broken && !served {
                record.note(format!("LOST: {name} has broken off {id} in its stop"));
                found += 1;
            }
        }
        if trouble {
            let end = Instant::now() + Duration::from_secs(6);
            while site.ended(stopped).is_none() && Instant::now() < end {
                thread::sleep(Duration::from_millis(20));
            }
            if let Some(mut child) = site.nodes[stopped].child.take() {
                let _ = child.kill();
                let _ = child.wait();
            }
            site.start(stopped, false)?;
            site.wait_ready(Duration::from_secs(10))?;
        }
        thread::sleep(Duration::from_secs(6));
    }
    let all = broken_off.lock().unwrap().len();
    record.note(format!(
        "lookups broken off at work by a gateway that was stopped: {found}; by any: {all}"
    ));
    Ok(found > 0)
}

// Returns the gateway, the identifier and whether the answer is that of a server.
fn look_up(record: &Record, gateway: &str, address: &str, id: String) -> (String, String, bool) {
    let ask = || {
        let mut stream = connect(address, Duration::from_secs(1)).ok()?;
        let limit = Duration::from_millis(LIMIT_MS + 500);
        stream.set_read_timeout(Some(limit)).ok()?;
        record.note(format!("{id} is sent to {gateway}"));
        let text = request("GET", "/sync/today", &id, KEY, LIMIT_MS, None);
        stream.write_all(text.as_bytes()).ok()?;
        Some(Reader::new(stream).next())
    };
    let sent = Instant::now();
    let answer = ask();
    let (text, served) = match answer {
        Some(Received::Whole(m)) => {
            let served = m.field("x-pomelovale-server-stamp").is_some();
            (format!("status {}", m.status()), served)
        }
        other => (format!("no answer ({other:?})"), false),
    };
    let by = if served { "of the server" } else { "of its own" };
    let spent_ms = sent.elapsed().as_millis();
    record.note(format!("{gateway} gives {id} {text} {by} after {spent_ms} ms"));
    (gateway.to_owned(), id, served)
}

fn main() {
    finish(case)
}
