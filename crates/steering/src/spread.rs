//! Division of one region's requests between its own and other regions.
//!
//! Answers a load that is unlike the room of its region: regions have unequal
//! numbers of servers, and demand moves between them in waves. Objects are
//! divided, not requests, so that an object stays where it is held, and the
//! division moves in small steps, so that no region is hit by a sudden shift.

use pomelovale_state::Name;

/// Time between two steps, in milliseconds.
pub const STEP_MS: u64 = 200;
/// Most that one step shifts. Ten steps fit into 2 s, so that at limit 0.06 of
/// the requests change their region in that time.
const STEP_MAX: f64 = 0.006;
/// Utilization of the own region above which more is sent away.
const OVERFLOW_UTILIZATION: f64 = 0.9;
/// Utilization of the other regions up to which they can take more.
const SPARE_UTILIZATION: f64 = 0.6;
/// Utilization at which another region counts as full, and the least part of its
/// slots that counts nevertheless, so that its load stays known.
const FULL_UTILIZATION: f64 = 1.1;
const CAPACITY_FACTOR_MIN: f64 = 0.1;
/// Part of the requests that may leave their object's region because there is
/// no room, and the limit that is saved up for a moment.
const SPILL_BUDGET: (f64, f64) = (0.04, 3.0);
/// What a look for room in other regions costs of that if there is none.
const FAILED_SPILL_COST: f64 = 0.5;
/// Largest part of the requests that a region with servers sends away.
const REMOTE_SHARE_MAX: f64 = 0.9;

/// Mixes integers into a hash that is the same on all instances.
pub fn hash(parts: &[u64]) -> u64 {
    let mix = |h: u64, part: &u64| {
        let mut z = (h ^ part).wrapping_add(0x9e37_79b9_7f4a_7c15);
        z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        z ^ (z >> 31)
    };
    parts.iter().fold(0, mix)
}

/// Hashes bytes, for objects and names.
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
    // Part of the slots that counts, from 0 to 1: less for a region whose own
    // demand is high.
    capacity_factor: f64,
}

impl OtherRegion {
    fn weight(&self) -> f64 {
        f64::from(self.slots) * self.capacity_factor
    }
}

/// The regions that the objects of one region go to.
#[derive(Clone, Debug)]
pub struct Spread {
    home: Name,
    // Part of the objects that leave the region, and the part that would serve
    // equal demand of all regions evenly.
    remote_share: f64,
    even_share: f64,
    has_requests: bool,
    others: Vec<OtherRegion>,
    local_slots: u32,
    // Requests that may leave their region now.
    spill_tokens: f64,
}

impl Spread {
    /// Keeps everything at home until the rooms are known.
    pub fn new(home: &Name) -> Spread {
        Spread {
            home: home.clone(),
            remote_share: 0.0,
            even_share: 0.0,
            has_requests: false,
            others: Vec::new(),
            local_slots: 0,
            spill_tokens: 0.0,
        }
    }

    /// Takes over the slots of all regions. Up to the first request, the
    /// division is the one that serves equal demand of all regions evenly.
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
        let away = self.local_slots == 0 || unit(hash(&[object, 1])) < self.remote_share;
        if !away || self.others.is_empty() {
            return self.home.clone();
        }
        // Weighted rendezvous: when a region gains or loses room, only the
        // objects that it gains or loses move.
        let score = |other: &OtherRegion| {
            let uniform = unit(hash(&[object, hash_bytes(other.name.as_bytes())]));
            -uniform.max(f64::MIN_POSITIVE).ln() / other.weight()
        };
        let best = self
            .others
            .iter()
            .min_by(|a, b| score(a).total_cmp(&score(b)));
        best.map_or_else(|| self.home.clone(), |other| other.name.clone())
    }

    /// Counts a request towards those that may leave their region.
    pub fn record_request(&mut self) {
        self.has_requests = true;
        self.spill_tokens = (self.spill_tokens + SPILL_BUDGET.0).min(SPILL_BUDGET.1);
    }

    /// Whether one request may leave its region.
    pub fn may_spill(&self) -> bool {
        self.spill_tokens >= 1.0
    }

    /// Counts a request that left its region.
    pub fn record_spill(&mut self) {
        self.spill_tokens -= 1.0;
    }

    /// Counts a request for which no other region had room. Looking for it costs
    /// as much as all other decisions, so that it is not repeated for each.
    pub fn record_failed_spill(&mut self) {
        self.spill_tokens -= FAILED_SPILL_COST;
    }

    /// Takes a step: away from a busy region while the others are known to have
    /// room, else towards an even division, and among the others towards those
    /// with room. `local` is the utilization of this region, `remote` those of
    /// the other regions, as far as they are known.
    pub fn step(&mut self, local: f64, remote: &[(Name, f64)]) {
        let used = |o: &OtherRegion| {
            let known = remote.iter().find(|(n, _)| *n == o.name);
            known.map(|(_, used)| (f64::from(o.slots), *used))
        };
        let known: Vec<(f64, f64)> = self.others.iter().filter_map(used).collect();
        let slots: f64 = known.iter().map(|(slots, _)| slots).sum();
        let busy: f64 = known.iter().map(|(slots, used)| slots * used).sum();
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

    // Moves at limit a part `limit` of what leaves the region towards the regions
    // with room.
    fn rebalance_others(&mut self, remote: &[(Name, f64)], limit: f64) {
        let total: f64 = self.others.iter().map(OtherRegion::weight).sum();
        let target_weight = |o: &OtherRegion| {
            let used = remote.iter().find(|(n, _)| *n == o.name);
            let spare = (FULL_UTILIZATION - used.map_or(0.0, |(_, used)| *used))
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

    /// Takes over the part that another instance of the region arrived at.
    pub fn set_remote_share(&mut self, share: f64) {
        self.remote_share = share.clamp(0.0, REMOTE_SHARE_MAX);
    }

    /// Part of the objects that go to other regions.
    pub fn remote_share(&self) -> f64 {
        self.remote_share
    }
}

fn unit(hash: u64) -> f64 {
    (hash >> 11) as f64 / (1u64 << 53) as f64
}
