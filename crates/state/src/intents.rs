//! Idempotency records ("intents") of requests with an idempotency key: each runs at most once, and
//! retries get the stored answer.

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use crate::document::Digest;
use crate::{Millis, Name};

/// How long the record of a finished or abandoned request is kept.
pub const INTENT_RETENTION_MS: u64 = 86_400_000;
/// Maximum number of records; the oldest ones are evicted first.
pub const INTENT_MAX: usize = 100_000;
/// Largest answer body stored for retries; a request with a larger one is
/// recorded as [`IntentResult::Unknown`].
pub const ANSWER_MAX_BYTES: usize = 16 * 1024;

/// An idempotency key within its workspace.
#[derive(Clone, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct IntentKey {
    /// Workspace of the caller; empty on open routes.
    pub workspace: Name,
    /// SHA-256 of the service and the caller's idempotency key.
    pub key: Digest,
}

/// Registers the start of a request.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct IntentBegin {
    /// Which request.
    pub key: IntentKey,
    /// SHA-256 of method, path with query, and body.
    pub fingerprint: Digest,
    /// Identifies the entry instance and its attempt that sends the command, so
    /// that a retry of the same command is recognised.
    pub owner: Name,
}

/// Records the end of a request.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct IntentEnd {
    /// Which request.
    pub key: IntentKey,
    /// Entry instance and attempt that began it.
    pub owner: Name,
    /// How the request ended.
    pub result: IntentResult,
}

/// An answer stored for retries.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct StoredAnswer {
    /// HTTP status.
    pub status: u16,
    /// End-to-end headers in order.
    pub headers: Vec<(String, Vec<u8>)>,
    /// Body.
    pub body: Vec<u8>,
}

/// How a request ended.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum IntentResult {
    /// It was run and answered.
    Answer(StoredAnswer),
    /// No byte of it was sent to a backend server; the key can be used again.
    NotRun,
    /// It may have been run.
    Unknown,
}

/// Answer to an intent command.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum IntentAnswer {
    /// The entry that asks may send the request to a backend server.
    Begin,
    /// The request was run before; this was its answer.
    Done(StoredAnswer),
    /// The end is recorded, or this owner has no record of the key.
    Ended,
    /// The key was used with a different request.
    Mismatch,
    /// The request is in flight, or its instance stopped without recording the
    /// end.
    Pending,
    /// The request may have been run.
    Unknown,
}

#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
struct Record {
    fingerprint: Digest,
    owner: Name,
    at: Millis,
    result: Option<IntentResult>,
}

/// All records; kept on control instances only.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Intents {
    records: IndexMap<IntentKey, Record>,
}

impl Intents {
    /// Registers the start of a request, or returns what an earlier attempt led
    /// to.
    pub fn begin(&mut self, at: Millis, begin: IntentBegin) -> IntentAnswer {
        self.expire(at);
        let Some(record) = self.records.get(&begin.key) else {
            let record = Record {
                fingerprint: begin.fingerprint,
                owner: begin.owner,
                at,
                result: None,
            };
            self.records.insert(begin.key, record);
            return IntentAnswer::Begin;
        };
        match &record.result {
            _ if record.fingerprint != begin.fingerprint => IntentAnswer::Mismatch,
            None if record.owner == begin.owner => IntentAnswer::Begin,
            None => IntentAnswer::Pending,
            Some(IntentResult::Answer(answer)) => IntentAnswer::Done(answer.clone()),
            Some(IntentResult::NotRun | IntentResult::Unknown) => IntentAnswer::Unknown,
        }
    }

    /// Records the end of a request by the instance that began it.
    pub fn end(&mut self, at: Millis, end: IntentEnd) -> IntentAnswer {
        let Some(record) = self
            .records
            .get_mut(&end.key)
            .filter(|record| record.owner == end.owner)
        else {
            return IntentAnswer::Ended;
        };
        match end.result {
            _ if record.result.is_some() => return IntentAnswer::Ended,
            IntentResult::NotRun => {
                self.records.shift_remove(&end.key);
            }
            IntentResult::Answer(answer) if answer.body.len() > ANSWER_MAX_BYTES => {
                (record.at, record.result) = (at, Some(IntentResult::Unknown));
            }
            result => (record.at, record.result) = (at, Some(result)),
        }
        IntentAnswer::Ended
    }

    /// Number of records.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Whether there are no records.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    // Records are in order of their start and `end` doesn't reorder them. A record
    // that ended late therefore delays the expiry of those behind it.
    fn expire(&mut self, now: Millis) {
        let old = |record: &Record| now.since(record.at) > INTENT_RETENTION_MS;
        let mut n = self
            .records
            .values()
            .take_while(|record| old(record))
            .count();
        n = n.max((self.records.len() + 1).saturating_sub(INTENT_MAX));
        if n > 0 {
            self.records.drain(..n);
        }
    }
}
