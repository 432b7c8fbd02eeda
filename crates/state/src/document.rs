//! The replicated document: everything that all instances share.

use std::net::SocketAddr;
use std::sync::Arc;

use indexmap::{IndexMap, IndexSet};
use serde::{Deserialize, Serialize};

use crate::blocks::BlockTable;
pub use crate::digest::Digest;
use crate::moves::Move;
use crate::routing::Routing;
use crate::{Millis, Name};

/// A region and its failure domains.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Region {
    /// Failure domains of the region.
    pub domains: Vec<Name>,
}

/// The capacity that a pair of regions shares, each way.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Link {
    /// One end.
    pub from: Name,
    /// The other end.
    pub to: Name,
    /// Capacity each way in Mbit/s.
    pub mbits: u32,
}

/// A place that client blocks are steered to.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Site {
    /// Region of the site.
    pub region: Name,
    /// Failure domain of the site.
    pub domain: Name,
}

/// How requests under one path prefix are treated.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Route {
    /// Path prefix below the service, such as `/bookings`.
    pub prefix: String,
    /// Whether callers need no key.
    #[serde(default)]
    pub open: bool,
    /// Methods that may be sent again; the standard ones if absent.
    #[serde(default)]
    pub idempotent: Option<Vec<String>>,
    /// Whether the work may wait for spare room.
    #[serde(default)]
    pub deferrable: bool,
}

/// A service: a set of routes served by backend servers.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Routes; the longest matching prefix applies.
    #[serde(default)]
    pub routes: Vec<Route>,
    /// Longest time for one request in milliseconds.
    #[serde(default = "default_timeout_ms")]
    pub timeout_ms: u64,
    /// Bytes that one request moves between regions, for link checks.
    #[serde(default = "default_request_bytes")]
    pub bytes: u64,
}

fn default_timeout_ms() -> u64 {
    5_000
}

fn default_request_bytes() -> u64 {
    16_384
}

/// Whether a member takes new work.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum MemberState {
    /// Taken out by the system: an instance that stops, or that stopped
    /// reporting. It is taken back once it reports again.
    Away,
    /// Taken out by an operator: finishes what it has and takes nothing new.
    Leaving,
    /// Takes new work.
    #[default]
    Serving,
}

/// A backend server of a service.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Backend {
    /// Address for requests.
    pub address: SocketAddr,
    /// Service it belongs to.
    pub service: Name,
    /// Region it runs in.
    pub region: Name,
    /// Failure domain it runs in.
    pub domain: Name,
    /// Requests it can run at a time.
    pub slots: u32,
    /// Connections it accepts from all instances together.
    pub connections: u32,
    /// Time that it stays cold from this change on, in milliseconds.
    #[serde(default)]
    pub cold_ms: u64,
    /// Whether it takes new work.
    #[serde(default)]
    pub state: MemberState,
}

/// An instance of the system.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Instance {
    /// Address for callers, if it has the entry role.
    #[serde(default)]
    pub callers: Option<SocketAddr>,
    /// Address for peers, if it has the control role.
    #[serde(default)]
    pub peers: Option<SocketAddr>,
    /// Region it runs in.
    pub region: Name,
    /// Failure domain it runs in.
    pub domain: Name,
    /// Whether callers are sent to it.
    #[serde(default)]
    pub state: MemberState,
}

/// A tenant with an agreed share.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Workspace {
    /// Requests a second over all instances.
    pub rate: u64,
    /// Requests above the rate at one moment.
    pub burst: u64,
    /// Share in fair queues relative to the others.
    #[serde(default = "default_weight")]
    pub weight: u32,
}

fn default_weight() -> u32 {
    1
}

/// Who a key speaks for.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum KeyHolder {
    /// An operator of the system.
    Operator(Name),
    /// A workspace of callers.
    Workspace(Name),
}

/// A key, held as a digest of its secret.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Key {
    /// Who the key speaks for.
    pub holder: KeyHolder,
    /// SHA-256 of the whole key text.
    pub digest: Digest,
    /// Whether the key was revoked.
    pub revoked: bool,
}

/// A request that crashed backend servers, blocked for a while.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct CrashRecord {
    /// Backend servers that crashed while they ran the request.
    pub crashed: Vec<Name>,
    /// End of the block on the log's clock.
    pub until: Millis,
}

/// The part of the shared state that every instance holds.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Document {
    /// Raised by one with each accepted change.
    pub version: u64,
    /// The log's clock at the last change.
    pub time: Millis,
    /// Version of each named item, by [`crate::command::Item`].
    #[serde(with = "indexmap::map::serde_seq")]
    pub versions: IndexMap<crate::command::Item, u64>,
    /// Regions by name.
    pub regions: IndexMap<Name, Region>,
    /// Links between regions.
    pub links: Vec<Link>,
    /// Sites by name.
    pub sites: IndexMap<Name, Site>,
    /// Client blocks and the sites they are steered to.
    pub blocks: BlockTable,
    /// Services by name.
    pub services: IndexMap<Name, Service>,
    /// Backend servers by name.
    pub backends: IndexMap<Name, Backend>,
    /// Instances by name.
    pub instances: IndexMap<Name, Instance>,
    /// Workspaces by name.
    pub workspaces: IndexMap<Name, Workspace>,
    /// Keys by identifier.
    pub keys: IndexMap<Name, Key>,
    /// Moves by name.
    pub moves: IndexMap<Name, Move>,
    /// Requests that crashed backend servers, by fingerprint.
    #[serde(with = "indexmap::map::serde_seq")]
    pub crashes: IndexMap<Digest, CrashRecord>,
    /// The routing table, once there is one.
    pub routing: Option<Arc<Routing>>,
    /// Failure domains whose backend servers get no new work.
    pub evacuated: IndexSet<Name>,
}

impl Document {
    /// The capacity between two regions in Mbit/s, if a link is declared.
    pub fn link(&self, a: &Name, b: &Name) -> Option<u32> {
        let joins = |l: &&Link| (&l.from, &l.to) == (a, b) || (&l.from, &l.to) == (b, a);
        self.links.iter().find(joins).map(|l| l.mbits)
    }

    /// Backend servers of a service in one region that take new work.
    pub fn serving<'a>(
        &'a self,
        service: &'a Name,
        region: &'a Name,
    ) -> impl Iterator<Item = (&'a Name, &'a Backend)> {
        self.backends.iter().filter(move |(_, b)| {
            &b.service == service && &b.region == region && b.state == MemberState::Serving
        })
    }

    /// Whether a fingerprint has crashed enough backend servers to be refused.
    pub fn is_quarantined(&self, fingerprint: &Digest, now: Millis) -> bool {
        self.crashes
            .get(fingerprint)
            .is_some_and(|b| b.crashed.len() >= crate::command::CRASH_LIMIT && now < b.until)
    }
}
