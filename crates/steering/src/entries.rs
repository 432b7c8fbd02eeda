//! Ranking of the entries for discovery: which entries callers use first.

use std::hash::{DefaultHasher, Hash, Hasher};

use indexmap::IndexMap;
use pomelovale_state::{Millis, Name};

use crate::balancer::EntryInfo;

/// Maximum age of a measurement that may change the ranking, in milliseconds.
pub const MAX_MEASUREMENT_AGE_MS: u64 = 5_000;

/// Maximum share of a region's callers that is diverted or returned per second.
const MAX_SHIFT_PER_SECOND: f64 = 0.01;

/// Greatest share of the callers of a region that is diverted.
const DIVERTED_SHARE_MAX: f64 = 0.5;

/// Deviation of the load from the capacity that is ignored, so that delayed
/// measurements cause no oscillation.
const DEAD_BAND: f64 = 0.05;

/// Regions whose distances round to the same multiple of this value, in
/// milliseconds, count as equally distant. The callers of a failed region are
/// spread over equally distant regions.
const EQUAL_DISTANCE_MS: f64 = 10.0;

/// How callers are distributed over regions.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum EntryPolicy {
    /// The nearest region; callers that exceed its capacity are diverted.
    Headroom,
    /// Always the nearest region; a baseline for benchmarks.
    Nearest,
}

/// Capacity and load of one region over all services.
#[derive(Clone, Debug, PartialEq)]
pub struct RegionHeadroom {
    /// The region.
    pub region: Name,
    /// Number of requests that its servers can run concurrently.
    pub capacity: f64,
    /// Number of requests at its servers.
    pub load: f64,
    /// Number of failure domains of the region.
    pub domains: u32,
    /// Time of the measurement.
    pub sampled: Millis,
}

impl RegionHeadroom {
    /// Capacity left after the loss of one failure domain.
    pub fn usable_capacity(&self) -> f64 {
        match self.domains {
            0 | 1 => self.capacity,
            n => self.capacity * (1.0 - 1.0 / f64::from(n)),
        }
    }
}

/// Ranks entries, and holds the share of each region's callers that is diverted to
/// another region.
#[derive(Clone, Debug)]
pub struct EntryRanking {
    policy: EntryPolicy,
    /// Share of each region's callers that is diverted.
    diverted: IndexMap<Name, f64>,
    /// Usable capacity minus load of each region, relative to its capacity.
    spare: IndexMap<Name, f64>,
    capacity: IndexMap<Name, f64>,
    updated: Option<Millis>,
}

impl EntryRanking {
    /// Creates a ranking that directs all callers to their nearest region.
    pub fn new(policy: EntryPolicy) -> EntryRanking {
        EntryRanking {
            policy,
            diverted: IndexMap::new(),
            spare: IndexMap::new(),
            capacity: IndexMap::new(),
            updated: None,
        }
    }

    /// Adjusts the diverted shares to new measurements. The share and the spare
    /// capacity of a region without a recent measurement stay as they are.
    pub fn update(&mut self, now: Millis, measures: &[RegionHeadroom]) {
        let elapsed_ms = self.updated.map_or(0, |at| now.since(at)).min(1_000);
        self.updated = Some(now);
        let step = MAX_SHIFT_PER_SECOND * elapsed_ms as f64 / 1_000.0;
        let fresh = |m: &&RegionHeadroom| now.since(m.sampled) <= MAX_MEASUREMENT_AGE_MS;
        for m in measures.iter().filter(fresh) {
            let spare = (m.usable_capacity() - m.load) / m.capacity.max(1.0);
            self.spare.insert(m.region.clone(), spare);
            self.capacity.insert(m.region.clone(), m.capacity);
        }
        for m in measures.iter().filter(fresh) {
            let elsewhere = self.spare.iter().filter(|(r, _)| *r != &m.region);
            let most_spare = elsewhere.map(|(_, spare)| *spare).fold(0.0, f64::max);
            let excess = m.load / m.capacity.max(1.0) - 1.0;
            let diverted = self.diverted.entry(m.region.clone()).or_insert(0.0);
            match excess {
                e if e > DEAD_BAND && most_spare > DEAD_BAND => {
                    *diverted = (*diverted + step).min(DIVERTED_SHARE_MAX)
                }
                e if e < -DEAD_BAND => *diverted = (*diverted - step).max(0.0),
                _ => {}
            }
        }
    }

    /// Share of a region's callers that is diverted to another region.
    pub fn diverted(&self, region: &Name) -> f64 {
        self.diverted.get(region).copied().unwrap_or(0.0)
    }

    /// Returns the entries in the order in which the callers of a block should try
    /// them. `distance_ms` returns the distance of a region from the block. The
    /// order within a region differs between blocks, to distribute the load.
    pub fn rank(
        &self,
        block: u64,
        entries: &[EntryInfo],
        distance_ms: impl Fn(&Name) -> f64,
    ) -> Vec<Name> {
        let mut regions: Vec<&Name> = Vec::new();
        for e in entries.iter().filter(|e| !e.leaving) {
            if !regions.contains(&&e.region) {
                regions.push(&e.region);
            }
        }
        let sort_key = |r: &Name| {
            (
                (distance_ms(r) / EQUAL_DISTANCE_MS).round(),
                self.rendezvous_key(block, r),
            )
        };
        let sort_keys: Vec<(f64, f64)> = regions.iter().map(|r| sort_key(r)).collect();
        let mut order: Vec<usize> = (0..regions.len()).collect();
        order.sort_by(|&a, &b| {
            let (a, b) = (sort_keys[a], sort_keys[b]);
            a.0.total_cmp(&b.0).then(a.1.total_cmp(&b.1))
        });
        let mut regions: Vec<&Name> = order.into_iter().map(|i| regions[i]).collect();
        self.divert(block, &mut regions);
        let position = |e: &EntryInfo| regions.iter().position(|r| *r == &e.region);
        let mut list: Vec<&EntryInfo> = entries.iter().filter(|e| !e.leaving).collect();
        list.sort_by_key(|e| (position(e), hash_block(block, &e.name)));
        list.into_iter().map(|e| e.name.clone()).collect()
    }

    /// Sort key of a region among equally distant ones, from weighted rendezvous
    /// hashing: regions are chosen in proportion to their capacity. Since capacity
    /// rarely changes, neither does the region of a block.
    fn rendezvous_key(&self, block: u64, region: &Name) -> f64 {
        let point = (hash_block(block, region) as f64 + 1.0) / (u64::MAX as f64 + 2.0);
        let capacity = self.capacity.get(region).copied().unwrap_or(1.0);
        -point.ln() / capacity.max(1.0)
    }

    /// Moves the region with the most spare capacity to the front if the block is
    /// among the diverted share of its nearest region.
    fn divert(&self, block: u64, regions: &mut Vec<&Name>) {
        let Some(&first) = regions.first() else {
            return;
        };
        let point = hash_block(block, first) as f64 / u64::MAX as f64;
        let moves = self.policy == EntryPolicy::Headroom && point < self.diverted(first);
        let spare = |r: &&&Name| self.spare.get(**r).copied().unwrap_or(0.0);
        let best = regions[1..]
            .iter()
            .max_by(|a, b| spare(a).total_cmp(&spare(b)))
            .copied();
        match best {
            Some(region) if moves => {
                regions.retain(|r| *r != region);
                regions.insert(0, region);
            }
            _ => {}
        }
    }
}

fn hash_block(block: u64, name: &Name) -> u64 {
    let mut hasher = DefaultHasher::new();
    (block, name).hash(&mut hasher);
    hasher.finish()
}
