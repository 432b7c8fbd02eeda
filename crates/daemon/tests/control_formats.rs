//! Data folders that earlier builds wrote, in `formats/BUILD`: `log` without and
//! `snapshot` with a snapshot, and the document that the build itself listed for each.
//! 0ef57c59 writes format 1, f133e7a5 format 2.

mod control_kit;

use std::fs;
use std::path::{Path, PathBuf};
use std::time::Duration;

use control_kit::{change, put_key, put_workspace, running_clock, secret, until, within, Cluster};
use pomelovale_coordination::log::Storage;
use pomelovale_protocol::format::{Format, MARK};
use pomelovale_state::command::{Applied, Command};
use pomelovale_state::Name;
use pomelovaled::control::config::{ControlConfig, ControlLimits};
use pomelovaled::control::{Control, ControlServer};
use serde_json::{json, Value};
use tempfile::TempDir;

/// Length and checksums before the content of a file.
const FRAME_HEADER_BYTES: usize = 12;

fn fixture(build: &str) -> PathBuf {
    let tests = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests");
    tests.join("formats").join(build)
}

fn copy(build: &str, folder: &str) -> TempDir {
    let directory = TempDir::new().unwrap();
    for file in fs::read_dir(fixture(build).join(folder)).unwrap() {
        let file = file.unwrap();
        fs::copy(file.path(), directory.path().join(file.file_name())).unwrap();
    }
    directory
}

/// What the build that wrote a folder listed, with the fields added since.
fn listing(build: &str, folder: &str) -> Value {
    let path = fixture(build).join(folder).with_extension("json");
    let text = fs::read_to_string(path).unwrap();
    let mut listing: Value = serde_json::from_str(&text).unwrap();
    let fields = listing.as_object_mut().unwrap();
    fields
        .entry("limits")
        .or_insert(Value::Object(Default::default()));
    listing
}

fn config(directory: &Path, snapshot_entries: u64) -> ControlConfig {
    ControlConfig {
        name: Name::from("c1"),
        directory: directory.to_path_buf(),
        listen: "127.0.0.1:0".parse().unwrap(),
        peers: Vec::new(),
        joining: Default::default(),
        secret: secret(),
        initial: Vec::new(),
        timings: Default::default(),
        limits: ControlLimits {
            snapshot_entries,
            ..Default::default()
        },
        unnamed: Default::default(),
    }
}

async fn start(directory: &Path, snapshot_entries: u64) -> ControlServer {
    start_with(config(directory, snapshot_entries)).await
}

async fn start_with(config: ControlConfig) -> ControlServer {
    let server = Control::start(config, running_clock()).await.unwrap();
    until("the instance leads and has applied its log", || {
        let status = server.status();
        status.role == "leader" && status.applied == status.last && status.age_ms < 1_000
    })
    .await;
    server
}

fn listed(server: &ControlServer) -> Value {
    serde_json::to_value(&*server.view().document()).unwrap()
}

async fn propose(server: &ControlServer, request: &str, command: Command) -> Applied {
    let answer = server.handle().propose(change(request, command)).await;
    answer.unwrap()
}

macro_rules! earlier_data {
    ($($name:ident: $build:literal, $folder:literal, sealed: $sealed:literal;)*) => {$(
        /// Guards against accepted changes of an earlier build, such as a revocation,
        /// that are skipped or read as another change, and against a state that
        /// differs after a restart or from a snapshot. Guards also against a log of
        /// format 1 that builds of that format open once it holds another one, and
        /// against one of format 2 that earlier builds can't open any more.
        #[tokio::test(flavor = "multi_thread", worker_threads = 2)]
        async fn $name() {
            let directory = copy($build, $folder);
            let identity = || fs::read(directory.path().join("identity")).unwrap();
            let unsealed = identity();
            let server = start(directory.path(), 4_096).await;
            assert_eq!(listed(&server), listing($build, $folder));
            for (key, revoked) in [("k1", true), ("k2", true), ("k3", true)] {
                assert_eq!(server.view().document().keys[key].revoked, revoked, "{key}");
            }
            // The results of its changes are kept, too.
            let resent = propose(&server, "r3", put_workspace("w", 10)).await;
            assert_eq!(resent, Applied::Accepted { version: 4, item: 1 });
            propose(&server, "new-1", put_key("k4", "w")).await;
            propose(&server, "new-2", Command::RevokeKey(Name::from("k4"))).await;
            let expected = listed(&server);
            server.kill().await;
            // Builds of the first format decode the content as an integer, and refuse it.
            assert_eq!(identity() != unsealed, $sealed);
            assert_eq!(identity()[FRAME_HEADER_BYTES] == MARK, $sealed);
            let server = start(directory.path(), 1).await;
            assert_eq!(listed(&server), expected);
            // A change that is applied while a snapshot is encoded is not in it, and the
            // next snapshot needs another change.
            let has_snapshot = || {
                let snapshot = fs::read(directory.path().join("snapshot")).unwrap_or_default();
                snapshot.windows(5).any(|bytes| bytes == b"new-3")
            };
            let mut n = 3;
            while !has_snapshot() {
                propose(&server, &format!("new-{n}"), put_workspace("w", n)).await;
                tokio::time::sleep(Duration::from_millis(10)).await;
                n += 1;
                assert!(n < 1_000, "no snapshot is written");
            }
            let expected = listed(&server);
            server.kill().await;
            let server = start(directory.path(), 4_096).await;
            assert_eq!(listed(&server), expected);
            within("the end of the instance", server.kill()).await;
        }
    )*};
}

earlier_data! {
    log_of_format_1: "0ef57c59", "log", sealed: true;
    snapshot_of_format_1: "0ef57c59", "snapshot", sealed: true;
    log_of_format_2: "f133e7a5", "log", sealed: false;
    snapshot_of_format_2: "f133e7a5", "snapshot", sealed: false;
}

/// Guards against a log of format 1 whose changes so far have the same bytes in both
/// formats: builds of format 1 would open it after it has others.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn log_of_a_site_with_peers_of_format_1_is_sealed() {
    let directory = TempDir::new().unwrap();
    let identity = || fs::read(directory.path().join("identity")).unwrap();
    let config = config(directory.path(), 4_096);
    let unnamed = config.unnamed.clone();
    let server = start_with(config).await;
    propose(&server, "new-1", put_workspace("w", 10)).await;
    propose(&server, "new-2", put_key("k1", "w")).await;
    unnamed.set(Format::First);
    assert_ne!(identity()[FRAME_HEADER_BYTES], MARK);
    propose(&server, "new-3", Command::RevokeKey(Name::from("k1"))).await;
    within("the end of the instance", server.kill()).await;
    assert_eq!(identity()[FRAME_HEADER_BYTES], MARK);
}

fn is_sealed(cluster: &Cluster, i: usize) -> bool {
    let identity = fs::read(cluster.config(i).directory.join("identity"));
    identity.unwrap()[FRAME_HEADER_BYTES] == MARK
}

async fn until_caught_up(cluster: &Cluster, i: usize) {
    let leader = cluster.leader().await;
    let goal = cluster.server(leader).status().commit;
    until("the instance has caught up", || {
        let status = cluster.server(i).status();
        status.applied >= goal
            && status
                .voters
                .iter()
                .any(|id| Some(id) == status.id.as_ref())
    })
    .await;
}

/// Guards against a directory that builds of format 1 open, and lead without its content,
/// since its instance joined after the others were sealed.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn new_disk_of_a_sealed_log_is_sealed() {
    let mut cluster = Cluster::start(3).await;
    cluster.propose(0, change("r1", put_key("k1", "w"))).await;
    for i in 0..3 {
        cluster.kill(i).await;
    }
    for i in 0..3 {
        let opened = Storage::open(cluster.config(i).directory);
        opened.unwrap().0.seal(Format::LATEST).unwrap();
    }
    for i in 0..3 {
        cluster.restart(i).await;
    }
    let new = cluster.follower().await;
    cluster.kill(new).await;
    cluster.wipe(new);
    cluster.restart(new).await;
    until_caught_up(&cluster, new).await;
    within("the end of the instance", cluster.kill(new)).await;
    assert!(is_sealed(&cluster, new));
}

/// Guards against members that builds of format 1 can still open because only the leader
/// has met such builds.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn all_members_are_sealed_with_their_leader() {
    let mut cluster = Cluster::start(3).await;
    let leader = cluster.leader().await;
    cluster
        .propose(leader, change("w", put_workspace("w", 10)))
        .await;
    // Revocations have the earlier format until the leader knows that of all members.
    let leader = within("a sealed leader", async {
        for n in 0.. {
            let leader = cluster.leader().await;
            cluster.unnamed[leader].set(Format::First);
            let key = format!("k{n}");
            cluster
                .propose(leader, change(&format!("put-{n}"), put_key(&key, "w")))
                .await;
            let revoke = Command::RevokeKey(Name::from(key));
            cluster
                .propose(leader, change(&format!("revoke-{n}"), revoke))
                .await;
            if is_sealed(&cluster, leader) {
                return leader;
            }
        }
        unreachable!("the loop has no end")
    })
    .await;
    let version = cluster.server(leader).status().version;
    until("all instances have the revocation and are sealed", || {
        let has_all = |i| cluster.server(i).status().version >= version;
        (0..3).all(|i| has_all(i) && is_sealed(&cluster, i))
    })
    .await;
    cluster
        .propose(leader, change("r9", put_key("k2", "w")))
        .await;
    for i in 0..3 {
        cluster.kill(i).await;
    }
}

/// Guards against a fixture that lacks the changes whose bytes differ between formats.
#[test]
fn earlier_data_holds_what_differs_between_formats() {
    for folder in ["log", "snapshot"] {
        assert_eq!(listing("0ef57c59", folder)["limits"], json!({}));
        let limits = json!({"north-1": 2_500, "south-1": 4_000});
        assert_eq!(listing("f133e7a5", folder)["limits"], limits);
        for build in ["0ef57c59", "f133e7a5"] {
            assert_eq!(
                listing(build, folder)["moves"]["m1"]["reason"],
                "maintenance"
            );
            assert_eq!(listing(build, folder)["keys"]["k2"]["revoked"], true);
        }
    }
}
