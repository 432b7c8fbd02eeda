//! Number of idle connections to keep to each server of another region.
//!
//! A request that finds no idle connection waits for a round trip. One idle connection per
//! server isn't enough where requests for the same objects overlap: the second one opens a
//! connection of its own. Each such request raises the number for its server.

use std::net::SocketAddr;

use indexmap::IndexMap;
use pomelovale_state::Millis;

/// Idle connections to a server to which no request had to open one.
const BASE: usize = 1;
/// Largest number of idle connections to a server beyond [`BASE`]. With 120 servers in other
/// regions, 500 of the 4,100 file descriptors of a small gateway.
const EXTRA_MAX: usize = 3;
/// Time without a request that opens a connection after which the number falls by one, in
/// milliseconds.
const EXTRA_LIFE_MS: u64 = 5_000;

#[derive(Clone, Copy, Debug)]
struct Extra {
    count: usize,
    since: Millis,
}

impl Extra {
    fn left(&self, now: Millis) -> usize {
        let expired = now.since(self.since) / EXTRA_LIFE_MS;
        self.count.saturating_sub(expired as usize)
    }
}

/// Numbers of idle connections to keep, by server.
#[derive(Clone, Debug, Default)]
pub struct ConnectionDemand {
    extra: IndexMap<SocketAddr, Extra>,
}

impl ConnectionDemand {
    /// Records a request that found no idle connection to a server.
    pub fn record_miss(&mut self, now: Millis, address: SocketAddr) {
        self.extra.retain(|_, e| e.left(now) > 0);
        let left = self.extra.get(&address).map_or(0, |e| e.left(now));
        let count = (left + 1).min(EXTRA_MAX);
        self.extra.insert(address, Extra { count, since: now });
    }

    /// Number of idle connections to keep to a server.
    pub fn target(&self, now: Millis, address: SocketAddr) -> usize {
        BASE + self.extra.get(&address).map_or(0, |e| e.left(now))
    }
}
