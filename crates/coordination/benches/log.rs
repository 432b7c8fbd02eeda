//! Benchmarks of commits with syncs, of catching up, and of recovery.
//!
//! All replicas run in one thread and exchange messages without a network, so
//! the sync times of a group add up. The data directories are created in
//! `LOG_BENCH_DIR` or, if it is not set, in the system's temporary directory.

use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

use hdrhistogram::Histogram;
use pomelovale_coordination::log::{
    Action, Event, LogConfig, Persist, Replica, Role, Storage, TICK_MS,
};
use pomelovale_protocol::log::{LogIndex, LogMessage, ReplicaId};
use pomelovale_state::{Millis, Name};

/// Size of a proposal in bytes, about that of a change of one item.
const PAYLOAD_BYTES: usize = 200;

/// Number of runs of catch-up and recovery.
const ROUNDS: usize = 5;

struct Node {
    applied: u64,
    replica: Option<Replica>,
    directory: PathBuf,
    storage: Option<Storage>,
}

struct Group {
    accepted: u64,
    inbox: Vec<(usize, Event)>,
    nodes: Vec<Node>,
    now: Millis,
    retain: usize,
    syncs: u64,
    writes: Vec<(usize, Persist)>,
}

fn name(node: usize) -> Name {
    Name::from(format!("c{node}"))
}

impl Group {
    fn new(root: &Path, size: usize, retain: usize) -> Group {
        let node = |n: usize| Node {
            applied: 0,
            replica: None,
            directory: root.join(format!("c{n}")),
            storage: None,
        };
        let mut group = Group {
            accepted: 0,
            inbox: Vec::new(),
            nodes: (0..size).map(node).collect(),
            now: Millis(0),
            retain,
            syncs: 0,
            writes: Vec::new(),
        };
        (0..size).for_each(|n| group.start(n));
        while group.leader().is_none() {
            group.tick();
        }
        group
    }

    fn start(&mut self, n: usize) {
        let names = (0..self.nodes.len()).map(name).collect();
        let mut config = LogConfig::new(name(n), names);
        config.retain = self.retain;
        let node = &mut self.nodes[n];
        let (storage, restored) = Storage::open(&node.directory).expect("storage opens");
        node.replica = Some(Replica::new(config, restored, n as u64, self.now));
        node.storage = Some(storage);
        node.applied = 0;
    }

    fn stop(&mut self, n: usize) {
        self.nodes[n].replica = None;
        self.nodes[n].storage = None;
    }

    fn leader(&self) -> Option<usize> {
        let leads = |n: &usize| {
            let status = self.nodes[*n].replica.as_ref().map(Replica::status);
            status.is_some_and(|s| s.role == Role::Leader && s.commit == s.last)
        };
        (0..self.nodes.len()).find(leads)
    }

    fn tick(&mut self) {
        self.now = self.now.plus(TICK_MS);
        let ticks = (0..self.nodes.len()).map(|n| (n, Event::Tick));
        self.inbox.extend(ticks);
        self.run_until_idle();
    }

    /// Handles events and writes until nothing is left to do.
    fn run_until_idle(&mut self) {
        while !self.inbox.is_empty() || !self.writes.is_empty() {
            for (n, event) in std::mem::take(&mut self.inbox) {
                self.step(n, event);
            }
            for (n, persist) in std::mem::take(&mut self.writes) {
                self.sync(n, &persist);
            }
        }
    }

    fn sync(&mut self, n: usize, persist: &Persist) {
        if let Some(storage) = &mut self.nodes[n].storage {
            storage.write(persist).expect("write succeeds");
            storage.sync().expect("sync succeeds");
            self.syncs += 1;
            self.inbox.push((n, persist.done()));
        }
    }

    fn step(&mut self, n: usize, event: Event) {
        let Some(replica) = &mut self.nodes[n].replica else {
            return;
        };
        let from = replica.status().id;
        for action in replica.step(self.now, event) {
            match action {
                Action::Accepted { .. } => self.accepted += 1,
                Action::Apply(entries) => self.nodes[n].applied += entries.len() as u64,
                Action::Persist(persist) => self.writes.push((n, persist)),
                Action::Rejected { kind, .. } => panic!("proposal rejected: {kind}"),
                Action::Restore(snapshot) => self.nodes[n].applied = snapshot.index.0,
                Action::Send { to, message } => self.send(from.clone(), &to, message),
            }
        }
    }

    fn send(&mut self, from: ReplicaId, to: &ReplicaId, message: LogMessage) {
        let to = (0..self.nodes.len()).find(|n| name(*n) == to.name);
        let event = Event::Receive { from, message };
        self.inbox.extend(to.map(|n| (n, event)));
    }

    /// Proposes `count` entries at once and waits until all are accepted.
    fn commit_proposals(&mut self, count: u64) {
        let leader = self.leader().expect("the group has a leader");
        let until = self.accepted + count;
        for token in 0..count {
            let payload = vec![7; PAYLOAD_BYTES].into();
            self.inbox.push((leader, Event::Propose { token, payload }));
        }
        while self.accepted < until {
            self.run_until_idle();
        }
    }

    fn compact(&mut self, n: usize) {
        let index = LogIndex(self.nodes[n].applied);
        let snapshot = vec![7; PAYLOAD_BYTES * index.0 as usize].into();
        self.inbox.push((n, Event::Compact { index, snapshot }));
        self.run_until_idle();
    }
}

fn report(what: &str, times: &[Duration], per: u64) {
    let mut histogram: Histogram<u64> = Histogram::new(3).expect("histogram is created");
    for time in times {
        let nanos = time.as_nanos() as u64 / per;
        histogram
            .record(nanos)
            .expect("duration is within the range");
    }
    let micros = |nanos: u64| nanos as f64 / 1e3;
    println!(
        "{what}: median {:.1} us, p99 {:.1} us, longest {:.1} us ({} samples)",
        micros(histogram.value_at_quantile(0.5)),
        micros(histogram.value_at_quantile(0.99)),
        micros(histogram.max()),
        times.len(),
    );
}

fn time(work: impl FnOnce()) -> Duration {
    let start = Instant::now();
    work();
    start.elapsed()
}

fn temp_directory() -> tempfile::TempDir {
    match std::env::var_os("LOG_BENCH_DIR") {
        Some(parent) => tempfile::tempdir_in(parent),
        None => tempfile::tempdir(),
    }
    .expect("temporary directory is created")
}

fn commits(size: usize) {
    for count in [1, 10, 100, 1_000] {
        let root = temp_directory();
        let mut group = Group::new(root.path(), size, 2_000);
        let before = group.syncs;
        let runs = if count < 100 { 200 } else { 20 };
        let times: Vec<Duration> = (0..runs)
            .map(|_| time(|| group.commit_proposals(count)))
            .collect();
        let syncs = (group.syncs - before) as f64 / (runs * count) as f64;
        let what = format!("{size} replicas, {count} proposals at once, per commit");
        report(&what, &times, count);
        println!("  {syncs:.3} syncs per commit, of all replicas together");
    }
}

fn catch_up(by: &str, retain: usize) {
    let once = || {
        let root = temp_directory();
        let mut group = Group::new(root.path(), 3, retain);
        let leader = group.leader().expect("the group has a leader");
        let behind = (leader + 1) % 3;
        group.stop(behind);
        (0..100).for_each(|_| group.commit_proposals(10));
        group.compact(leader);
        let applied = group.nodes[leader].applied;
        group.start(behind);
        time(|| {
            while group.nodes[behind].applied < applied {
                group.tick();
            }
        })
    };
    let times: Vec<Duration> = (0..ROUNDS).map(|_| once()).collect();
    report(&format!("catch-up of 1,000 entries by {by}"), &times, 1);
}

fn recovery(entries: u64) {
    let root = temp_directory();
    let mut group = Group::new(root.path(), 1, 2_000);
    (0..entries / 10).for_each(|_| group.commit_proposals(10));
    let restart = |_| {
        group.stop(0);
        time(|| group.start(0))
    };
    let times: Vec<Duration> = (0..ROUNDS).map(restart).collect();
    report(&format!("recovery of {entries} entries"), &times, 1);
}

fn main() {
    commits(3);
    commits(5);
    catch_up("log", 2_000);
    catch_up("snapshot", 0);
    [1_000, 10_000].into_iter().for_each(recovery);
}
