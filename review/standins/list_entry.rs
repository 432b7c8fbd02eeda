//! DRAIN: an entry of the platform's list that can't be read hides the others. Beside it, the
//! servers of a service are replaced one after the other.

use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::thread::sleep;
use std::time::Duration;

use crate::operator::{FILING, LOOKUP, REGISTRY};
use crate::servers::Server;
use crate::traffic::{Sent, Traffic};
use crate::{has_trouble, Fault, Stage};

/// `drain-s`, and `max-lag-s` with a margin for what was under way.
const DRAIN_S: f64 = 3.0;
const MARGIN_S: f64 = 1.3;
/// Time for which a server serves on after the list shows it as draining.
const SERVES_ON: f64 = 6.0;
/// Share of the servers that a release replaces, the time from one to the next, and the time
/// between two releases.
const RELEASE_SHARE: f64 = 0.45;
const GAP: f64 = 1.0;
const PAUSE: f64 = 5.0;
/// Rows of another writer, whose `id` can't be read, by the value of VARIANT: raw control bytes
/// (the default), half of a surrogate pair, and a number that is out of range.
const FOREIGN: [(&str, &str); 3] = [
    (
        "bytes",
        "[\"huvo11a\",\"127.0.0.9:8080\",\"golden\",\"v1\",9,\"ready\",0,\"\u{1}\u{2}\u{1f}\"]",
    ),
    (
        "surrogate",
        "[\"huvo11a\",\"127.0.0.9:8080\",\"golden\",\"v1\",9,\"ready\",0,\"rack-\\ud83d\"]",
    ),
    (
        "number",
        "[\"huvo11a\",\"127.0.0.9:8080\",\"golden\",\"v1\",1e999,\"ready\",0,\"i-00000000\"]",
    ),
];

/// A server that leaves, and when the list showed that.
struct Leaving {
    server: Arc<Server>,
    listed: f64,
    ended: bool,
}

pub fn run(stage: &mut Stage) -> Result<bool, Fault> {
    let fronts: Vec<String> = stage.site.gateways().iter().map(|n| n.front()).collect();
    let limit = Duration::from_secs(8);
    let record = stage.record.clone();
    let gap = Duration::from_millis(250);
    let lookups = Traffic::start(fronts.clone(), LOOKUP, 12, gap, limit, &record);
    let filings = Traffic::start(fronts, FILING, 12, gap * 2, limit, &record);
    sleep(Duration::from_secs(3));
    if has_trouble() {
        let variant = std::env::var("VARIANT").unwrap_or_default();
        let found = FOREIGN.iter().find(|(name, _)| *name == variant);
        let (_, row) = found.unwrap_or(&FOREIGN[0]);
        record.say(&format!(
            "the list shows an entry of another writer: {row:?}"
        ));
        stage
            .list
            .foreign
            .lock()
            .expect("no panic")
            .push((*row).to_owned());
    }
    sleep(Duration::from_secs(1));
    let left = replace_all(stage);
    sleep(Duration::from_secs(5));
    let until = record.now();
    let (lookups, filings) = (lookups.stop(), filings.stop());
    let reached = record.all_reached();
    let mut late = 0;
    for Leaving { server, listed, .. } in &left {
        let due = listed + DRAIN_S + MARGIN_S;
        let of_it = reached.iter().filter(|r| r.server == server.id);
        let found = of_it.filter(|r| r.at > due).count();
        late += found;
        record.say(&format!(
            "{found} requests reached {} later than {due:.1} s; the list shows it as draining since {listed:.1} s",
            server.id
        ));
    }
    let served = |sent: &[Sent], from: f64, to: f64| {
        let sent = sent.iter().filter(|s| s.at >= from && s.at < to);
        let statuses: Vec<u16> = sent.map(|s| s.status).collect();
        let good = statuses.iter().filter(|s| **s == 200).count();
        format!("{good} of {}", statuses.len())
    };
    let unknown = filings.iter().filter(|s| s.status == 502).count();
    record.say(&format!(
        "lookups answered with 200: {} before, {} in the last 2 s; filings: {} before, {} in the last 2 s; {unknown} filings ended 502",
        served(&lookups, 0.0, 4.0),
        served(&lookups, until - 4.0, until - 2.0),
        served(&filings, 0.0, 4.0),
        served(&filings, until - 4.0, until - 2.0),
    ));
    record.say(&format!(
        "{late} requests reached servers later than drain-s after the list showed them as draining"
    ));
    Ok(late > 0)
}

// Replaces the servers of a service one after the other, in three releases: the new one starts
// first, the old one drains, and ends some time later.
fn replace_all(stage: &mut Stage) -> Vec<Leaving> {
    let record = stage.record.clone();
    let old = stage.servers.iter().filter(|s| s.service == REGISTRY);
    let old: Vec<Arc<Server>> = old.cloned().collect();
    let at_once = (old.len() as f64 * RELEASE_SHARE) as usize;
    let start = record.now();
    let due = |n: usize| start + GAP * n as f64 + PAUSE * (n / at_once) as f64;
    let mut left: Vec<Leaving> = Vec::new();
    while left.len() < old.len() || left.iter().any(|l| !l.ended) {
        let n = left.len();
        if let Some(server) = old.get(n).filter(|_| record.now() >= due(n)) {
            stage.servers.push(stage.successor(n, server));
            server.draining.store(true, Ordering::SeqCst);
            record.say(&format!(
                "the list shows {} as draining, and its successor",
                server.id
            ));
            left.push(Leaving {
                server: server.clone(),
                listed: record.now(),
                ended: false,
            });
        }
        for leaving in left.iter_mut().filter(|l| !l.ended) {
            if record.now() >= leaving.listed + SERVES_ON {
                leaving.ended = true;
                stage.servers.retain(|s| s.id != leaving.server.id);
                leaving.server.end();
                record.say(&format!("{} has ended", leaving.server.id));
            }
        }
        stage.list.set(&stage.servers);
        sleep(Duration::from_millis(100));
    }
    left
}
