//! Round trips from one instance to failure domains and regions.
//!
//! Opening a connection takes one round trip, so that connect times measure the distance. On a
//! narrow link they also contain the time for which other data is queued there, often several
//! times the distance. An estimate therefore follows shorter times quickly and longer ones
//! slowly.

use indexmap::IndexMap;
use pomelovale_state::Name;

/// Weight of a sample that is below the estimate.
const FALL_WEIGHT: f64 = 0.5;
/// Weight of a sample that is above the estimate.
const RISE_WEIGHT: f64 = 0.01;
/// Number of samples from which an estimate is used. The first ones may be queueing delay.
const SAMPLES_MIN: u32 = 3;

#[derive(Clone, Copy, Debug)]
struct Estimate {
    ms: f64,
    samples: u32,
}

impl Estimate {
    fn record(&mut self, ms: f64) {
        let weight = match ms < self.ms {
            true => FALL_WEIGHT,
            false => RISE_WEIGHT,
        };
        self.ms += weight * (ms - self.ms);
        self.samples = self.samples.saturating_add(1);
    }
}

/// Measured round trips.
#[derive(Clone, Debug, Default)]
pub struct Distances {
    regions: IndexMap<Name, Estimate>,
    domains: IndexMap<Name, Estimate>,
}

impl Distances {
    /// Records the time that opening a connection to a server took, in milliseconds.
    pub fn record(&mut self, region: &Name, domain: &Name, connect_ms: f64) {
        let first = Estimate {
            ms: connect_ms,
            samples: 0,
        };
        let region = self.regions.entry(region.clone()).or_insert(first);
        region.record(connect_ms);
        let domain = self.domains.entry(domain.clone()).or_insert(first);
        domain.record(connect_ms);
    }

    /// Round trip to a failure domain in milliseconds, if it was measured.
    pub fn domain_ms(&self, domain: &Name) -> Option<f64> {
        measured(&self.domains, domain)
    }

    /// Round trip to a region in milliseconds, if it was measured.
    pub fn region_ms(&self, region: &Name) -> Option<f64> {
        measured(&self.regions, region)
    }
}

fn measured(estimates: &IndexMap<Name, Estimate>, name: &Name) -> Option<f64> {
    let known = estimates.get(name).filter(|e| e.samples >= SAMPLES_MIN);
    known.map(|e| e.ms)
}
