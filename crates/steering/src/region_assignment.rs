//! Division of one region's requests between its own and other regions.
//!
//! Designed for demand that does not match the capacity of its region: regions
//! have unequal numbers of servers, and demand shifts between them over time.
//! Objects are divided, not requests, so that the requests for an object stay in
//! the region that holds it. The division changes in small steps, so that no
//! region gets a sudden increase.

use pomelovale_state::Name;

/// Time between two steps of the division, in milliseconds.
pub const STEP_MS: u64 = 200;
/// Greatest change of the share in one step. Ten steps fit into 2 s, so that at
/// most 6% of the requests change their region in that time.
const STEP_MAX: f64 = 0.006;
/// Utilization of the own region above which more objects go to other regions.
const OVERFLOW_UTILIZATION: f64 = 0.9;
/// Utilization of the other regions below which they can take more objects.
const SPARE_UTILIZATION: f64 = 0.6;
/// Utilization at which another region counts as full.
const FULL_UTILIZATION: f64 = 1.1;
/// Lower bound of the target for a region's `capacity_factor`. A full region
/// keeps some requests, so that its load stays known.
const CAPACITY_FACTOR_MIN: f64 = 0.1;
/// Spill tokens that each request adds. A request that leaves the region of its
/// object for lack of capacity takes one.
const SPILL_TOKENS_PER_REQUEST: f64 = 0.04;
/// Greatest number of spill tokens that are kept.
const SPILL_TOKENS_MAX: f64 = 3.0;
/// Tokens that a search for capacity in other regions takes if it finds none.
const FAILED_SPILL_COST: f64 = 0.5;
/// Greatest share of objects that a region with servers sends to other regions.
const REMOTE_SHARE_MAX: f64 = 0.9;

/// Hashes integers; the result is the same on all instances.
pub fn hash(parts: &[u64]) -> u64 {
    let mix = |h: u64, part: &u64| {
        let mut z = (h ^ part).wrapping_add(0x9e37_79b9_7f4a_7c15);
        z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        z ^ (z >> 31)
    };
    parts.iter().fold(0, mix)
}

/// Hashes bytes, such as those of an object or a name.
pub fn hash_bytes(bytes: &[u8]) -> u64 {
    let words = bytes.chunks(8).map(|chunk| {
        let mut word = [0; 8];
        word[..chunk.len()].copy_from_slice(chunk);
        u64::from_le_bytes(word)
    });
    words.fold(bytes.len() as u64, |h, word| hash(&[h, word]))
}

/// Another region.
#[derive(Clone, Debug)]
struct OtherRegion {
    name: Name,
    slots: u32,
    // Factor on the slots, from 0 to 1; lower for a region with high utilization.
    capacity_factor: f64,
}

impl OtherRegion {
    fn weight(&self) -> f64 {
        f64::from(self.slots) * self.capacity_factor
    }
}

/// Assigns the objects of one region to regions.
#[derive(Clone, Debug)]
pub struct RegionAssignment {
    home: Name,
    // Share of the objects that go to other regions, and the share that gives all
    // regions the same utilization if their demand is equal.
    remote_share: f64,
    even_share: f64,
    has_requests: bool,
    others: Vec<OtherRegion>,
    local_slots: u32,
    // Token bucket of the requests that may leave the region of their object; each
    // takes one token. It is fractional, and a failed search can make it negative.
    spill_tokens: f64,
}

impl RegionAssignment {
    /// Keeps all objects in the home region until the capacities are set.
    pub fn new(home: &Name) -> RegionAssignment {
        RegionAssignment {
            home: home.clone(),
            remote_share: 0.0,
            even_share: 0.0,
            has_requests: false,
            others: Vec::new(),
            local_slots: 0,
            spill_tokens: 0.0,
        }
    }

    /// Sets the slots of all regions. Before the first request, the share of other
    /// regions is set at once to the one for equal demand in all regions.
    pub fn set_capacities(&mut self, capacities: &[(Name, u32)]) {
        let total: u32 = capacities.iter().map(|(_, slots)| slots).sum();
        let here = capacities.iter().find(|(name, _)| *name == self.home);
        self.local_slots = here.map_or(0, |(_, slots)| *slots);
        let others = capacities
            .iter()
            .filter(|(n, slots)| *n != self.home && *slots > 0);
        let known = std::mem::take(&mut self.others);
        let other = |(name, slots): &(Name, u32)| {
            let before = known.iter().find(|o| o.name == *name);
            OtherRegion {
                name: name.clone(),
                slots: *slots,
                capacity_factor: before.map_or(1.0, |o| o.capacity_factor),
            }
        };
        self.others = others.map(other).collect();
        if total > 0 {
            let even = f64::from(total) / capacities.len() as f64;
            self.even_share =
                (1.0 - f64::from(self.local_slots) / even).clamp(0.0, REMOTE_SHARE_MAX);
        }
        if !self.has_requests {
            self.remote_share = self.even_share;
        }
    }

    /// The region of an object.
    pub fn region(&self, object: u64) -> Name {
        let away = self.local_slots == 0 || unit_interval(hash(&[object, 1])) < self.remote_share;
        if !away || self.others.is_empty() {
            return self.home.clone();
        }
        // Weighted rendezvous hashing: when the weight of a region changes, only
        // the objects that it gains or loses move.
        let score = |other: &OtherRegion| {
            let uniform = unit_interval(hash(&[object, hash_bytes(other.name.as_bytes())]));
            -uniform.max(f64::MIN_POSITIVE).ln() / other.weight()
        };
        let best = self
            .others
            .iter()
            .min_by(|a, b| score(a).total_cmp(&score(b)));
        best.map_or_else(|| self.home.clone(), |other| other.name.clone())
    }

    /// Records a request, which adds to the budget for spills.
    pub fn record_request(&mut self) {
        self.has_requests = true;
        self.spill_tokens = (self.spill_tokens + SPILL_TOKENS_PER_REQUEST).min(SPILL_TOKENS_MAX);
    }

    /// Whether the budget allows a request to leave the region of its object.
    pub fn may_spill(&self) -> bool {
        self.spill_tokens >= 1.0
    }

    /// Records a request that left the region of its object.
    pub fn record_spill(&mut self) {
        self.spill_tokens -= 1.0;
    }

    /// Records a request that no other region could answer in time. The search
    /// for a server in other regions doubles the time to place a request, so it
    /// must not be repeated for every request.
    pub fn record_failed_spill(&mut self) {
        self.spill_tokens -= FAILED_SPILL_COST;
    }

    /// Changes the division by one step: towards other regions while this one is
    /// busy and the others are known to have spare capacity, else towards the
    /// share for equal demand; and among the other regions towards those with
    /// spare capacity. `local` is the utilization of this region, `remote` lists
    /// those of the other regions that are known.
    pub fn step(&mut self, local: f64, remote: &[(Name, f64)]) {
        let utilization = |o: &OtherRegion| {
            let known = remote.iter().find(|(n, _)| *n == o.name);
            known.map(|(_, utilization)| (f64::from(o.slots), *utilization))
        };
        let known: Vec<(f64, f64)> = self.others.iter().filter_map(utilization).collect();
        let slots: f64 = known.iter().map(|(slots, _)| slots).sum();
        let busy: f64 = known
            .iter()
            .map(|(slots, utilization)| slots * utilization)
            .sum();
        let has_spare_capacity = slots > 0.0 && busy / slots < SPARE_UTILIZATION;
        let target =
            match local > OVERFLOW_UTILIZATION && has_spare_capacity && !self.others.is_empty() {
                true => REMOTE_SHARE_MAX,
                false => self.even_share,
            };
        let moved = (target - self.remote_share).clamp(-STEP_MAX, STEP_MAX);
        self.remote_share += moved;
        if known.len() == self.others.len() && self.remote_share > 0.0 {
            self.rebalance_others(remote, (STEP_MAX - moved.abs()) / self.remote_share);
        }
    }

    // Moves at most the share `limit` of the objects of other regions towards
    // regions with spare capacity.
    fn rebalance_others(&mut self, remote: &[(Name, f64)], limit: f64) {
        let total: f64 = self.others.iter().map(OtherRegion::weight).sum();
        let target_weight = |o: &OtherRegion| {
            let utilization = remote.iter().find(|(n, _)| *n == o.name);
            let spare = (FULL_UTILIZATION
                - utilization.map_or(0.0, |(_, utilization)| *utilization))
            .clamp(CAPACITY_FACTOR_MIN, 1.0);
            f64::from(o.slots) * spare
        };
        let target: Vec<f64> = self.others.iter().map(target_weight).collect();
        let sum: f64 = target.iter().sum();
        let shares: Vec<(f64, f64)> = self
            .others
            .iter()
            .zip(&target)
            .map(|(o, t)| (o.weight() / total, t / sum))
            .collect();
        let distance: f64 = shares.iter().map(|(a, b)| (a - b).abs()).sum::<f64>() / 2.0;
        if distance <= 0.0 {
            return;
        }
        let step = (limit / distance).min(1.0);
        let moved = shares.iter().map(|(a, b)| a + step * (b - a));
        let factors: Vec<f64> = moved
            .zip(&self.others)
            .map(|(share, o)| share / f64::from(o.slots))
            .collect();
        let top = factors.iter().copied().fold(f64::MIN_POSITIVE, f64::max);
        for (other, factor) in self.others.iter_mut().zip(factors) {
            other.capacity_factor = factor / top;
        }
    }

    /// Sets the share of objects that go to other regions to that of another
    /// instance of the region.
    pub fn set_remote_share(&mut self, share: f64) {
        self.remote_share = share.clamp(0.0, REMOTE_SHARE_MAX);
    }

    /// Share of the objects that go to other regions, from 0 to 1.
    pub fn remote_share(&self) -> f64 {
        self.remote_share
    }
}

fn unit_interval(hash: u64) -> f64 {
    (hash >> 11) as f64 / (1u64 << 53) as f64
}
