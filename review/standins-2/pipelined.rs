//! Callers send a second lookup before the first, large answer is there, and some of the large
//! answers break off.

mod kit;

use std::collections::HashSet;
use std::io::Write;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use kit::*;

const KEY: &str = "key-of-the-first-tenant";
/// Size of a download.
const LARGE_BYTES: usize = 300_000;
/// Work of a lookup, small or large.
const WORK: Duration = Duration::from_millis(100);
const CONNECTIONS: usize = 120;
/// One of the two servers of the downloads breaks off one in so many of its answers.
const ONE_IN: usize = 50;
/// Time of the lookups, and from when on and for how long answers break off.
const TOTAL: Duration = Duration::from_millis(12_000);
const SOUND: Duration = Duration::from_millis(3_000);
const FAULTY: Duration = Duration::from_millis(5_500);
const LIMIT_MS: u64 = 5_000;
/// Requests that may be lost.
const ALLOWED: usize = 3;

/// Identifiers of requests.
type Ids = Arc<Mutex<HashSet<String>>>;

fn start_servers(site: &Site, list: &List, record: &Arc<Record>, faulty: &Arc<AtomicBool>, answered: &Ids) -> Fallible<()> {
    for n in 0..2 {
        let (record, faulty, count) = (record.clone(), faulty.clone(), AtomicUsize::new(0));
        let work: Work = Arc::new(move |arrived: &mut Arrived| {
            thread::sleep(WORK);
            let is_faulty = n == 0 && faulty.load(Ordering::Relaxed);
            let breaks = is_faulty && count.fetch_add(1, Ordering::Relaxed) % ONE_IN == 0;
            if breaks {
                let (server, id) = (&arrived.server.id, arrived.id());
                record.note(format!("{server} breaks off its answer to {id}"));
            }
            let size = if breaks { LARGE_BYTES / 2 } else { LARGE_BYTES };
            let mut answer = arrived.head(LARGE_BYTES).into_bytes();
            answer.resize(answer.len() + size, b'x');
            arrived.stream.write_all(&answer).is_ok() && !breaks
        });
        let ip = format!("{}.{}", site.net, 110 + n);
        Server::start(list, (&format!("i-files-{n}"), "files", "a1", &ip), 100, work)?;
    }
    for n in 0..2 {
        let answered = answered.clone();
        let work: Work = Arc::new(move |arrived: &mut Arrived| {
            thread::sleep(WORK);
            let answer = arrived.head(2) + "ok";
            let sent = arrived.stream.write_all(answer.as_bytes()).is_ok();
            if sent {
                answered.lock().unwrap().insert(arrived.id().to_owned());
            }
            sent
        });
        let ip = format!("{}.{}", site.net, 120 + n);
        Server::start(list, (&format!("i-look-{n}"), "look", "a1", &ip), 100, work)?;
    }
    Ok(())
}

fn case(trouble: bool, record: &Arc<Record>) -> Fallible<bool> {
    let zones = [("a1", "a"), ("b1", "b"), ("c1", "c")];
    let mut site = Site::new(&zones, &[0, 1, 2], &[0, 0])?;
    let list = Arc::new(List::default());
    list.serve(&site.list)?;
    let faulty = Arc::new(AtomicBool::new(false));
    let answered = Ids::default();
    start_servers(&site, &list, record, &faulty, &answered)?;
    site.start_all()?;
    let route = |name, kind, prefix| Route {
        name,
        kind,
        prefix,
        service: name,
        timeout_s: 5.0,
        attempts: 2,
        target_s: 0.6,
    };
    let routes = [route("files", "download", "/files/"), route("look", "safe", "/look/")];
    let tenant = Tenant {
        name: "first",
        keys: &[KEY],
        rate: 0,
        burst: 0,
    };
    let table = config(1, &[tenant], &routes, &["files", "look"]);
    order(&site, record, "/-/Config.Replace", Some(0), &table)?;
    site.wait_ready(Duration::from_secs(15))?;
    // Until all machines are in touch.
    thread::sleep(Duration::from_secs(6));
    let (end, numbers) = (Instant::now() + TOTAL, Arc::new(AtomicUsize::new(0)));
    let unanswered: Arc<Mutex<Vec<(String, String)>>> = Arc::default();
    let callers: Vec<_> = (0..CONNECTIONS)
        .map(|n| {
            let node = &site.nodes[site.edges()[n % 2]];
            let (name, address) = (node.name.clone(), node.address(CALLER_PORT));
            let (record, numbers, unanswered) = (record.clone(), numbers.clone(), unanswered.clone());
            thread::spawn(move || {
                while Instant::now() < end {
                    let next = || numbers.fetch_add(1, Ordering::Relaxed);
                    if let Some(id) = keep_asking(&record, &name, &address, end, next) {
                        unanswered.lock().unwrap().push((name.clone(), id));
                    }
                }
            })
        })
        .collect();
    thread::sleep(SOUND);
    faulty.store(trouble, Ordering::Relaxed);
    thread::sleep(FAULTY);
    faulty.store(false, Ordering::Relaxed);
    for caller in callers {
        caller.join().map_err(|_| "a caller has failed")?;
    }
    thread::sleep(Duration::from_millis(500));
    let answered = answered.lock().unwrap();
    let unanswered = unanswered.lock().unwrap();
    let lost = unanswered.iter().filter(|(_, id)| answered.contains(id));
    let by_gateway = counts(lost.map(|(gateway, _)| gateway.clone()));
    let lost = unanswered.iter().filter(|(_, id)| answered.contains(id)).count();
    record.note(format!(
        "{} requests sent; {lost} were answered by a sound server, and their connection was \
         closed without an answer ({by_gateway})",
        numbers.load(Ordering::Relaxed)
    ));
    Ok(lost > ALLOWED)
}

// Sends pairs of a download and a lookup on one connection. Returns the lookup that the end of
// the connection leaves without an answer.
fn keep_asking(record: &Record, gateway: &str, address: &str, end: Instant, next: impl Fn() -> usize) -> Option<String> {
    let stream = connect(address, Duration::from_secs(1)).ok()?;
    stream.set_read_timeout(Some(Duration::from_secs(8))).ok()?;
    let mut reader = Reader::new(stream);
    while Instant::now() < end {
        let (large, small) = (request_id("f", next()), request_id("l", next()));
        let pair = request("GET", "/files/pack", &large, KEY, LIMIT_MS, None)
            + &request("GET", "/look/item", &small, KEY, LIMIT_MS, None);
        reader.stream.write_all(pair.as_bytes()).ok()?;
        let first = reader.next();
        if let Received::Whole(m) = &first {
            if m.closes() {
                return None;
            }
        } else {
            record.note(format!(
                "{gateway} closes the connection within the answer to {large}, and gives {small} none"
            ));
            return Some(small);
        }
        match reader.next() {
            Received::Whole(m) if !m.closes() => {}
            _ => return None,
        }
    }
    None
}

fn main() {
    finish(case)
}
