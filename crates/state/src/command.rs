//! Commands by which operators and instances change the shared state.

use std::sync::Arc;

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use crate::blocks::BlockChange;
use crate::document::{
    Backend, Digest, Instance, Link, MemberState, Region, Service, Site, Workspace,
};
use crate::intents::{IntentBegin, IntentEnd};
use crate::moves::{MoveAction, Step};
use crate::routing::Routing;
use crate::{ErrorKind, Millis, Name};

/// Number of crashes after which a request is quarantined.
pub const QUARANTINE_CRASHES: usize = 2;
/// How long a crash record is kept after the latest crash.
pub const CRASH_RETENTION_MS: u64 = 600_000;
/// Maximum number of crash records. If it is reached, the record with the fewest
/// crashes is dropped, and of those the oldest one.
pub const CRASH_RECORDS_MAX: usize = 512;
/// Maximum number of commands in a [`Command::Batch`].
pub const BATCH_MAX: usize = 10_000;

/// A part of the document that has its own version.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Item {
    /// A backend server.
    Backend(Name),
    /// The whole client-block table.
    Blocks,
    /// The whole document, for batches.
    Document,
    /// Whether a failure domain is evacuated.
    Domain(Name),
    /// An instance.
    Instance(Name),
    /// A key.
    Key(Name),
    /// The links between regions.
    Links,
    /// A move.
    Move(Name),
    /// A region.
    Region(Name),
    /// The routing table.
    Routing,
    /// A service.
    Service(Name),
    /// A site.
    Site(Name),
    /// A workspace.
    Workspace(Name),
}

/// One change of the shared state.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Command {
    /// Several commands, accepted together or not at all.
    Batch(Vec<Command>),
    /// Creates the idempotency record ("intent") of a request that starts.
    BeginIntent(IntentBegin),
    /// Changes rows of the client-block table.
    ChangeBlocks(Vec<BlockChange>),
    /// Removes the crash record of a request, because a backend server answered it.
    ClearCrash(Digest),
    /// Records the end of a request in its idempotency record.
    EndIntent(IntentEnd),
    /// Stops new work on all backend servers of a failure domain.
    EvacuateDomain(Name),
    /// Creates or replaces a backend server.
    PutBackend {
        /// Its name.
        name: Name,
        /// Its description.
        backend: Backend,
    },
    /// Creates or replaces an instance.
    PutInstance {
        /// Its name.
        name: Name,
        /// Its description.
        instance: Instance,
    },
    /// Creates a key. The identifier of a revoked key is never reused.
    PutKey {
        /// Public identifier of the key.
        id: Name,
        /// Operator or workspace that the key authenticates.
        holder: crate::document::KeyHolder,
        /// SHA-256 of the whole key text.
        digest: Digest,
    },
    /// Replaces the links between regions.
    PutLinks(Vec<Link>),
    /// Creates a move, or replaces its steps that are not in force yet.
    PutMove {
        /// Its name.
        name: Name,
        /// Services that move.
        services: Vec<Name>,
        /// Source region.
        from: Name,
        /// Destination region.
        to: Name,
        /// The steps in order.
        steps: Vec<Step>,
    },
    /// Creates or replaces a region.
    PutRegion {
        /// Its name.
        name: Name,
        /// Its description.
        region: Region,
    },
    /// Creates or replaces a service.
    PutService {
        /// Its name.
        name: Name,
        /// Its description.
        service: Service,
    },
    /// Creates or replaces a site.
    PutSite {
        /// Its name.
        name: Name,
        /// Its description.
        site: Site,
    },
    /// Creates or replaces a workspace.
    PutWorkspace {
        /// Its name.
        name: Name,
        /// Its description.
        workspace: Workspace,
    },
    /// Ends the evacuation of a failure domain.
    ReadmitDomain(Name),
    /// Records that a backend server crashed while it ran a request.
    RecordCrash {
        /// Fingerprint of the request.
        fingerprint: Digest,
        /// Identifier of the crash. Crashes with the same one count once.
        crash: Name,
    },
    /// Removes a backend server.
    RemoveBackend(Name),
    /// Removes an instance.
    RemoveInstance(Name),
    /// Replaces the routing table.
    ReplaceRouting {
        /// Version of the table that the new one replaces; 0 for none.
        base: u64,
        /// The new table.
        routing: Arc<Routing>,
        /// The text that the operator sent, stored so that it can be read back.
        /// Empty in the copy that is distributed to entries.
        source: Arc<str>,
    },
    /// Changes whether a backend server takes new work.
    SetBackend {
        /// Its name.
        name: Name,
        /// Its new state.
        state: MemberState,
    },
    /// Changes whether callers are sent to an instance.
    SetInstance {
        /// Its name.
        name: Name,
        /// Its new state.
        state: MemberState,
    },
    /// Sets the limits that backend servers name for the requests of all instances
    /// together, in thousandths of a request per second; `None` removes one.
    SetServerLimits(Vec<(Name, Option<u64>)>),
    /// Applies an operator action to a move.
    StepMove {
        /// Name of the move.
        name: Name,
        /// What to do with it.
        action: MoveAction,
    },
    /// Revokes a key permanently.
    RevokeKey(Name),
}

/// Which instances receive a command.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Scope {
    /// Control instances only; not distributed to entries.
    Control,
    /// All instances.
    AllInstances,
}

impl Command {
    /// The item whose version the command checks and increments. `None` for
    /// commands of instances, which never conflict with those of operators.
    pub fn item(&self) -> Option<Item> {
        match self {
            Command::Batch(_) => Some(Item::Document),
            Command::ChangeBlocks(_) => Some(Item::Blocks),
            Command::PutBackend { name, .. }
            | Command::RemoveBackend(name)
            | Command::SetBackend { name, .. } => Some(Item::Backend(name.clone())),
            Command::EvacuateDomain(name) | Command::ReadmitDomain(name) => {
                Some(Item::Domain(name.clone()))
            }
            Command::ReplaceRouting { .. } => Some(Item::Routing),
            Command::PutInstance { name, .. }
            | Command::RemoveInstance(name)
            | Command::SetInstance { name, .. } => Some(Item::Instance(name.clone())),
            Command::PutKey { id, .. } | Command::RevokeKey(id) => Some(Item::Key(id.clone())),
            Command::PutLinks(_) => Some(Item::Links),
            Command::PutMove { name, .. } | Command::StepMove { name, .. } => {
                Some(Item::Move(name.clone()))
            }
            Command::PutRegion { name, .. } => Some(Item::Region(name.clone())),
            Command::PutService { name, .. } => Some(Item::Service(name.clone())),
            Command::PutSite { name, .. } => Some(Item::Site(name.clone())),
            Command::PutWorkspace { name, .. } => Some(Item::Workspace(name.clone())),
            Command::BeginIntent(_)
            | Command::ClearCrash(_)
            | Command::EndIntent(_)
            | Command::RecordCrash { .. }
            | Command::SetServerLimits(_) => None,
        }
    }

    /// Which instances receive the command.
    pub fn scope(&self) -> Scope {
        match self {
            Command::BeginIntent(_) | Command::EndIntent(_) => Scope::Control,
            _ => Scope::AllInstances,
        }
    }
}

/// A command with the fields that make it take effect once and in order.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Change {
    /// Request identifier, chosen by the sender; a retry carries the same one.
    pub request: Name,
    /// Operator or instance that sent it.
    pub sender: Name,
    /// Version of the item that the change is based on; `None` skips the check.
    pub base: Option<u64>,
    /// Log time at which the leader proposed the change: it continues from the
    /// time of the last change across leaders, see [`Millis`].
    pub at: Millis,
    /// The command.
    pub command: Command,
}

/// The accepted change that another one conflicts with.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Winner {
    /// Sender of the accepted change.
    pub sender: Name,
    /// Request identifier of the accepted change.
    pub request: Name,
    /// Version of the item after the accepted change.
    pub version: u64,
}

/// Why a change was refused.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Refusal {
    /// Kind of the error.
    pub kind: ErrorKind,
    /// Human-readable explanation.
    pub text: String,
    /// The change that was accepted instead.
    pub winner: Option<Winner>,
}

impl Refusal {
    /// A refusal without a winner.
    pub fn new(kind: ErrorKind, text: impl Into<String>) -> Refusal {
        Refusal {
            kind,
            text: text.into(),
            winner: None,
        }
    }
}

/// Result of a change. A retry gets the same one while it is among the latest
/// [`crate::machine::RESULTS_MAX`] results.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Applied {
    /// The change is in the document.
    Accepted {
        /// Version of the document with the change.
        version: u64,
        /// Version of the item with the change.
        item: u64,
    },
    /// Answer to a command about an idempotency key.
    Intent(crate::intents::IntentAnswer),
    /// The change was refused, and the document is unchanged.
    Refused(Refusal),
}

/// Last accepted change of each item, reported in version conflicts.
pub type WinnersByItem = IndexMap<Item, Winner>;
