//! The control role: runs one replica of the log and serves its state.

pub mod config;

pub(crate) mod calls;
mod core;
mod dial;
mod disk;
mod feed;
mod leader;
mod quota;
mod serve;

use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use pomelovale_coordination::control::ControlHandle;
use pomelovale_coordination::log::{
    DirectoryLock, LogConfig, Membership, Replica, Role as LogRole, Storage,
};
use pomelovale_coordination::view::View;
use pomelovale_protocol::auth::Role;
use pomelovale_protocol::log::ReplicaId;
use pomelovale_protocol::messages::ClusterStatus;
use pomelovale_state::{Clock, Name};
use pomelovale_transport::peer_client::{PeerAddress, PeerClient};
use pomelovale_transport::peer_link::{PeerConfig, PeerCounters};
use pomelovale_transport::peer_server::PeerServer;
use serde::Serialize;
use tokio::task::JoinHandle;
use tokio::time::timeout;

use crate::error_report::describe;

use self::config::{ControlConfig, Joining};
use self::core::{Core, Inputs, Order, Outputs, Saved};
use self::dial::Dialer;
use self::disk::Disk;

/// Calls that may wait for the loop.
const CALL_QUEUE: usize = 65_536;
/// Messages of peers that may wait for the loop; a full queue stops reading.
const EVENT_QUEUE: usize = 4_096;
/// Longest time that a leader is given to hand over when it stops.
const HAND_OVER: Duration = Duration::from_millis(1_500);

/// Why a control instance can't start.
#[derive(Debug)]
pub enum ControlError {
    /// The address can't be bound.
    Listen(std::io::Error),
    /// The data directory is unusable or corrupt.
    Storage(String),
}

impl fmt::Display for ControlError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ControlError::Listen(e) => write!(f, "can't listen for peers: {e}"),
            ControlError::Storage(text) => write!(f, "can't use the data directory: {text}"),
        }
    }
}

impl std::error::Error for ControlError {}

/// State of a control instance.
#[derive(Clone, Debug, Default, Serialize)]
pub struct ControlStatus {
    /// `leader`, `follower`, `candidate` or `pre-candidate`.
    pub role: &'static str,
    /// Latest epoch.
    pub epoch: u64,
    /// Name of the leader, if known.
    pub leader: Option<Name>,
    /// Last committed index.
    pub commit: u64,
    /// Last index in the log.
    pub last: u64,
    /// Last applied index.
    pub applied: u64,
    /// Identity of this replica.
    pub id: Option<ReplicaId>,
    /// Replicas that vote.
    pub voters: Vec<ReplicaId>,
    /// Replicas that do not vote yet.
    pub learners: Vec<ReplicaId>,
    /// Version of the document.
    pub version: u64,
    /// Age of the proof of the document, in milliseconds.
    pub age_ms: u64,
}

fn role_name(role: LogRole) -> &'static str {
    match role {
        LogRole::Candidate => "candidate",
        LogRole::Follower => "follower",
        LogRole::Leader => "leader",
        LogRole::PreCandidate => "pre-candidate",
    }
}

/// Starts control instances.
pub struct Control;

/// A running control instance. Dropping it ends it without handing over.
pub struct ControlServer {
    address: SocketAddr,
    counters: Arc<PeerCounters>,
    handle: ControlHandle,
    orders: flume::Sender<Order>,
    outputs: Outputs,
    task: JoinHandle<()>,
    // Disconnected once the disk thread has ended.
    written: flume::Receiver<()>,
}

impl Control {
    /// Opens the data directory, listens for peers and takes part in the log.
    pub async fn start(config: ControlConfig, clock: Clock) -> Result<ControlServer, ControlError> {
        let lock = DirectoryLock::acquire(&config.directory)
            .map_err(|e| ControlError::Storage(describe(&e)))?;
        let opened = Storage::open(&config.directory);
        let (storage, restored) = opened.map_err(|e| ControlError::Storage(describe(&e)))?;
        Saved::decode(&restored.snapshot)
            .map_err(|_| ControlError::Storage("the snapshot can't be decoded".to_string()))?;
        let log = log_config(&config);
        let replica = Replica::new(log, restored, rand::random(), clock.now());
        let counters = Arc::new(PeerCounters::default());
        let peering = PeerConfig {
            name: config.name.clone(),
            role: Role::Control,
            secret: config.secret.clone(),
            timings: config.timings,
            delay_ms: config.limits.delay_ms,
            counters: counters.clone(),
        };
        let (events, received) = flume::bounded(EVENT_QUEUE);
        let server = PeerServer::start(peering.clone(), config.listen, events.clone());
        let server = server.await.map_err(ControlError::Listen)?;
        // One connection for each pair: the smaller name opens it.
        let larger = config.peers.iter().filter(|p| p.name > config.name);
        let client =
            |p: &PeerAddress| PeerClient::start(peering.clone(), p.clone(), events.clone());
        let clients: Vec<PeerClient> = match config.joining {
            Joining::ByAddress { .. } => Vec::new(),
            Joining::Fixed => larger.map(client).collect(),
        };
        let dialer = match config.joining {
            Joining::ByAddress { .. } => {
                Some(Dialer::new(peering, config.listen.port(), events.clone()))
            }
            Joining::Fixed => None,
        };
        let (handle, calls) = ControlHandle::new(CALL_QUEUE);
        let (orders, ordered) = flume::unbounded();
        let outputs = Outputs::default();
        let (disk, written) = Disk::start(storage, lock);
        let address = server.address();
        let core = Core::new(config, clock, replica, disk, dialer, outputs.clone());
        let inputs = Inputs {
            calls,
            events: received,
            orders: ordered,
        };
        let task = tokio::spawn(async move {
            core.run(inputs).await;
            drop((server, clients));
        });
        Ok(ControlServer {
            address,
            counters,
            handle,
            orders,
            outputs,
            task,
            written,
        })
    }
}

fn log_config(config: &ControlConfig) -> LogConfig {
    let mut names: Vec<Name> = config.peers.iter().map(|p| p.name.clone()).collect();
    let (founding, membership) = match config.joining {
        Joining::ByAddress { founding, voters } => (founding, Membership::Open { voters }),
        Joining::Fixed => {
            names.push(config.name.clone());
            (true, Membership::Fixed)
        }
    };
    names.sort();
    LogConfig {
        founding,
        membership,
        retain: config.limits.retain,
        ..LogConfig::new(config.name.clone(), names)
    }
}

impl ControlServer {
    /// The bound address for peers.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Counters of the peer connections.
    pub fn counters(&self) -> &Arc<PeerCounters> {
        &self.counters
    }

    /// Sends calls to the leader, through this instance.
    pub fn handle(&self) -> ControlHandle {
        self.handle.clone()
    }

    /// The document as this instance proves it.
    pub fn view(&self) -> Arc<View> {
        self.outputs.view.clone()
    }

    /// The routing table as its operator sent it; empty if there is none.
    pub fn routing_source(&self) -> Arc<str> {
        self.outputs.source.load().0.clone()
    }

    /// State of the log on this instance.
    pub fn status(&self) -> Arc<ControlStatus> {
        self.outputs.status.load_full()
    }

    /// What the leader knows of the whole site; empty if there is no leader.
    pub async fn fleet(&self) -> ClusterStatus {
        let (reply, rows) = flume::bounded(1);
        let _ = self.orders.send(Order::Fleet(reply));
        rows.recv_async().await.unwrap_or_default()
    }

    /// Whether the instance still runs; it ends when its disk fails.
    pub fn is_running(&self) -> bool {
        !self.task.is_finished()
    }

    /// Hands leadership over and ends.
    pub async fn stop(self) {
        let _ = self.orders.send(Order::Stop);
        let _ = timeout(HAND_OVER, self.ended()).await;
        self.kill().await;
    }

    async fn ended(&self) {
        let _ = self.written.recv_async().await;
    }

    /// Ends without handing over, and waits until no file is written to any
    /// more.
    pub async fn kill(self) {
        self.task.abort();
        self.ended().await;
    }
}

impl Drop for ControlServer {
    fn drop(&mut self) {
        self.task.abort();
    }
}
