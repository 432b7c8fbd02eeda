//! Error kinds, each with its HTTP status, outcome and exit code.

use std::fmt;

use serde::{Deserialize, Serialize};

/// Whether a request that ended in an error may have been run.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Outcome {
    /// No backend server ran the request.
    NotRun,
    /// A backend server may have run the request.
    Unknown,
}

impl Outcome {
    /// Value of the `Pomelovale-Outcome` header.
    pub fn as_str(self) -> &'static str {
        match self {
            Outcome::NotRun => "not-run",
            Outcome::Unknown => "unknown",
        }
    }
}

/// How an error kind is reported.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Answer {
    /// HTTP status towards callers and operators.
    pub status: u16,
    /// Whether the request may have been run.
    pub outcome: Outcome,
    /// Exit code of the operators' command line.
    pub exit: i32,
    /// Whether the same request can succeed later, unchanged.
    pub retry: bool,
    /// Stable identifier in JSON bodies and metrics.
    pub code: &'static str,
}

macro_rules! error_kinds {
    ($($(#[$doc:meta])* $kind:ident => ($status:literal, $outcome:ident, $exit:literal, $retry:literal, $code:literal),)*) => {
        /// Every kind of error that a caller, an operator or a peer can see.
        #[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
        pub enum ErrorKind { $($(#[$doc])* $kind,)* }

        impl ErrorKind {
            /// All kinds, in the order of the table.
            pub const ALL: &'static [ErrorKind] = &[$(ErrorKind::$kind,)*];

            /// The answer of this kind.
            pub fn answer(self) -> Answer {
                match self {
                    $(ErrorKind::$kind => Answer {
                        status: $status, outcome: Outcome::$outcome, exit: $exit, retry: $retry, code: $code,
                    },)*
                }
            }
        }
    };
}

error_kinds! {
    /// The request or command is malformed.
    BadRequest => (400, NotRun, 2, false, "bad-request"),
    /// The settings file is invalid.
    BadSettings => (400, NotRun, 3, false, "bad-settings"),
    /// The deadline passed before the request was dispatched.
    DeadlineSpent => (504, NotRun, 4, false, "deadline-spent"),
    /// The header section is too large.
    HeaderTooLarge => (431, NotRun, 2, false, "header-too-large"),
    /// The idempotency key was used before with a different request.
    IdempotencyMismatch => (422, NotRun, 2, false, "idempotency-mismatch"),
    /// A request with the same idempotency key is in flight.
    IdempotencyPending => (409, Unknown, 5, true, "idempotency-pending"),
    /// An internal error of the program.
    Internal => (500, Unknown, 70, false, "internal"),
    /// A file or record failed its checksum.
    Corrupt => (500, NotRun, 74, false, "corrupt"),
    /// The key is missing, unknown or revoked.
    KeyRefused => (401, NotRun, 6, false, "key-refused"),
    /// The workspace has used up its rate and burst.
    LimitExceeded => (429, NotRun, 5, true, "limit-exceeded"),
    /// The move can't take this step now, or a step in force would be changed.
    MoveHeld => (409, NotRun, 7, true, "move-held"),
    /// The named item does not exist.
    NotFound => (404, NotRun, 8, false, "not-found"),
    /// This control instance is not the leader.
    NotLeader => (503, NotRun, 5, true, "not-leader"),
    /// Admission control refused the request to protect the service.
    Overloaded => (503, NotRun, 5, true, "overloaded"),
    /// The request is quarantined after crashes of backend servers.
    Quarantined => (503, NotRun, 5, true, "quarantined"),
    /// The request or its headers took too long to arrive.
    RequestTimeout => (408, NotRun, 4, true, "request-timeout"),
    /// The view of keys is too old to serve requests that need a key.
    StaleView => (503, NotRun, 5, true, "stale-view"),
    /// A body or frame exceeds its size limit.
    TooLarge => (413, NotRun, 2, false, "too-large"),
    /// No backend server, leader or quorum could be reached.
    Unavailable => (503, NotRun, 5, true, "unavailable"),
    /// The request was sent, but no complete answer arrived.
    UnknownOutcome => (502, Unknown, 9, false, "unknown-outcome"),
    /// The request was sent, but no answer arrived in time.
    UnknownTimeout => (504, Unknown, 9, false, "unknown-timeout"),
    /// The change is based on a version that another change has replaced.
    VersionConflict => (409, NotRun, 10, false, "version-conflict"),
}

impl fmt::Display for ErrorKind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.answer().code)
    }
}

impl std::error::Error for ErrorKind {}
