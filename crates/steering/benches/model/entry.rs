//! A simulated entry with the library's policies for one service.

use std::collections::HashMap;

use pomelovale_state::{Millis, Name};
use pomelovale_steering::admission::{Admission, AdmissionLimits};
use pomelovale_steering::balancer::{Balancer, EntryInfo, RegionLoad, ServerInfo};
use pomelovale_steering::hedge::Hedge;
use pomelovale_steering::region::{RegionMeasurement, RegionSelector};
use pomelovale_steering::retry::{RetryBudget, RetryPolicy};

use super::plan::{domain, region, PolicySet};

/// Requests per second of 16 KiB each that a link of 4 Gbit/s carries.
const LINK_RATE: f64 = 30_000.0;

pub struct Entry {
    pub info: EntryInfo,
    pub index: usize,
    pub alive: bool,
    pub admission: Admission,
    pub balancer: Balancer,
    pub regions: RegionSelector,
    pub budget: RetryBudget,
    pub hedge: Hedge,
    pub arrived: u32,
    /// Number of idle connections to each server.
    pub idle: HashMap<usize, u32>,
}

impl Entry {
    pub fn new(i: usize, policies: &PolicySet, seed: u64) -> Entry {
        let info = Entry::info(i);
        Entry {
            index: i,
            alive: true,
            admission: Admission::new(policies.admission, AdmissionLimits::default()),
            balancer: Balancer::new(policies.balancer, seed ^ (i as u64) << 32),
            regions: RegionSelector::new(policies.region, &info.region),
            budget: RetryBudget::new(RetryPolicy::Budget),
            hedge: Hedge::new(policies.hedge),
            arrived: 0,
            idle: HashMap::new(),
            info,
        }
    }

    pub fn info(i: usize) -> EntryInfo {
        EntryInfo {
            name: Name::from(format!("e{i:02}")),
            region: region(i),
            domain: domain(i),
            leaving: false,
        }
    }

    /// Applies a new document.
    pub fn apply_document(&mut self, now: Millis, servers: &[ServerInfo], entries: &[EntryInfo]) {
        self.balancer.set_entries(now, &self.info.name, entries);
        self.balancer.set_servers(now, servers);
        let home = |r: &Name| r == &self.info.region;
        let slots = servers
            .iter()
            .filter(|s| home(&s.region) && !s.leaving)
            .map(|s| s.slots);
        let near = entries.iter().filter(|e| home(&e.region) && !e.leaving);
        self.admission
            .set_bounds_from_slots(slots.sum(), near.count() as u32);
    }

    /// Updates the region selector; called every `every_ms`.
    pub fn update_regions(&mut self, now: Millis, every_ms: u64, entries: u32) {
        let rate = f64::from(self.arrived) * 1_000.0 / every_ms as f64;
        self.arrived = 0;
        let loads = self.balancer.region_loads(now);
        let measures: Vec<RegionMeasurement> = loads.iter().map(|l| self.measure(now, l)).collect();
        if self.admission.uncongested_ms() > 0.0 {
            self.regions.set_request_ms(self.admission.uncongested_ms());
        }
        self.regions.update(now, rate, entries, &measures);
    }

    fn measure(&self, now: Millis, load: &RegionLoad) -> RegionMeasurement {
        let home = load.region == self.info.region;
        let queue_ms = if home {
            self.admission.drain_time_ms()
        } else {
            0.0
        };
        RegionMeasurement {
            region: load.region.clone(),
            slots: f64::from(load.slots),
            load: load.load,
            wait_ms: load.wait_ms + queue_ms,
            distance_ms: if home { 0.0 } else { 110.0 },
            spare_rate: LINK_RATE,
            sampled: now.minus(load.oldest_ms.unwrap_or(u64::MAX)),
        }
    }
}
