//! Control instances whose stored data, or what a leader sends them, is of a build
//! whose format they can't read.

mod control_kit;

use std::collections::BTreeMap;
use std::fs;
use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

use control_kit::{change, put_workspace, running_clock, secret, within};
use pomelovale_coordination::log::{HardState, Persist, RestoredState, Storage};
use pomelovale_protocol::auth::Role;
use pomelovale_protocol::frame::encode_body;
use pomelovale_protocol::log::{
    Entry, EntryData, Epoch, LogIndex, LogMessage, Payload, Position, ReplicaId, Snapshot,
};
use pomelovale_protocol::messages::{LogPacket, PeerMessage};
use pomelovale_state::{ErrorKind, Name};
use pomelovale_transport::peer_client::PeerAddress;
use pomelovale_transport::peer_link::{PeerConfig, PeerEvent, PeerLink, PeerTimings};
use pomelovale_transport::peer_server::PeerServer;
use pomelovaled::control::config::{ControlConfig, Joining};
use pomelovaled::control::{Control, ControlServer};
use tempfile::TempDir;

/// Starts with the mark of a later format: its number, and the build that wrote it.
const UNREADABLE: &[u8] = b"\xff\x09\x031.4\x01\x02";

fn readable(request: &str) -> Payload {
    Payload::from(encode_body(&change(request, put_workspace("w", 10))).unwrap())
}

fn entry(index: u64, payload: Payload) -> Entry {
    Entry {
        data: EntryData::Change(payload),
        epoch: Epoch(1),
        index: LogIndex(index),
    }
}

fn config(directory: &Path, peers: Vec<PeerAddress>) -> ControlConfig {
    ControlConfig {
        name: Name::from("c1"),
        directory: directory.to_path_buf(),
        listen: "127.0.0.1:0".parse().unwrap(),
        peers,
        joining: Joining::Fixed,
        secret: secret(),
        initial: Vec::new(),
        timings: PeerTimings::default(),
        limits: Default::default(),
        unnamed: Arc::default(),
    }
}

fn contents(directory: &Path) -> BTreeMap<String, Vec<u8>> {
    let files = fs::read_dir(directory).unwrap().map(|file| file.unwrap());
    let named = files.map(|file| {
        let bytes = fs::read(file.path()).unwrap();
        (file.file_name().into_string().unwrap(), bytes)
    });
    named.filter(|(name, _)| name != "lock").collect()
}

fn write(storage: &mut Storage, persist: &Persist) {
    storage.write(persist).unwrap();
    storage.sync().unwrap();
}

/// Writes a data directory that ends with an incomplete frame.
fn fill(directory: &Path, snapshot: Option<Snapshot>, entries: Vec<Entry>) {
    let (mut storage, _) = Storage::open(directory).unwrap();
    let hard_state = HardState {
        epoch: Epoch(1),
        vote: None,
    };
    let persist = Persist {
        hard_state: Some(hard_state),
        snapshot,
        entries,
        ..Persist::default()
    };
    write(&mut storage, &persist);
    drop(storage);
    let log = directory.join("log");
    let mut bytes = fs::read(&log).unwrap();
    bytes.extend([7, 0, 0]);
    fs::write(&log, bytes).unwrap();
}

macro_rules! refused_starts {
    ($($name:ident: $snapshot:expr, $entries:expr, $texts:expr;)*) => {$(
        /// Guards against an instance that starts on data that it can't read, skips
        /// it, and leads or answers without the changes in it; and against a start
        /// that changes such data.
        #[tokio::test]
        async fn $name() {
            let directory = TempDir::new().unwrap();
            fill(directory.path(), $snapshot, $entries);
            let before = contents(directory.path());
            let started = Control::start(config(directory.path(), Vec::new()), running_clock());
            let Err(error) = started.await else {
                panic!("the instance has started");
            };
            assert_eq!(error.kind(), ErrorKind::Corrupt);
            let text = error.to_string();
            for expected in $texts {
                assert!(text.contains(expected), "{expected:?} is not in {text:?}");
            }
            assert_eq!(contents(directory.path()), before);
        }
    )*};
}

fn unreadable_snapshot(index: u64, payload: &[u8]) -> Option<Snapshot> {
    Some(Snapshot {
        epoch: Epoch(1),
        index: LogIndex(index),
        payload: Payload::from(payload),
        ..Snapshot::default()
    })
}

refused_starts! {
    unreadable_change: None,
        vec![entry(1, readable("a")), entry(2, Payload::from(UNREADABLE)), entry(3, readable("b"))],
        ["log", "index 2", "format 9 of build \"1.4\""];
    unreadable_last_change: None, vec![entry(1, Payload::from(UNREADABLE))], ["log", "index 1"];
    unreadable_snapshot_state: unreadable_snapshot(4, UNREADABLE), vec![entry(5, readable("a"))],
        ["snapshot", "index 4", "format 9 of build \"1.4\""];
    empty_snapshot_state: unreadable_snapshot(4, &[]), Vec::new(), ["snapshot", "index 4"];
}

/// A peer that takes the place of the control instance `c2`, which leads.
struct FakeLeader {
    _server: PeerServer,
    events: flume::Receiver<PeerEvent>,
    address: PeerAddress,
}

impl FakeLeader {
    async fn start() -> FakeLeader {
        let name = Name::from("c2");
        let config = PeerConfig {
            name: name.clone(),
            role: Role::Control,
            secret: secret(),
            timings: PeerTimings::default(),
            delay_ms: 0,
            counters: Arc::default(),
            unnamed: Arc::default(),
        };
        let (sender, events) = flume::unbounded();
        let listen = "127.0.0.1:0".parse().unwrap();
        let server = PeerServer::start(config, listen, sender).await.unwrap();
        let address = server.address();
        FakeLeader {
            _server: server,
            events,
            address: PeerAddress { name, address },
        }
    }

    async fn opened(&self) -> PeerLink {
        loop {
            if let PeerEvent::Opened(link) = self.events.recv_async().await.unwrap() {
                return link;
            }
        }
    }

    fn send(&self, link: &PeerLink, message: LogMessage) {
        let from = ReplicaId {
            name: self.address.name.clone(),
            incarnation: 7,
        };
        link.send(PeerMessage::Log(LogPacket {
            from,
            to: ReplicaId::any_incarnation(Name::from("c1")),
            message,
        }));
    }

    /// Highest index that the follower has acknowledged up to now.
    fn acknowledged(&self) -> LogIndex {
        let matched = self.events.drain().filter_map(|event| match event {
            PeerEvent::Message(
                _,
                PeerMessage::Log(LogPacket {
                    message: LogMessage::AppendReply { matched, .. },
                    ..
                }),
            ) => Some(matched),
            _ => None,
        });
        matched.max().unwrap_or_default()
    }
}

fn append(previous: u64, entries: Vec<Entry>, commit: u64) -> LogMessage {
    LogMessage::Append {
        age_ms: None,
        commit: LogIndex(commit),
        echo: 0,
        entries,
        epoch: Epoch(1),
        previous: Position {
            epoch: Epoch(previous.min(1)),
            index: LogIndex(previous),
        },
        round: 1,
    }
}

fn restored(directory: &Path) -> RestoredState {
    Storage::open(directory).unwrap().1
}

async fn start_follower(directory: &Path, leader: &FakeLeader) -> ControlServer {
    let config = config(directory, vec![leader.address.clone()]);
    Control::start(config, running_clock()).await.unwrap()
}

macro_rules! refused_messages {
    ($($name:ident: $message:expr, $text:literal;)*) => {$(
        /// Guards against a follower that stores or acknowledges what it can't apply,
        /// and against one that goes on without it.
        #[tokio::test(flavor = "multi_thread", worker_threads = 2)]
        async fn $name() {
            let directory = TempDir::new().unwrap();
            let leader = FakeLeader::start().await;
            let server = start_follower(directory.path(), &leader).await;
            let link = within("a connection", leader.opened()).await;
            leader.send(&link, append(0, vec![entry(1, readable("a"))], 1));
            let mut acknowledged = LogIndex(0);
            control_kit::until("the first entry is acknowledged", || {
                acknowledged = acknowledged.max(leader.acknowledged());
                acknowledged == LogIndex(1) && server.view().document().version == 1
            })
            .await;
            leader.send(&link, $message);
            let fault = within("the end of the instance", server.failed()).await;
            assert_eq!(*fault.current_context(), ErrorKind::Corrupt);
            let text = format!("{fault:?}");
            assert!(text.contains($text) && text.contains("c2"), "{text}");
            control_kit::until("the instance has ended", || !server.is_running()).await;
            assert_eq!(server.view().document().version, 1);
            server.kill().await;
            tokio::time::sleep(Duration::from_millis(100)).await;
            assert!(leader.acknowledged() <= LogIndex(1));
            let restored = restored(directory.path());
            assert_eq!(restored.entries, vec![entry(1, readable("a"))]);
            assert_eq!(restored.snapshot, Snapshot::default());
        }
    )*};
}

refused_messages! {
    unreadable_change_of_a_leader:
        append(1, vec![entry(2, Payload::from(UNREADABLE)), entry(3, readable("b"))], 3),
        "index 2";
    unreadable_uncommitted_change_of_a_leader:
        append(1, vec![entry(2, readable("b")), entry(3, Payload::from(UNREADABLE))], 1),
        "index 3";
    unreadable_snapshot_of_a_leader: LogMessage::Install {
        epoch: Epoch(1),
        round: 2,
        snapshot: unreadable_snapshot(9, UNREADABLE).unwrap(),
    }, "index 9";
}

/// Guards against a former leader that stops instances with what they would refuse
/// anyway.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn unreadable_change_of_a_former_leader_is_refused() {
    let directory = TempDir::new().unwrap();
    let leader = FakeLeader::start().await;
    let server = start_follower(directory.path(), &leader).await;
    let link = within("a connection", leader.opened()).await;
    let LogMessage::Append { previous, .. } = append(0, Vec::new(), 0) else {
        unreachable!()
    };
    let of_epoch = |epoch: u64, entries| LogMessage::Append {
        age_ms: None,
        commit: LogIndex(0),
        echo: 0,
        entries,
        epoch: Epoch(epoch),
        previous,
        round: 1,
    };
    leader.send(&link, of_epoch(3, Vec::new()));
    control_kit::until("the follower knows epoch 3", || server.status().epoch == 3).await;
    let unreadable = entry(1, Payload::from(UNREADABLE));
    leader.send(&link, of_epoch(1, vec![unreadable]));
    let mut entry = entry(1, readable("a"));
    entry.epoch = Epoch(3);
    leader.send(&link, of_epoch(3, vec![entry]));
    control_kit::until("the follower has the entry of epoch 3", || {
        server.status().last == 1
    })
    .await;
    assert!(server.is_running());
}
