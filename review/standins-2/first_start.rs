//! A seed is replaced by an empty machine at another address during the first start.

mod kit;

use std::io::Write;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use kit::*;

const KEY: &str = "key-of-the-first-tenant";
/// Time from the start of all machines until one is removed for good.
const BEFORE_LOSS: Duration = Duration::from_millis(300);
/// Time until the empty one comes.
const BEFORE_SUCCESSOR: Duration = Duration::from_millis(1_000);
/// Time for which the operator sends the first config.
const OPERATOR: Duration = Duration::from_secs(40);
const LIMIT_MS: u64 = 2_000;

fn case(trouble: bool, record: &Arc<Record>) -> Fallible<bool> {
    let zones = [("a1", "a"), ("b1", "b"), ("c1", "c")];
    let mut site = Site::new(&zones, &[0, 1, 2, 0, 1, 0], &[0, 1, 2])?;
    let list = Arc::new(List::default());
    list.serve(&site.list)?;
    for n in 0..3 {
        let work: Work = Arc::new(move |arrived: &mut Arrived| {
            let answer = arrived.head(2) + "ok";
            arrived.stream.write_all(answer.as_bytes()).is_ok()
        });
        let (id, ip) = (format!("i-{n}"), format!("{}.{}", site.net, 110 + n));
        Server::start(&list, (&id, "depot", zones[n].0, &ip), 8, work)?;
    }
    // The last core machine is the spare one.
    let (lost, spare) = (0, 5);
    for i in (0..site.nodes.len()).filter(|i| *i != spare) {
        site.start(i, true)?;
    }
    if trouble {
        thread::sleep(BEFORE_LOSS);
        if let Some(mut child) = site.nodes[lost].child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
        record.note(format!("{} is removed for good", site.nodes[lost].name));
        thread::sleep(BEFORE_SUCCESSOR);
        site.start(spare, false)?;
        record.note(format!("{} starts with an empty disk", site.nodes[spare].name));
    }
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
    let cores = site.cores().into_iter().filter(|i| site.nodes[*i].child.is_some());
    let addresses: Vec<String> = cores.map(|i| site.nodes[i].address(OPERATOR_PORT)).collect();
    let acked = order_at(&addresses, record, "/-/Config.Replace", Some(0), &table, OPERATOR);
    if let Err(e) = &acked {
        record.note(e);
    }
    let (mut sent, mut served) = (0, 0);
    let end = Instant::now() + Duration::from_secs(10);
    while Instant::now() < end && served == 0 {
        for i in site.edges() {
            let id = request_id("n", sent);
            let text = request("GET", "/look/item", &id, KEY, LIMIT_MS, None);
            let limit = Duration::from_millis(LIMIT_MS + 500);
            let answer = call(&site.nodes[i].address(CALLER_PORT), &text, limit);
            let status = answer.map_or(0, |m| m.status());
            record.note(format!("{id} is sent to {} and gets {status}", site.nodes[i].name));
            sent += 1;
            served += usize::from(status == 200);
        }
        thread::sleep(Duration::from_millis(250));
    }
    let running = (0..site.nodes.len()).filter(|i| site.nodes[*i].child.is_some());
    let running: Vec<usize> = running.collect();
    let running = running.into_iter().filter(|i| site.ended(*i).is_none()).count();
    record.note(format!("{running} processes run; {sent} requests sent, {served} served"));
    Ok(acked.is_err() && served == 0)
}

fn main() {
    finish(case)
}
