//! Messages that peers exchange on an authenticated connection.

use std::sync::Arc;

use pomelovale_state::command::{Applied, Change};
use pomelovale_state::sheet::MoveStatus;
use pomelovale_state::{ErrorKind, Name};
use pomelovale_steering::load_exchange::SharedLoad;
use pomelovale_steering::placement::{
    PlacementDecision, PlacementEnd, PlacementRequest, ServerReport,
};
pub use pomelovale_steering::region_plan::{DemandReport, PlanNotice};
use serde::{Deserialize, Serialize};

use crate::grants::{GrantReply, GrantRequest};
use crate::log::{LogMessage, Position, ReplicaId};
use crate::report::Report;

/// Bytes of a large message in one frame. Small, so that proofs and heartbeats
/// are not delayed by a large frame: 16 KiB take 66 ms on a link of 2 Mbit/s.
pub const CHUNK_BYTES: usize = 16 * 1024;
/// Largest message that is reassembled from chunks; a table of 810,000 client
/// blocks takes 30 MB.
pub const ASSEMBLED_MESSAGE_MAX_BYTES: u64 = 1024 * 1024 * 1024;

/// An accepted change as it is distributed: the whole change, not a difference.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Delta {
    /// Position of the change in the log.
    pub position: Position,
    /// Version of the document with the change.
    pub version: u64,
    /// The change.
    pub change: Change,
}

/// A subscriber's request for a proof that its view is current.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Renew {
    /// Incremented with each renewal on a connection.
    pub seq: u64,
    /// Last change that the subscriber holds; `None` if it holds nothing.
    pub position: Option<Position>,
}

/// Freshness proof, unrelated to the authentication proofs of [`crate::auth`]:
/// the answer to a [`Renew`], or changes sent as soon as they are applied.
///
/// The changes lead towards `position`. A subscriber that has reached
/// `position` holds every change accepted up to `age_ms` before it sent the
/// renewal `seq`.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Proof {
    /// The renewal that this answers; `None` if the message only carries changes
    /// and proves nothing.
    pub seq: Option<u64>,
    /// Age of the control instance's own proof when it answered.
    pub age_ms: u64,
    /// Last distributed change that the control instance has applied.
    pub position: Position,
    /// Name of the leader, if one is known.
    pub leader: Option<Name>,
    /// Changes in order.
    pub changes: Vec<Arc<Delta>>,
}

/// What an instance knows of the external list of backend servers.
///
/// Sent only to peers that say that they know it, see `transport::peer_format`.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct ListNotice {
    /// The renewal of a subscriber that this answers, if any.
    pub seq: Option<u64>,
    /// Time since the start of the last complete read of the list, in milliseconds; `None`
    /// if that is not known, or not the subject of the message.
    pub age_ms: Option<u64>,
    /// Servers that the list shows as leaving.
    pub leaving: Vec<Name>,
}

/// Figures for the division of objects among regions, and the division.
///
/// Sent only to peers that say that they know it, see `transport::peer_format`.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum RegionNotice {
    /// Demand at one gateway, for the leader.
    Demand(DemandReport),
    /// The plan of the leader, or the part of it that a gateway needs.
    Plan(PlanNotice),
}

/// What a [`Chunk`] is part of.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Content {
    /// An encoded document with all changes up to a position.
    Document(Position),
    /// An encoded [`LogPacket`] that is over the limit of a frame.
    Log,
}

/// Part of a message that is over the limit of a frame.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Chunk {
    /// What it is part of.
    pub content: Content,
    /// Offset of the first byte.
    pub offset: u64,
    /// Size of the whole message.
    pub size: u64,
    /// The bytes.
    pub bytes: Vec<u8>,
}

/// A request that is answered under the same identifier.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Request {
    /// Asks whether one request of a workspace is within its limit.
    Admit(Name),
    /// Asks for tokens from the leader's ledger.
    Grant(GrantRequest),
    /// Asks the leader to propose a change.
    Propose(Change),
    /// Asks for the status of all instances and moves.
    Status,
    /// Asks for tokens of a workspace. Sent only to peers that say that they know it, see
    /// `transport::peer_format`.
    Tokens(TokenRequest),
}

/// A gateway's request for tokens of a workspace, with which it admits requests.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct TokenRequest {
    /// The workspace.
    pub workspace: Name,
    /// Number of tokens.
    pub count: u32,
    /// Whether a caller waits for the first token. The others are prefetched, and are granted
    /// only as far as there are enough.
    pub waiting: bool,
}

/// Status of one instance, from its reports to the leader.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct InstanceStatus {
    /// The instance.
    pub instance: Name,
    /// Version of the document in force on it.
    pub version: u64,
    /// Age of its view when it reported, plus the time since the report arrived.
    pub view_ms: u64,
}

/// Status of all instances and moves, as the leader knows it.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct ClusterStatus {
    /// Instances that reported recently.
    pub instances: Vec<InstanceStatus>,
    /// All moves, with the measurements for their next steps.
    pub moves: Vec<MoveStatus>,
}

/// Answer to [`Request::Admit`].
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Admitted {
    /// The request may run.
    Granted,
    /// The workspace has used up its limit.
    Refused {
        /// Time until tokens are expected, in milliseconds.
        retry_ms: u64,
    },
}

/// Answer to [`Request::Tokens`].
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum TokenReply {
    /// The gateway has these tokens; none if they were to be prefetched and are too few.
    Granted {
        /// Number of tokens.
        count: u32,
        /// Time from the request for them in which they can be used, in milliseconds. The
        /// token of a waiting caller is used at once.
        life_ms: u64,
    },
    /// The waiting caller gets no token.
    Refused {
        /// Time until a token is expected for this caller, in milliseconds.
        retry_ms: u64,
        /// Whether the workspace has used up its limit. Otherwise the control instance has
        /// no tokens, since the leader didn't answer in time.
        is_over: bool,
    },
    /// The caller waits at the control instance for tokens of the leader; another answer
    /// follows.
    Waiting,
}

/// Answer to a [`Request`].
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Response {
    /// Answer to [`Request::Admit`].
    Admitted(Admitted),
    /// Answer to [`Request::Propose`].
    Applied(Applied),
    /// The request was not served.
    Failed(ErrorKind),
    /// Answer to [`Request::Grant`].
    Grant(GrantReply),
    /// Answer to [`Request::Status`].
    Status(ClusterStatus),
    /// Answer to [`Request::Tokens`]. [`TokenReply::Waiting`] is followed by another one.
    Tokens(TokenReply),
}

/// A request of a caller for which a gateway asks the coordinator of its failure
/// domain for a server.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct PlaceRequest {
    /// Service that it goes to.
    pub service: Name,
    /// Route of the request; requests of one route cause similar work.
    pub route: Name,
    /// Hash of the object that it concerns.
    pub object: u64,
    /// Priority; 0 is the highest.
    pub priority: u32,
    /// Time within which its answer has its full value, in milliseconds.
    pub objective_ms: u64,
    /// Time left before the request times out, in milliseconds.
    pub left_ms: u64,
    /// Regions that may serve it; all if empty.
    pub homes: Vec<Name>,
    /// Servers that were tried before.
    pub tried: Vec<Name>,
}

impl PlaceRequest {
    /// The properties of the request that placement depends on.
    pub fn subject(&self) -> PlacementRequest<'_> {
        PlacementRequest {
            route: &self.route,
            object: self.object,
            priority: self.priority,
            objective_ms: self.objective_ms,
            left_ms: self.left_ms,
            homes: &self.homes,
            tried: &self.tried,
        }
    }
}

/// A message of the replicated log with its sender and receiver.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct LogPacket {
    /// The replica that sent it.
    pub from: ReplicaId,
    /// The replica that it is meant for.
    pub to: ReplicaId,
    /// The message.
    pub message: LogMessage,
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
    /// Part of a document or of a large message of the log.
    Chunk(Chunk),
    /// A message of the replicated log.
    Log(LogPacket),
    /// Reports the end of a request whose server [`PeerMessage::Placed`] chose;
    /// not answered.
    Finished {
        /// Identifier of the [`PeerMessage::Place`].
        id: u64,
        /// How the exchange with the server ended.
        ended: PlacementEnd,
        /// Duration of the exchange, in milliseconds.
        latency_ms: u64,
        /// What the answer said about the server.
        report: ServerReport,
    },
    /// Sent on an idle connection, so that the peer does not treat it as silent.
    Ping,
    /// Asks for a server for a request.
    Place {
        /// Unique for the connection.
        id: u64,
        /// The request.
        request: PlaceRequest,
    },
    /// Answer to [`PeerMessage::Place`].
    Placed {
        /// Identifier of the [`PeerMessage::Place`].
        id: u64,
        /// The decision; `None` if the service is not known yet, or the coordinator has lost
        /// the servers.
        verdict: Option<PlacementDecision>,
        /// Fraction of the objects that go to other regions, from 0 to 1.
        part: f64,
    },
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
    /// What is known of the list of backend servers; not answered.
    List(ListNotice),
    /// Like [`PeerMessage::Finished`], with the pace of the server. Sent only to peers
    /// that say that they know it, see `transport::peer_format`.
    FinishedPaced {
        /// Identifier of the [`PeerMessage::Place`].
        id: u64,
        /// How the exchange with the server ended.
        ended: PlacementEnd,
        /// Duration of the exchange, in milliseconds.
        latency_ms: u64,
        /// What the answer said about the server, without its pace.
        report: ServerReport,
        /// Its pace, in percent of the usual time.
        pace: u32,
    },
    /// Loads of the servers of a service; not answered. Sent only to peers that say that they
    /// know it, see `transport::peer_format`.
    Loads {
        /// The service.
        service: Name,
        /// The loads.
        loads: Vec<SharedLoad>,
    },
    /// Likewise asks for a server for a request, whose service may be scheduled; sent only to
    /// peers that know it.
    Schedule {
        /// Unique for the connection.
        id: u64,
        /// The request.
        request: PlaceRequest,
        /// Workspace of its caller; empty on open routes.
        workspace: Name,
        /// First 8 bytes of the fingerprint of the request.
        fingerprint: u64,
    },
    /// Shows that a [`PeerMessage::Schedule`] waits for a place; repeated until it is answered.
    Waiting {
        /// Identifier of the [`PeerMessage::Schedule`].
        id: u64,
    },
    /// Figures or the plan of the regions; not answered.
    Regions(RegionNotice),
}

/// Splits an encoded message into chunks.
pub fn split_into_chunks(
    content: Content,
    body: Arc<[u8]>,
) -> impl Iterator<Item = PeerMessage> + Send {
    let count = body.len().div_ceil(CHUNK_BYTES);
    (0..count).map(move |i| {
        let start = i * CHUNK_BYTES;
        let end = body.len().min(start + CHUNK_BYTES);
        PeerMessage::Chunk(Chunk {
            content,
            offset: start as u64,
            size: body.len() as u64,
            bytes: body[start..end].to_vec(),
        })
    })
}

/// Reassembles messages from chunks. The chunks of a message must arrive in
/// order, without chunks of another message between them.
#[derive(Debug, Default)]
pub struct ChunkAssembler {
    content: Option<Content>,
    bytes: Vec<u8>,
}

impl ChunkAssembler {
    /// Adds a chunk. Returns the whole message once it is complete.
    pub fn push(&mut self, chunk: Chunk) -> Result<Option<(Content, Vec<u8>)>, ErrorKind> {
        let end = chunk.offset.saturating_add(chunk.bytes.len() as u64);
        let starts = chunk.offset == 0;
        let continues =
            self.content == Some(chunk.content) && chunk.offset == self.bytes.len() as u64;
        match () {
            () if end > chunk.size || chunk.size > ASSEMBLED_MESSAGE_MAX_BYTES => {
                return Err(ErrorKind::TooLarge);
            }
            () if starts => self.bytes.clear(),
            () if continues => {}
            () => return Err(ErrorKind::BadRequest),
        }
        self.content = Some(chunk.content);
        self.bytes.extend_from_slice(&chunk.bytes);
        if end < chunk.size {
            return Ok(None);
        }
        self.content = None;
        Ok(Some((chunk.content, std::mem::take(&mut self.bytes))))
    }
}
