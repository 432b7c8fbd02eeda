//! Interface of the replicated log.
//!
//! A [`Replica`] does no I/O. The process passes events to [`Replica::step`] and
//! performs the returned actions in order. It sends [`Event::Tick`] every
//! [`TICK_MS`]. At most one [`Action::Persist`] is outstanding; proposals that
//! arrive in the meantime share the next one. Storage should therefore run on a
//! thread of its own, so that proposals can arrive during a sync.

use pomelovale_protocol::log::{Entry, Epoch, LogIndex, LogMessage, Payload, ReplicaId, Snapshot};
use pomelovale_state::{ErrorKind, Millis, Name};

pub use crate::replica::Replica;
pub use crate::snapshot::{read_bytes as read_file, replace_bytes as replace_file};
pub use crate::storage::{DirectoryLock, Storage};

/// Longest time between two ticks, in milliseconds.
pub const TICK_MS: u64 = 20;

/// Time between two heartbeat rounds, in milliseconds.
pub const HEARTBEAT_MS: u64 = 100;

/// Shortest and longest election timeout, in milliseconds.
pub const ELECTION_MS: (u64, u64) = (600, 1_200);

/// Which replicas may become members.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Membership {
    /// The peers of the settings, and their replacements under the same names.
    Fixed,
    /// Any replica that announces itself. The number of voters is limited.
    Open {
        /// Largest number of voters.
        voters: usize,
    },
}

/// Settings of a replica.
#[derive(Clone, Debug)]
pub struct LogConfig {
    /// Largest payload of one `Append`, in bytes; a larger entry is sent alone.
    pub append_bytes: usize,
    /// Shortest and longest election timeout, in milliseconds.
    pub election_ms: (u64, u64),
    /// Largest payload of a proposal, in bytes.
    pub entry_bytes: usize,
    /// Whether this replica may bootstrap the log if its disk is empty: its disk is of
    /// the first start of the whole system. On any other, data may have been lost.
    pub founding: bool,
    /// Time between two heartbeat rounds, in milliseconds.
    pub heartbeat_ms: u64,
    /// Which replicas may become members.
    pub membership: Membership,
    /// Name of this instance.
    pub name: Name,
    /// Names of the control instances in the settings, this one included if it
    /// is one of them. All of them have to run at the first start.
    pub peers: Vec<Name>,
    /// Largest number of entries kept in memory although a snapshot covers
    /// them, for replicas that lag behind.
    pub retain: usize,
    /// Largest payload of the entries kept although a snapshot covers them, in
    /// bytes.
    pub retain_bytes: usize,
}

impl LogConfig {
    /// The default settings.
    pub fn new(name: Name, peers: Vec<Name>) -> LogConfig {
        LogConfig {
            append_bytes: 256 * 1024,
            election_ms: ELECTION_MS,
            entry_bytes: 512 * 1024,
            founding: true,
            heartbeat_ms: HEARTBEAT_MS,
            membership: Membership::Fixed,
            name,
            peers,
            retain: 2_000,
            retain_bytes: 8 * 1024 * 1024,
        }
    }
}

/// State read from storage when the process starts.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RestoredState {
    /// Entries after the snapshot.
    pub entries: Vec<Entry>,
    /// Latest epoch and the vote in it.
    pub hard_state: HardState,
    /// Incarnation of the data directory: a random number given on its creation.
    pub incarnation: u64,
    /// Latest snapshot; the default one if there is none.
    pub snapshot: Snapshot,
}

/// State that must survive a restart so that no epoch has two leaders.
#[derive(Clone, Debug, Default, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct HardState {
    /// Latest epoch seen.
    pub epoch: Epoch,
    /// The replica that this one voted for in `epoch`.
    pub vote: Option<ReplicaId>,
}

/// Data to write and sync, in the order hard state, snapshot, entries.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Persist {
    /// Entries to write. The first one replaces the stored entry at its index
    /// and all later ones.
    pub entries: Vec<Entry>,
    /// Epoch as of this write, for [`Event::Persisted`].
    pub epoch: Epoch,
    /// The epoch and vote, if changed.
    pub hard_state: Option<HardState>,
    /// A snapshot that replaces all entries up to its index. It replaces the
    /// later ones as well unless the stored entry at its index has its epoch.
    pub snapshot: Option<Snapshot>,
    /// Last index as of this write, for [`Event::Persisted`].
    pub last_index: LogIndex,
}

impl Persist {
    /// Returns the event that reports this write as synced.
    pub fn done(&self) -> Event {
        Event::Persisted {
            last_index: self.last_index,
            epoch: self.epoch,
        }
    }
}

/// A change of the members, one replica at a time.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum MemberChange {
    /// Adds a replica that counts towards no quorum. The incarnation
    /// [`ReplicaId::ANY`] selects the one that announced itself last. The
    /// learner is promoted without a request once it has caught up.
    AddLearner(ReplicaId),
    /// Promotes a learner that has caught up to voter.
    Promote(ReplicaId),
    /// Removes a voter or a learner.
    Remove(ReplicaId),
}

/// An input to a replica.
#[derive(Clone, Debug)]
pub enum Event {
    /// Changes the members; leader only.
    ChangeMembers {
        /// Identifies the request in the resulting action.
        token: u64,
        /// The change.
        change: MemberChange,
    },
    /// Replaces the entries up to `index` by a snapshot.
    Compact {
        /// Index of the last applied entry that the snapshot covers.
        index: LogIndex,
        /// State as of that entry.
        snapshot: Payload,
    },
    /// The outstanding [`Action::Persist`] is synced.
    Persisted {
        /// [`Persist::last_index`].
        last_index: LogIndex,
        /// [`Persist::epoch`].
        epoch: Epoch,
    },
    /// Proposes an entry; leader only.
    Propose {
        /// Identifies the proposal in the resulting action.
        token: u64,
        /// Content of the entry.
        payload: Payload,
    },
    /// A message arrived.
    Receive {
        /// The replica that sent it, with its true incarnation.
        from: ReplicaId,
        /// The message.
        message: LogMessage,
    },
    /// Transfers leadership before a planned stop, or steps down if no other
    /// replica takes over. Ignored unless this replica is the leader.
    Resign,
    /// Time passed.
    Tick,
}

/// An action that the process has to perform.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// A proposal is committed.
    Accepted {
        /// Token of the proposal.
        token: u64,
        /// Index of its entry.
        index: LogIndex,
    },
    /// Apply committed entries, in order, each exactly once.
    Apply(Vec<Entry>),
    /// Write and sync the data, then pass [`Persist::done`] to the replica.
    Persist(Persist),
    /// A proposal is not accepted. After `UnknownOutcome` it may still take
    /// effect; after any other kind it never does.
    Rejected {
        /// Token of the proposal.
        token: u64,
        /// Reason.
        kind: ErrorKind,
        /// The leader, if known.
        leader: Option<ReplicaId>,
    },
    /// Replace the applied state by a snapshot.
    Restore(Snapshot),
    /// Send a message; it may be lost.
    Send {
        /// The receiver. A message to [`ReplicaId::ANY`] goes to whichever
        /// incarnation runs under the name.
        to: ReplicaId,
        /// The message.
        message: LogMessage,
    },
}

/// Role of a replica.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Role {
    /// Asks for votes.
    Candidate,
    /// Follows a leader or waits for one.
    Follower,
    /// Is the leader of its epoch.
    Leader,
    /// Asks whether it could win an election.
    PreCandidate,
}

/// State of a replica.
#[derive(Clone, Debug)]
pub struct LogStatus {
    /// Last committed index.
    pub commit: LogIndex,
    /// Latest epoch.
    pub epoch: Epoch,
    /// Identity of this replica.
    pub id: ReplicaId,
    /// Last index in the log.
    pub last: LogIndex,
    /// The leader of the epoch, if known.
    pub leader: Option<ReplicaId>,
    /// Members that do not vote.
    pub learners: Vec<ReplicaId>,
    /// Time as of which the applied entries are known to include every accepted
    /// one.
    pub proven: Option<Millis>,
    /// Role of the replica.
    pub role: Role,
    /// Members that vote.
    pub voters: Vec<ReplicaId>,
}

impl LogStatus {
    /// Returns an upper bound on the staleness of the applied entries, in
    /// milliseconds: everything accepted longer ago is applied. `u64::MAX`
    /// before the first freshness proof.
    pub fn staleness_ms(&self, now: Millis) -> u64 {
        match self.proven {
            Some(at) => now.since(at),
            None => u64::MAX,
        }
    }
}
