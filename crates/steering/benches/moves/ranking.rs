//! Moves, shares and cache hits of rankings, without regard to load.

use indexmap::IndexSet;
use pomelovale_steering::affinity::{weight, Score};
use pomelovale_steering::region_assignment::hash;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

const OBJECTS: u64 = 60_000;
const SERVERS: u64 = 120;
/// Objects that are requested in the run that counts cache hits, and objects that a server
/// keeps for each of its slots.
const CACHED_OBJECTS: u64 = 3_000;
const CACHE_PER_SLOT: usize = 3;
/// Requests before a change of the list, and after it.
const REQUESTS: u64 = 60_000;
/// Points of a server on the ring for each of its slots.
const RING_POINTS: u64 = 20;
/// Greatest share of a server on the ring, relative to its size.
const RING_BOUND: f64 = 1.25;
/// Number of fixed subsets.
const SUBSETS: u64 = 20;

#[derive(Clone, Copy)]
struct Server {
    id: u64,
    slots: u32,
}

impl Server {
    fn new(id: u64) -> Server {
        let slots = match id % 6 {
            0 => 6,
            1 => 18,
            _ => 9,
        };
        Server { id, slots }
    }
}

#[derive(Clone, Copy, Debug)]
enum Scheme {
    /// Rendezvous hashing without regard to sizes, as placement had it before.
    Rendezvous,
    Weighted,
    BoundedRing,
    FixedSubsets,
}

const SCHEMES: [Scheme; 4] = [
    Scheme::Rendezvous,
    Scheme::Weighted,
    Scheme::BoundedRing,
    Scheme::FixedSubsets,
];

fn best<'a>(object: u64, among: impl Iterator<Item = &'a Server>, sized: bool) -> u64 {
    let score = |s: &&Server| {
        let slots = if sized { s.slots } else { 1 };
        Score::new(object, hash(&[s.id]), weight(slots, 1.0))
    };
    among.max_by_key(score).expect("a server").id
}

/// Servers in the order in which they joined, and the subset of each.
#[derive(Clone, Default)]
struct List {
    servers: Vec<Server>,
    subsets: Vec<u64>,
}

impl List {
    fn join(&mut self, server: Server) {
        let slots = |subset: &u64| -> u32 {
            let all = self.servers.iter().zip(&self.subsets);
            all.filter(|(_, s)| *s == subset)
                .map(|(s, _)| s.slots)
                .sum()
        };
        let smallest = (0..SUBSETS).min_by_key(slots).expect("a subset");
        self.servers.push(server);
        self.subsets.push(smallest);
    }

    fn leave(&mut self, id: u64) {
        let at = self.servers.iter().position(|s| s.id == id);
        let at = at.expect("listed");
        self.servers.remove(at);
        self.subsets.remove(at);
    }

    fn total(&self) -> f64 {
        self.servers.iter().map(|s| f64::from(s.slots)).sum()
    }

    /// Share that a server has by its size.
    fn ideal(&self, id: u64) -> f64 {
        let server = self.servers.iter().find(|s| s.id == id);
        server.map_or(0.0, |s| f64::from(s.slots) / self.total())
    }

    /// The server of each object.
    fn assign(&self, scheme: Scheme, objects: &[u64]) -> Vec<u64> {
        let all = |sized: bool| move |o: &u64| best(*o, self.servers.iter(), sized);
        match scheme {
            Scheme::Rendezvous => objects.iter().map(all(false)).collect(),
            Scheme::Weighted => objects.iter().map(all(true)).collect(),
            Scheme::BoundedRing => self.assign_ring(objects),
            Scheme::FixedSubsets => {
                let pick = |object: &u64| {
                    let subset = hash(&[*object, 7]) % SUBSETS;
                    let all = self.servers.iter().zip(&self.subsets);
                    let members = all.filter(|(_, s)| **s == subset).map(|(s, _)| s);
                    best(*object, members, true)
                };
                objects.iter().map(pick).collect()
            }
        }
    }

    fn assign_ring(&self, objects: &[u64]) -> Vec<u64> {
        let points = |s: &Server| {
            let (id, count) = (s.id, RING_POINTS * u64::from(s.slots));
            (0..count).map(move |n| (hash(&[id, n, 3]), id))
        };
        let mut ring: Vec<(u64, u64)> = self.servers.iter().flat_map(points).collect();
        ring.sort_unstable();
        let room = |s: &Server| RING_BOUND * objects.len() as f64 * self.ideal(s.id);
        let mut left: indexmap::IndexMap<u64, i64> = self
            .servers
            .iter()
            .map(|s| (s.id, room(s).ceil() as i64))
            .collect();
        let pick = |object: &u64| {
            let start = ring.partition_point(|(at, _)| *at < *object);
            let mut around = (0..ring.len()).map(|n| ring[(start + n) % ring.len()].1);
            let server = around.find(|id| left[id] > 0).expect("room");
            left[&server] -= 1;
            server
        };
        objects.iter().map(pick).collect()
    }
}

#[derive(Clone, Copy)]
enum Change {
    Join(u64),
    Leave(u64),
    /// One after the other, each in a list of its own after it has left.
    Replace(u64),
}

impl Change {
    /// The lists that follow each other, the first one included.
    fn lists(self) -> Vec<List> {
        let mut list = List::default();
        (0..SERVERS).for_each(|id| list.join(Server::new(id)));
        let mut lists = vec![list.clone()];
        // Spread over the sizes: 7 and 120 have no common factor.
        let old = |n: u64| n * 7 % SERVERS;
        // A server that replaces another one has its size.
        let new = |n: u64| Server {
            id: SERVERS + n,
            slots: Server::new(n).slots,
        };
        match self {
            Change::Join(count) => (0..count).for_each(|n| list.join(new(n))),
            Change::Leave(count) => (0..count).for_each(|n| list.leave(old(n))),
            Change::Replace(count) => {
                for n in 0..count {
                    list.leave(old(n));
                    lists.push(list.clone());
                    list.join(new(old(n)));
                    lists.push(list.clone());
                }
                return lists;
            }
        }
        lists.push(list);
        lists
    }
}

/// Share of objects that have to move so that all shares follow the sizes.
fn least(before: &List, after: &List) -> f64 {
    let gain = |s: &Server| (after.ideal(s.id) - before.ideal(s.id)).max(0.0);
    after.servers.iter().map(gain).sum()
}

/// Mean and greatest relative deviation of the shares from the sizes.
fn deviation(list: &List, assigned: &[u64]) -> (f64, f64) {
    let mut counts = vec![0.0; 4 * SERVERS as usize];
    assigned.iter().for_each(|id| counts[*id as usize] += 1.0);
    let ratio = |s: &Server| {
        let share = counts[s.id as usize] / assigned.len() as f64;
        (share / list.ideal(s.id) - 1.0).abs()
    };
    let all: Vec<f64> = list.servers.iter().map(ratio).collect();
    let mean = all.iter().sum::<f64>() / all.len() as f64;
    (mean, all.iter().copied().fold(0.0, f64::max))
}

/// Cache misses of the requests after the last list has come into force, as a share of them.
/// The lists follow each other at equal distances until then.
fn misses(scheme: Scheme, lists: &[List]) -> f64 {
    let objects: Vec<u64> = (0..CACHED_OBJECTS).map(|n| hash(&[n, 5])).collect();
    let mut caches = vec![IndexSet::new(); 4 * SERVERS as usize];
    let mut rng = SmallRng::seed_from_u64(17);
    let mut missed = 0;
    for (i, list) in lists.iter().enumerate() {
        let assigned = list.assign(scheme, &objects);
        let requests = match i {
            0 => REQUESTS,
            _ => REQUESTS / (lists.len() as u64 - 1),
        };
        for _ in 0..requests {
            // Square of a uniform draw: a few objects get most of the requests.
            let draw: f64 = rng.random();
            let n = (draw * draw * CACHED_OBJECTS as f64) as usize;
            let id = assigned[n];
            let cache = &mut caches[id as usize];
            missed += u64::from(!cache.shift_remove(&n) && i > 0);
            cache.insert(n);
            if cache.len() > CACHE_PER_SLOT * Server::new(id % SERVERS).slots as usize {
                cache.shift_remove_index(0);
            }
        }
    }
    missed as f64 / REQUESTS as f64
}

pub fn compare() {
    println!("\nmoves: {SERVERS} servers of 6, 9 and 18 slots, {OBJECTS} objects; all but the first column in %");
    println!("change         ranking        moved  least  deviation: mean  max  cache misses  without change");
    let objects: Vec<u64> = (0..OBJECTS).map(|n| hash(&[n, 5])).collect();
    let changes = [1, SERVERS / 10, SERVERS / 4];
    let join = changes.map(|n| (format!("join {n}"), Change::Join(n)));
    let leave = changes.map(|n| (format!("leave {n}"), Change::Leave(n)));
    let replace = changes.map(|n| (format!("replace {n}"), Change::Replace(n)));
    for (label, change) in leave.into_iter().chain(join).chain(replace) {
        let lists = change.lists();
        let least: f64 = lists.windows(2).map(|w| least(&w[0], &w[1])).sum();
        for scheme in SCHEMES {
            let assigned: Vec<Vec<u64>> =
                lists.iter().map(|l| l.assign(scheme, &objects)).collect();
            let differ = |w: &[Vec<u64>]| w[0].iter().zip(&w[1]).filter(|(a, b)| a != b).count();
            let moved: usize = assigned.windows(2).map(differ).sum();
            let last = lists.len() - 1;
            let (mean, max) = deviation(&lists[last], &assigned[last]);
            let same = [lists[0].clone(), lists[0].clone()];
            println!(
                "{label:14} {:13} {:6.1} {:6.1} {:16.1} {:4.0} {:13.1} {:15.1}",
                format!("{scheme:?}"),
                moved as f64 / OBJECTS as f64 * 100.0,
                least * 100.0,
                mean * 100.0,
                max * 100.0,
                misses(scheme, &lists) * 100.0,
                misses(scheme, &same) * 100.0,
            );
        }
    }
}
