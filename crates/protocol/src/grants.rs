//! Messages between the rate ledger and the limiters of entries.
//!
//! The leader's ledger splits the limit of each workspace into leases of entries
//! and a pool, which holds what is not leased. A grant creates or replaces the
//! lease of one entry; the entry's holding is the refill rate, the capacity and
//! the unspent tokens of that lease.
//!
//! Amounts are in units of which [`TOKEN`] make one token, rates in units per
//! millisecond. Each request states everything that the entry holds for a
//! workspace, so that a lost, duplicated or late message is never counted
//! twice: an entry accepts only the reply to its latest request, and the ledger
//! processes each request of an instance once, in order.

use pomelovale_state::Name;
use serde::{Deserialize, Serialize};

/// Units in one token, which is what a request of cost 1 takes.
pub const TOKEN: u64 = 1_000_000;

/// What an entry holds and asks for, for one workspace.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct WorkspaceDemand {
    /// The workspace.
    pub workspace: Name,
    /// Refill rate that the entry holds.
    pub rate: u64,
    /// Level up to which that rate refills the entry's bucket.
    pub cap: u64,
    /// Unspent amount in that bucket.
    pub level: u64,
    /// Amount wanted now for waiting requests.
    pub wanted: u64,
    /// Recent rate of requests, admitted or not.
    pub demand: u64,
    /// Unspent amount that the entry returns.
    pub returned: u64,
}

/// One entry's request for tokens.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct GrantRequest {
    /// The entry instance; different for each start of its process.
    pub instance: Name,
    /// Incremented with each request.
    pub seq: u64,
    /// Latest epoch that a reply carried. A leader of another epoch grants
    /// nothing and replies with its own epoch only.
    pub epoch: u64,
    /// One row for each workspace.
    pub wants: Vec<WorkspaceDemand>,
}

/// What the ledger grants for one workspace; replaces what the entry held.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Grant {
    /// The workspace.
    pub workspace: Name,
    /// Refill rate of the entry's bucket.
    pub rate: u64,
    /// Level up to which the rate refills the entry's bucket.
    pub cap: u64,
    /// Amount added to the bucket; may raise it over `cap`.
    pub tokens: u64,
    /// Time until tokens are expected if the workspace has used up its limit;
    /// zero while it is within its limit.
    pub retry_ms: u64,
    /// Whether the pool is low, so that holdings should be reported promptly.
    pub short: bool,
}

/// The ledger's answer.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct GrantReply {
    /// The instance answered.
    pub instance: Name,
    /// The request answered.
    pub seq: u64,
    /// Epoch of the leader that granted.
    pub epoch: u64,
    /// How long the grants are valid, counted from when the request was sent.
    pub life_ms: u64,
    /// One row for each requested workspace; empty if the request was not
    /// processed.
    pub grants: Vec<Grant>,
}
