//! Entries of the replicated log, and the messages between its replicas.

use std::collections::BTreeSet;
use std::fmt;
use std::sync::Arc;

use pomelovale_state::Name;
use serde::{Deserialize, Serialize};

/// Content of a proposal or of a snapshot; the log does not interpret it.
pub type Payload = Arc<[u8]>;

/// A replica: the name of its instance and the identity of its data directory.
///
/// The incarnation is chosen at random when a data directory is created, so that
/// a replica that lost its data is never taken for the one that voted and
/// acknowledged entries before.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct ReplicaId {
    /// Name of the instance.
    pub name: Name,
    /// Identity of the data directory; [`ReplicaId::ANY`] addresses whichever
    /// incarnation the instance runs.
    pub incarnation: u64,
}

impl ReplicaId {
    /// Incarnation in the address of a message to a replica whose incarnation is
    /// not known yet. No replica has this value.
    pub const ANY: u64 = 0;

    /// The address of whichever incarnation runs as instance `name`.
    pub fn any_incarnation(name: Name) -> ReplicaId {
        ReplicaId {
            name,
            incarnation: ReplicaId::ANY,
        }
    }
}

impl fmt::Display for ReplicaId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}#{:016x}", self.name, self.incarnation)
    }
}

/// A term of the consensus log; there is at most one leader per epoch.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
pub struct Epoch(pub u64);

impl Epoch {
    /// The following epoch.
    pub fn next(self) -> Epoch {
        Epoch(self.0 + 1)
    }
}

impl fmt::Display for Epoch {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "epoch {}", self.0)
    }
}

/// Index of an entry; the first entry has index 1, and 0 is the position before
/// it.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
pub struct LogIndex(pub u64);

impl LogIndex {
    /// The following index.
    pub fn next(self) -> LogIndex {
        LogIndex(self.0 + 1)
    }

    /// The preceding index, not before zero.
    pub fn previous(self) -> LogIndex {
        LogIndex(self.0.saturating_sub(1))
    }
}

impl fmt::Display for LogIndex {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "index {}", self.0)
    }
}

/// Epoch and index of an entry. Ordered by epoch first, so that the greater of
/// two last positions belongs to the more up-to-date log.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
pub struct Position {
    /// Epoch of the leader that created the entry.
    pub epoch: Epoch,
    /// Index of the entry.
    pub index: LogIndex,
}

/// The replicas that hold the log.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Members {
    /// Replicas that receive entries but do not count towards a quorum.
    pub learners: BTreeSet<ReplicaId>,
    /// Replicas that vote, and whose acknowledgements count towards a quorum.
    pub voters: BTreeSet<ReplicaId>,
}

/// What an entry carries.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum EntryData {
    /// A proposal.
    Change(Payload),
    /// No content; the first entry of every leader.
    Empty,
    /// The members from this entry on.
    Members(Members),
}

/// An entry of the log.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Entry {
    /// Its content.
    pub data: EntryData,
    /// Epoch of the leader that created it.
    pub epoch: Epoch,
    /// Its index in the log.
    pub index: LogIndex,
}

impl Entry {
    /// Epoch and index.
    pub fn position(&self) -> Position {
        Position {
            epoch: self.epoch,
            index: self.index,
        }
    }

    /// Bytes of its payload; entries without one count as zero.
    pub fn size(&self) -> usize {
        match &self.data {
            EntryData::Change(payload) => payload.len(),
            EntryData::Empty | EntryData::Members(_) => 0,
        }
    }
}

/// The state after all entries up to an index.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Snapshot {
    /// Epoch of the last entry it covers.
    pub epoch: Epoch,
    /// Index of the last entry it covers.
    pub index: LogIndex,
    /// Members as of that entry.
    pub members: Members,
    /// State as of that entry.
    pub payload: Payload,
}

impl Snapshot {
    /// Position of the last entry it covers.
    pub fn position(&self) -> Position {
        Position {
            epoch: self.epoch,
            index: self.index,
        }
    }
}

/// A message between two replicas.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum LogMessage {
    /// A replica that hears from no leader announces its incarnation.
    Announce {
        /// Whether the disk of the announcing replica holds neither an entry nor a
        /// vote.
        vacant: bool,
    },
    /// Entries from the leader; a heartbeat if there are none.
    Append {
        /// Upper bound of the age of the leader's freshness proof when it sent
        /// this message, in milliseconds.
        age_ms: Option<u64>,
        /// The leader's commit index.
        commit: LogIndex,
        /// Counter of the last reply that the leader received from this replica.
        /// It tells the replica which of its replies the leader had received,
        /// from which the replica derives its own freshness proof.
        echo: u64,
        /// Entries that follow `previous`.
        entries: Vec<Entry>,
        /// The leader's epoch.
        epoch: Epoch,
        /// Position before the first entry.
        previous: Position,
        /// Heartbeat round that this message belongs to.
        round: u64,
    },
    /// Answers `Append` and `Install`.
    AppendReply {
        /// Numbers the replies of one run of the sender's process.
        counter: u64,
        /// The sender's epoch.
        epoch: Epoch,
        /// Last index that is synced and equal to the leader's log.
        matched: LogIndex,
        /// Set if the position before the entries is unknown.
        refused: Option<Refused>,
        /// Round of the message that this answers.
        round: u64,
        /// Last index that is equal to the leader's log, synced or not.
        verified: LogIndex,
    },
    /// The leader transfers its leadership; the receiver starts an election at
    /// once.
    HandOver {
        /// The leader's epoch.
        epoch: Epoch,
    },
    /// A snapshot for a replica whose next entry is no longer in the leader's log.
    Install {
        /// The leader's epoch.
        epoch: Epoch,
        /// Heartbeat round that this message belongs to.
        round: u64,
        /// The snapshot.
        snapshot: Snapshot,
    },
    /// Asks whether `Vote` for this epoch would succeed; changes no state.
    PreVote {
        /// The epoch that the sender would campaign in.
        epoch: Epoch,
        /// Position of the sender's last entry.
        last: Position,
    },
    /// Answers `PreVote`.
    PreVoteReply {
        /// The requested epoch if granted, else the sender's epoch.
        epoch: Epoch,
        /// Whether a vote would be granted.
        granted: bool,
    },
    /// Asks for a vote.
    Vote {
        /// The epoch that the sender campaigns in.
        epoch: Epoch,
        /// Position of the sender's last entry.
        last: Position,
        /// Whether the leader itself asked for this election.
        transfer: bool,
    },
    /// Answers `Vote`.
    VoteReply {
        /// The sender's epoch.
        epoch: Epoch,
        /// Whether the vote is given.
        granted: bool,
    },
    /// A follower forwards the `Announce` of another replica to the leader.
    Relay {
        /// The replica that announced itself.
        id: ReplicaId,
    },
}

/// Where the log of a replica that refused entries diverges from the leader's.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Refused {
    /// Highest index at which the logs may still agree.
    pub hint: LogIndex,
    /// Index of the position that is unknown.
    pub previous: LogIndex,
}
