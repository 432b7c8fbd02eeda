//! Decides when a snapshot of the state is due.

/// Counts what was applied since the last snapshot.
#[derive(Debug)]
pub(super) struct SnapshotSchedule {
    max_entries: u64,
    max_bytes: usize,
    entries: u64,
    bytes: usize,
    // Size of the last snapshot.
    last_size: usize,
    encoding: bool,
}

impl SnapshotSchedule {
    /// Creates a schedule with bounds on the entries, and on their bytes, between two
    /// snapshots.
    pub(super) fn new(max_entries: u64, max_bytes: usize) -> SnapshotSchedule {
        SnapshotSchedule {
            max_entries,
            max_bytes,
            entries: 0,
            bytes: 0,
            last_size: 0,
            encoding: false,
        }
    }

    /// Counts an applied entry.
    pub(super) fn add(&mut self, bytes: usize) {
        self.entries += 1;
        self.bytes += bytes;
    }

    /// Whether a snapshot is to be taken. Below the size of the last one, the entries are
    /// smaller than what replaces them.
    pub(super) fn is_due(&self) -> bool {
        let max_bytes = self.max_bytes.max(self.last_size);
        !self.encoding && (self.entries >= self.max_entries || self.bytes >= max_bytes)
    }

    /// Starts a snapshot of what is applied now.
    pub(super) fn begin(&mut self) {
        (self.entries, self.bytes, self.encoding) = (0, 0, true);
    }

    /// Ends a snapshot of `size` bytes, or one that has failed. That one is taken again
    /// at the next bound, not at each entry.
    pub(super) fn end(&mut self, size: Option<usize>) {
        self.encoding = false;
        self.last_size = size.unwrap_or(self.last_size);
    }

    /// Starts again from a snapshot of `size` bytes that was read or received.
    pub(super) fn restore(&mut self, size: usize) {
        (self.entries, self.bytes, self.last_size) = (0, 0, size);
    }
}
