//! Many changes of a large routing table, beside other changes, for subscribers with narrow
//! links.

mod control_kit;

use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::{Duration, Instant};

use control_kit::{change, put_key, put_workspace, until, Cluster, Entry};
use pomelovale_state::command::{Applied, Command};
use pomelovale_state::digest::Digest;
use pomelovale_state::routing::{CallerLimits, RoutedService, RoutedWorkspace, Routing, Window};

/// Rate of the link of a subscriber, in bytes per second.
const RATE: u64 = 400_000;
/// What callers leave of a link of 2 Mbit/s, in bytes per second.
const SLOW_RATE: u64 = 150_000;
/// Keys of a change, which are 100 kB, and changes that a subscriber has and that it lacks.
const BATCH_KEYS: usize = 2_000;
const KEPT: usize = 10;
const MISSED: usize = 4;
const CONTROLS: usize = 7;
/// Time within which an instance has caught up once it can be reached.
const CATCH_UP: Duration = Duration::from_secs(6);
/// Keys of a table, which make up nearly all of it, and their encoded size in bytes.
const KEYS: usize = 2_000;
const KEY_BYTES: u64 = 34;
const LARGE_KEYS: usize = 10_000;
const TABLES: u64 = 30;

// A table whose idle timeout and services depend on its version.
fn table(version: u64, service: &str) -> Routing {
    large_table(version, service, KEYS)
}

fn large_table(version: u64, service: &str, keys: usize) -> Routing {
    let workspace = RoutedWorkspace {
        priority: None,
        rate: 10,
        burst: 10,
        window: Window {
            ms: 5_000,
            overage: 0,
            slack: 0,
        },
        homes: Vec::new(),
    };
    let service = (
        service.into(),
        RoutedService {
            probe: "/health".into(),
            connections: 100,
            cold_ms: 0,
            cold_rate: 0,
        },
    );
    let key = |n: usize| (Digest::of_key(&format!("key-{n}")), "w".into());
    Routing {
        version,
        limits: CallerLimits {
            idle_ms: 1_000 * version,
            ..CallerLimits::default()
        },
        workspaces: [("w".into(), workspace)].into(),
        keys: (0..keys).map(key).collect(),
        services: [service].into(),
        ..Routing::default()
    }
}

async fn replace(cluster: &Cluster, version: u64, service: &str) {
    replace_by(cluster, table(version, service)).await;
}

async fn replace_by(cluster: &Cluster, table: Routing) {
    let version = table.version;
    let command = Command::ReplaceRouting {
        base: version - 1,
        routing: Arc::new(table),
        source: Arc::from("{}"),
    };
    let applied = cluster.propose(0, change(&format!("table-{version}"), command));
    let applied = applied.await;
    assert!(matches!(applied, Applied::Accepted { .. }), "{applied:?}");
}

fn idle_ms(entry: &Entry) -> u64 {
    let document = entry.view.document();
    document.routing.as_ref().map_or(0, |r| r.limits.idle_ms)
}

async fn entry(cluster: &mut Cluster, name: &str, rate: u64) -> Entry {
    let entry = cluster.entry(name, 0).await;
    let key = (entry.name.clone(), cluster.names[0].clone());
    cluster.proxies[&key].limit_rate(rate);
    entry
}

fn received(entry: &Entry) -> u64 {
    entry.counters.received.load(Ordering::Relaxed)
}

/// Guards against narrow links that carry each of many tables, while the changes behind them
/// wait until the view is so old that the subscriber gives the connection up, and against
/// changes that are lost or reordered where tables are left out.
#[tokio::test]
async fn superseded_tables_are_not_sent_to_narrow_links() {
    let mut cluster = Cluster::start(1).await;
    cluster.leader().await;
    replace(&cluster, 1, "s").await;
    let mut narrow = Vec::new();
    for n in 0..4 {
        narrow.push(entry(&mut cluster, &format!("e{n}"), RATE).await);
    }
    let wide = entry(&mut cluster, "wide", 0).await;
    for entry in narrow.iter().chain([&wide]) {
        until("the first table is there", || idle_ms(entry) == 1_000).await;
    }
    let before: Vec<u64> = narrow.iter().map(received).collect();
    for version in 2..=TABLES {
        replace(&cluster, version, "s").await;
        let name = format!("x{version}");
        let applied = cluster.propose(0, change(&name, put_workspace(&name, 10)));
        assert!(matches!(applied.await, Applied::Accepted { .. }));
    }
    for entry in narrow.iter().chain([&wide]) {
        until("the last table is there", || {
            idle_ms(entry) == 1_000 * TABLES
        })
        .await;
    }
    let leader = cluster.server(0).view().document();
    for (entry, before) in narrow.iter().zip(before) {
        until("the last change is there", || {
            entry.version() == leader.version
        })
        .await;
        let document = entry.view.document();
        assert_eq!(document.workspaces, leader.workspaces);
        assert_eq!(document.routing, leader.routing);
        let sent = received(entry) - before;
        let all = (TABLES - 1) * KEYS as u64 * KEY_BYTES;
        assert!(sent * 2 < all, "{sent} of {all} bytes");
        let link = (entry.name.clone(), cluster.names[0].clone());
        assert_eq!(cluster.proxies[&link].opened(), 1, "given up as outdated");
    }
}

/// Guards against a table that is left out although it has defined a service, which a later
/// change needs.
#[tokio::test]
async fn tables_that_define_other_services_are_sent() {
    let mut cluster = Cluster::start(1).await;
    cluster.leader().await;
    replace(&cluster, 1, "s1").await;
    let narrow = entry(&mut cluster, "e", RATE).await;
    until("the first table is there", || idle_ms(&narrow) == 1_000).await;
    for version in 2..=12 {
        replace(&cluster, version, &format!("s{}", version.div_ceil(3))).await;
    }
    until("the last table is there", || idle_ms(&narrow) == 12_000).await;
    let leader = cluster.server(0).view().document();
    until("the last change is there", || {
        narrow.version() == leader.version
    })
    .await;
    assert_eq!(narrow.view.document().services, leader.services);
}

async fn put_keys(cluster: &Cluster, batches: std::ops::Range<usize>) {
    for batch in batches {
        let key = |n: usize| put_key(&format!("key-{batch}-{n}"), "w");
        let command = Command::Batch((0..BATCH_KEYS).map(key).collect());
        let applied = cluster.propose(0, change(&format!("keys-{batch}"), command));
        let applied = applied.await;
        assert!(matches!(applied, Applied::Accepted { .. }), "{applied:?}");
    }
}

/// Guards against subscribers that give up each control instance in turn while the changes
/// that they lack are on their way over a narrow link.
#[tokio::test]
async fn subscribers_that_lack_many_changes_catch_up() {
    let mut cluster = Cluster::start_limited(CONTROLS, 0, Vec::new(), Default::default()).await;
    cluster.leader().await;
    let put = change("w", put_workspace("w", 10));
    assert!(matches!(
        cluster.propose(0, put).await,
        Applied::Accepted { .. }
    ));
    put_keys(&cluster, 0..KEPT).await;
    let entry = cluster.entry("e", 0).await;
    until("the entry is current", || {
        entry.version() == 1 + KEPT as u64
    })
    .await;
    let links = || {
        cluster
            .names
            .iter()
            .map(|n| &cluster.proxies[&(entry.name.clone(), n.clone())])
    };
    links().for_each(|link| link.cut(true));
    put_keys(&cluster, KEPT..KEPT + MISSED).await;
    links().for_each(|link| {
        link.limit_rate(SLOW_RATE);
        link.cut(false);
    });
    let start = Instant::now();
    let last = 1 + (KEPT + MISSED) as u64;
    until("the entry is current again", || entry.version() == last).await;
    let spent = start.elapsed();
    assert!(spent < CATCH_UP, "{spent:?}");
}

/// Guards against a connection that counts as silent while a large change is on its way over a
/// narrow link.
#[tokio::test]
async fn large_table_passes_a_narrow_link() {
    let mut cluster = Cluster::start(1).await;
    cluster.leader().await;
    replace(&cluster, 1, "s").await;
    let narrow = entry(&mut cluster, "e", SLOW_RATE).await;
    until("the first table is there", || idle_ms(&narrow) == 1_000).await;
    let start = Instant::now();
    replace_by(&cluster, large_table(2, "s", LARGE_KEYS)).await;
    until("the large table is there", || idle_ms(&narrow) == 2_000).await;
    let spent = start.elapsed();
    assert!(spent < CATCH_UP, "{spent:?}");
    let link = (narrow.name.clone(), cluster.names[0].clone());
    assert_eq!(cluster.proxies[&link].opened(), 1, "closed meanwhile");
}
