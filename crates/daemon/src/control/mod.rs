//! The control role: runs one replica of the log, applies its changes and serves
//! the resulting document.

pub mod config;

pub(crate) mod calls;
mod dial;
mod event_loop;
mod feed;
mod formats;
mod founding;
mod leader;
mod log_writer;
mod loop_stats;
mod quota;
mod region_planner;
mod serve;
mod snapshots;
mod stored;

use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use error_stack::Report;
use pomelovale_coordination::control::ControlHandle;
use pomelovale_coordination::log::{
    DirectoryLock, LogConfig, Membership, Replica, Role as LogRole, Storage,
};
use pomelovale_coordination::view::View;
use pomelovale_protocol::auth::Role;
use pomelovale_protocol::log::ReplicaId;
use pomelovale_protocol::messages::ClusterStatus;
use pomelovale_state::command::{Applied, Change};
use pomelovale_state::{Clock, ErrorKind, Millis, Name};
use pomelovale_transport::peer_client::{PeerAddress, PeerClient};
use pomelovale_transport::peer_link::{PeerConfig, PeerCounters};
use pomelovale_transport::peer_server::PeerServer;
use serde::Serialize;
use tokio::task::JoinHandle;
use tokio::time::timeout;

use crate::error_report::describe;
use crate::stalls::Stalls;

use self::config::{ControlConfig, Joining};
use self::dial::Dialer;
use self::event_loop::{EventLoop, Inputs, LoopRequest, Outputs};
use self::formats::FormatState;
use self::log_writer::LogWriter;

/// Capacity of the queue of calls to the event loop.
const CALL_QUEUE: usize = 65_536;
/// Capacity of the queue of peer events; while it is full, no peer connection is
/// read.
const EVENT_QUEUE: usize = 4_096;
/// Longest time that a stopping leader waits for a hand-over to complete.
const HAND_OVER_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Reason why a control instance can't start.
#[derive(Debug)]
pub enum ControlError {
    /// The address for peers can't be bound.
    Listen(std::io::Error),
    /// The data directory is unusable or corrupt.
    Storage(Report<ErrorKind>),
}

impl ControlError {
    /// Kind of the error, which determines the exit code of the process.
    pub fn kind(&self) -> ErrorKind {
        match self {
            ControlError::Listen(_) => ErrorKind::BadSettings,
            ControlError::Storage(report) => *report.current_context(),
        }
    }
}

impl fmt::Display for ControlError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ControlError::Listen(e) => write!(f, "can't listen for peer connections: {e}"),
            ControlError::Storage(report) => {
                write!(f, "can't use the data directory: {}", describe(report))
            }
        }
    }
}

impl std::error::Error for ControlError {}

/// Why a control instance has stopped by itself.
#[derive(Clone, Debug)]
pub(crate) struct Fault {
    kind: ErrorKind,
    text: String,
}

impl Fault {
    /// Data that can't be read.
    fn corrupt(text: String) -> Fault {
        let kind = ErrorKind::Corrupt;
        Fault { kind, text }
    }

    fn of(report: &Report<ErrorKind>) -> Fault {
        Fault {
            kind: *report.current_context(),
            text: describe(report),
        }
    }
}

/// Status of a control instance, as reported to operators.
#[derive(Clone, Debug, Default, Serialize)]
pub struct ControlStatus {
    /// `leader`, `follower`, `candidate` or `pre-candidate`.
    pub role: &'static str,
    /// Latest epoch of the log that this replica knows.
    pub epoch: u64,
    /// Name of the leader, if known.
    pub leader: Option<Name>,
    /// Index of the last committed log entry.
    pub commit: u64,
    /// Index of the last log entry.
    pub last: u64,
    /// Index of the last applied log entry.
    pub applied: u64,
    /// Identity of this replica.
    pub id: Option<ReplicaId>,
    /// Replicas that vote.
    pub voters: Vec<ReplicaId>,
    /// Replicas that receive the log but don't vote yet.
    pub learners: Vec<ReplicaId>,
    /// Version of the document.
    pub version: u64,
    /// Time since the document was last proven current, in milliseconds.
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

/// A running control instance. Dropping it stops it without handing over
/// leadership.
pub struct ControlServer {
    address: SocketAddr,
    counters: Arc<PeerCounters>,
    handle: ControlHandle,
    requests: flume::Sender<LoopRequest>,
    outputs: Outputs,
    task: JoinHandle<()>,
    // Disconnected once the event loop has ended.
    end: flume::Receiver<()>,
    // Disconnected once the log writer's thread has ended.
    disk_closed: flume::Receiver<()>,
}

impl Control {
    /// Opens the data directory, listens for peers and joins the replication of
    /// the log.
    pub async fn start(config: ControlConfig, clock: Clock) -> Result<ControlServer, ControlError> {
        let directory = &config.directory;
        let lock = DirectoryLock::acquire(directory).map_err(ControlError::Storage)?;
        let founding = founding::is_founding(&config).map_err(ControlError::Storage)?;
        let mut stored_format = None;
        let opened = Storage::open_checked(directory, |restored| {
            stored_format = stored::check_restored(directory, restored)?;
            Ok(())
        });
        let (storage, restored) = opened.map_err(ControlError::Storage)?;
        let formats = FormatState::new(stored_format, storage.is_sealed(), &config.unnamed);
        let log = log_config(&config, founding);
        let replica = Replica::new(log, restored, rand::random(), clock.now());
        let counters = Arc::new(PeerCounters::default());
        let peering = PeerConfig {
            name: config.name.clone(),
            role: Role::Control,
            secret: config.secret.clone(),
            timings: config.timings,
            delay_ms: config.limits.delay_ms,
            counters: counters.clone(),
            unnamed: config.unnamed.clone(),
        };
        let (events, received) = flume::bounded(EVENT_QUEUE);
        let server = PeerServer::start(peering.clone(), config.listen, events.clone());
        let mut server = server.await.map_err(ControlError::Listen)?;
        // Each pair of instances has one connection, which the instance with the
        // smaller name opens.
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
        let (requests, requested) = flume::unbounded();
        let outputs = Outputs::new(clock.clone());
        let (log_writer, disk_closed) = LogWriter::start(storage, lock, outputs.fault.clone());
        let address = server.address();
        let event_loop = EventLoop::new(
            config,
            clock,
            replica,
            log_writer,
            formats,
            dialer,
            outputs.clone(),
        );
        let inputs = Inputs {
            calls,
            events: received,
            requests: requested,
        };
        let (ended, end) = flume::bounded(0);
        let task = tokio::spawn(async move {
            tokio::select! {
                () = event_loop.run(inputs) => {}
                () = server.ended() => log::error!("the listener for peers has ended"),
            }
            drop((server, clients, ended));
        });
        Ok(ControlServer {
            address,
            counters,
            handle,
            requests,
            outputs,
            task,
            end,
            disk_closed,
        })
    }
}

fn log_config(config: &ControlConfig, founding: bool) -> LogConfig {
    let mut names: Vec<Name> = config.peers.iter().map(|p| p.name.clone()).collect();
    let membership = match config.joining {
        Joining::ByAddress { voters, .. } => Membership::Open { voters },
        Joining::Fixed => {
            names.push(config.name.clone());
            Membership::Fixed
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
    /// The address that peers connect to.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Counters of the peer connections.
    pub fn counters(&self) -> &Arc<PeerCounters> {
        &self.counters
    }

    /// When this process has stood still.
    pub fn stalls(&self) -> &Stalls {
        &self.outputs.stalls
    }

    /// A handle whose calls this instance serves or forwards to the leader.
    pub fn handle(&self) -> ControlHandle {
        self.handle.clone()
    }

    /// The document and the time at which this instance last proved it current.
    pub fn view(&self) -> Arc<View> {
        self.outputs.view.clone()
    }

    /// Source text of the routing table as its operator sent it; empty if there
    /// is none.
    pub fn routing_source(&self) -> Arc<str> {
        self.outputs.source.load().0.clone()
    }

    /// Tells all instances of the deployment which servers leave, and that the list of servers
    /// was read from `read` on, if this was a complete read.
    pub fn announce_list(&self, read: Option<Millis>, leaving: Vec<Name>) {
        let _ = self.requests.send(LoopRequest::ListRead { read, leaving });
    }

    /// Proposes a change as the leader. The proposal ends if this instance doesn't lead any
    /// more, so that what rests on its state is not carried out by another leader.
    ///
    /// # Errors
    /// `NotLeader`, or those of [`ControlHandle::propose`].
    pub async fn propose_as_leader(&self, change: Change) -> Result<Applied, ErrorKind> {
        let (reply, answer) = flume::bounded(1);
        let _ = self.requests.send(LoopRequest::ProposeOwn(change, reply));
        let answer = answer.recv_async().await;
        answer.map_err(|_| ErrorKind::Unavailable)?
    }

    /// Status of the log on this instance.
    pub fn status(&self) -> Arc<ControlStatus> {
        self.outputs.status.load_full()
    }

    /// The leader's status of all instances and moves; empty if there is no
    /// leader.
    pub async fn cluster_status(&self) -> ClusterStatus {
        let (reply, rows) = flume::bounded(1);
        let _ = self.requests.send(LoopRequest::ClusterStatus(reply));
        rows.recv_async().await.unwrap_or_default()
    }

    /// Whether the instance still runs; see [`ControlServer::failed`].
    pub fn is_running(&self) -> bool {
        !self.task.is_finished()
    }

    /// Waits until the instance stops by itself, and returns the error: it can't write to
    /// its disk, can't read what it stores or what a leader sent, or a part of it has
    /// ended. It takes no part in the log any more, so the process has to end.
    pub async fn failed(&self) -> Report<ErrorKind> {
        let _ = self.end.recv_async().await;
        match self.outputs.fault.get() {
            Some(fault) => Report::new(fault.kind).attach(fault.text.clone()),
            None => Report::new(ErrorKind::Internal).attach("a part of the instance has ended"),
        }
    }

    /// Hands leadership over and stops.
    pub async fn stop(self) {
        let _ = self.requests.send(LoopRequest::Stop);
        let _ = timeout(HAND_OVER_TIMEOUT, self.ended()).await;
        self.kill().await;
    }

    async fn ended(&self) {
        let _ = self.disk_closed.recv_async().await;
    }

    /// Stops without handing over leadership, and waits until no more files
    /// are written.
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
