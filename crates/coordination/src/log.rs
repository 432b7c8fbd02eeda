//! The replicated log: its interface to the process around it.
//!
//! The core does no input or output. The process feeds events to
//! [`Replica::step`] and carries out the actions in order. It calls
//! [`Event::Tick`] every [`TICK_MS`]. At most one [`Action::Persist`] is
//! outstanding; proposals that arrive meanwhile share the next one, so the
//! storage belongs on its own thread.

use pomelovale_protocol::log::{Entry, Epoch, LogIndex, LogMessage, Payload, ReplicaId, Snapshot};
use pomelovale_state::{ErrorKind, Millis, Name};

pub use crate::replica::Replica;
pub use crate::storage::{DirectoryLock, Storage};

/// Longest time between two ticks, in milliseconds.
pub const TICK_MS: u64 = 20;

/// Time between two heartbeat rounds, in milliseconds.
pub const HEARTBEAT_MS: u64 = 100;

/// Shortest and longest election timeout, in milliseconds.
pub const ELECTION_MS: (u64, u64) = (600, 1_200);

/// Who may become a member.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Membership {
    /// The peers of the settings, and replacements under their names.
    Fixed,
    /// Any replica that announces itself, up to a number of voters.
    Open {
        /// Most replicas that vote.
        voters: usize,
    },
}

/// Settings of a replica.
#[derive(Clone, Debug)]
pub struct LogConfig {
    /// Most payload bytes in one `Append`; a larger single entry is sent alone.
    pub append_bytes: usize,
    /// Shortest and longest election timeout, in milliseconds.
    pub election_ms: (u64, u64),
    /// Largest payload of a proposal, in bytes.
    pub entry_bytes: usize,
    /// Whether this is the first start of the whole system. Otherwise an empty
    /// disk is a lost one, and the replica never takes part in a founding.
    pub founding: bool,
    /// Time between two heartbeat rounds, in milliseconds.
    pub heartbeat_ms: u64,
    /// Who may become a member.
    pub membership: Membership,
    /// Name of this instance.
    pub name: Name,
    /// Names of the control instances in the settings, this one included if it
    /// is one of them. The first start needs all of them.
    pub peers: Vec<Name>,
    /// Most entries kept in memory behind a snapshot, for replicas that lag.
    pub retain: usize,
    /// Most payload bytes of the entries kept behind a snapshot.
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

/// What storage holds when the process starts.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Restored {
    /// Entries after the snapshot.
    pub entries: Vec<Entry>,
    /// Latest epoch and the vote in it.
    pub hard_state: HardState,
    /// Identity of the data directory.
    pub incarnation: u64,
    /// Latest snapshot; the default one if there is none.
    pub snapshot: Snapshot,
}

/// State that must survive a restart so that no epoch has two leaders.
#[derive(Clone, Debug, Default, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct HardState {
    /// Latest epoch seen.
    pub epoch: Epoch,
    /// The replica that has this one's vote in `epoch`.
    pub vote: Option<ReplicaId>,
}

/// What to write and sync; the parts are written in the order vote, snapshot,
/// entries.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Persist {
    /// Entries to write; the first replaces the stored one of its index and
    /// all after it.
    pub entries: Vec<Entry>,
    /// Epoch as of this write, for [`Event::Persisted`].
    pub epoch: Epoch,
    /// The epoch and vote, if changed.
    pub hard_state: Option<HardState>,
    /// A snapshot that replaces all entries up to its index, and those after
    /// it too unless the stored entry at its index has its epoch.
    pub snapshot: Option<Snapshot>,
    /// Last index as of this write, for [`Event::Persisted`].
    pub last_index: LogIndex,
}

impl Persist {
    /// The event that reports this write as synced.
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
    /// Adds a replica that counts towards no quorum. With the incarnation
    /// [`ReplicaId::ANY`], the one that announced itself last is meant. It
    /// becomes a voter by itself once it has caught up.
    AddLearner(ReplicaId),
    /// Makes a learner that has caught up a voter.
    Promote(ReplicaId),
    /// Removes a voter or a learner.
    Remove(ReplicaId),
}

/// What happens to a replica.
#[derive(Clone, Debug)]
pub enum Event {
    /// Changes the members; leader only.
    ChangeMembers {
        /// Identifies the answer.
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
        /// Identifies the answer.
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
    /// Hands leadership over before a planned stop, or steps down if nobody
    /// takes over; ignored by others than the leader.
    Resign,
    /// Time passed.
    Tick,
}

/// What the process has to do.
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
    /// Write and sync, then answer with [`Persist::done`].
    Persist(Persist),
    /// A proposal is not accepted. Its outcome is open after
    /// `UnknownOutcome`; after any other kind it never takes effect.
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

/// What a replica does at the moment.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Role {
    /// Asks for votes.
    Candidate,
    /// Follows a leader or waits for one.
    Follower,
    /// Leads its epoch.
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
    /// Moment as of which the applied entries are proven complete.
    pub proven: Option<Millis>,
    /// What the replica does.
    pub role: Role,
    /// Members that vote.
    pub voters: Vec<ReplicaId>,
}

impl LogStatus {
    /// Upper bound of the age of the applied entries in milliseconds:
    /// everything accepted longer ago is applied. `u64::MAX` before the first
    /// proof.
    pub fn quorum_age(&self, now: Millis) -> u64 {
        match self.proven {
            Some(at) => now.since(at),
            None => u64::MAX,
        }
    }
}
