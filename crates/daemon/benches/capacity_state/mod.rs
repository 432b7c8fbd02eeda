//! Costs of the log, the subscriptions and the document. Both ends of each
//! connection run in this process over loopback, so costs include both ends.

use std::hint::black_box;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::{Duration, Instant};

use pomelovale_coordination::control::ControlHandle;
use pomelovale_coordination::view::View;
use pomelovale_protocol::grants::{GrantRequest, WorkspaceDemand};
use pomelovale_state::command::Applied;
use pomelovale_state::document::{Digest, Document, Key, KeyHolder};
use pomelovale_state::{Clock, Name};
use pomelovale_transport::peer_link::PeerCounters;
use pomelovaled::control::config::ControlLimits;
use pomelovaled::subscriber::{ControlEndpoint, Subscriber, SubscriberConfig};

use crate::control_kit::{change, put_workspace, secret, until, Cluster};
use crate::{cpu_micros, min_micros, print_fit, resident_bytes};

const CONTROLS: usize = 3;
const MEASUREMENT_TIME: Duration = Duration::from_secs(4);
/// Rate of changes while the cost of distributing them is measured.
const CHANGES_PER_SECOND: u64 = 20;

/// A subscriber that is connected to the control instances without a proxy.
struct SubscribedEntry {
    handle: ControlHandle,
    view: Arc<View>,
    counters: Arc<PeerCounters>,
}

fn subscribe(cluster: &Cluster, n: usize) -> SubscribedEntry {
    let place = |i: usize| ControlEndpoint {
        name: cluster.names[i].clone(),
        address: cluster.server(i).address(),
        region: Name::from("r"),
        domain: Name::from("d"),
    };
    let counters = Arc::<PeerCounters>::default();
    let config = SubscriberConfig {
        name: Name::from(format!("e{n}")),
        region: Name::from("r"),
        domain: Name::from("d"),
        controls: (0..CONTROLS).map(place).collect(),
        secret: secret(),
        timings: Default::default(),
        limits: Default::default(),
        counters: counters.clone(),
        unnamed: Arc::default(),
    };
    let view = Arc::new(View::default());
    SubscribedEntry {
        handle: Subscriber::start(config, view.clone(), Clock::monotonic()),
        view,
        counters,
    }
}

async fn propose(cluster: &Cluster, leader: usize, id: u64) {
    let proposed = change(&format!("p{id}"), put_workspace("w", id + 1));
    let applied = cluster.server(leader).handle().propose(proposed).await;
    assert!(
        matches!(applied, Ok(Applied::Accepted { .. })),
        "{applied:?}"
    );
}

struct SubscriptionCosts {
    memory: f64,
    idle_cpu: f64,
    idle_bytes: f64,
    change_cpu: f64,
    change_bytes: f64,
    propagation_ms: f64,
    grant_cpu: f64,
}

fn peer_bytes(entries: &[SubscribedEntry]) -> f64 {
    let of = |e: &SubscribedEntry| {
        e.counters.received.load(Ordering::Relaxed) + e.counters.sent.load(Ordering::Relaxed)
    };
    entries.iter().map(of).sum::<u64>() as f64
}

async fn measure_subscriptions(count: usize) -> SubscriptionCosts {
    let cluster = Cluster::start_limited(CONTROLS, 0, Vec::new(), ControlLimits::default()).await;
    let leader = cluster.leader().await;
    propose(&cluster, leader, 0).await;
    let before = resident_bytes();
    let entries: Vec<SubscribedEntry> = (0..count).map(|n| subscribe(&cluster, n)).collect();
    for entry in &entries {
        until("the entry is current", || {
            entry.view.document().version >= 1
        })
        .await;
    }
    tokio::time::sleep(Duration::from_secs(1)).await;
    let memory = resident_bytes() - before;
    let seconds = MEASUREMENT_TIME.as_secs_f64();

    let (cpu_before, bytes_before) = (cpu_micros(), peer_bytes(&entries));
    tokio::time::sleep(MEASUREMENT_TIME).await;
    let idle_cpu = (cpu_micros() - cpu_before) / seconds;
    let idle_bytes = (peer_bytes(&entries) - bytes_before) / seconds;

    let changes = CHANGES_PER_SECOND * MEASUREMENT_TIME.as_secs();
    let (cpu_before, bytes_before, start) = (cpu_micros(), peer_bytes(&entries), Instant::now());
    for id in 1..=changes {
        propose(&cluster, leader, id).await;
        let due = Duration::from_millis(id * 1_000 / CHANGES_PER_SECOND);
        tokio::time::sleep(due.saturating_sub(start.elapsed())).await;
    }
    let elapsed_s = start.elapsed().as_secs_f64();
    let change_cpu = (cpu_micros() - cpu_before - idle_cpu * elapsed_s) / changes as f64;
    let change_bytes =
        (peer_bytes(&entries) - bytes_before - idle_bytes * elapsed_s) / changes as f64;

    let start = Instant::now();
    propose(&cluster, leader, changes + 1).await;
    for entry in &entries {
        until("every entry has the change", || {
            entry.view.document().version >= changes + 2
        })
        .await;
    }
    let propagation_ms = start.elapsed().as_secs_f64() * 1e3;
    let grant_cpu = cpu_micros_per_grant(&entries, idle_cpu).await;
    SubscriptionCosts {
        memory,
        idle_cpu,
        idle_bytes,
        change_cpu,
        change_bytes,
        propagation_ms,
        grant_cpu,
    }
}

/// Returns the CPU time in microseconds of one grant request for 8 workspaces,
/// including both ends.
async fn cpu_micros_per_grant(entries: &[SubscribedEntry], idle_cpu: f64) -> f64 {
    const ROUNDS: u64 = 8;
    let (cpu_before, start) = (cpu_micros(), Instant::now());
    for seq in 1..=ROUNDS {
        let calls = entries.iter().enumerate().map(|(n, entry)| {
            let demand_of = |w: usize| WorkspaceDemand {
                workspace: Name::from(format!("w{w}")),
                ..WorkspaceDemand::default()
            };
            let request = GrantRequest {
                instance: Name::from(format!("e{n}")),
                seq,
                epoch: 0,
                wants: (0..8).map(demand_of).collect(),
            };
            let handle = entry.handle.clone();
            tokio::spawn(async move { handle.grant(request).await })
        });
        for call in calls.collect::<Vec<_>>() {
            let _ = call.await;
        }
        tokio::time::sleep(Duration::from_millis(200)).await;
    }
    let idle_cpu_total = idle_cpu * start.elapsed().as_secs_f64();
    (cpu_micros() - cpu_before - idle_cpu_total) / (ROUNDS * entries.len() as u64) as f64
}

/// Commits `changes` with 64 outstanding and no entries; returns the CPU time and
/// the elapsed time in microseconds.
async fn measure_log(changes: u64) -> (f64, f64) {
    let cluster = Cluster::start_limited(CONTROLS, 0, Vec::new(), ControlLimits::default()).await;
    let leader = cluster.leader().await;
    propose(&cluster, leader, 0).await;
    let (cpu_before, start) = (cpu_micros(), Instant::now());
    let cluster = Arc::new(cluster);
    let workers = (0..64).map(|worker| {
        let cluster = cluster.clone();
        tokio::spawn(async move {
            for id in (worker + 1..=changes).step_by(64) {
                propose(&cluster, leader, id).await;
            }
        })
    });
    for worker in workers.collect::<Vec<_>>() {
        worker.await.expect("the worker ends");
    }
    (
        cpu_micros() - cpu_before,
        start.elapsed().as_secs_f64() * 1e6,
    )
}

fn document_with_keys(keys: usize) -> Document {
    let mut document = Document::default();
    for n in 0..keys {
        let key = Key {
            holder: KeyHolder::Workspace(Name::from("w")),
            digest: Digest([n as u8; 32]),
            revoked: false,
        };
        document.keys.insert(Name::from(format!("key{n}")), key);
    }
    document
}

pub fn measure() {
    let documents = [1_000, 4_000, 16_000].map(|n| {
        let document = document_with_keys(n);
        let clone = min_micros(20, || drop(black_box(document.clone())));
        let config = bincode::config::standard();
        let bytes = bincode::serde::encode_to_vec(&document, config).expect("encodes");
        (n as f64, clone, bytes.len() as f64)
    });
    print_fit(
        "document: clone, by keys",
        "us",
        &documents.map(|d| (d.0, d.1)),
    );
    print_fit(
        "document: snapshot, by keys",
        "bytes",
        &documents.map(|d| (d.0, d.2)),
    );

    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(3)
        .enable_all()
        .build()
        .expect("the runtime starts");
    let logs = [500, 1_000, 2_000, 4_000].map(|n| (n as f64, runtime.block_on(measure_log(n))));
    print_fit(
        "log: CPU of 3 instances, by changes",
        "us",
        &logs.map(|l| (l.0, l.1 .0)),
    );
    print_fit(
        "log: time, by changes, concurrency 64",
        "us",
        &logs.map(|l| (l.0, l.1 .1)),
    );

    let sizes = [40, 80, 160, 320];
    let all = sizes.map(|n| (n as f64, runtime.block_on(measure_subscriptions(n))));
    let print_costs = |what: &str, unit: &str, value: fn(&SubscriptionCosts) -> f64| {
        let points: Vec<(f64, f64)> = all.iter().map(|(n, m)| (*n, value(m))).collect();
        print_fit(&format!("subscriptions: {what}"), unit, &points);
    };
    print_costs("memory, by entries", "bytes", |m| m.memory);
    print_costs("CPU per second, idle, by entries", "us", |m| m.idle_cpu);
    print_costs("bytes per second, idle, by entries", "bytes", |m| {
        m.idle_bytes
    });
    print_costs("CPU per change, by entries", "us", |m| m.change_cpu);
    print_costs("bytes per change, by entries", "bytes", |m| m.change_bytes);
    print_costs("change to all entries, by entries", "ms", |m| {
        m.propagation_ms
    });
    print_costs("CPU per grant request, by entries", "us", |m| m.grant_cpu);
}
