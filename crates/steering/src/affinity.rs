//! Which servers hold an object, and which of them may serve it now.
//!
//! The servers of an object are ranked by weighted rendezvous hashing: each server draws a
//! number by a hash of the object and its own name, and a larger server draws a better one
//! more often, in proportion to its slots. A server that is removed or added changes only the
//! ranking of the objects that it had or gets. The first three servers of the ranking are the
//! holders of the object. It leaves the first one only for the next in its own ranking, and
//! only while the first one has no room.

use std::cmp::Ordering;

use indexmap::IndexMap;
use pomelovale_state::Millis;

use crate::placement::LoadReport;
use crate::region_assignment::hash;

/// Greatest number of servers that serve an object while they have room.
pub const HOLDERS_MAX: usize = 3;
/// Shortest time between two switches of the ranking, in milliseconds.
pub const SWITCH_MIN_MS: u64 = 5_000;
/// Utilization at which objects are ranked by failure domain again, relative to the one
/// above which they are ranked by region.
const RETURN_FACTOR: f64 = 0.8;
/// Time constant of the average demand for an object, in milliseconds.
const DEMAND_MS: f64 = 1_000.0;
/// Time without requests after which an object is forgotten, in milliseconds: a server that
/// gets requests for other objects has evicted it by then.
const OBJECT_TTL_MS: u64 = 10_000;
/// Number of objects that are remembered, about 200 KB. Others count as objects with
/// little demand.
const OBJECTS_MAX: usize = 4_096;
/// Shortest time between two searches for objects to forget, in milliseconds.
const SWEEP_MIN_MS: u64 = 1_000;
/// Number of steps in which a server that joins takes over its objects. Instances that
/// learn of it at different times disagree on the objects of one step at most.
const JOIN_STEPS: f64 = 16.0;
/// Slowdown and failure rate from which a server counts as one without room.
const POOR_SLOWDOWN: f64 = 1.8;
const POOR_FAILURES: f64 = 0.2;

/// Rank of a server for an object; the greatest is the first.
#[derive(Clone, Copy, Debug)]
pub struct Score {
    // Logarithm of the uniform draw over the weight; at most 0.
    draw: f64,
    // Decides between equal draws, so that servers of one size are ordered by it alone.
    hash: u64,
}

impl Score {
    /// Below all others.
    pub const LOWEST: Score = Score {
        draw: f64::NEG_INFINITY,
        hash: 0,
    };

    /// Score of a server for an object. `server` is a hash of its name, `weight` its size
    /// in slots; a server without weight is ranked last.
    pub fn new(object: u64, server: u64, weight: f64) -> Score {
        let hash = hash(&[object, server]);
        let uniform = (hash as f64 + 0.5) / (u64::MAX as f64);
        Score {
            draw: uniform.min(1.0).ln() / weight.max(f64::MIN_POSITIVE),
            hash,
        }
    }
}

impl Eq for Score {}

impl Ord for Score {
    fn cmp(&self, other: &Score) -> Ordering {
        let by_draw = self.draw.total_cmp(&other.draw);
        by_draw.then(self.hash.cmp(&other.hash))
    }
}

impl PartialEq for Score {
    fn eq(&self, other: &Score) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}

impl PartialOrd for Score {
    fn partial_cmp(&self, other: &Score) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

/// Size of a server in the ranking. `warmth` is the share of its cold period that has passed,
/// from 0 to 1: while its size grows, objects only move towards it, each of them once.
pub fn weight(slots: u32, warmth: f64) -> f64 {
    let step = (warmth.clamp(0.0, 1.0) * JOIN_STEPS).floor() / JOIN_STEPS;
    f64::from(slots.max(1)) * step
}

/// The highest-ranked servers of an object, first one first.
#[derive(Clone, Copy, Debug)]
pub struct Holders {
    top: [(Score, usize); HOLDERS_MAX],
    count: usize,
}

impl Default for Holders {
    fn default() -> Holders {
        Holders {
            top: [(Score::LOWEST, usize::MAX); HOLDERS_MAX],
            count: 0,
        }
    }
}

impl Holders {
    /// Ranks a server, given by its index.
    pub fn add(&mut self, score: Score, index: usize) {
        let place = self.top[..self.count].iter().position(|t| score > t.0);
        let place = place.unwrap_or(self.count);
        if place < HOLDERS_MAX {
            self.top[place..].rotate_right(1);
            self.top[place] = (score, index);
            self.count = (self.count + 1).min(HOLDERS_MAX);
        }
    }

    /// The indices of the holders, in the order of their rank.
    pub fn indices(&self) -> impl Iterator<Item = usize> + '_ {
        self.top[..self.count].iter().map(|(_, index)| *index)
    }
}

/// Whether a server can take a further request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Room {
    /// It has a free slot and answers as usual.
    Free,
    /// A request would wait there, or the server is slow or fails.
    Full,
    /// It may not be sent requests now.
    Closed,
}

impl Room {
    /// Room of an open server. `load` is the number of its requests.
    pub fn of(load: f64, slots: u32, slowdown: f64, failures: f64) -> Room {
        match load + 1.0 - f64::from(slots.max(1)) {
            ahead if ahead >= 0.5 => Room::Full,
            _ if slowdown >= POOR_SLOWDOWN || failures >= POOR_FAILURES => Room::Full,
            _ => Room::Free,
        }
    }
}

/// Number of holders that the demand for an object calls for: its requests that run at a time,
/// divided by the slots of its first server, but at least 1 and at most [`HOLDERS_MAX`].
pub fn holders_wanted(running: f64, slots: u32) -> usize {
    let full = (running / f64::from(slots.max(1))) as usize;
    full.saturating_add(1).min(HOLDERS_MAX)
}

/// Number of holders, in the order of their rank, that a request may go to: up to the one by
/// which `wanted` of them have room, or all. So a later one is used only while those before it
/// have no room.
pub fn reach(rooms: impl Iterator<Item = Room>, wanted: usize) -> usize {
    let (mut count, mut free) = (0, 0);
    for room in rooms {
        if free >= wanted {
            break;
        }
        count += 1;
        free += usize::from(room == Room::Free);
    }
    count
}

/// Whether a server gets no requests for a while after it has shed one: its report shows no
/// free slot, or it has shed another request just before.
pub fn pauses(report: Option<LoadReport>, again: bool) -> bool {
    again || report.is_some_and(|r| r.waiting > 0 || r.running >= r.slots)
}

/// Whether objects are ranked among the servers of a failure domain or of a region.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Scope {
    /// One holder in each failure domain.
    #[default]
    Domain,
    /// One holder in the region.
    Region,
}

/// Follows the utilization of a region and switches the scope with hysteresis.
#[derive(Clone, Copy, Debug, Default)]
pub struct ScopeSwitch {
    scope: Scope,
    switched_at: Option<Millis>,
}

impl ScopeSwitch {
    /// The present scope.
    pub fn scope(&self) -> Scope {
        self.scope
    }

    /// Records the utilization of the region. `limit` is the one above which objects are
    /// ranked by region.
    pub fn record(&mut self, now: Millis, utilization: f64, limit: f64) {
        let wanted = match self.scope {
            Scope::Domain if utilization > limit => Scope::Region,
            Scope::Region if utilization < limit * RETURN_FACTOR => Scope::Domain,
            scope => scope,
        };
        let held = |at: Millis| now.since(at) < SWITCH_MIN_MS;
        if wanted != self.scope && !self.switched_at.is_some_and(held) {
            (self.scope, self.switched_at) = (wanted, Some(now));
        }
    }
}

/// Counts of requests and objects since they were last taken.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct MoveCounts {
    /// Requests that were placed on a server other than the first of their object.
    pub displaced: u64,
    /// Requests that were placed on another server than the one before for their object, and
    /// on one that isn't known to have it.
    pub moved: u64,
}

#[derive(Clone, Copy, Debug)]
struct Usage {
    // Decaying number of requests.
    count: f64,
    at: Millis,
    // Hash of the server that got the last request.
    server: u64,
}

impl Usage {
    fn count(&self, now: Millis) -> f64 {
        self.count * (-(now.since(self.at) as f64) / DEMAND_MS).exp()
    }
}

/// Demand for the objects of one service, as one instance sees it, and where they were sent.
#[derive(Clone, Debug, Default)]
pub struct Demand {
    objects: IndexMap<u64, Usage>,
    swept_at: Millis,
    counts: MoveCounts,
}

impl Demand {
    /// Average requests per second for an object.
    pub fn rate(&self, now: Millis, object: u64) -> f64 {
        let usage = self.objects.get(&object);
        usage.map_or(0.0, |u| u.count(now) * 1_000.0 / DEMAND_MS)
    }

    /// Records that a request for an object is sent to a server, given by a hash of its name,
    /// whether that is the first one of the object, and whether it is known to have it.
    pub fn record(
        &mut self,
        now: Millis,
        object: u64,
        server: u64,
        (is_first, is_known): (bool, bool),
    ) {
        self.counts.displaced += u64::from(!is_first);
        let before = self.objects.get(&object).copied();
        let changes = before.is_some_and(|u| u.server != server);
        self.counts.moved += u64::from(changes && !is_known);
        if before.is_none() && !self.has_place(now) {
            return;
        }
        let count = before.map_or(0.0, |u| u.count(now)) + 1.0;
        let at = now;
        self.objects.insert(object, Usage { count, at, server });
    }

    fn has_place(&mut self, now: Millis) -> bool {
        if self.objects.len() >= OBJECTS_MAX && now.since(self.swept_at) >= SWEEP_MIN_MS {
            self.swept_at = now;
            self.objects.retain(|_, u| now.since(u.at) < OBJECT_TTL_MS);
        }
        self.objects.len() < OBJECTS_MAX
    }

    /// Returns the counts since the last call.
    pub fn take_counts(&mut self) -> MoveCounts {
        std::mem::take(&mut self.counts)
    }
}
