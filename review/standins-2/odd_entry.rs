//! The platform's list holds an entry of another writer with a byte that can't be read.

mod kit;

use std::io::Write;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use kit::*;

const KEY: &str = "key-of-the-first-tenant";
const CALLERS: usize = 8;
const LIMIT_MS: u64 = 2_000;
/// Time of the requests: longer than any bound of the settings.
const TOTAL: Duration = Duration::from_secs(25);
/// The identifier of the odd entry. Encoders write a byte that they can't decode as such an
/// escape, for example 0xff.
const ODD_ID: &str = "i-\\udcff";

fn case(trouble: bool, record: &Arc<Record>) -> Fallible<bool> {
    let zones = [("a1", "a"), ("b1", "b"), ("c1", "c")];
    let mut site = Site::new(&zones, &[0, 1, 2], &[0, 1, 2])?;
    let list = Arc::new(List::default());
    list.serve(&site.list)?;
    let runs = Arc::new(AtomicUsize::new(0));
    for n in 0..3 {
        let runs = runs.clone();
        let work: Work = Arc::new(move |arrived: &mut Arrived| {
            runs.fetch_add(1, Ordering::Relaxed);
            thread::sleep(Duration::from_millis(20));
            let answer = arrived.head(2) + "ok";
            arrived.stream.write_all(answer.as_bytes()).is_ok()
        });
        let (id, ip) = (format!("i-{n}"), format!("{}.{}", site.net, 110 + n));
        Server::start(&list, (&id, "depot", zones[n].0, &ip), 8, work)?;
    }
    if trouble {
        record.note(format!("the list holds an entry with the id \"{ODD_ID}\""));
        list.rows.lock().unwrap().push(Row {
            id: ODD_ID.to_owned(),
            service: "depot".to_owned(),
            address: format!("{}.130:{SERVER_PORT}", site.net),
            zone: "a1".to_owned(),
            slots: 8,
            state: "ready",
        });
    }
    site.start_all()?;
    let route = Route {
        name: "look",
        kind: "safe",
        prefix: "/look/",
        service: "depot",
        timeout_s: 2.0,
        attempts: 2,
        target_s: 0.6,
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
    let end = Instant::now() + TOTAL;
    let callers: Vec<_> = (0..CALLERS)
        .map(|n| {
            let node = &site.nodes[site.edges()[n % 3]];
            let (name, address) = (node.name.clone(), node.address(CALLER_PORT));
            let record = record.clone();
            thread::spawn(move || {
                let mut statuses = Vec::new();
                for k in 0.. {
                    if Instant::now() >= end {
                        break;
                    }
                    let id = request_id(&format!("o{n}"), k);
                    let text = request("GET", "/look/item", &id, KEY, LIMIT_MS, None);
                    let answer = call(&address, &text, Duration::from_millis(LIMIT_MS + 500));
                    let status = answer.map_or("none".to_owned(), |m| m.status().to_string());
                    record.note(format!("{id} is sent to {name} and gets {status}"));
                    statuses.push(status);
                    thread::sleep(Duration::from_millis(250));
                }
                statuses
            })
        })
        .collect();
    let mut statuses = Vec::new();
    for caller in callers {
        statuses.extend(caller.join().map_err(|_| "a caller has failed")?);
    }
    let served = statuses.iter().filter(|s| *s == "200").count();
    record.note(format!(
        "{} requests sent, {served} served, {} run; answers: {}",
        statuses.len(),
        runs.load(Ordering::Relaxed),
        counts(statuses.iter().cloned())
    ));
    Ok(served == 0)
}

fn main() {
    finish(case)
}
