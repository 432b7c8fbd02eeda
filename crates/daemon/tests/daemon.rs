//! Tests of the daemon's binary, alone and as a cluster of three processes.

mod process;

use std::net::TcpStream;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::{Duration, Instant};

use pomelovale_coordination::log::{Persist, Storage};
use pomelovale_protocol::log::{Entry, EntryData};
use process::{run, Backend, Cluster};

macro_rules! exits {
    ($($name:ident: $code:literal, $args:expr, $text:literal;)*) => {$(
        /// Guards against a wrong exit code and against an error that is printed
        /// without its cause.
        #[test]
        fn $name() {
            let output = run(&$args);
            let text = String::from_utf8([output.stdout, output.stderr].concat()).unwrap();
            assert_eq!(output.status.code(), Some($code), "{text}");
            assert!(text.contains($text), "{text}");
        }
    )*};
}

exits! {
    help: 0, ["--help"], "Usage:";
    no_config: 2, [], "--config";
    unknown_command: 2, ["fly"], "\"fly\" is not a command";
    missing_file: 3, ["check", "none.json"], "can't read none.json";
    missing_config: 3, ["--config", "none.json"], "can't read none.json";
    valid_settings: 0, ["check", concat!(env!("CARGO_MANIFEST_DIR"), "/../../examples/north.json")], "are valid";
}

/// Guards against keyed requests that are refused because the leader was killed, and
/// against a killed process that can't be restarted.
#[test]
fn killed_leader_causes_no_refusals() {
    let backend = Backend::start(Duration::ZERO);
    let mut cluster = Cluster::start(&backend);
    let leader = cluster.leader();
    let others = [(leader + 1) % 3, (leader + 2) % 3];
    cluster.kill(leader);
    for n in 0..120 {
        assert_eq!(cluster.status(others[n % 2]), 200, "request {n}");
        thread::sleep(Duration::from_millis(25));
    }
    assert_ne!(cluster.leader(), leader);
    cluster.spawn(leader);
    cluster.wait_until_ready(leader);
}

/// Guards against a stop that aborts a request in flight, and against an entry list
/// that still contains the stopped instance.
#[test]
fn stop_finishes_requests_in_flight() {
    let backend = Backend::start(Duration::from_millis(700));
    let mut cluster = Cluster::start(&backend);
    let before = backend.requests.load(Ordering::SeqCst);
    let stopped = (cluster.leader() + 1) % 3;
    thread::scope(|scope| {
        let cluster = &cluster;
        let slow = scope.spawn(move || cluster.get(stopped, "/s/slow"));
        while backend.requests.load(Ordering::SeqCst) == before {
            thread::sleep(Duration::from_millis(5));
        }
        cluster.terminate(stopped);
        let answer = slow.join().unwrap().unwrap();
        assert!(
            answer.starts_with("HTTP/1.1 200") && answer.ends_with("done"),
            "{answer}"
        );
    });
    assert_eq!(cluster.wait_for_exit(stopped), Some(0));
    let name = format!("\"i{stopped}\"");
    assert!(!cluster.entry_list((stopped + 1) % 3).contains(&name));
    cluster.spawn(stopped);
    cluster.wait_until_ready(stopped);
    while !cluster.entry_list((stopped + 1) % 3).contains(&name) {
        thread::sleep(Duration::from_millis(20));
    }
}

/// Guards against the loss of state or quorum after a disk was replaced: the replica
/// with the empty disk must be a voter again before another replica fails.
#[test]
fn replica_with_wiped_disk_is_promoted_before_a_second_loss() {
    let backend = Backend::start(Duration::ZERO);
    let mut cluster = Cluster::start(&backend);
    let leader = cluster.leader();
    let wiped = (leader + 1) % 3;
    cluster.kill(wiped);
    std::fs::remove_dir_all(cluster.data(wiped)).unwrap();
    cluster.spawn(wiped);
    cluster.wait_until_ready(wiped);
    while !cluster.logged(leader).contains("Promote(") {
        thread::sleep(Duration::from_millis(20));
    }
    let lost = (leader + 2) % 3;
    cluster.kill(lost);
    for n in 0..240 {
        assert_eq!(cluster.status([leader, wiped][n % 2]), 200, "request {n}");
        thread::sleep(Duration::from_millis(25));
    }
}

/// Guards against two processes that use one data directory, and against a failed
/// start without a readable error.
#[test]
fn second_process_on_a_data_directory_is_refused() {
    let backend = Backend::start(Duration::ZERO);
    let cluster = Cluster::start(&backend);
    let path = cluster.dir.path().join("i0.json");
    let output = run(&["--config", path.to_str().unwrap()]);
    let text = String::from_utf8(output.stderr).unwrap();
    assert_eq!(output.status.code(), Some(3), "{text}");
    assert!(
        text.contains("is in use by another process") && text.lines().count() == 1,
        "{text}"
    );
}

/// Guards against a process that goes on, or ends with the code of bad settings, when
/// a build whose format it can't read has written its log.
#[test]
fn process_on_unreadable_data_exits_with_the_code_of_damaged_data() {
    let backend = Backend::start(Duration::ZERO);
    let mut cluster = Cluster::start(&backend);
    let follower = (cluster.leader() + 1) % 3;
    cluster.kill(follower);
    let (mut storage, restored) = Storage::open(cluster.data(follower)).unwrap();
    let last = restored.entries.last().unwrap();
    let unreadable = Entry {
        data: EntryData::Change([255, 9].as_slice().into()),
        epoch: last.epoch,
        index: last.index.next(),
    };
    let expected = format!("can't decode the change at {}", unreadable.index);
    let persist = Persist {
        entries: vec![unreadable],
        ..Persist::default()
    };
    storage.write(&persist).unwrap();
    storage.sync().unwrap();
    drop(storage);
    cluster.spawn(follower);
    assert_eq!(cluster.wait_for_exit(follower), Some(74));
    let logged = cluster.logged(follower);
    assert!(logged.contains(&expected), "{logged}");
}

/// Guards against callers that hang because the connections of others have used up the
/// descriptors of the process.
#[test]
fn idle_callers_leave_descriptors_for_others() {
    let backend = Backend::start(Duration::ZERO);
    let mut cluster = Cluster::start(&backend);
    cluster.kill(0);
    cluster.spawn_limited(0, 128);
    cluster.wait_until_ready(0);
    let connect = |_| TcpStream::connect(cluster.callers(0)).unwrap();
    let idle: Vec<TcpStream> = (0..200).map(connect).collect();
    thread::sleep(Duration::from_millis(300));
    let start = Instant::now();
    assert_eq!(cluster.status(0), 200, "{}", cluster.logged(0));
    assert!(
        start.elapsed() < Duration::from_secs(3),
        "{:?}",
        start.elapsed()
    );
    drop(idle);
}
