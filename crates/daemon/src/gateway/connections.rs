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
use pomelovale_transport::backend::{Connection, ExchangeError};
use pomelovale_transport::pool::Pool;

use super::Shared;

/// Round trip to another region, in milliseconds.
const REGION_RTT_MS: u64 = 110;
/// Connections are opened ahead where opening one takes more than this part of
/// the shortest latency objective, in per cent.
const AHEAD_PER_CENT: u64 = 20;
/// Most connections that are opened ahead at a time. They share a slow link with
/// the callers' answers.
const AHEAD_MAX: usize = 8;
/// Idle time below which a connection that breaks was not lost by being idle, in
/// milliseconds.
const IDLE_MIN_MS: u64 = 50;
/// Time for which idle connections to a server that lost one are not reused, in
/// milliseconds.
const WARY_MS: u64 = 5_000;

/// Longest idle time of connections to a server, and until when it counts.
#[derive(Clone, Copy, Debug)]
struct Wary {
    idle_ms: u64,
    until: Millis,
}

/// Idle connections, and what is known of their use.
#[derive(Debug, Default)]
pub(super) struct Connections {
    pub(super) pool: Pool,
    wary: Mutex<IndexMap<SocketAddr, Wary>>,
    opening: Mutex<IndexSet<SocketAddr>>,
}

impl Connections {
    fn wary(&self) -> MutexGuard<'_, IndexMap<SocketAddr, Wary>> {
        self.wary.lock().expect("no panic while held")
    }

    fn opening(&self) -> MutexGuard<'_, IndexSet<SocketAddr>> {
        self.opening.lock().expect("no panic while held")
    }

    // Longest idle time of a connection that is used again.
    fn idle_ms(&self, now: Millis, address: SocketAddr, usual: u64) -> u64 {
        let wary = self.wary();
        let known = wary.get(&address).filter(|w| w.until > now);
        known.map_or(usual, |w| w.idle_ms.min(usual))
    }

    /// Notes that a connection broke which had been idle. Servers may forget idle
    /// connections sooner than they say, and what is sent then may have run.
    pub(super) fn note_cut(&self, now: Millis, address: SocketAddr, idle: Duration) {
        let idle_ms = idle.as_millis() as u64;
        if idle_ms < IDLE_MIN_MS {
            return;
        }
        let mut wary = self.wary();
        wary.retain(|_, w| w.until > now);
        let entry = wary.entry(address).or_insert(Wary {
            idle_ms,
            until: now,
        });
        entry.idle_ms = entry.idle_ms.min(idle_ms / 2);
        entry.until = now.plus(WARY_MS);
    }
}

/// An idle connection, or a new one.
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
        None => {
            metrics::counter!("gateway_connects_total").increment(1);
            let limit = Duration::from_millis(config.connect_ms).min(left);
            Connection::open(address, limit).await
        }
    }
}

/// Opens connections to servers of other regions that have none.
pub(super) fn open_ahead(shared: &Arc<Shared>) {
    let (now, document) = (shared.clock.now(), shared.view.document());
    let Some(routing) = &document.routing else {
        return;
    };
    let connections = &shared.connections;
    let tight = |service: &Name| {
        let routes = routing.hosts.values().flatten();
        let mut routes = routes.filter(|r| r.targets.iter().any(|t| t.service == *service));
        routes.any(|r| REGION_RTT_MS * 100 > r.objective_ms * AHEAD_PER_CENT)
    };
    let mut wanted = Vec::new();
    shared.services.each(now, &document, |name, service| {
        if tight(name) {
            let open = |a: &SocketAddr| connections.pool.count(*a) > 0;
            let remote = service
                .placement
                .remote_servers()
                .map(|(_, address)| address);
            wanted.extend(remote.filter(|a| !open(a)));
        }
    });
    let mut opening = connections.opening();
    let room = AHEAD_MAX.saturating_sub(opening.len());
    wanted.retain(|a| !opening.contains(a));
    for address in wanted.into_iter().take(room) {
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
