//! The in-memory part of the replicated log. Entries here are log entries; elsewhere
//! in the crate an entry is also an instance that serves callers.

use std::collections::VecDeque;

use pomelovale_protocol::log::{
    Entry, EntryData, Epoch, LogIndex, Members, Payload, Position, ReplicaId, Snapshot,
};

/// Log entries after a base position, the latest snapshot, and the member lists
/// since the base.
#[derive(Debug)]
pub(crate) struct MemoryLog {
    base: Position,
    member_lists: Vec<(LogIndex, Members)>,
    retained: VecDeque<Entry>,
    snapshot: Snapshot,
}

impl MemoryLog {
    /// Creates the in-memory log from what was read from storage.
    pub(crate) fn new(snapshot: Snapshot, entries: Vec<Entry>) -> MemoryLog {
        let mut log = MemoryLog {
            base: snapshot.position(),
            member_lists: vec![(snapshot.index, snapshot.members.clone())],
            retained: VecDeque::new(),
            snapshot,
        };
        entries.into_iter().for_each(|entry| log.push(entry));
        log
    }

    /// Position of the last entry.
    pub(crate) fn last(&self) -> Position {
        self.retained.back().map_or(self.base, Entry::position)
    }

    /// Position immediately before the first entry in memory.
    pub(crate) fn base(&self) -> Position {
        self.base
    }

    /// The latest snapshot.
    pub(crate) fn snapshot(&self) -> &Snapshot {
        &self.snapshot
    }

    /// Members according to the last entry.
    pub(crate) fn members(&self) -> &Members {
        &self.member_lists[self.member_lists.len() - 1].1
    }

    /// Index of the entry or snapshot that set the current members.
    pub(crate) fn config_index(&self) -> LogIndex {
        self.member_lists[self.member_lists.len() - 1].0
    }

    /// Whether `id` is a voter.
    pub(crate) fn is_voter(&self, id: &ReplicaId) -> bool {
        self.members().voters.contains(id)
    }

    /// Whether `id` is a voter or a learner.
    pub(crate) fn is_member(&self, id: &ReplicaId) -> bool {
        self.is_voter(id) || self.members().learners.contains(id)
    }

    /// Epoch of the entry at `index`, which may be the base; `None` if it is not in
    /// memory.
    pub(crate) fn epoch_at(&self, index: LogIndex) -> Option<Epoch> {
        if index == self.base.index {
            return Some(self.base.epoch);
        }
        self.get(index).map(|entry| entry.epoch)
    }

    fn get(&self, index: LogIndex) -> Option<&Entry> {
        let offset = index.0.checked_sub(self.base.index.0 + 1)?;
        self.retained.get(usize::try_from(offset).ok()?)
    }

    /// Entries from `from` on, limited to `bytes` of payload. Returns at least one
    /// entry if there is any.
    pub(crate) fn slice(&self, from: LogIndex, bytes: usize) -> Vec<Entry> {
        let mut size = 0;
        let mut taken = Vec::new();
        let mut index = from;
        while let Some(entry) = self.get(index) {
            size += entry.size();
            if !taken.is_empty() && size > bytes {
                break;
            }
            taken.push(entry.clone());
            index = index.next();
        }
        taken
    }

    /// Whether the entries after `after`, up to and including `upto`, have more than
    /// `bytes` of payload.
    pub(crate) fn exceeds(&self, after: LogIndex, upto: LogIndex, bytes: usize) -> bool {
        let mut size = 0;
        (after.0 + 1..=upto.0).any(|index| {
            size += self.get(LogIndex(index)).map_or(0, Entry::size);
            size > bytes
        })
    }

    /// Entries after `after`, up to and including `upto`.
    pub(crate) fn range(&self, after: LogIndex, upto: LogIndex) -> Vec<Entry> {
        (after.0 + 1..=upto.0)
            .filter_map(|index| self.get(LogIndex(index)).cloned())
            .collect()
    }

    /// Appends an entry, whose index must follow that of the last one.
    pub(crate) fn push(&mut self, entry: Entry) {
        debug_assert_eq!(entry.index, self.last().index.next());
        if let EntryData::Members(members) = &entry.data {
            self.member_lists.push((entry.index, members.clone()));
        }
        self.retained.push_back(entry);
    }

    /// Removes the entries from `from` on.
    pub(crate) fn truncate(&mut self, from: LogIndex) {
        let length = from.0.saturating_sub(self.base.index.0 + 1);
        self.retained.truncate(length as usize);
        self.member_lists.retain(|(index, _)| *index < from);
    }

    /// The highest index below `index` whose epoch differs from that at `index`,
    /// but not less than `floor`.
    pub(crate) fn before_epoch_of(&self, index: LogIndex, floor: LogIndex) -> LogIndex {
        let epoch = self.epoch_at(index);
        let mut hint = index.previous();
        while hint > floor && self.epoch_at(hint) == epoch {
            hint = hint.previous();
        }
        hint
    }

    /// Records a snapshot of the applied state at `index` and removes the entries
    /// before it, except for the last ones within the `retain` limits, which are
    /// a number of entries and of bytes. Returns `None` if the current snapshot is
    /// at `index` or later, or if the entry at `index` is not in memory.
    pub(crate) fn compact(
        &mut self,
        index: LogIndex,
        payload: Payload,
        retain: (usize, usize),
    ) -> Option<Snapshot> {
        if index <= self.snapshot.index {
            return None;
        }
        let epoch = self.epoch_at(index)?;
        let members = self.members_at(index);
        self.snapshot = Snapshot {
            epoch,
            index,
            members,
            payload,
        };
        let keep_after = self.retained_after(index, retain);
        while self.base.index < keep_after {
            self.base = self.retained.pop_front()?.position();
        }
        let floor = self.base.index;
        while self.member_lists.len() > 1 && self.member_lists[1].0 <= floor {
            self.member_lists.remove(0);
        }
        Some(self.snapshot.clone())
    }

    fn retained_after(&self, index: LogIndex, (count, bytes): (usize, usize)) -> LogIndex {
        let mut after = index;
        let mut size = 0;
        while let Some(entry) = self.get(after) {
            size += entry.size();
            if size > bytes || index.0 - after.0 >= count as u64 {
                break;
            }
            after = after.previous();
        }
        after
    }

    /// Replaces the whole log with a snapshot from the leader.
    pub(crate) fn install(&mut self, snapshot: Snapshot) {
        *self = MemoryLog::new(snapshot, Vec::new());
    }

    fn members_at(&self, index: LogIndex) -> Members {
        self.member_lists
            .iter()
            .rev()
            .find(|(at, _)| *at <= index)
            .map(|(_, members)| members.clone())
            .unwrap_or_default()
    }
}
