//! The machines of a region lose their disks just after a core machine was replaced as planned.

mod kit;

use std::fs;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use kit::*;

/// Time from the start of the successor to the SIGTERM of the machine that leaves.
const OVERLAP: Duration = Duration::from_millis(2_000);
/// Time from the start of the successor to the loss of the region: a little more than
/// `catch-up-s`.
const BEFORE_LOSS: Duration = Duration::from_millis(4_100);
/// Time until the machines that have lost their disks are back.
const DOWN: Duration = Duration::from_millis(1_000);
/// Time for which a further config is sent, and for which the config is read back.
const ORDER: Duration = Duration::from_secs(25);
const READ: Duration = Duration::from_secs(30);
const READ_PAUSE: Duration = Duration::from_millis(300);

const LEAVING: usize = 4;
const SUCCESSOR: usize = 5;

fn table(version: u64) -> String {
    let route = Route {
        name: "look",
        kind: "safe",
        prefix: "/look/",
        service: "depot",
        timeout_s: 2.0,
        attempts: 2,
        target_s: 0.6,
    };
    config(version, &[], &[route], &["depot"])
}

fn addresses(site: &Site, cores: &[usize]) -> Vec<String> {
    let address = |i: &usize| site.nodes[*i].address(OPERATOR_PORT);
    cores.iter().map(address).collect()
}

// The instance that was elected last, by the logs of all of them.
fn leader(site: &Site, cores: &[usize]) -> usize {
    let mut last = (0, cores[0]);
    for i in cores {
        let path = site.dir.join(format!("{}.log", site.nodes[*i].name));
        let log = fs::read_to_string(path).unwrap_or_default();
        for line in log.lines() {
            let rest = line.split(" leads epoch ").nth(1).unwrap_or("");
            let digits: String = rest.chars().take_while(char::is_ascii_digit).collect();
            let epoch: u64 = digits.parse().unwrap_or(0);
            if epoch >= last.0 && epoch > 0 {
                last = (epoch, *i);
            }
        }
    }
    last.1
}

fn kill(site: &mut Site, i: usize) {
    if let Some(mut child) = site.nodes[i].child.take() {
        let _ = child.kill();
        let _ = child.wait();
    }
}

fn case(trouble: bool, record: &Arc<Record>) -> Fallible<bool> {
    let zones = [("a1", "a"), ("a2", "a"), ("b1", "b"), ("b2", "b"), ("c1", "c")];
    let mut site = Site::new(&zones, &[0, 1, 2, 3, 4, 4], &[0, 2, 4])?;
    let list = Arc::new(List::default());
    list.serve(&site.list)?;
    for i in (0..site.nodes.len()).filter(|i| *i != SUCCESSOR) {
        site.start(i, true)?;
    }
    let all = addresses(&site, &[0, 1, 2, 3, LEAVING]);
    let path = "/-/Config.Replace";
    order_at(&all, record, path, Some(0), &table(1), ORDER)?;
    thread::sleep(Duration::from_secs(6));
    order_at(&all, record, path, Some(1), &table(2), ORDER)?;
    let started = Instant::now();
    site.start(SUCCESSOR, false)?;
    record.note(format!("{} starts with an empty disk", site.nodes[SUCCESSOR].name));
    thread::sleep(OVERLAP);
    signal(site.nodes[LEAVING].pid(), "TERM");
    record.note(format!("SIGTERM to {}", site.nodes[LEAVING].name));
    let end = Instant::now() + Duration::from_secs(6);
    while site.ended(LEAVING).is_none() && Instant::now() < end {
        thread::sleep(Duration::from_millis(10));
    }
    record.note(format!("{} has ended, for good", site.nodes[LEAVING].name));
    kill(&mut site, LEAVING);
    thread::sleep(BEFORE_LOSS.saturating_sub(started.elapsed()));
    let cores = vec![0, 1, 2, 3, SUCCESSOR];
    if trouble {
        let first = leader(&site, &cores);
        let region = site.nodes[first].region.clone();
        let in_region = |i: &usize| site.nodes[*i].region == region;
        let lost: Vec<usize> = cores.iter().copied().filter(in_region).collect();
        for i in &lost {
            kill(&mut site, *i);
        }
        let after_ms = started.elapsed().as_millis();
        record.note(format!(
            "the {} machines of region {region} lose their disks, {after_ms} ms after the start of {}",
            lost.len(),
            site.nodes[SUCCESSOR].name
        ));
        for i in &lost {
            let _ = fs::remove_dir_all(site.data(*i));
        }
        thread::sleep(DOWN);
        for i in &lost {
            site.start(*i, false)?;
        }
        record.note("they are back with empty disks; all machines run");
    }
    let running = addresses(&site, &cores);
    let acked = order_at(&running, record, path, Some(2), &table(3), ORDER);
    if let Err(e) = &acked {
        record.note(e);
    }
    let request = "GET /-/Config.Get HTTP/1.1\r\nHost: control\r\nConnection: close\r\n\r\n";
    let (mut reads, mut found) = (0, 0);
    let end = Instant::now() + READ;
    while Instant::now() < end && found == 0 {
        for address in &running {
            let answer = call(address, request, Duration::from_secs(1));
            let status = answer.as_ref().map_or(0, Message::status);
            let body = answer.map(|m| String::from_utf8_lossy(&m.body).into_owned());
            let is_newest = body.is_some_and(|b| b == table(2) || b == table(3));
            record.note(format!("a read of the config gets {status} from {address}"));
            reads += 1;
            found += usize::from(status == 200 && is_newest);
        }
        thread::sleep(READ_PAUSE);
    }
    let ended = cores.iter().filter(|i| site.ended(**i).is_some()).count();
    record.note(format!(
        "{reads} reads of the config, {found} of them with the acknowledged one or a later one; \
         a further config acknowledged: {}; processes that have ended by themselves: {ended}",
        acked.is_ok()
    ));
    Ok(found == 0)
}

fn main() {
    finish(case)
}
