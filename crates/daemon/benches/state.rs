//! Measures the replicated state: commits, catch-up, elections, grants, traffic.
//!
//! Options: `--delay-ms N` delays each message between processes by N ms,
//! `--entries N` sets the number of entries, `--seconds N` the length of each
//! measurement, and `--blocks N` also measures a document of N client blocks.
//! Everything runs in one process over loopback.

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

fn parse_options() -> Options {
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
    let options = parse_options();
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

async fn start_cluster(options: Options) -> Cluster {
    let limits = ControlLimits::default();
    Cluster::start_limited(3, options.delay_ms, Vec::new(), limits).await
}

async fn measure(options: Options) {
    let mut cluster = start_cluster(options).await;
    let leader = cluster.leader().await;
    for concurrency in [1, 64, 512] {
        measure_commits(&cluster, leader, concurrency, options).await;
    }
    measure_grants(&mut cluster, options).await;
    drop(cluster);
    measure_traffic(options).await;
    measure_propagation(options).await;
    measure_catch_up(options).await;
    measure_elections(options).await;
    if options.blocks > 0 {
        measure_blocks(options).await;
    }
}

fn quantile_ms(histogram: &Histogram<u64>, quantile: f64) -> f64 {
    histogram.value_at_quantile(quantile) as f64 / 1_000.0
}

async fn measure_commits(cluster: &Cluster, leader: usize, concurrency: usize, options: Options) {
    static NEXT_ID: AtomicU64 = AtomicU64::new(0);
    let end = Instant::now() + Duration::from_secs(options.seconds);
    let workers: Vec<_> = (0..concurrency)
        .map(|_| {
            let handle = cluster.server(leader).handle();
            tokio::spawn(async move {
                let mut durations = Vec::new();
                while Instant::now() < end {
                    let id = NEXT_ID.fetch_add(1, Ordering::Relaxed);
                    let proposed = change(&format!("bench-{id}"), put_workspace("w", id + 1));
                    let start = Instant::now();
                    let applied = handle.propose(proposed).await;
                    assert!(matches!(applied, Ok(Applied::Accepted { .. })));
                    durations.push(start.elapsed().as_micros() as u64);
                }
                durations
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
        quantile_ms(&histogram, 0.5),
        quantile_ms(&histogram, 0.99)
    );
}

fn grant_request(instance: &Name, seq: u64, epoch: u64) -> GrantRequest {
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
        let proposed = change(&format!("put-{n}"), put_workspace(&format!("w{n}"), 1_000));
        cluster.propose(leader, proposed).await;
    }
}

async fn ledger_epoch(handle: &ControlHandle, name: &Name) -> u64 {
    let reply = handle.grant(grant_request(name, 1, 0)).await;
    reply.expect("the leader answers").epoch
}

async fn measure_grants(cluster: &mut Cluster, options: Options) {
    add_workspaces(cluster).await;
    let follower = cluster.follower().await;
    let entry = cluster.entry("grants", follower).await;
    until("the entry is current", || entry.is_fresh_for_keys()).await;
    let end = Instant::now() + Duration::from_secs(options.seconds);
    let workers: Vec<_> = (0..options.entries)
        .map(|n| {
            let (handle, name) = (entry.handle.clone(), Name::from(format!("e{n}")));
            tokio::spawn(async move {
                let epoch = ledger_epoch(&handle, &name).await;
                let (mut seq, mut durations) = (1, Vec::new());
                while Instant::now() < end {
                    seq += 1;
                    let start = Instant::now();
                    let reply = handle.grant(grant_request(&name, seq, epoch)).await;
                    reply.expect("the leader answers");
                    durations.push(start.elapsed().as_micros() as u64);
                }
                durations
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
        quantile_ms(&histogram, 0.5),
        quantile_ms(&histogram, 0.99)
    );
}

fn total_bytes(counters: &PeerCounters) -> u64 {
    counters.received.load(Ordering::Relaxed) + counters.sent.load(Ordering::Relaxed)
}

/// Measures TCP payload bytes, both directions added.
async fn measure_traffic(options: Options) {
    let mut cluster = start_cluster(options).await;
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
            .map(|e| tokio::spawn(send_grant_requests(e.clone())))
            .collect();
        let max_bytes = |cluster: &Cluster| {
            let max_entry = entries.iter().map(|e| total_bytes(&e.counters)).max();
            let max_control = (0..3)
                .map(|i| total_bytes(cluster.server(i).counters()))
                .max();
            (max_entry.unwrap_or(0), max_control.unwrap_or(0))
        };
        let before = max_bytes(&cluster);
        tokio::time::sleep(Duration::from_secs(options.seconds)).await;
        let after = max_bytes(&cluster);
        let rate = |a: u64, b: u64| (b - a) as f64 / options.seconds as f64 / 1_000.0;
        println!(
            "traffic, {}: busiest entry {:.2} KB/s, busiest control instance {:.2} KB/s",
            if busy {
                "4 grant requests and 1 report per second"
            } else {
                "renewals only"
            },
            rate(before.0, after.0),
            rate(before.1, after.1)
        );
        tasks.iter().for_each(tokio::task::JoinHandle::abort);
    }
}

async fn send_grant_requests(entry: Arc<Entry>) {
    let epoch = ledger_epoch(&entry.handle, &entry.name).await;
    for seq in 2.. {
        let _ = entry
            .handle
            .grant(grant_request(&entry.name, seq, epoch))
            .await;
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

/// Proposes a change and returns the time from its acceptance until every entry
/// has it.
async fn propagation_time(
    cluster: &Cluster,
    leader: usize,
    entries: &[Entry],
    proposed: Change,
) -> Duration {
    let Applied::Accepted { version, .. } = cluster.propose(leader, proposed).await else {
        panic!("the change is accepted");
    };
    let start = Instant::now();
    while entries.iter().any(|e| e.version() < version) {
        tokio::time::sleep(Duration::from_micros(200)).await;
    }
    start.elapsed()
}

fn print_propagation(what: &str, mut durations: Vec<Duration>) {
    durations.sort_unstable();
    let longest = durations.len() - 1;
    println!(
        "acceptance to all entries, {what}, {} changes: median {:.1} ms, longest {:.1} ms",
        durations.len(),
        durations[longest / 2].as_secs_f64() * 1_000.0,
        durations[longest].as_secs_f64() * 1_000.0
    );
}

async fn measure_propagation(options: Options) {
    let mut cluster = start_cluster(options).await;
    let leader = cluster.leader().await;
    let mut entries = Vec::new();
    for n in 0..options.entries {
        entries.push(cluster.entry(&format!("e{n}"), n % 3).await);
    }
    for entry in &entries {
        until("every entry is current", || entry.is_fresh_for_keys()).await;
    }
    let mut durations = Vec::new();
    for n in 0..50 {
        let proposed = change(&format!("spread-{n}"), put_workspace("w", n + 1));
        durations.push(propagation_time(&cluster, leader, &entries, proposed).await);
    }
    print_propagation("small document", durations);
}

fn resident_mb() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find_map(|l| l.strip_prefix("VmRSS:"));
    let kb = line.and_then(|l| l.split_whitespace().next()?.parse::<u64>().ok());
    kb.unwrap_or(0) / 1_024
}

fn client_block(n: u64) -> BlockChange {
    BlockChange {
        prefix: Prefix::new((0x2000 + u128::from(n)) << 80, 48),
        site: Some(Name::from(format!("site-{}", n % 59))),
    }
}

async fn measure_blocks(options: Options) {
    const ROWS: u64 = 10_000;
    let mut cluster = start_cluster(options).await;
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
        let command = Command::ChangeBlocks(rows.map(client_block).collect());
        let proposed = change(&format!("blocks-{first}"), command);
        cluster.propose(leader, proposed).await;
    }
    println!(
        "{} client blocks: loaded in changes of {ROWS} rows in {:.1} s, 3 control instances use {} MB",
        options.blocks,
        start.elapsed().as_secs_f64(),
        resident_mb() - before
    );
    let (before, start) = (resident_mb(), Instant::now());
    let entry = cluster.entry("e0", leader).await;
    until("the entry has the client blocks", || {
        entry.is_fresh_for_keys()
    })
    .await;
    println!(
        "{} client blocks: new entry current after {:.0} ms, uses {} MB with its connection",
        options.blocks,
        start.elapsed().as_secs_f64() * 1_000.0,
        resident_mb().saturating_sub(before)
    );
    let entries = [entry];
    let (mut small, mut rows) = (Vec::new(), Vec::new());
    for n in 0..10 {
        let proposed = change(&format!("small-{n}"), put_workspace("w", n + 1));
        small.push(propagation_time(&cluster, leader, &entries, proposed).await);
        let command = Command::ChangeBlocks(vec![client_block(n)]);
        let proposed = change(&format!("row-{n}"), command);
        rows.push(propagation_time(&cluster, leader, &entries, proposed).await);
    }
    print_propagation("one workspace, client blocks loaded", small);
    print_propagation("one client block", rows);
}

async fn propose_changes(cluster: &Cluster, leader: usize, count: usize) {
    let pending: Vec<_> = (0..count)
        .map(|n| {
            let handle = cluster.server(leader).handle();
            let proposed = change(&format!("up-{n}"), put_workspace("w", n as u64 + 1));
            tokio::spawn(async move { handle.propose(proposed).await })
        })
        .collect();
    for proposal in pending {
        let applied = proposal.await.expect("the proposal ends");
        assert!(matches!(applied, Ok(Applied::Accepted { .. })));
    }
}

async fn measure_catch_up(options: Options) {
    const CHANGES: usize = 1_000;
    let mut cluster = start_cluster(options).await;
    let leader = cluster.leader().await;
    let follower = cluster.follower().await;
    let entry = cluster.entry("e0", leader).await;
    until("the entry is current", || entry.is_fresh_for_keys()).await;
    cluster.cut(&entry.name, true);
    cluster.kill(follower).await;
    propose_changes(&cluster, leader, CHANGES).await;
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
    until("the entry has reconnected", || entry.version() > 0).await;
    let connected = start.elapsed();
    until("the entry has caught up", || entry.version() == version).await;
    println!(
        "catch-up of {CHANGES} changes: entry {:.0} ms after its first change, {:.0} ms after the end of its isolation",
        (start.elapsed() - connected).as_secs_f64() * 1_000.0,
        start.elapsed().as_secs_f64() * 1_000.0
    );
    let start = Instant::now();
    let new_entry = cluster.entry("e1", leader).await;
    until("the entry has caught up", || {
        new_entry.version() == version && new_entry.is_fresh_for_keys()
    })
    .await;
    println!(
        "catch-up of a new entry: {:.0} ms",
        start.elapsed().as_secs_f64() * 1_000.0
    );
}

async fn measure_elections(options: Options) {
    const ROUNDS: usize = 7;
    let mut cluster = start_cluster(options).await;
    let mut entries = Vec::new();
    for i in 0..3 {
        entries.push(cluster.entry(&format!("e{i}"), i).await);
    }
    let (mut durations, mut oldest_age) = (Vec::new(), 0);
    for round in 0..ROUNDS {
        let leader = cluster.leader().await;
        for entry in &entries {
            until("every entry is current", || entry.age() < 700).await;
        }
        let follower = (leader + 1) % 3;
        let handle = cluster.server(follower).handle();
        cluster.kill(leader).await;
        let start = Instant::now();
        let proposed = change(&format!("round-{round}"), put_workspace("w", 1));
        let proposal = tokio::spawn(async move { handle.propose(proposed).await });
        while !proposal.is_finished() {
            let ages = entries.iter().map(Entry::age);
            oldest_age = oldest_age.max(ages.max().unwrap_or(0));
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
        durations.push(start.elapsed().as_millis());
        cluster.restart(leader).await;
    }
    durations.sort_unstable();
    println!(
        "loss of the leader until the next accepted change, {ROUNDS} rounds: median {} ms, longest {} ms; oldest view of 3 entries {oldest_age} ms",
        durations[ROUNDS / 2],
        durations[ROUNDS - 1]
    );
}
