//! Connections to backend servers.
//!
//! If the load is spread over many servers, each of them gets so few requests
//! that most requests find no idle connection. Opening one in another region
//! takes a round trip, which is too long for requests with a short latency
//! objective. Connections to such servers are therefore opened before they are
//! needed.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use indexmap::{IndexMap, IndexSet};
use pomelovale_state::{Millis, Name};
use pomelovale_steering::connection_demand::ConnectionDemand;
use pomelovale_steering::distances::Distances;
use pomelovale_transport::backend::{Connection, ExchangeError};
use pomelovale_transport::pool::Pool;

use super::Shared;
use crate::reach::State;

/// Assumed round trip to another region, in milliseconds.
const REGION_RTT_MS: u64 = 110;
/// Connections of a service are opened in advance if opening one takes more
/// than this percentage of the shortest latency objective of its routes.
const PRECONNECT_OBJECTIVE_PERCENT: u64 = 20;
/// Limit on the connections that are opened in advance at a time. They share a
/// slow link with the responses to callers.
const PRECONNECT_MAX: usize = 8;
/// If a connection breaks after a shorter idle time than this, idleness is not
/// taken to be the cause. In milliseconds.
const IDLE_MIN_MS: u64 = 50;
/// Time for which a server that has dropped an idle connection has a shorter
/// idle limit, in milliseconds.
const IDLE_LIMIT_TTL_MS: u64 = 5_000;

/// Idle time before the limit of a connection at which another one is opened in its place, in
/// milliseconds: an interval of `preconnect` and a round trip to another region.
const REOPEN_MS: u64 = 400;

/// Temporary limit on the idle time of connections to a server.
#[derive(Clone, Copy, Debug)]
struct IdleLimit {
    idle_ms: u64,
    until: Millis,
}

/// Idle connections, idle limits by server, and connections that are being
/// opened in advance.
#[derive(Debug, Default)]
pub(super) struct Connections {
    pub(super) pool: Arc<Pool>,
    idle_limits: Mutex<IndexMap<SocketAddr, IdleLimit>>,
    opening: Mutex<IndexSet<SocketAddr>>,
    demand: Mutex<ConnectionDemand>,
    distances: Mutex<Distances>,
}

impl Connections {
    fn idle_limits(&self) -> MutexGuard<'_, IndexMap<SocketAddr, IdleLimit>> {
        self.idle_limits
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    fn opening(&self) -> MutexGuard<'_, IndexSet<SocketAddr>> {
        self.opening.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn demand(&self) -> MutexGuard<'_, ConnectionDemand> {
        self.demand.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Measured round trips to servers.
    pub(super) fn distances(&self) -> MutexGuard<'_, Distances> {
        self.distances
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    // Idle time up to which a connection is reused.
    fn idle_ms(&self, now: Millis, address: SocketAddr, default_idle_ms: u64) -> u64 {
        let idle_limits = self.idle_limits();
        let known = idle_limits.get(&address).filter(|w| w.until > now);
        known.map_or(default_idle_ms, |w| w.idle_ms.min(default_idle_ms))
    }

    /// Records that a connection broke after an idle time, and lowers the idle
    /// limit of its server. Servers may drop idle connections earlier than they
    /// announce, and a request sent over such a connection may have run.
    pub(super) fn record_disconnect(&self, now: Millis, address: SocketAddr, idle: Duration) {
        let idle_ms = idle.as_millis() as u64;
        if idle_ms < IDLE_MIN_MS {
            return;
        }
        let mut idle_limits = self.idle_limits();
        idle_limits.retain(|_, w| w.until > now);
        let entry = idle_limits.entry(address).or_insert(IdleLimit {
            idle_ms,
            until: now,
        });
        entry.idle_ms = entry.idle_ms.min(idle_ms / 2);
        entry.until = now.plus(IDLE_LIMIT_TTL_MS);
    }
}

/// Takes an idle connection from the pool or opens a new one.
pub(super) async fn connect(
    shared: &Shared,
    address: SocketAddr,
    left: Duration,
) -> Result<Connection, ExchangeError> {
    let config = &shared.config;
    let connections = &shared.connections;
    let idle = connections.idle_ms(shared.clock.now(), address, config.idle_ms);
    match connections.pool.take(address, Duration::from_millis(idle)) {
        Some(connection) => Ok(connection),
        None if shared.reach.state() != State::Reached => Err(ExchangeError::Connect),
        None => {
            metrics::counter!("gateway_connects_total").increment(1);
            let limit = Duration::from_millis(config.connect_ms).min(left);
            if config.region_planning {
                connections
                    .demand()
                    .record_miss(shared.clock.now(), address);
            }
            open(shared, address, limit).await
        }
    }
}

// Opens a connection and records how long that took.
async fn open(
    shared: &Shared,
    address: SocketAddr,
    limit: Duration,
) -> Result<Connection, ExchangeError> {
    let start = Instant::now();
    let opened = Connection::open(address, limit).await;
    if !shared.config.region_planning || opened.is_err() {
        return opened;
    }
    let connect_ms = start.elapsed().as_secs_f64() * 1_000.0;
    let document = shared.view.document();
    let server = document.backends.values().find(|b| b.address == address);
    if let Some(b) = server {
        let mut distances = shared.connections.distances();
        distances.record(&b.region, &b.domain, connect_ms);
        if let Some(ms) = distances.region_ms(&b.region) {
            let region = b.region.to_string();
            metrics::gauge!("gateway_round_trip_ms", "region" => region).set(ms);
        }
    }
    opened
}

/// Opens connections to servers of other regions that have no open connection,
/// for services with a short latency objective. If the division among regions is planned, it
/// does so for all services, and keeps several connections to servers that need them.
pub(super) fn preconnect(shared: &Arc<Shared>) {
    let (now, document) = (shared.clock.now(), shared.view.document());
    let Some(routing) = &document.routing else {
        return;
    };
    let connections = &shared.connections;
    let has_short_objective = |service: &Name| {
        let routes = routing.hosts.values().flatten();
        let mut routes = routes.filter(|r| r.targets.iter().any(|t| t.service == *service));
        routes.any(|r| REGION_RTT_MS * 100 > r.objective_ms * PRECONNECT_OBJECTIVE_PERCENT)
    };
    let planned = shared.config.region_planning;
    let mut wanted = Vec::new();
    shared.services.for_each(now, &document, |name, service| {
        if planned || has_short_objective(name) {
            let open = |a: &SocketAddr| !planned && connections.pool.count(*a) > 0;
            let remote = service
                .placement
                .remote_servers()
                .map(|(_, address)| address);
            wanted.extend(remote.filter(|a| !open(a)));
        }
    });
    if planned {
        keep_missing(&shared.connections, now, shared.config.idle_ms, &mut wanted);
    }
    let mut opening = connections.opening();
    let remaining = PRECONNECT_MAX.saturating_sub(opening.len());
    wanted.retain(|a| !opening.contains(a));
    for address in wanted.into_iter().take(remaining) {
        opening.insert(address);
        let shared = shared.clone();
        tokio::spawn(async move {
            let limit = Duration::from_millis(shared.config.connect_ms);
            let opened = open(&shared, address, limit).await;
            shared.connections.opening().swap_remove(&address);
            metrics::counter!("gateway_connects_ahead_total").increment(1);
            if let Ok(connection) = opened {
                shared.connections.pool.put(address, connection);
            }
        });
    }
}

// Keeps the servers that have fewer idle connections than they need, those that lack most first.
fn keep_missing(
    connections: &Connections,
    now: Millis,
    default_idle_ms: u64,
    wanted: &mut Vec<SocketAddr>,
) {
    let demand = connections.demand();
    let missing = |address: &SocketAddr| {
        let idle_ms = connections.idle_ms(now, *address, default_idle_ms);
        let age = Duration::from_millis(idle_ms.saturating_sub(REOPEN_MS));
        let idle = connections.pool.count_within(*address, age);
        demand.target(now, *address).saturating_sub(idle)
    };
    let mut counted: Vec<(usize, SocketAddr)> = wanted.iter().map(|a| (missing(a), *a)).collect();
    counted.retain(|(count, _)| *count > 0);
    counted.sort_by_key(|(count, _)| std::cmp::Reverse(*count));
    *wanted = counted.into_iter().map(|(_, address)| address).collect();
}
