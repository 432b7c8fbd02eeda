//! Selection of the region for a request of one service on one entry.
//!
//! A request leaves the entry's region only if it would wait longer there than
//! in the other region including the way, and only within an allowance of
//! requests a second. The allowance follows the measured headroom: each entry
//! takes its part of what is free, on top of what it spilled when the load was
//! measured. What it spilled since then is not yet in the load and must not be
//! added again; with the current rate instead the loop oscillated.

use std::collections::VecDeque;

use indexmap::IndexMap;
use pomelovale_state::{Millis, Name};

/// Oldest measurement that may change an allowance, in milliseconds.
pub const MAX_MEASUREMENT_AGE_MS: u64 = 2_000;

/// Part of a remote region's slots that must stay free of spilled work.
const REMOTE_RESERVE: f64 = 0.1;

/// Part of the way to its target that an allowance moves for each new
/// measurement. The whole way echoes errors in the age of measurements.
const GAIN: f64 = 0.5;

/// Time before a measurement over which the own spilled rate is averaged that
/// the measured load contains, in milliseconds.
const SPILL_RATE_WINDOW_MS: u64 = 500;

/// Updates for which the own spilled rate is remembered.
const SPILL_HISTORY_LEN: usize = 32;

/// Difference of waits that is ignored, in milliseconds.
const DEAD_BAND_MS: f64 = 10.0;

/// Time of a request at a backend server if none was measured.
const DEFAULT_REQUEST_MS: f64 = 50.0;

/// Whether requests leave the entry's region.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RegionPolicy {
    /// Never; kept for comparison.
    NoSpill,
    /// When the local wait is longer, there is headroom and link capacity.
    Spill,
}

/// Load of one region for one service.
#[derive(Clone, Debug, PartialEq)]
pub struct RegionMeasurement {
    /// The region.
    pub region: Name,
    /// Slots of the servers that take work.
    pub slots: f64,
    /// Slots in use and requests that wait.
    pub load: f64,
    /// Expected wait of a new request there in milliseconds.
    pub wait_ms: f64,
    /// Round trip from the entry in milliseconds.
    pub distance_ms: f64,
    /// Requests a second that the link to it can still carry.
    pub link_spare_rate: f64,
    /// When the load was measured.
    pub sampled: Millis,
}

#[derive(Clone, Debug, Default)]
struct RemoteRegion {
    wait_ms: f64,
    sampled: Millis,
    is_measured: bool,
    allowance: f64,
    credit: f64,
    spilled: u32,
    history: VecDeque<(Millis, f64)>,
}

/// Chooses regions for one service on one entry.
#[derive(Clone, Debug)]
pub struct RegionSelector {
    policy: RegionPolicy,
    home: Name,
    wait_ms: f64,
    rate: f64,
    request_ms: f64,
    remotes: IndexMap<Name, RemoteRegion>,
    updated: Option<Millis>,
}

impl RegionSelector {
    /// A selection that uses the entry's region only.
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

    /// Sets the mean time of a request at a backend server, which relates slots
    /// to requests a second.
    pub fn set_request_ms(&mut self, request_ms: f64) {
        self.request_ms = request_ms.max(1.0);
    }

    /// Takes new measurements; call a few times a second. `rate` is the entry's
    /// requests a second, `entries` the number of entries outside the other region,
    /// all of which may spill to it at the
    /// same time. Without a fresh measurement an allowance stays as it is.
    pub fn update(&mut self, now: Millis, rate: f64, entries: u32, measures: &[RegionMeasurement]) {
        let passed = self.updated.map_or(0, |at| now.since(at)).min(1_000) as f64 / 1_000.0;
        self.updated = Some(now);
        self.rate = rate;
        for m in measures.iter().filter(|m| m.region == self.home) {
            self.wait_ms = m.wait_ms;
        }
        let per_slot = 1_000.0 / self.request_ms / f64::from(entries.max(1));
        for m in measures.iter().filter(|m| m.region != self.home) {
            let remote = self.remotes.entry(m.region.clone()).or_default();
            remote.adjust_allowance(now, m, per_slot, f64::from(entries.max(1)));
        }
        for remote in self.remotes.values_mut() {
            remote.refill(now, passed);
        }
    }

    /// The other region for a request that would wait `wait_ms` here, if one is
    /// better and has room. Call at most once for each request.
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

    /// The region for the next request by the measured waits alone.
    pub fn pick(&mut self) -> Name {
        self.try_spill(self.wait_ms)
            .unwrap_or_else(|| self.home.clone())
    }

    /// Share of this entry's requests that may spill to a region.
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
        per_slot: f64,
        entries: f64,
    ) {
        let fresh = now.since(m.sampled) <= MAX_MEASUREMENT_AGE_MS;
        if !fresh || m.sampled <= self.sampled {
            return;
        }
        self.sampled = m.sampled;
        self.wait_ms = m.wait_ms + m.distance_ms;
        let free = m.slots * (1.0 - REMOTE_RESERVE) - m.load;
        let room = (free * per_slot).min(m.link_spare_rate.max(0.0) / entries);
        let target = (self.spill_rate_at(m.sampled) + room).max(0.0);
        let first = !std::mem::replace(&mut self.is_measured, true);
        let gain = if first { 1.0 } else { GAIN };
        self.allowance += (target - self.allowance) * gain;
    }

    /// Requests a second that were spilled just before `at`.
    fn spill_rate_at(&self, at: Millis) -> f64 {
        let contained = |h: &&(Millis, f64)| h.0 <= at && at.since(h.0) <= SPILL_RATE_WINDOW_MS;
        let rates = self.history.iter().filter(contained).map(|h| h.1);
        let count = rates.clone().count().max(1);
        rates.sum::<f64>() / count as f64
    }

    fn refill(&mut self, now: Millis, passed: f64) {
        if passed > 0.0 {
            let rate = f64::from(self.spilled) / passed;
            self.history.push_back((now, rate));
            self.spilled = 0;
        }
        if self.history.len() > SPILL_HISTORY_LEN {
            self.history.pop_front();
        }
        let most = (self.allowance * passed).max(1.0);
        self.credit = (self.credit + self.allowance * passed).min(most);
    }
}
