//! Log writes that are not yet synced to disk, and the messages that may be
//! sent only once they are.

use pomelovale_protocol::log::{Entry, Epoch, LogIndex, LogMessage, ReplicaId, Snapshot};

use crate::log::{HardState, Persist};

/// Collects writes into batches, of which at most one at a time is being synced.
///
/// Batches are numbered; the batch being collected is `synced + 1`, or
/// `synced + 2` while another one is being synced.
#[derive(Debug)]
pub(crate) struct Journal {
    /// Last index whose entry is synced and still in the log.
    durable: LogIndex,
    /// The batch being collected.
    pending: Option<Persist>,
    /// Last index that the batch being synced makes durable; lowered when later
    /// writes replace its entries. `None` if no batch is being synced.
    in_flight: Option<LogIndex>,
    /// Messages and the batch that each waits for.
    held: Vec<(u64, ReplicaId, LogMessage)>,
    /// Number of the last synced batch.
    synced: u64,
    /// Batch that holds the latest epoch and vote.
    vote_batch: u64,
}

impl Journal {
    /// A journal whose storage holds everything up to `durable`.
    pub(crate) fn new(durable: LogIndex) -> Journal {
        Journal {
            durable,
            pending: None,
            in_flight: None,
            held: Vec::new(),
            synced: 0,
            vote_batch: 0,
        }
    }

    /// Last index that is synced.
    pub(crate) fn durable(&self) -> LogIndex {
        self.durable
    }

    /// Whether the latest epoch and vote are synced.
    pub(crate) fn vote_synced(&self) -> bool {
        self.vote_batch <= self.synced
    }

    /// Adds the epoch and vote.
    pub(crate) fn write_hard(&mut self, hard_state: HardState) {
        self.vote_batch = self.open_batch();
        self.pending_mut().hard_state = Some(hard_state);
    }

    /// Adds an entry; it replaces those from its index on.
    pub(crate) fn write_entry(&mut self, entry: Entry) {
        let kept = entry.index.previous();
        self.durable = self.durable.min(kept);
        self.in_flight = self.in_flight.map(|upto| upto.min(kept));
        let entries = &mut self.pending_mut().entries;
        while entries.last().is_some_and(|last| last.index > kept) {
            entries.pop();
        }
        entries.push(entry);
    }

    /// Adds a snapshot of this replica's own applied state. Entries that it covers need
    /// not be written; while a disk doesn't accept writes, they would fill the memory.
    pub(crate) fn write_compaction(&mut self, snapshot: Snapshot) {
        let pending = self.pending_mut();
        pending.entries.retain(|e| e.index > snapshot.index);
        pending.snapshot = Some(snapshot);
    }

    /// Adds a snapshot from the leader, which replaces all entries.
    pub(crate) fn write_install(&mut self, snapshot: Snapshot) {
        self.durable = LogIndex(0);
        self.in_flight = self.in_flight.map(|_| LogIndex(0));
        let pending = self.pending_mut();
        pending.entries.clear();
        pending.snapshot = Some(snapshot);
    }

    /// Holds a message until the latest epoch and vote are synced. Returns it if
    /// they are already, so that the caller sends it at once.
    pub(crate) fn hold(&mut self, to: ReplicaId, message: LogMessage) -> Option<LogMessage> {
        if self.vote_synced() {
            return Some(message);
        }
        self.held.push((self.vote_batch, to, message));
        None
    }

    /// The next batch, unless one is being synced.
    pub(crate) fn take(&mut self, epoch: Epoch, upto: LogIndex) -> Option<Persist> {
        if self.in_flight.is_some() {
            return None;
        }
        let mut batch = self.pending.take()?;
        batch.epoch = epoch;
        batch.last_index = upto;
        self.in_flight = Some(upto);
        Some(batch)
    }

    /// Records that the batch in flight is synced; returns the messages
    /// that waited for it.
    pub(crate) fn synced(&mut self) -> Vec<(ReplicaId, LogMessage)> {
        let Some(upto) = self.in_flight.take() else {
            return Vec::new();
        };
        self.synced += 1;
        self.durable = self.durable.max(upto);
        let synced = self.synced;
        let (ready, held) = std::mem::take(&mut self.held)
            .into_iter()
            .partition(|(batch, ..)| *batch <= synced);
        self.held = held;
        ready
            .into_iter()
            .map(|(_, to, message)| (to, message))
            .collect()
    }

    fn open_batch(&self) -> u64 {
        self.synced + 1 + u64::from(self.in_flight.is_some())
    }

    fn pending_mut(&mut self) -> &mut Persist {
        self.pending.get_or_insert_with(Persist::default)
    }
}
