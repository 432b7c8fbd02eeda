//! Requests that crash backend servers, as seen by one entry.
//!
//! The replicated document holds the fleet-wide record; this one acts at once,
//! before the record has been accepted and distributed.

use indexmap::IndexMap;
use pomelovale_state::command::{CRASH_LIMIT, CRASH_RETENTION_MS};
use pomelovale_state::document::Digest;
use pomelovale_state::{Millis, Name};

/// Most fingerprints remembered; the oldest is dropped first.
pub const QUARANTINE_MAX: usize = 4_096;

#[derive(Clone, Debug)]
struct Record {
    servers: Vec<Name>,
    until: Millis,
}

/// Fingerprints that saw a crash.
#[derive(Clone, Debug, Default)]
pub struct Quarantine {
    records: IndexMap<Digest, Record>,
}

impl Quarantine {
    /// An empty quarantine.
    pub fn new() -> Quarantine {
        Quarantine::default()
    }

    /// Records that a backend server crashed while it ran the request. Returns
    /// whether the fingerprint is blocked now. A server counts once.
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
        record.servers.len() >= CRASH_LIMIT
    }

    /// Whether the request must be refused.
    pub fn is_blocked(&self, now: Millis, fingerprint: &Digest) -> bool {
        self.servers(now, fingerprint).len() >= CRASH_LIMIT
    }

    /// Whether the request was in flight in a crash; such a request is tried
    /// at most once more and never hedged.
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

    /// Forgets the crashes of a request.
    pub fn forget(&mut self, fingerprint: &Digest) {
        self.records.shift_remove(fingerprint);
    }

    /// Whether no crash is remembered.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }
}
