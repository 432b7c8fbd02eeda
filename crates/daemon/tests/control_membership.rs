//! Instances that the leader takes out of the entry list and back.

mod control_kit;

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

use control_kit::{change, until, Cluster};
use pomelovale_coordination::control::ControlHandle;
use pomelovale_coordination::view::View;
use pomelovale_protocol::report::Report;
use pomelovale_state::command::{Applied, Command};
use pomelovale_state::document::{Instance, MemberState, Region};
use pomelovale_state::Name;
use pomelovaled::control::config::ControlLimits;
use tokio::time::sleep;

const COUNT: usize = 30;
const LOST_MS: u64 = 2_000;
const REPORT_INTERVAL: Duration = Duration::from_millis(200);

fn name(n: usize) -> Name {
    Name::from(format!("g{n}"))
}

async fn start(delay_ms: u64) -> Cluster {
    let limits = ControlLimits {
        lost_ms: LOST_MS,
        lost_all_ms: 5_000,
        ..ControlLimits::default()
    };
    let cluster = Cluster::start_limited(3, delay_ms, Vec::new(), limits).await;
    let leader = cluster.leader().await;
    let put = |n| Command::PutInstance {
        name: name(n),
        instance: Instance {
            callers: Some("127.0.0.1:1".parse().unwrap()),
            peers: None,
            region: "north".into(),
            domain: "north-a".into(),
            state: MemberState::Serving,
        },
    };
    let region = Command::PutRegion {
        name: "north".into(),
        region: Region {
            domains: vec!["north-a".into()],
        },
    };
    let all = Command::Batch([region].into_iter().chain((0..COUNT).map(put)).collect());
    let applied = cluster.propose(leader, change("instances", all)).await;
    assert!(matches!(applied, Applied::Accepted { .. }), "{applied:?}");
    cluster
}

// Reports of the instances from `first` on, until `stopped` is set.
async fn report(handle: ControlHandle, first: usize, stopped: Arc<AtomicBool>) {
    while !stopped.load(Ordering::SeqCst) {
        for n in first..COUNT {
            handle.report(Report {
                instance: name(n),
                ..Report::default()
            });
        }
        sleep(REPORT_INTERVAL).await;
    }
}

fn away(view: &View) -> usize {
    let document = view.document();
    let instances = document.instances.values();
    instances.filter(|i| i.state == MemberState::Away).count()
}

/// Guards against a leader that has stood still, takes the silence for that of all instances,
/// and has its successor take them out.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn instances_stay_listed_after_a_leader_has_stood_still() {
    let cluster = start(0).await;
    let leader = cluster.leader().await;
    let follower = cluster.server(cluster.follower().await).handle();
    let stopped = Arc::new(AtomicBool::new(false));
    tokio::spawn(report(follower, 0, stopped.clone()));
    sleep(Duration::from_millis(LOST_MS)).await;
    cluster.clocks[leader].advance(7_000);
    let start = Instant::now();
    while start.elapsed() < Duration::from_secs(5) {
        for n in 0..3 {
            assert_eq!(away(&cluster.server(n).view()), 0, "taken out of the list");
        }
        sleep(Duration::from_millis(2)).await;
    }
    stopped.store(true, Ordering::SeqCst);
}

/// Guards against changes of state that are proposed again until the first ones are applied,
/// and against a change of its own for each instance.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn lost_instances_are_taken_out_by_one_change() {
    // A commit takes longer than the interval of the checks.
    let cluster = start(100).await;
    let leader = cluster.leader().await;
    let (stopped, other) = (Arc::new(AtomicBool::new(false)), Arc::default());
    let handle = cluster.server(leader).handle();
    tokio::spawn(report(handle.clone(), COUNT / 3, other));
    tokio::spawn(report(handle, 0, stopped.clone()));
    sleep(Duration::from_millis(LOST_MS)).await;
    let view = cluster.server(leader).view();
    assert_eq!(away(&view), 0);
    let before = view.document().version;
    stopped.store(true, Ordering::SeqCst);
    until("the lost ones are out", || away(&view) == COUNT / 3).await;
    // Later proposals would be applied by then.
    sleep(Duration::from_secs(1)).await;
    let changes = view.document().version - before;
    // The reports may end on both sides of a check.
    assert!(
        changes <= 2,
        "{changes} changes for {} instances",
        COUNT / 3
    );
}
