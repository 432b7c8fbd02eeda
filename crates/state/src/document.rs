//! The replicated document: the state that all instances share.

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

/// The network capacity between two regions, in each direction.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Link {
    /// One end.
    pub from: Name,
    /// The other end.
    pub to: Name,
    /// Capacity in each direction in Mbit/s.
    pub mbits: u32,
}

/// A location that client blocks are steered to.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Site {
    /// Region of the site.
    pub region: Name,
    /// Failure domain of the site.
    pub domain: Name,
}

/// Rules for requests under one path prefix.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Route {
    /// Path prefix below the service, such as `/bookings`.
    pub prefix: String,
    /// Whether callers need no key.
    #[serde(default)]
    pub open: bool,
    /// Methods that may be retried; those that HTTP defines as idempotent if
    /// absent.
    #[serde(default)]
    pub idempotent: Option<Vec<String>>,
    /// Whether requests may wait for spare capacity.
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
    /// Timeout of one request in milliseconds.
    #[serde(default = "default_timeout_ms")]
    pub timeout_ms: u64,
    /// Bytes that one request transfers between regions, for checks of link
    /// capacity.
    #[serde(default = "default_request_bytes")]
    pub bytes: u64,
}

fn default_timeout_ms() -> u64 {
    5_000
}

fn default_request_bytes() -> u64 {
    16_384
}

/// Whether a backend server or an instance takes new work.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum MemberState {
    /// Taken out of service by the system: an instance that is stopping or that
    /// stopped reporting. It returns to service when it reports again.
    Away,
    /// Taken out of service by an operator: finishes its current work and takes
    /// no new work.
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
    /// Maximum number of concurrent requests.
    pub slots: u32,
    /// Maximum number of connections from all instances together.
    pub connections: u32,
    /// How long it is cold after this change, in milliseconds: a cold server has
    /// just started and can handle fewer requests.
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

/// A tenant with its rate limit and its weight in fair queues.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Workspace {
    /// Requests per second over all instances.
    pub rate: u64,
    /// Number of requests that may exceed the rate at once.
    pub burst: u64,
    /// Weight in fair queues, relative to other workspaces.
    #[serde(default = "default_weight")]
    pub weight: u32,
}

fn default_weight() -> u32 {
    1
}

/// The identity that a key authenticates.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum KeyHolder {
    /// An operator of the system.
    Operator(Name),
    /// A workspace of callers.
    Workspace(Name),
}

/// A key, stored as a digest.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Key {
    /// The identity that the key authenticates.
    pub holder: KeyHolder,
    /// SHA-256 of the whole key text.
    pub digest: Digest,
    /// Whether the key was revoked.
    pub revoked: bool,
}

/// Record of a request that crashed backend servers.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct CrashRecord {
    /// Identifiers of the crashes of backend servers that ran the request.
    pub crashed: Vec<Name>,
    /// Expiry of the record, in log time.
    pub until: Millis,
}

/// The replicated document, which every instance holds. Control instances hold
/// more state, see [`crate::machine::StateMachine`].
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Document {
    /// Incremented with each accepted change.
    pub version: u64,
    /// Log time of the last change, see [`Millis`].
    pub time: Millis,
    /// Version of each item of the document, by [`crate::command::Item`].
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
    /// The routing table, if one has been installed.
    pub routing: Option<Arc<Routing>>,
    /// Evacuated failure domains, whose backend servers get no new work.
    pub evacuated: IndexSet<Name>,
    /// Limits that backend servers name for the requests of all instances together, in
    /// thousandths of a request per second.
    pub limits: IndexMap<Name, u64>,
}

impl Document {
    /// The capacity between two regions in Mbit/s, if a link is declared.
    pub fn link(&self, a: &Name, b: &Name) -> Option<u32> {
        let joins = |l: &&Link| (&l.from, &l.to) == (a, b) || (&l.from, &l.to) == (b, a);
        self.links.iter().find(joins).map(|l| l.mbits)
    }

    /// Backend servers of a service in one region whose state is
    /// [`MemberState::Serving`], also those of evacuated failure domains.
    pub fn serving_backends<'a>(
        &'a self,
        service: &'a Name,
        region: &'a Name,
    ) -> impl Iterator<Item = (&'a Name, &'a Backend)> {
        self.backends.iter().filter(move |(_, b)| {
            &b.service == service && &b.region == region && b.state == MemberState::Serving
        })
    }

    /// Backend servers of the same service in the failure domain of a server, which is
    /// one of them.
    pub fn domain_peers(&self, server: &Name) -> Vec<Name> {
        let Some(of) = self.backends.get(server) else {
            return Vec::new();
        };
        let same = |b: &Backend| b.service == of.service && b.domain == of.domain;
        let peers = self.backends.iter().filter(|(_, b)| same(b));
        peers.map(|(name, _)| name.clone()).collect()
    }

    /// Whether requests with a fingerprint are refused, because backend servers
    /// crashed under them [`crate::command::QUARANTINE_CRASHES`] times.
    pub fn is_quarantined(&self, fingerprint: &Digest, now: Millis) -> bool {
        self.crashes
            .get(fingerprint)
            .is_some_and(|b| b.crashed.len() >= crate::command::QUARANTINE_CRASHES && now < b.until)
    }
}
