//! Messages between the system's processes.

use pomelovale_state::command::{Applied, Change};
use pomelovale_state::{ErrorKind, Name};
use serde::{Deserialize, Serialize};

use crate::grants::{GrantReply, GrantRequest};
use crate::report::Report;

/// Bytes of a snapshot in one frame; small, so that proofs and heartbeats
/// are not kept waiting behind a large frame.
pub const CHUNK_BYTES: usize = 64 * 1024;

/// A place in the replicated log.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
pub struct Position {
    /// Epoch of the entry.
    pub epoch: u64,
    /// Index of the entry.
    pub index: u64,
}

/// An accepted change as it is distributed.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Delta {
    /// Place of the change in the log.
    pub position: Position,
    /// Version of the document with the change.
    pub version: u64,
    /// The change.
    pub change: Change,
}

/// A subscriber's question whether its view is current.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Renew {
    /// Raised by one with each renewal of a connection.
    pub seq: u64,
    /// Last change that the subscriber holds; `None` if it holds nothing.
    pub position: Option<Position>,
}

/// Answer to a [`Renew`], or changes sent as soon as they are applied.
///
/// The changes lead towards `position`. A subscriber that has reached
/// `position` holds every change accepted up to `age_ms` before it sent the
/// renewal `seq`.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Proof {
    /// The renewal answered; `None` proves nothing and only carries changes.
    pub seq: Option<u64>,
    /// Age of the control instance's own proof when it answered.
    pub age_ms: u64,
    /// Last distributed change that the control instance has applied.
    pub position: Position,
    /// Name of the leader, if one is known.
    pub leader: Option<Name>,
    /// Changes in order.
    pub changes: Vec<Delta>,
}

/// Part of an encoded document.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Chunk {
    /// Last change that the document holds.
    pub position: Position,
    /// Offset of the first byte.
    pub offset: u64,
    /// Size of the whole document.
    pub size: u64,
    /// The bytes.
    pub bytes: Vec<u8>,
}

/// A request that is answered under the same identifier.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Request {
    /// Tokens from the leader's ledger.
    Grant(GrantRequest),
    /// A change to propose.
    Propose(Change),
    /// What the leader knows of all instances.
    Status,
}

/// One instance as the leader knows it from its reports.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct InstanceStatus {
    /// The instance.
    pub instance: Name,
    /// Version of the document in force on it.
    pub version: u64,
    /// Age of its view when it reported, plus the time since the report came.
    pub view_ms: u64,
}

/// Answer to a [`Request`].
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Response {
    /// Answer to [`Request::Propose`].
    Applied(Applied),
    /// The request was not served.
    Failed(ErrorKind),
    /// Answer to [`Request::Grant`].
    Grant(GrantReply),
    /// Answer to [`Request::Status`].
    Status(Vec<InstanceStatus>),
}

/// Everything that an authenticated peer may send.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum PeerMessage {
    /// A request.
    Call {
        /// Unique for the connection.
        id: u64,
        /// The request.
        request: Request,
    },
    /// Part of a document.
    Chunk(Chunk),
    /// A message of the replicated log, encoded by its own module.
    Log(Vec<u8>),
    /// Keeps an idle connection from being taken for a silent one.
    Ping,
    /// A proof, or changes.
    Proof(Proof),
    /// A renewal.
    Renew(Renew),
    /// The answer to a call.
    Reply {
        /// Identifier of the call.
        id: u64,
        /// The answer.
        response: Response,
    },
    /// Measurements for the leader; not answered.
    Report(Report),
}
