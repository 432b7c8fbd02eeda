//! Messages between the rate ledger and the limiters of entries.

use pomelovale_state::Name;
use serde::{Deserialize, Serialize};

/// Tokens that an entry asks for, for one workspace.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Want {
    /// The workspace.
    pub workspace: Name,
    /// Tokens wanted now.
    pub tokens: u64,
    /// Tokens spent since the last request that was answered.
    pub spent: u64,
    /// Unspent tokens given back.
    pub returned: u64,
}

/// One entry's request for tokens.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct GrantRequest {
    /// The entry instance, unique for each start of its process.
    pub instance: Name,
    /// Raised by one with each request.
    pub seq: u64,
    /// One row for each workspace.
    pub wants: Vec<Want>,
}

/// Tokens granted for one workspace.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Grant {
    /// The workspace.
    pub workspace: Name,
    /// Tokens granted.
    pub tokens: u64,
    /// When tokens can be expected if none were granted.
    pub retry_ms: u64,
}

/// The ledger's answer.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct GrantReply {
    /// The request answered.
    pub seq: u64,
    /// Epoch of the leader that granted.
    pub epoch: u64,
    /// Life of the tokens, counted from the sending of the request.
    pub life_ms: u64,
    /// One row for each workspace asked for.
    pub grants: Vec<Grant>,
}
