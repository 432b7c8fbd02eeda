//! Connections to backend servers.
//!
//! Answers a load that is spread so thinly over many servers that most requests
//! would open a connection first. In another region that takes a round trip
//! which the request can't spare, so that connections there are opened ahead.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use indexmap::{IndexMap, IndexSet};
use pomelovale_state::{Millis, Name};
use pomelovale_transport::backend::{Connection, Fault};
use pomelovale_transport::pool::Pool;

use super::Shared;

/// Round trip to another region, in milliseconds.
const REGION_RTT_MS: u64 = 110;
/// Connections are opened ahead where opening one takes more than this part of
/// the shortest latency objective, in per cent.
const PRECONNECT_OBJECTIVE_PERCENT: u64 = 20;
/// Most connections that are opened ahead at a time. They share a slow link with
/// the callers' answers.
const PRECONNECT_MAX: usize = 8;
/// Idle time below which a connection that breaks was not lost by being idle, in
/// milliseconds.
const IDLE_MIN_MS: u64 = 50;
/// Time for which idle connections to a server that lost one are not reused, in
/// milliseconds.
const IDLE_LIMIT_TTL_MS: u64 = 5_000;

/// Longest idle time of connections to a server, and until when it counts.
#[derive(Clone, Copy, Debug)]
struct IdleLimit {
    idle_ms: u64,
    until: Millis,
}

/// Idle connections, and what is known of their use.
#[derive(Debug, Default)]
pub(super) struct Connections {
    pub(super) pool: Pool,
    idle_limits: Mutex<IndexMap<SocketAddr, IdleLimit>>,
    opening: Mutex<IndexSet<SocketAddr>>,
}

impl Connections {
    fn idle_limits(&self) -> MutexGuard<'_, IndexMap<SocketAddr, IdleLimit>> {
        self.idle_limits.lock().expect("no panic while held")
    }

    fn opening(&self) -> MutexGuard<'_, IndexSet<SocketAddr>> {
        self.opening.lock().expect("no panic while held")
    }

    // Longest idle time of a connection that is used again.
    fn idle_ms(&self, now: Millis, address: SocketAddr, default_idle_ms: u64) -> u64 {
        let idle_limits = self.idle_limits();
        let known = idle_limits.get(&address).filter(|w| w.until > now);
        known.map_or(default_idle_ms, |w| w.idle_ms.min(default_idle_ms))
    }

    /// Notes that a connection broke which had been idle. Servers may forget idle
    /// connections sooner than they say, and what is sent then may have run.
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

/// An idle connection, or a new one.
pub(super) async fn connect(
    shared: &Shared,
    address: SocketAddr,
    left: Duration,
) -> Result<Connection, Fault> {
    let config = &shared.config;
    let connections = &shared.connections;
    let idle = connections.idle_ms(shared.clock.now(), address, config.idle_ms);
    match connections.pool.take(address, Duration::from_millis(idle)) {
        Some(connection) => Ok(connection),
        None => {
            metrics::counter!("gateway_connects_total").increment(1);
            let limit = Duration::from_millis(config.connect_ms).min(left);
            Connection::open(address, limit).await
        }
    }
}

/// Opens connections to servers of other regions that have none.
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
    let mut wanted = Vec::new();
    shared.services.for_each(now, &document, |name, service| {
        if has_short_objective(name) {
            let open = |a: &SocketAddr| connections.pool.count(*a) > 0;
            let remote = service
                .placement
                .remote_servers()
                .map(|(_, address)| address);
            wanted.extend(remote.filter(|a| !open(a)));
        }
    });
    let mut opening = connections.opening();
    let remaining = PRECONNECT_MAX.saturating_sub(opening.len());
    wanted.retain(|a| !opening.contains(a));
    for address in wanted.into_iter().take(remaining) {
        opening.insert(address);
        let shared = shared.clone();
        tokio::spawn(async move {
            let limit = Duration::from_millis(shared.config.connect_ms);
            let opened = Connection::open(address, limit).await;
            shared.connections.opening().swap_remove(&address);
            metrics::counter!("gateway_connects_ahead_total").increment(1);
            if let Ok(connection) = opened {
                shared.connections.pool.put(address, connection);
            }
        });
    }
}
