//! Selection of the region for a request of one service on one entry.
//!
//! A request spills to another region only if it would wait longer in the entry's
//! own region than in the other one, including the round trip, and only within an
//! allowance of requests per second.
//!
//! The allowance follows the measured headroom: it is the rate at which the entry
//! spilled when the load was measured, plus its share of the free capacity. The
//! current spill rate must not be used instead: it includes requests that are not
//! part of the measured load yet, which makes the control loop oscillate.

use std::collections::VecDeque;

use indexmap::IndexMap;
use pomelovale_state::{Millis, Name};

/// Maximum age of a measurement that may change an allowance, in milliseconds.
pub const MAX_MEASUREMENT_AGE_MS: u64 = 2_000;

/// Share of a remote region's slots that must stay free of spilled requests.
const REMOTE_RESERVE: f64 = 0.1;

/// Gain of the control loop: the fraction of the difference to its target by which
/// a new measurement changes an allowance. At 1, an error in the assumed time of a
/// measurement would pass undamped into the next allowances.
const GAIN: f64 = 0.5;

/// Time before a measurement over which the entry's spill rate is averaged, in
/// milliseconds. The average estimates the entry's part of the measured load.
const SPILL_RATE_WINDOW_MS: u64 = 500;

/// Number of updates for which the entry's spill rate is kept.
const SPILL_HISTORY_LEN: usize = 32;

/// Difference between two waits that is ignored, in milliseconds.
const DEAD_BAND_MS: f64 = 10.0;

/// Time of a request at a backend server in milliseconds before it is measured.
const DEFAULT_REQUEST_MS: f64 = 50.0;

/// Whether requests spill to other regions.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RegionPolicy {
    /// Never; a baseline for benchmarks.
    NoSpill,
    /// If the local wait is longer and the other region and the link to it have
    /// spare capacity.
    Spill,
}

/// Measured load of one region for one service.
#[derive(Clone, Debug, PartialEq)]
pub struct RegionMeasurement {
    /// The region.
    pub region: Name,
    /// Slots of the servers that take requests.
    pub slots: f64,
    /// Running and waiting requests.
    pub load: f64,
    /// Expected wait of a new request in the region in milliseconds.
    pub wait_ms: f64,
    /// Round-trip time from the entry in milliseconds.
    pub distance_ms: f64,
    /// Requests per second that the link to the region can carry in addition.
    pub spare_rate: f64,
    /// Time of the measurement.
    pub sampled: Millis,
}

#[derive(Clone, Debug, Default)]
struct RemoteRegion {
    /// Expected wait there plus the round trip, in milliseconds.
    wait_ms: f64,
    /// Time of the last measurement.
    sampled: Millis,
    is_measured: bool,
    /// Requests per second that may spill to the region.
    allowance: f64,
    /// Token bucket that the allowance refills; one token per request.
    credit: f64,
    /// Requests spilled since the last update.
    spilled: u32,
    /// Spilled requests per second at the time of each recent update.
    history: VecDeque<(Millis, f64)>,
}

/// Chooses regions for one service on one entry.
#[derive(Clone, Debug)]
pub struct RegionSelector {
    policy: RegionPolicy,
    /// Region of the entry.
    home: Name,
    /// Expected wait in the entry's region in milliseconds.
    wait_ms: f64,
    /// Requests per second of the entry.
    rate: f64,
    request_ms: f64,
    remotes: IndexMap<Name, RemoteRegion>,
    updated: Option<Millis>,
}

impl RegionSelector {
    /// Creates a selector that uses only the entry's region until it is updated.
    pub fn new(policy: RegionPolicy, home: &Name) -> RegionSelector {
        RegionSelector {
            policy,
            home: home.clone(),
            wait_ms: 0.0,
            rate: 0.0,
            request_ms: DEFAULT_REQUEST_MS,
            remotes: IndexMap::new(),
            updated: None,
        }
    }

    /// Sets the mean time of a request at a backend server, which converts slots
    /// to requests per second.
    pub fn set_request_ms(&mut self, request_ms: f64) {
        self.request_ms = request_ms.max(1.0);
    }

    /// Adjusts the allowances to new measurements. Call this a few times per second.
    /// `rate` is the entry's number of requests per second, `entries` the number of
    /// entries outside the other region, all of which may spill to it at the same
    /// time. An allowance without a recent measurement stays as it is.
    pub fn update(&mut self, now: Millis, rate: f64, entries: u32, measures: &[RegionMeasurement]) {
        let elapsed_s = self.updated.map_or(0, |at| now.since(at)).min(1_000) as f64 / 1_000.0;
        self.updated = Some(now);
        self.rate = rate;
        for m in measures.iter().filter(|m| m.region == self.home) {
            self.wait_ms = m.wait_ms;
        }
        let rate_per_slot = 1_000.0 / self.request_ms / f64::from(entries.max(1));
        for m in measures.iter().filter(|m| m.region != self.home) {
            let remote = self.remotes.entry(m.region.clone()).or_default();
            remote.adjust_allowance(now, m, rate_per_slot, f64::from(entries.max(1)));
        }
        for remote in self.remotes.values_mut() {
            remote.refill(now, elapsed_s);
        }
    }

    /// Returns the region to which a request that would wait `wait_ms` in the entry's
    /// region should spill, if there is one within its allowance and with a shorter
    /// wait. Call this at most once for each request.
    pub fn try_spill(&mut self, wait_ms: f64) -> Option<Name> {
        if self.policy == RegionPolicy::NoSpill {
            return None;
        }
        let better = |r: &RemoteRegion| r.credit >= 1.0 && wait_ms > r.wait_ms + DEAD_BAND_MS;
        let (name, remote) = self
            .remotes
            .iter_mut()
            .filter(|(_, r)| better(r))
            .max_by(|a, b| a.1.credit.total_cmp(&b.1.credit))?;
        remote.credit -= 1.0;
        remote.spilled += 1;
        Some(name.clone())
    }

    /// Returns the region for the next request, judged by the measured waits alone.
    pub fn pick(&mut self) -> Name {
        self.try_spill(self.wait_ms)
            .unwrap_or_else(|| self.home.clone())
    }

    /// Share of the entry's requests that may spill to a region.
    pub fn share(&self, region: &Name) -> f64 {
        let allowance = self.remotes.get(region).map_or(0.0, |r| r.allowance);
        (allowance / self.rate.max(1.0)).min(1.0)
    }
}

impl RemoteRegion {
    /// Adjusts the allowance once for each new measurement.
    fn adjust_allowance(
        &mut self,
        now: Millis,
        m: &RegionMeasurement,
        rate_per_slot: f64,
        entries: f64,
    ) {
        let fresh = now.since(m.sampled) <= MAX_MEASUREMENT_AGE_MS;
        if !fresh || m.sampled <= self.sampled {
            return;
        }
        self.sampled = m.sampled;
        self.wait_ms = m.wait_ms + m.distance_ms;
        let free = m.slots * (1.0 - REMOTE_RESERVE) - m.load;
        let room = (free * rate_per_slot).min(m.spare_rate.max(0.0) / entries);
        let target = (self.spill_rate_at(m.sampled) + room).max(0.0);
        let first = !std::mem::replace(&mut self.is_measured, true);
        let gain = if first { 1.0 } else { GAIN };
        self.allowance += (target - self.allowance) * gain;
    }

    /// Mean rate of spilled requests per second just before `at`.
    fn spill_rate_at(&self, at: Millis) -> f64 {
        let contained = |h: &&(Millis, f64)| h.0 <= at && at.since(h.0) <= SPILL_RATE_WINDOW_MS;
        let rates = self.history.iter().filter(contained).map(|h| h.1);
        let count = rates.clone().count().max(1);
        rates.sum::<f64>() / count as f64
    }

    /// Refills the token bucket and records the spill rate since the last update.
    fn refill(&mut self, now: Millis, elapsed_s: f64) {
        if elapsed_s > 0.0 {
            let rate = f64::from(self.spilled) / elapsed_s;
            self.history.push_back((now, rate));
            self.spilled = 0;
        }
        if self.history.len() > SPILL_HISTORY_LEN {
            self.history.pop_front();
        }
        let max_credit = (self.allowance * elapsed_s).max(1.0);
        self.credit = (self.credit + self.allowance * elapsed_s).min(max_credit);
    }
}
