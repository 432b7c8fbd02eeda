//! Selection of the region for a request of one service on one entry.

use indexmap::IndexMap;
use pomelovale_state::{Millis, Name};

/// Oldest measurement that may cause a change, in milliseconds.
pub const MEASURE_MAX_MS: u64 = 2_000;

/// Part of a remote region's slots that must stay free of spilled work.
const REMOTE_RESERVE: f64 = 0.2;

/// Most that the spilled share changes in a second.
const CHANGE_PER_SECOND: f64 = 0.1;

/// Difference of waits that is ignored, in milliseconds.
const DEAD_BAND_MS: f64 = 10.0;

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
pub struct RegionMeasure {
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
    pub link_free: f64,
    /// When the load was measured.
    pub sampled: Millis,
}

/// Chooses regions for one service on one entry.
#[derive(Clone, Debug)]
pub struct Regions {
    policy: RegionPolicy,
    home: Name,
    shares: IndexMap<Name, f64>,
    credits: IndexMap<Name, f64>,
    updated: Option<Millis>,
}

impl Regions {
    /// A selection that uses the entry's region only.
    pub fn new(policy: RegionPolicy, home: &Name) -> Regions {
        Regions {
            policy,
            home: home.clone(),
            shares: IndexMap::new(),
            credits: IndexMap::new(),
            updated: None,
        }
    }

    /// Adjusts the spilled shares by new measurements. `rate` is the entry's
    /// requests a second, `entries` the number of entries that may spill at the
    /// same time. Without a fresh measurement of both ends a share stays.
    pub fn update(&mut self, now: Millis, rate: f64, entries: u32, measures: &[RegionMeasure]) {
        let passed = self.updated.map_or(0, |at| now.since(at)).min(1_000);
        self.updated = Some(now);
        let step = CHANGE_PER_SECOND * passed as f64 / 1_000.0;
        let fresh = |m: &&RegionMeasure| now.since(m.sampled) <= MEASURE_MAX_MS;
        let Some(local) = measures
            .iter()
            .filter(fresh)
            .find(|m| m.region == self.home)
        else {
            return;
        };
        for remote in measures
            .iter()
            .filter(fresh)
            .filter(|m| m.region != self.home)
        {
            let share = self.shares.entry(remote.region.clone()).or_insert(0.0);
            let change = wanted_change(local, remote);
            let most = share_limit(remote, rate, entries, *share);
            *share = (*share + change * step).clamp(0.0, most.max(*share - step).max(0.0));
        }
    }

    /// The region for the next request.
    pub fn pick(&mut self) -> Name {
        if self.policy == RegionPolicy::NoSpill {
            return self.home.clone();
        }
        for (region, share) in &self.shares {
            let credit = self.credits.entry(region.clone()).or_insert(0.0);
            *credit += share;
            if *credit >= 1.0 {
                *credit -= 1.0;
                return region.clone();
            }
        }
        self.home.clone()
    }

    /// Share of requests spilled to a region.
    pub fn share(&self, region: &Name) -> f64 {
        self.shares.get(region).copied().unwrap_or(0.0)
    }
}

fn wanted_change(local: &RegionMeasure, remote: &RegionMeasure) -> f64 {
    let gain = local.wait_ms - remote.wait_ms - remote.distance_ms;
    match gain {
        g if g > DEAD_BAND_MS => 1.0,
        g if g < -DEAD_BAND_MS => -1.0,
        _ => 0.0,
    }
}

/// Largest share that the remote headroom and the link can take.
fn share_limit(remote: &RegionMeasure, rate: f64, entries: u32, share: f64) -> f64 {
    let free = remote.slots * (1.0 - REMOTE_RESERVE) - remote.load;
    let headroom = match free > 0.0 && remote.slots > 0.0 {
        true => share + free / remote.slots / f64::from(entries.max(1)),
        false => 0.0,
    };
    let link = match rate > 0.0 {
        true => share + remote.link_free.max(0.0) / rate / f64::from(entries.max(1)),
        false => 0.0,
    };
    headroom.min(link).clamp(0.0, 0.5)
}
