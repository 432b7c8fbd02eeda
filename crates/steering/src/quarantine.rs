//! Quarantine of requests that crash backend servers, local to one instance.
//!
//! The replicated document holds the crashes that all instances have seen. This local
//! record takes effect at once, before the document has been updated.
//!
//! The crashes of a request are numbered, and their numbers identify them: all
//! instances give the same number to crashes of which none was known when the others'
//! runs began. Servers that end together thus count as one crash.

use indexmap::IndexMap;
use pomelovale_state::command::{CRASH_RETENTION_MS, QUARANTINE_CRASHES};
use pomelovale_state::document::Digest;
use pomelovale_state::{Millis, Name};

/// Maximum number of fingerprints; the oldest one is dropped first.
pub const QUARANTINE_MAX: usize = 4_096;

/// Number of the last of a request's crashes; 0 if there is none.
pub fn last_crash(crashes: &[Name]) -> u64 {
    let numbers = crashes.iter().filter_map(|crash| crash.parse().ok());
    numbers.fold(crashes.len() as u64, u64::max)
}

/// Identifier of a crash under a run that began when `known` was the last crash, or
/// `None` if a later one has been counted since. Such a crash says nothing new: both
/// servers may have ended for the same reason.
pub fn next_crash(crashes: &[Name], known: u64) -> Option<Name> {
    let last = last_crash(crashes);
    (last <= known).then(|| Name::from((last + 1).to_string()))
}

/// Factor by which the time until the next trial of a quarantined request grows with
/// each further crash.
const TRIAL_FACTOR: u64 = 8;

/// Time after the last crash of a request until it may be tried once more, in
/// milliseconds; `None` if it is not quarantined. An innocent request that is refused by
/// all instances can't be answered otherwise. `trial_ms` is the shortest such time.
pub fn trial_delay(crashes: usize, trial_ms: u64) -> Option<u64> {
    let further = crashes.checked_sub(QUARANTINE_CRASHES)?;
    let factor = TRIAL_FACTOR.saturating_pow(further as u32);
    Some(trial_ms.saturating_mul(factor))
}

#[derive(Clone, Debug)]
struct Record {
    crashes: Vec<Name>,
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

    /// Records a crash of a backend server while it ran the request. Crashes with the
    /// same identifier count once. Returns whether the fingerprint is now blocked.
    pub fn record_crash(&mut self, now: Millis, fingerprint: Digest, crash: &Name) -> bool {
        self.records.retain(|_, r| now < r.until);
        if self.records.len() >= QUARANTINE_MAX && !self.records.contains_key(&fingerprint) {
            self.records.shift_remove_index(0);
        }
        let record = self.records.entry(fingerprint).or_insert_with(|| Record {
            crashes: Vec::new(),
            until: now,
        });
        record.until = now.plus(CRASH_RETENTION_MS);
        if !record.crashes.contains(crash) {
            record.crashes.push(crash.clone());
        }
        record.crashes.len() >= QUARANTINE_CRASHES
    }

    /// Whether the request must be refused.
    pub fn is_blocked(&self, now: Millis, fingerprint: &Digest) -> bool {
        self.crashes(now, fingerprint).len() >= QUARANTINE_CRASHES
    }

    /// Whether the request was in flight when a server crashed. Such a request is
    /// retried at most once and never hedged.
    pub fn is_suspect(&self, now: Millis, fingerprint: &Digest) -> bool {
        !self.crashes(now, fingerprint).is_empty()
    }

    /// Identifiers of the crashes of backend servers that ran the request.
    pub fn crashes(&self, now: Millis, fingerprint: &Digest) -> &[Name] {
        let record = self.records.get(fingerprint);
        record
            .filter(|r| now < r.until)
            .map_or(&[], |r| r.crashes.as_slice())
    }

    /// Time since the last crash of a request, in milliseconds.
    pub fn since_last(&self, now: Millis, fingerprint: &Digest) -> Option<u64> {
        let record = self.records.get(fingerprint)?;
        Some(CRASH_RETENTION_MS.saturating_sub(record.until.since(now)))
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
