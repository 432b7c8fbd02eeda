//! Division of one region's requests between its own and other regions.
//!
//! Answers a load that is unlike the room of its region: regions have unequal
//! numbers of servers, and demand moves between them in waves. Objects are
//! divided, not requests, so that an object stays where it is held, and the
//! division moves in small steps, so that no region is hit by a sudden shift.

use pomelovale_state::Name;

/// Time between two steps, in milliseconds.
pub const STEP_MS: u64 = 200;
/// Most that one step shifts. Ten steps fit into 2 s, so that at most 0.06 of
/// the requests change their region in that time.
const STEP: f64 = 0.006;
/// Utilization of the own region above which more is sent away.
const BUSY: f64 = 0.9;
/// Utilization of the other regions up to which they can take more.
const ROOM: f64 = 0.6;
/// Part of the requests that may leave their object's region because there is
/// no room, and the most that is saved up for a moment.
const SPILL: (f64, f64) = (0.04, 3.0);
/// What a look for room in other regions costs of that if there is none.
const MISS: f64 = 0.5;
/// Largest part of the requests that a region with servers sends away.
const PART_MAX: f64 = 0.9;

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

/// The regions that the objects of one region go to.
#[derive(Clone, Debug)]
pub struct Spread {
    home: Name,
    // Part of the objects that leave the region, and the part that would serve
    // equal demand of all regions evenly.
    part: f64,
    fair: f64,
    used: bool,
    // The other regions and their slots.
    others: Vec<(Name, u32)>,
    local: u32,
    // Requests that may leave their region now.
    spills: f64,
}

impl Spread {
    /// Keeps everything at home until the rooms are known.
    pub fn new(home: &Name) -> Spread {
        Spread {
            home: home.clone(),
            part: 0.0,
            fair: 0.0,
            used: false,
            others: Vec::new(),
            local: 0,
            spills: 0.0,
        }
    }

    /// Takes over the slots of all regions. Up to the first request, the
    /// division is the one that serves equal demand of all regions evenly.
    pub fn set_rooms(&mut self, rooms: &[(Name, u32)]) {
        let total: u32 = rooms.iter().map(|(_, slots)| slots).sum();
        let here = rooms.iter().find(|(name, _)| *name == self.home);
        self.local = here.map_or(0, |(_, slots)| *slots);
        let others = rooms
            .iter()
            .filter(|(n, slots)| *n != self.home && *slots > 0);
        self.others = others.cloned().collect();
        if total > 0 {
            let even = f64::from(total) / rooms.len() as f64;
            self.fair = (1.0 - f64::from(self.local) / even).clamp(0.0, PART_MAX);
        }
        if !self.used {
            self.part = self.fair;
        }
    }

    /// The region of an object.
    pub fn region(&self, object: u64) -> Name {
        let away = self.local == 0 || unit(hash(&[object, 1])) < self.part;
        if !away || self.others.is_empty() {
            return self.home.clone();
        }
        // Weighted rendezvous: when a region gains or loses room, only the
        // objects that it gains or loses move.
        let score = |(name, slots): &(Name, u32)| {
            let draw = unit(hash(&[object, hash_bytes(name.as_bytes())]));
            -draw.max(f64::MIN_POSITIVE).ln() / f64::from(*slots)
        };
        let best = self
            .others
            .iter()
            .min_by(|a, b| score(a).total_cmp(&score(b)));
        best.map_or_else(|| self.home.clone(), |(name, _)| name.clone())
    }

    /// Counts a request towards those that may leave their region.
    pub fn note_request(&mut self) {
        self.used = true;
        self.spills = (self.spills + SPILL.0).min(SPILL.1);
    }

    /// Whether one request may leave its region.
    pub fn may_spill(&self) -> bool {
        self.spills >= 1.0
    }

    /// Counts a request that left its region.
    pub fn spill(&mut self) {
        self.spills -= 1.0;
    }

    /// Counts a request for which no other region had room. Looking for it costs
    /// as much as all other decisions, so that it is not repeated for each.
    pub fn miss(&mut self) {
        self.spills -= MISS;
    }

    /// Takes a step: away from a busy region while the others are known to have
    /// room, else towards an even division. `local` and `remote` are the
    /// utilizations of this region and of the others.
    pub fn step(&mut self, local: f64, remote: Option<f64>) {
        let room = remote.is_some_and(|r| r < ROOM);
        let target = match local > BUSY && room && !self.others.is_empty() {
            true => PART_MAX,
            false => self.fair,
        };
        self.part += (target - self.part).clamp(-STEP, STEP);
    }

    /// Takes over the part that another instance of the region arrived at.
    pub fn set_part(&mut self, part: f64) {
        self.part = part.clamp(0.0, PART_MAX);
    }

    /// Part of the objects that go to other regions.
    pub fn part(&self) -> f64 {
        self.part
    }
}

fn unit(hash: u64) -> f64 {
    (hash >> 11) as f64 / (1u64 << 53) as f64
}
