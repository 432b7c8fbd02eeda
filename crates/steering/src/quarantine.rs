//! Quarantine of requests that crash backend servers, local to one entry.
//!
//! The replicated document holds the crashes that all entries have seen. This local
//! record takes effect at once, before the document has been updated.

use indexmap::IndexMap;
use pomelovale_state::command::{CRASH_RETENTION_MS, QUARANTINE_CRASHES};
use pomelovale_state::document::Digest;
use pomelovale_state::{Millis, Name};

/// Maximum number of fingerprints; the oldest one is dropped first.
pub const QUARANTINE_MAX: usize = 4_096;

#[derive(Clone, Debug)]
struct Record {
    servers: Vec<Name>,
    until: Millis,
}

/// Fingerprints of requests that were in flight when a backend server crashed.
#[derive(Clone, Debug, Default)]
pub struct Quarantine {
    records: IndexMap<Digest, Record>,
}

impl Quarantine {
    /// Creates an empty quarantine.
    pub fn new() -> Quarantine {
        Quarantine::default()
    }

    /// Records that a backend server crashed while it ran the request. Repeated
    /// crashes of the same server count once. Returns whether the fingerprint is
    /// now blocked.
    pub fn record_crash(&mut self, now: Millis, fingerprint: Digest, server: &Name) -> bool {
        self.records.retain(|_, r| now < r.until);
        if self.records.len() >= QUARANTINE_MAX && !self.records.contains_key(&fingerprint) {
            self.records.shift_remove_index(0);
        }
        let record = self.records.entry(fingerprint).or_insert_with(|| Record {
            servers: Vec::new(),
            until: now,
        });
        record.until = now.plus(CRASH_RETENTION_MS);
        if !record.servers.contains(server) {
            record.servers.push(server.clone());
        }
        record.servers.len() >= QUARANTINE_CRASHES
    }

    /// Whether the request must be refused.
    pub fn is_blocked(&self, now: Millis, fingerprint: &Digest) -> bool {
        self.servers(now, fingerprint).len() >= QUARANTINE_CRASHES
    }

    /// Whether the request was in flight when a server crashed. Such a request is
    /// retried at most once and never hedged.
    pub fn is_suspect(&self, now: Millis, fingerprint: &Digest) -> bool {
        !self.servers(now, fingerprint).is_empty()
    }

    /// Backend servers that crashed while they ran the request.
    pub fn servers(&self, now: Millis, fingerprint: &Digest) -> &[Name] {
        let record = self.records.get(fingerprint);
        record
            .filter(|r| now < r.until)
            .map_or(&[], |r| r.servers.as_slice())
    }

    /// Removes the record of a request.
    pub fn forget(&mut self, fingerprint: &Digest) {
        self.records.shift_remove(fingerprint);
    }

    /// Whether no crash is recorded.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }
}
