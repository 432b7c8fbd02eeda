//! Measures the shared state: commits, catch-up, elections, grants, bytes.
//!
//! Options: `--delay-ms N` adds a delay to each message between processes,
//! `--entries N` sets the number of entries, `--seconds N` the length of each
//! measurement, `--blocks N` adds a document of N client blocks. Everything runs in one process over loopback sockets.

#[path = "../tests/control_kit/mod.rs"]
mod control_kit;

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

use control_kit::{change, put_workspace, until, Cluster, Entry};
use hdrhistogram::Histogram;
use pomelovale_coordination::control::ControlHandle;
use pomelovale_protocol::grants::{GrantRequest, WorkspaceDemand};
use pomelovale_protocol::report::Report;
use pomelovale_state::blocks::{BlockChange, Prefix};
use pomelovale_state::command::{Applied, Change, Command};
use pomelovale_state::document::{Region, Site};
use pomelovale_state::Name;
use pomelovale_transport::peer_link::PeerCounters;
use pomelovaled::control::config::ControlLimits;

const WORKSPACES: usize = 8;

#[derive(Clone, Copy)]
struct Options {
    delay_ms: u64,
    entries: usize,
    seconds: u64,
    blocks: u64,
}

fn options() -> Options {
    let mut arguments = pico_args::Arguments::from_env();
    let mut number = |name, default| {
        arguments
            .opt_value_from_str::<_, u64>(name)
            .ok()
            .flatten()
            .unwrap_or(default)
    };
    Options {
        delay_ms: number("--delay-ms", 0),
        entries: number("--entries", 12) as usize,
        seconds: number("--seconds", 3),
        blocks: number("--blocks", 0),
    }
}

fn main() {
    let options = options();
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(3)
        .enable_all()
        .build()
        .expect("the runtime starts");
    println!(
        "3 control instances, delay {} ms, {} entries, one process, loopback",
        options.delay_ms, options.entries
    );
    runtime.block_on(measure(options));
}

async fn cluster(options: Options) -> Cluster {
    let limits = ControlLimits::default();
    Cluster::start_limited(3, options.delay_ms, Vec::new(), limits).await
}

async fn measure(options: Options) {
    let mut first = cluster(options).await;
    let leader = first.leader().await;
    for concurrency in [1, 64, 512] {
        commits(&first, leader, concurrency, options).await;
    }
    grants(&mut first, options).await;
    drop(first);
    bytes(options).await;
    propagation(options).await;
    catch_up(options).await;
    elections(options).await;
    if options.blocks > 0 {
        blocks(options).await;
    }
}

fn millis(histogram: &Histogram<u64>, quantile: f64) -> f64 {
    histogram.value_at_quantile(quantile) as f64 / 1_000.0
}

async fn commits(cluster: &Cluster, leader: usize, concurrency: usize, options: Options) {
    static RUN: AtomicU64 = AtomicU64::new(0);
    let end = Instant::now() + Duration::from_secs(options.seconds);
    let workers: Vec<_> = (0..concurrency)
        .map(|_| {
            let handle = cluster.server(leader).handle();
            tokio::spawn(async move {
                let mut taken = Vec::new();
                while Instant::now() < end {
                    let id = RUN.fetch_add(1, Ordering::Relaxed);
                    let sent = change(&format!("bench-{id}"), put_workspace("w", id + 1));
                    let start = Instant::now();
                    let applied = handle.propose(sent).await;
                    assert!(matches!(applied, Ok(Applied::Accepted { .. })));
                    taken.push(start.elapsed().as_micros() as u64);
                }
                taken
            })
        })
        .collect();
    let mut histogram = Histogram::<u64>::new(3).expect("the precision is valid");
    for worker in workers {
        for value in worker.await.expect("the worker ends") {
            histogram.record(value).expect("the histogram grows");
        }
    }
    println!(
        "commits, concurrency {concurrency}: {:.0}/s, p50 {:.2} ms, p99 {:.2} ms",
        histogram.len() as f64 / options.seconds as f64,
        millis(&histogram, 0.5),
        millis(&histogram, 0.99)
    );
}

fn request(instance: &Name, seq: u64, epoch: u64) -> GrantRequest {
    let wants = (0..WORKSPACES).map(|n| WorkspaceDemand {
        workspace: Name::from(format!("w{n}")),
        demand: 10_000,
        ..WorkspaceDemand::default()
    });
    GrantRequest {
        instance: instance.clone(),
        seq,
        epoch,
        wants: wants.collect(),
    }
}

async fn add_workspaces(cluster: &Cluster) {
    let leader = cluster.leader().await;
    for n in 0..WORKSPACES {
        let sent = change(&format!("put-{n}"), put_workspace(&format!("w{n}"), 1_000));
        cluster.propose(leader, sent).await;
    }
}

async fn epoch_of(handle: &ControlHandle, name: &Name) -> u64 {
    let reply = handle.grant(request(name, 1, 0)).await;
    reply.expect("the leader answers").epoch
}

async fn grants(cluster: &mut Cluster, options: Options) {
    add_workspaces(cluster).await;
    let follower = cluster.follower().await;
    let entry = cluster.entry("grants", follower).await;
    until("the entry is current", || entry.is_fresh_for_keys()).await;
    let end = Instant::now() + Duration::from_secs(options.seconds);
    let workers: Vec<_> = (0..options.entries)
        .map(|n| {
            let (handle, name) = (entry.handle.clone(), Name::from(format!("e{n}")));
            tokio::spawn(async move {
                let epoch = epoch_of(&handle, &name).await;
                let (mut seq, mut taken) = (1, Vec::new());
                while Instant::now() < end {
                    seq += 1;
                    let start = Instant::now();
                    let reply = handle.grant(request(&name, seq, epoch)).await;
                    reply.expect("the leader answers");
                    taken.push(start.elapsed().as_micros() as u64);
                }
                taken
            })
        })
        .collect();
    let mut histogram = Histogram::<u64>::new(3).expect("the precision is valid");
    for worker in workers {
        for value in worker.await.expect("the worker ends") {
            histogram.record(value).expect("the histogram grows");
        }
    }
    println!(
        "grants of {WORKSPACES} workspaces through a follower, {} at a time: {:.0}/s, p50 {:.2} ms, p99 {:.2} ms",
        options.entries,
        histogram.len() as f64 / options.seconds as f64,
        millis(&histogram, 0.5),
        millis(&histogram, 0.99)
    );
}

fn total(counters: &PeerCounters) -> u64 {
    counters.received.load(Ordering::Relaxed) + counters.sent.load(Ordering::Relaxed)
}

// Both directions of the sockets, payload of TCP.
async fn bytes(options: Options) {
    let mut cluster = cluster(options).await;
    add_workspaces(&cluster).await;
    let mut entries: Vec<Arc<Entry>> = Vec::new();
    for n in 0..options.entries {
        let entry = cluster.entry(&format!("e{n}"), n % 3).await;
        entries.push(Arc::new(entry));
    }
    for entry in &entries {
        until("every entry is current", || entry.version() >= 8).await;
    }
    for busy in [false, true] {
        let tasks: Vec<_> = entries
            .iter()
            .filter(|_| busy)
            .map(|e| tokio::spawn(work(e.clone())))
            .collect();
        let count = |cluster: &Cluster| {
            let of_entries = entries.iter().map(|e| total(&e.counters)).max();
            let of_controls = (0..3).map(|i| total(cluster.server(i).counters())).max();
            (of_entries.unwrap_or(0), of_controls.unwrap_or(0))
        };
        let before = count(&cluster);
        tokio::time::sleep(Duration::from_secs(options.seconds)).await;
        let after = count(&cluster);
        let rate = |a: u64, b: u64| (b - a) as f64 / options.seconds as f64 / 1_000.0;
        println!(
            "bytes, {}: {:.2} KB/s an entry, {:.2} KB/s the busiest control instance",
            if busy {
                "4 grant requests and 1 report a second"
            } else {
                "renewals only"
            },
            rate(before.0, after.0),
            rate(before.1, after.1)
        );
        tasks.iter().for_each(tokio::task::JoinHandle::abort);
    }
}

async fn work(entry: Arc<Entry>) {
    let epoch = epoch_of(&entry.handle, &entry.name).await;
    for seq in 2.. {
        let _ = entry.handle.grant(request(&entry.name, seq, epoch)).await;
        if seq % 4 == 0 {
            entry.handle.report(Report {
                instance: entry.name.clone(),
                version: entry.version(),
                view_ms: entry.age(),
                ..Report::default()
            });
        }
        tokio::time::sleep(Duration::from_millis(250)).await;
    }
}

/// Time from the accepted answer until every entry has the change.
async fn spread(cluster: &Cluster, leader: usize, entries: &[Entry], sent: Change) -> Duration {
    let Applied::Accepted { version, .. } = cluster.propose(leader, sent).await else {
        panic!("the change is accepted");
    };
    let start = Instant::now();
    while entries.iter().any(|e| e.version() < version) {
        tokio::time::sleep(Duration::from_micros(200)).await;
    }
    start.elapsed()
}

fn print_spread(what: &str, mut taken: Vec<Duration>) {
    taken.sort_unstable();
    let longest = taken.len() - 1;
    println!(
        "accepted answer to in force on every entry, {what}, {} changes: median {:.1} ms, longest {:.1} ms",
        taken.len(),
        taken[longest / 2].as_secs_f64() * 1_000.0,
        taken[longest].as_secs_f64() * 1_000.0
    );
}

async fn propagation(options: Options) {
    let mut cluster = cluster(options).await;
    let leader = cluster.leader().await;
    let mut entries = Vec::new();
    for n in 0..options.entries {
        entries.push(cluster.entry(&format!("e{n}"), n % 3).await);
    }
    for entry in &entries {
        until("every entry is current", || entry.is_fresh_for_keys()).await;
    }
    let mut taken = Vec::new();
    for n in 0..50 {
        let sent = change(&format!("spread-{n}"), put_workspace("w", n + 1));
        taken.push(spread(&cluster, leader, &entries, sent).await);
    }
    print_spread("small document", taken);
}

fn resident_mb() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find_map(|l| l.strip_prefix("VmRSS:"));
    let kb = line.and_then(|l| l.split_whitespace().next()?.parse::<u64>().ok());
    kb.unwrap_or(0) / 1_024
}

fn block(n: u64) -> BlockChange {
    BlockChange {
        prefix: Prefix::new((0x2000 + u128::from(n)) << 80, 48),
        site: Some(Name::from(format!("site-{}", n % 59))),
    }
}

async fn blocks(options: Options) {
    const ROWS: u64 = 10_000;
    let mut cluster = cluster(options).await;
    let leader = cluster.leader().await;
    let north = Name::from("north");
    let mut setup = vec![Command::PutRegion {
        name: north.clone(),
        region: Region {
            domains: vec![north.clone()],
        },
    }];
    setup.extend((0..59).map(|n| Command::PutSite {
        name: Name::from(format!("site-{n}")),
        site: Site {
            region: north.clone(),
            domain: north.clone(),
        },
    }));
    cluster
        .propose(leader, change("sites", Command::Batch(setup)))
        .await;
    let before = resident_mb();
    let start = Instant::now();
    for first in (0..options.blocks).step_by(ROWS as usize) {
        let rows = first..options.blocks.min(first + ROWS);
        let command = Command::ChangeBlocks(rows.map(block).collect());
        let sent = change(&format!("blocks-{first}"), command);
        cluster.propose(leader, sent).await;
    }
    println!(
        "{} client blocks: loaded by changes of {ROWS} rows in {:.1} s, 3 control instances take {} MB",
        options.blocks,
        start.elapsed().as_secs_f64(),
        resident_mb() - before
    );
    let (before, start) = (resident_mb(), Instant::now());
    let entry = cluster.entry("e0", leader).await;
    until("the entry has the blocks", || entry.is_fresh_for_keys()).await;
    println!(
        "{} client blocks: new entry current after {:.0} ms, takes {} MB with its connection",
        options.blocks,
        start.elapsed().as_secs_f64() * 1_000.0,
        resident_mb().saturating_sub(before)
    );
    let entries = [entry];
    let (mut small, mut rows) = (Vec::new(), Vec::new());
    for n in 0..10 {
        let sent = change(&format!("small-{n}"), put_workspace("w", n + 1));
        small.push(spread(&cluster, leader, &entries, sent).await);
        let command = Command::ChangeBlocks(vec![block(n)]);
        let sent = change(&format!("row-{n}"), command);
        rows.push(spread(&cluster, leader, &entries, sent).await);
    }
    print_spread("a workspace beside the blocks", small);
    print_spread("one client block", rows);
}

async fn propose_all(cluster: &Cluster, leader: usize, count: usize) {
    let pending: Vec<_> = (0..count)
        .map(|n| {
            let handle = cluster.server(leader).handle();
            let sent = change(&format!("up-{n}"), put_workspace("w", n as u64 + 1));
            tokio::spawn(async move { handle.propose(sent).await })
        })
        .collect();
    for proposal in pending {
        let applied = proposal.await.expect("the proposal ends");
        assert!(matches!(applied, Ok(Applied::Accepted { .. })));
    }
}

async fn catch_up(options: Options) {
    const CHANGES: usize = 1_000;
    let mut cluster = cluster(options).await;
    let leader = cluster.leader().await;
    let follower = cluster.follower().await;
    let entry = cluster.entry("e0", leader).await;
    until("the entry is current", || entry.is_fresh_for_keys()).await;
    cluster.cut(&entry.name, true);
    cluster.kill(follower).await;
    propose_all(&cluster, leader, CHANGES).await;
    let start = Instant::now();
    cluster.restart(follower).await;
    let view = cluster.server(follower).view();
    let version = CHANGES as u64;
    until("the follower has caught up", || {
        view.document().version == version
    })
    .await;
    println!(
        "catch-up of {CHANGES} changes: restarted control instance {:.0} ms",
        start.elapsed().as_secs_f64() * 1_000.0
    );
    let start = Instant::now();
    cluster.cut(&entry.name, false);
    until("the entry follows", || entry.version() > 0).await;
    let connected = start.elapsed();
    until("the entry has caught up", || entry.version() == version).await;
    println!(
        "catch-up of {CHANGES} changes: entry {:.0} ms after its first change, {:.0} ms after the end of the cut",
        (start.elapsed() - connected).as_secs_f64() * 1_000.0,
        start.elapsed().as_secs_f64() * 1_000.0
    );
    let start = Instant::now();
    let fresh = cluster.entry("e1", leader).await;
    until("the entry has caught up", || {
        fresh.version() == version && fresh.is_fresh_for_keys()
    })
    .await;
    println!(
        "catch-up of a new entry: {:.0} ms",
        start.elapsed().as_secs_f64() * 1_000.0
    );
}

async fn elections(options: Options) {
    const ROUNDS: usize = 7;
    let mut cluster = cluster(options).await;
    let mut entries = Vec::new();
    for i in 0..3 {
        entries.push(cluster.entry(&format!("e{i}"), i).await);
    }
    let (mut taken, mut oldest) = (Vec::new(), 0);
    for round in 0..ROUNDS {
        let leader = cluster.leader().await;
        for entry in &entries {
            until("every entry is current", || entry.age() < 700).await;
        }
        let other = (leader + 1) % 3;
        let handle = cluster.server(other).handle();
        cluster.kill(leader).await;
        let start = Instant::now();
        let sent = change(&format!("round-{round}"), put_workspace("w", 1));
        let answer = tokio::spawn(async move { handle.propose(sent).await });
        while !answer.is_finished() {
            let ages = entries.iter().map(Entry::age);
            oldest = oldest.max(ages.max().unwrap_or(0));
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
        taken.push(start.elapsed().as_millis());
        cluster.restart(leader).await;
    }
    taken.sort_unstable();
    println!(
        "loss of the leader to the next accepted change, {ROUNDS} rounds: median {} ms, longest {} ms; oldest view of 3 entries {oldest} ms",
        taken[ROUNDS / 2],
        taken[ROUNDS - 1]
    );
}
