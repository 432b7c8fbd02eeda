//! CONFIG: after hundreds of changes of a large config, control processes need more memory to
//! start than their machines have, and never come back.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread::sleep;
use std::time::{Duration, Instant};

use crate::operator::{Operator, LOOKUP};
use crate::record::Record;
use crate::site::{Site, CONTROLS, MEMORY_MB};
use crate::traffic::Traffic;
use crate::{has_trouble, Fault, Stage};

/// Routes by which the config has grown: twice 452.
const ROUTES: usize = 904;
/// Changes of the day, and the time between two of them.
const CHANGES: u64 = 700;
const GAP: Duration = Duration::from_millis(60);
/// Longest time for all changes, so that the run ends in time.
const CHANGES_MAX: Duration = Duration::from_secs(80);
/// Time for which killed processes are down, and after which one that used too much memory is
/// started again.
const DOWN: Duration = Duration::from_millis(800);
const RESTART: Duration = Duration::from_millis(300);
/// `recovery-s` and `contact-window-s`.
const RECOVERY: Duration = Duration::from_secs(15);
const READS: Duration = Duration::from_secs(5);
/// Interval at which the platform looks at the memory of processes.
const LOOK: Duration = Duration::from_millis(5);

pub fn run(stage: &mut Stage) -> Result<bool, Fault> {
    let mut version = stage.operator.version;
    let start = Instant::now();
    for n in 0..CHANGES {
        if start.elapsed() > CHANGES_MAX {
            return Err(format!("only {n} changes in {CHANGES_MAX:?}"));
        }
        change(stage, n, version)?;
        version += 1;
        if n % 140 == 0 {
            let memory: Vec<u64> = (0..CONTROLS).map(|i| stage.site.memory_mb(i)).collect();
            stage.record.say(&format!(
                "change {n} is acknowledged; control processes have used {memory:?} MB"
            ));
        }
        if (0..CONTROLS).any(|i| stage.site.memory_mb(i) > MEMORY_MB.0) {
            return Err("a control process uses more than memory-mb before the fault".to_owned());
        }
        sleep((GAP * (n as u32 + 1)).saturating_sub(start.elapsed()));
    }
    stage.record.say(&format!(
        "{CHANGES} changes are acknowledged, the last one is version {version}"
    ));
    let before = served(fronts(stage), Duration::from_secs(2), &stage.record);
    if has_trouble() {
        change(stage, CHANGES, version)?;
        version += 1;
        stage.record.say(&format!(
            "version {version} is acknowledged; all processes are killed"
        ));
        let all = 0..stage.site.nodes.len();
        all.clone().for_each(|i| stage.site.kill(i));
        sleep(DOWN);
        all.for_each(|i| stage.site.start(i, false));
        stage.record.say("all processes are started again");
    }
    let fronts = fronts(stage);
    let Stage {
        record,
        site,
        operator,
        ..
    } = stage;
    let stop = AtomicBool::new(false);
    let (ends, after, read) = std::thread::scope(|scope| {
        let watching = scope.spawn(|| watch_memory(site, record, &stop));
        sleep(RECOVERY);
        let after = served(fronts, Duration::from_secs(2), record);
        let read = read_back(operator, version);
        stop.store(true, Ordering::SeqCst);
        (watching.join().unwrap_or(0), after, read)
    });
    record.say(&format!(
        "{} of {} requests were served before, {} of {} after recovery-s",
        before.0, before.1, after.0, after.1
    ));
    record.say(&format!(
        "the platform killed {ends} processes for their memory; version {version} was acknowledged, read back: {read:?}"
    ));
    Ok(read != Some(version))
}

fn fronts(stage: &Stage) -> Vec<String> {
    stage.site.gateways().iter().map(|n| n.front()).collect()
}

// Sends the next change to the nodes in turn until one acknowledges it.
fn change(stage: &Stage, n: u64, version: u64) -> Result<(), Fault> {
    let start = Instant::now();
    let mut node = n as usize;
    while start.elapsed() < Duration::from_secs(5) {
        let end = stage
            .operator
            .send_config(node % CONTROLS, version, version + 1, ROUTES);
        stage.record.add(&format!(
            "version {} sent to node {}: {}",
            version + 1,
            node % CONTROLS,
            end.text()
        ));
        if end.status() == 200 {
            return Ok(());
        }
        node += 1;
        sleep(Duration::from_millis(100));
    }
    Err(format!("version {} was not acknowledged", version + 1))
}

// Requests of clients that were answered with 200 within a time, and all of them.
fn served(fronts: Vec<String>, time: Duration, record: &Arc<Record>) -> (usize, usize) {
    let (gap, limit) = (Duration::from_millis(200), Duration::from_secs(2));
    let traffic = Traffic::start(fronts, LOOKUP, 6, gap, limit, record);
    sleep(time);
    let sent = traffic.stop();
    (sent.iter().filter(|s| s.status == 200).count(), sent.len())
}

// Does what DEPLOY.md says of the platform: kills a process that uses more than `memory-mb`,
// and starts one that has ended again after a short delay. Returns how many it killed.
fn watch_memory(site: &mut Site, record: &Record, stop: &AtomicBool) -> usize {
    let mut due: Vec<Option<Instant>> = vec![None; site.nodes.len()];
    let mut ends = 0;
    while !stop.load(Ordering::SeqCst) {
        for (i, due) in due.iter_mut().enumerate() {
            match due {
                Some(at) if *at <= Instant::now() => {
                    *due = None;
                    site.start(i, false);
                }
                Some(_) => {}
                None => {
                    let limit = if site.nodes[i].is_control {
                        MEMORY_MB.0
                    } else {
                        MEMORY_MB.1
                    };
                    let memory = site.memory_mb(i);
                    let name = site.nodes[i].name.clone();
                    if memory > limit {
                        site.kill(i);
                        ends += 1;
                        *due = Some(Instant::now() + RESTART);
                        record.say(&format!("{name} has used {memory} MB and is killed"));
                    } else if !site.is_running(i) {
                        *due = Some(Instant::now() + RESTART);
                        record.say(&format!("{name} has ended by itself"));
                    }
                }
            }
        }
        sleep(LOOK);
    }
    ends
}

// Reads the config at all nodes in turn until one returns the version.
fn read_back(operator: &Operator, version: u64) -> Option<u64> {
    let start = Instant::now();
    let mut read = None;
    while start.elapsed() < READS && read != Some(version) {
        for node in 0..CONTROLS {
            read = operator.read_config(node).or(read);
        }
        sleep(Duration::from_millis(100));
    }
    read
}
