//! Sites whose instances are replaced by another build one at a time. They need the
//! binary of an earlier build, whose path `POMELOVALED_EARLIER` holds:
//!
//! ```text
//! git worktree add /tmp/earlier 0ef57c59
//! (cd /tmp/earlier && cargo build --locked -p pomelovaled)
//! POMELOVALED_EARLIER=/tmp/earlier/target/debug/pomelovaled \
//!     cargo test --locked -p pomelovaled --test upgrade -- --ignored
//! ```

mod process;

use std::collections::BTreeMap;
use std::fs;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use pomelovale_state::digest::Digest;
use process::{run_build, Backend, Cluster};
use serde_json::{json, Value};

const TIMEOUT: Duration = Duration::from_secs(30);
const POLL_INTERVAL: Duration = Duration::from_millis(20);

fn earlier() -> PathBuf {
    let path = std::env::var_os("POMELOVALED_EARLIER");
    PathBuf::from(path.expect("POMELOVALED_EARLIER names the binary of an earlier build"))
}

fn current() -> PathBuf {
    PathBuf::from(env!("CARGO_BIN_EXE_pomelovaled"))
}

fn key_text(n: usize) -> String {
    format!("pk.r{n}.secret")
}

/// A site, and what its operator was told.
struct Site {
    cluster: Cluster,
    /// Revoked keys whose revocation was acknowledged.
    revoked: Vec<usize>,
    /// Number of keys that were created.
    keys: usize,
    changes: usize,
}

impl Site {
    fn start(backend: &Backend, binary: &Path) -> Site {
        Site {
            cluster: Cluster::start_build(backend, binary),
            revoked: Vec::new(),
            keys: 0,
            changes: 0,
        }
    }

    /// Sends a change through an instance until it is acknowledged.
    fn change(&mut self, through: usize, command: Value) {
        self.changes += 1;
        let request = format!("change-{}", self.changes);
        let body = json!({"request": request, "base": null, "command": command});
        let start = Instant::now();
        loop {
            let (status, answer) = self.cluster.operate(through, "POST", "/v1/changes", &body);
            if status == 200 {
                return;
            }
            assert!(
                matches!(status, 0 | 503) && start.elapsed() < TIMEOUT,
                "{status} {answer}: {command}"
            );
            thread::sleep(POLL_INTERVAL);
        }
    }

    /// Creates two keys and revokes one of them through an instance.
    fn revoke_one(&mut self, through: usize) {
        for n in [self.keys, self.keys + 1] {
            let digest = Digest::of_key(&key_text(n));
            let key =
                json!({"id": format!("r{n}"), "holder": {"workspace": "w"}, "digest": digest});
            self.change(through, json!({"put_key": key}));
        }
        self.change(through, json!({"revoke_key": format!("r{}", self.keys)}));
        self.revoked.push(self.keys);
        self.keys += 2;
    }

    fn document(&self, i: usize) -> Value {
        self.cluster
            .operate(i, "GET", "/v1/document", &Value::Null)
            .1
    }

    /// Checks that every instance has every acknowledged change.
    fn check(&self) {
        for i in 0..3 {
            let start = Instant::now();
            let mut lacking = Vec::new();
            while start.elapsed() < TIMEOUT {
                let document = self.document(i);
                let is_revoked = |n: &usize| document["keys"][format!("r{n}")]["revoked"] == true;
                lacking = (0..self.keys)
                    .filter(|n| is_revoked(n) != self.revoked.contains(n))
                    .collect();
                let known = document["keys"].as_object().map_or(0, |keys| keys.len());
                if lacking.is_empty() && known == self.keys + 2 {
                    break;
                }
                thread::sleep(POLL_INTERVAL);
            }
            assert!(lacking.is_empty(), "{i} differs in keys {lacking:?}");
            for n in 0..self.keys {
                let expected = if self.revoked.contains(&n) { 401 } else { 200 };
                assert_eq!(
                    self.cluster.status_of_key(i, &key_text(n)),
                    expected,
                    "{i}, key {n}: {}",
                    self.cluster.logged(i)
                );
            }
        }
    }

    /// Stops an instance and starts it with another binary, with revocations before,
    /// meanwhile and after.
    fn replace(&mut self, i: usize, binary: &Path) {
        let others = [(i + 1) % 3, (i + 2) % 3];
        self.revoke_one(i);
        self.cluster.terminate(i);
        assert_eq!(self.cluster.wait_for_exit(i), Some(0));
        self.revoke_one(others[0]);
        self.cluster.set_build(i, binary);
        self.cluster.spawn(i);
        self.cluster.wait_until_ready(i);
        self.revoke_one(i);
        self.revoke_one(others[1]);
        self.check();
    }

    /// Kills the leader, so that another instance leads, and starts it again.
    fn change_leader(&mut self) {
        let leader = self.cluster.leader();
        self.cluster.kill(leader);
        self.revoke_one((leader + 1) % 3);
        self.cluster.spawn(leader);
        self.cluster.wait_until_ready(leader);
        self.check();
    }

    /// Kills all instances and starts them on their data.
    fn restart_all(&mut self) {
        (0..3).for_each(|i| self.cluster.kill(i));
        (0..3).for_each(|i| self.cluster.spawn(i));
        (0..3).for_each(|i| self.cluster.wait_until_ready(i));
        self.check();
    }
}

fn order(site: &Site, leader_first: bool) -> [usize; 3] {
    let leader = site.cluster.leader();
    let others = [(leader + 1) % 3, (leader + 2) % 3];
    match leader_first {
        true => [leader, others[0], others[1]],
        false => [others[0], others[1], leader],
    }
}

fn upgrade(site: &mut Site, leader_first: bool, binary: &Path) {
    for i in order(site, leader_first) {
        site.replace(i, binary);
        site.change_leader();
    }
    site.restart_all();
}

/// Guards against acknowledged changes that are lost or undone while builds differ, or
/// after the leader has changed.
#[test]
#[ignore = "needs the binary of an earlier build"]
fn instances_are_replaced_leader_first() {
    let backend = Backend::start(Duration::ZERO);
    let mut site = Site::start(&backend, &earlier());
    upgrade(&mut site, true, &current());
}

/// The same for the other order.
#[test]
#[ignore = "needs the binary of an earlier build"]
fn instances_are_replaced_leader_last() {
    let backend = Backend::start(Duration::ZERO);
    let mut site = Site::start(&backend, &earlier());
    upgrade(&mut site, false, &current());
}

fn contents(directory: &Path) -> BTreeMap<PathBuf, Vec<u8>> {
    let files = fs::read_dir(directory)
        .unwrap()
        .map(|file| file.unwrap().path());
    files
        .map(|path| (path.clone(), fs::read(path).unwrap()))
        .collect()
}

/// Guards against an earlier build that reads the log of a later one as other changes:
/// either it opens the log with nothing lost, or it refuses to before it writes.
#[test]
#[ignore = "needs the binary of an earlier build"]
fn going_back_is_possible_or_refused() {
    let backend = Backend::start(Duration::ZERO);
    let mut site = Site::start(&backend, &earlier());
    for i in 0..3 {
        site.replace(i, &current());
    }
    site.revoke_one(0);
    site.check();
    site.cluster.terminate(0);
    assert_eq!(site.cluster.wait_for_exit(0), Some(0));
    let data = site.cluster.data(0);
    let before = contents(&data);
    if is_sealed(&data) {
        let settings = site.cluster.dir.path().join("i0.json");
        let output = run_build(&earlier(), &["--config", settings.to_str().unwrap()]);
        assert!(!output.status.success(), "{output:?}");
        assert_eq!(contents(&data), before);
        return;
    }
    site.cluster.set_build(0, &earlier());
    site.cluster.spawn(0);
    site.cluster.wait_until_ready(0);
    site.check();
    for i in [1, 2] {
        site.replace(i, &earlier());
        site.change_leader();
    }
    site.restart_all();
}

fn is_sealed(data: &Path) -> bool {
    const FRAME_HEADER_BYTES: usize = 12;
    fs::read(data.join("identity")).unwrap()[FRAME_HEADER_BYTES] == 255
}

/// Guards against keyed requests that are refused while instances are replaced one at a
/// time.
#[test]
#[ignore = "needs the binary of an earlier build"]
fn callers_are_served_while_instances_are_replaced() {
    let backend = Backend::start(Duration::ZERO);
    let mut site = Site::start(&backend, &earlier());
    for i in 0..3 {
        let others = [(i + 1) % 3, (i + 2) % 3];
        let is_over = AtomicBool::new(false);
        let Site { cluster, .. } = &mut site;
        cluster.terminate(i);
        assert_eq!(cluster.wait_for_exit(i), Some(0));
        cluster.set_build(i, &current());
        cluster.spawn(i);
        let served = thread::scope(|scope| {
            let running = &*cluster;
            let callers = scope.spawn(|| {
                let mut served = 0;
                while !is_over.load(Ordering::SeqCst) {
                    for other in others {
                        let status = running.status(other);
                        assert_eq!(status, 200, "{}", running.logged(other));
                        served += 1;
                    }
                    thread::sleep(POLL_INTERVAL);
                }
                served
            });
            while running.status(i) != 200 {
                thread::sleep(POLL_INTERVAL);
            }
            thread::sleep(Duration::from_secs(2));
            is_over.store(true, Ordering::SeqCst);
            callers.join().unwrap()
        });
        assert!(served > 50, "{served} requests");
    }
}
