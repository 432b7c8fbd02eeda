//! State and cost of one backend server in the balancer of an entry.

use pomelovale_state::{Millis, Name};

use crate::availability::Availability;
use crate::balancer::{AttemptSpec, ServerInfo};
use crate::ejection::{Ejection, Health};
use crate::server_limit::ServerLimit;
use crate::server_stats::ServerStats;

/// Round trip between failure domains of a region, in milliseconds.
const DOMAIN_RTT_MS: f64 = 3.0;

/// Round trip between regions, in milliseconds.
const REGION_RTT_MS: f64 = 110.0;

/// Cost difference between an unused and a full share of slots, in milliseconds,
/// so that the shares of an entry fill evenly. It doesn't depend on the latency,
/// since slow servers would be filled first or last.
const SHARE_FILL_MS: f64 = 30.0;

/// Time between two attempts at a server on probation, in milliseconds.
const PROBE_INTERVAL_MS: u64 = 100;

/// Share of the mean load that every server is assumed to have at least,
/// whatever it reports. Below 1, a server that wrongly reports too little load
/// gets too many requests: 44% more at 0.7, if it reports zero.
pub(crate) const MEAN_LOAD_SHARE_MIN: f64 = 1.0;

#[derive(Clone, Debug)]
pub(crate) struct Server {
    pub(crate) info: ServerInfo,
    pub(crate) stats: ServerStats,
    pub(crate) ejection: Ejection,
    pub(crate) probed_at: Millis,
    pub(crate) share: u32,
    pub(crate) outstanding_max: u32,
    pub(crate) distance_ms: f64,
    pub(crate) limit: ServerLimit,
    pub(crate) availability: Availability,
}

impl ServerInfo {
    pub(crate) fn distance_ms(&self, home: Option<&(Name, Name)>) -> f64 {
        match home {
            None => 0.0,
            Some((region, _)) if region != &self.region => REGION_RTT_MS,
            Some((_, domain)) if domain != &self.domain => DOMAIN_RTT_MS,
            Some(_) => 0.0,
        }
    }
}

impl Server {
    pub(crate) fn new(info: &ServerInfo) -> Server {
        Server {
            info: info.clone(),
            stats: ServerStats::default(),
            ejection: Ejection::default(),
            probed_at: Millis(0),
            share: info.slots,
            outstanding_max: info.connections.max(1),
            distance_ms: 0.0,
            limit: ServerLimit::default(),
            availability: Availability::default(),
        }
    }

    pub(crate) fn is_allowed(&self, now: Millis, request: &AttemptSpec<'_>) -> bool {
        !self.info.leaving
            && self.limit.may_send(now)
            && self.availability.is_open(now)
            && request.region.is_none_or(|r| r == &self.info.region)
            && !request.exclude.contains(&self.info.name)
            && self.stats.outstanding() < self.outstanding_max
    }

    pub(crate) fn takes_work(&self, now: Millis) -> bool {
        !self.info.leaving && self.is_usable(now)
    }

    pub(crate) fn is_usable(&self, now: Millis) -> bool {
        self.ejection.health(now) == Health::Serving
            && !self.stats.is_stalled(now)
            && !self.stats.is_paused(now)
    }

    pub(crate) fn is_probe_due(&self, now: Millis) -> bool {
        matches!(self.ejection.health(now), Health::Probation { .. })
            && self.stats.outstanding() == 0
            && now.since(self.probed_at) >= PROBE_INTERVAL_MS
    }

    fn slots(&self, now: Millis) -> f64 {
        (f64::from(self.info.slots) * self.stats.slow_start_share(now)).max(1.0)
    }

    /// Estimated requests at the server, of this entry and of others. `mean_load`
    /// is the mean load of the other entries for each slot.
    fn load(&self, now: Millis, mean_load: f64) -> f64 {
        let slots = f64::from(self.info.slots);
        let weight = self.stats.report_weight(now);
        let reported = self
            .stats
            .others_load()
            .max(mean_load * slots * MEAN_LOAD_SHARE_MIN);
        f64::from(self.stats.outstanding()) + weight * reported + (1.0 - weight) * mean_load * slots
    }

    pub(crate) fn wait_ms(&self, now: Millis, mean_load: f64) -> f64 {
        let slots = self.slots(now);
        let requests_ahead = (self.load(now, mean_load) + 1.0 - slots).max(0.0);
        self.stats.latency_ms() * requests_ahead / slots
    }

    pub(crate) fn cost(&self, now: Millis, mean_load: f64) -> f64 {
        let own = f64::from(self.stats.outstanding());
        let slots = self.slots(now);
        let share = f64::from(self.share) * self.stats.slow_start_share(now);
        if own < share {
            return SHARE_FILL_MS * (own / share - 1.0);
        }
        let latency = self.stats.latency_ms().max(1.0);
        self.wait_ms(now, mean_load) + latency * (own + 1.0 - share) / slots
    }
}
