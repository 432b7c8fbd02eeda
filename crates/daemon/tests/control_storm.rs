//! Many changes of a large routing table, beside other changes, for subscribers with narrow
//! links.

mod control_kit;

use std::sync::atomic::Ordering;
use std::sync::Arc;

use control_kit::{change, put_workspace, until, Cluster, Entry};
use pomelovale_state::command::{Applied, Command};
use pomelovale_state::digest::Digest;
use pomelovale_state::routing::{CallerLimits, RoutedService, RoutedWorkspace, Routing, Window};

/// Rate of the link of a subscriber, in bytes per second.
const RATE: u64 = 400_000;
/// Keys of a table, which make up nearly all of it, and their encoded size in bytes.
const KEYS: usize = 2_000;
const KEY_BYTES: u64 = 34;
const TABLES: u64 = 30;

// A table whose idle timeout and services depend on its version.
fn table(version: u64, service: &str) -> Routing {
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
        keys: (0..KEYS).map(key).collect(),
        services: [service].into(),
        ..Routing::default()
    }
}

async fn replace(cluster: &Cluster, version: u64, service: &str) {
    let command = Command::ReplaceRouting {
        base: version - 1,
        routing: Arc::new(table(version, service)),
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
