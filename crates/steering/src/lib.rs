//! Steering decisions, free of I/O.
//!
//! Every function takes the current time, and every policy that draws random
//! numbers has a seeded generator, so that a run can be repeated exactly.

pub mod admission;
pub mod balancer;
pub mod baseline;
pub mod concurrency;
pub mod ejection;
pub mod entries;
pub mod estimate;
pub mod fair_queue;
pub mod hedge;
pub mod placement;
pub mod quarantine;
pub mod region;
pub mod retry;
mod server;
pub mod server_stats;
pub mod split;
pub mod spread;

/// Kinds of request that steering treats differently.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Class {
    /// Work that may wait for spare room.
    Deferrable,
    /// A request that may be sent again.
    Idempotent,
    /// A request that runs at most once.
    Once,
}

/// How an attempt at a backend server ended.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum AttemptEnd {
    /// The entry gave the attempt up, for example after a hedge won.
    Cancelled,
    /// A complete response that is not a server fault.
    Complete,
    /// A connection error, an incomplete response or a server fault.
    Failed,
    /// The documented shed response: the request did not run.
    Shed,
    /// No response in time.
    TimedOut,
}
