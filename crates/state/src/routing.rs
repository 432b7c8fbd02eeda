//! The routing table: hosts, routes, workspaces with their keys, and services,
//! replaced as a whole by compare-and-set on its version.

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use crate::digest::Digest;
use crate::Name;

/// Longest timeout of a route, in milliseconds.
pub const TIMEOUT_MAX_MS: u64 = 600_000;
/// How far the latency objective of a route may lie above its timeout, in
/// milliseconds (exclusive).
pub const OBJECTIVE_SLACK_MS: u64 = 60_000;

/// Limits on what callers may send and how long they may take.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct CallerLimits {
    /// Largest header section in bytes.
    pub head_bytes: u64,
    /// Largest body in bytes.
    pub body_bytes: u64,
    /// Longest time for a header section, in milliseconds.
    pub head_ms: u64,
    /// Longest time without a request on a connection, in milliseconds.
    pub idle_ms: u64,
}

impl Default for CallerLimits {
    fn default() -> CallerLimits {
        CallerLimits {
            head_bytes: 16 * 1024,
            body_bytes: 64 * 1024 * 1024,
            head_ms: 3_000,
            idle_ms: 15_000,
        }
    }
}

/// Whether a request may run more than once.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Repeat {
    /// May run more than once.
    Idempotent,
    /// Runs at most once each time that its caller sends it.
    Once,
}

/// A service that a route sends requests to, and its share of them.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Target {
    /// The service.
    pub service: Name,
    /// Share of the requests, relative to the other targets.
    pub weight: u32,
}

/// A route below a host.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct HostRoute {
    /// Its name.
    pub name: Name,
    /// Prefix of the paths that it matches; begins and ends with a slash.
    pub prefix: String,
    /// Whether its requests may run more than once.
    pub repeat: Repeat,
    /// Longest time until the answer, in milliseconds.
    pub timeout_ms: u64,
    /// Latency objective for the answer, in milliseconds.
    pub objective_ms: u64,
    /// Priority under overload; 0 is the highest.
    pub priority: u32,
    /// Whether callers need no key.
    pub open: bool,
    /// Whether a backend server answers faster if it handled the same object
    /// recently.
    pub sticky: bool,
    /// Maximum number of backend servers that one request is sent to.
    pub attempts: u32,
    /// Regions that may serve it; all if empty.
    pub homes: Vec<Name>,
    /// Services that share its requests.
    pub targets: Vec<Target>,
}

/// Window in which the requests of a workspace are counted. The limit per window
/// is the workspace's rate times the length of the window, plus its burst.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Window {
    /// Length of the window in milliseconds.
    pub ms: u64,
    /// Tolerance relative to the limit, in per mille.
    pub overage: u64,
    /// Number of requests tolerated beyond that.
    pub slack: u64,
}

/// A workspace in the routing table.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct RoutedWorkspace {
    /// Priority that overrides the priority of the route.
    pub priority: Option<u32>,
    /// Requests per second over all instances; 0 for no limit.
    pub rate: u64,
    /// Number of requests that may exceed the rate at once.
    pub burst: u64,
    /// Window and tolerance of the limit.
    pub window: Window,
    /// Regions that may serve it; all if empty.
    pub homes: Vec<Name>,
}

/// Fraction of the tolerance (`overage` and `slack`) that token buckets may use.
/// The rest covers differences between clocks.
const TOLERANCE_FRACTION: f64 = 0.8;

impl RoutedWorkspace {
    /// Refill rate and capacity of a token bucket that stays within the limit and
    /// its tolerance in every window; `None` without a limit.
    pub fn token_bucket(&self) -> Option<(u64, u64)> {
        let (rate, window) = (self.rate as f64, self.window);
        let seconds = window.ms as f64 / 1_000.0;
        let limit = rate * seconds + self.burst as f64;
        let over = limit * window.overage as f64 / 1_000.0 + window.slack as f64;
        let total = limit + over * TOLERANCE_FRACTION;
        let refill = rate.min(total / seconds).floor().max(1.0);
        let capacity = (total - refill * seconds).floor().max(1.0);
        (self.rate > 0).then_some((refill as u64, capacity as u64))
    }
}

/// A service in the routing table.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct RoutedService {
    /// Path of the health probe.
    pub probe: String,
    /// Connections that a backend server accepts from all instances together.
    pub connections: u32,
    /// How long a backend server stays cold after its start, in milliseconds.
    pub cold_ms: u64,
    /// Requests that a cold backend server can handle from all instances
    /// together, per 1,000 seconds; 0 for no limit.
    pub cold_rate: u64,
}

/// The routing table: all routes, with the services, workspaces and keys that
/// they refer to.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Routing {
    /// Chosen by the operator; increases with each replacement.
    pub version: u64,
    /// Limits on callers.
    pub limits: CallerLimits,
    /// Workspaces by name.
    pub workspaces: IndexMap<Name, RoutedWorkspace>,
    /// Workspace of each key, by the key's digest.
    #[serde(with = "indexmap::map::serde_seq")]
    pub keys: IndexMap<Digest, Name>,
    /// Routes by host, in lower case.
    pub hosts: IndexMap<Name, Vec<HostRoute>>,
    /// Services by name.
    pub services: IndexMap<Name, RoutedService>,
}

impl Routing {
    /// The route with the longest prefix of `path`. `host` may include a port.
    pub fn route(&self, host: &str, path: &str) -> Option<&HostRoute> {
        let name = host.rsplit_once(':').map_or(host, |(name, _)| name);
        let routes = match self.hosts.get(name) {
            Some(routes) => routes,
            None => self.hosts.get(name.to_ascii_lowercase().as_str())?,
        };
        let matching = routes.iter().filter(|r| path.starts_with(&r.prefix));
        matching.max_by_key(|r| r.prefix.len())
    }

    /// All faults that make the table invalid, each with its location.
    pub fn faults(&self) -> Vec<String> {
        let mut faults = Vec::new();
        if self.version == 0 {
            faults.push("version: must be above 0".to_owned());
        }
        for (host, routes) in &self.hosts {
            for route in routes {
                let place = format!("host {host}, route {}", route.name);
                faults.extend(self.route_faults(route).map(|f| format!("{place}: {f}")));
            }
        }
        let unowned = self
            .keys
            .values()
            .find(|w| !self.workspaces.contains_key(*w));
        faults.extend(unowned.map(|w| format!("a key belongs to the unknown workspace {w}")));
        faults
    }

    fn route_faults<'a>(&'a self, route: &'a HostRoute) -> impl Iterator<Item = String> + 'a {
        let unknown = route
            .targets
            .iter()
            .filter(|t| !self.services.contains_key(&t.service))
            .map(|t| format!("the service {} is unknown", t.service));
        let late = route.objective_ms >= route.timeout_ms.saturating_add(OBJECTIVE_SLACK_MS);
        let checks = [
            (route.targets.is_empty(), "it has no target service"),
            (route.timeout_ms > TIMEOUT_MAX_MS, "its timeout is too long"),
            (route.timeout_ms == 0, "its timeout is zero"),
            (route.attempts == 0, "it allows no attempt"),
            (late, "its latency objective is too far above its timeout"),
        ];
        let failed = checks.into_iter().filter(|(failed, _)| *failed);
        unknown.chain(failed.map(|(_, text)| text.to_owned()))
    }

    /// The workspace that a key belongs to.
    pub fn workspace(&self, key: &Digest) -> Option<&Name> {
        self.keys.get(key)
    }
}
