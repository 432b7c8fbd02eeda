//! Choice of the cheapest server for a request.

use pomelovale_state::{Millis, Name};
use rand::Rng;

use super::{Placement, PlacementRequest, Server};
use crate::affinity::{holders_wanted, reach, weight, Holders, Room, Scope, Score};
use crate::estimate::{Held, WorkEstimate};
use crate::region_assignment::{hash, hash_bytes};

/// Number of highest-ranked servers of the own failure domain. A server that has
/// just joined and is among them is treated as holding the object.
const PRIMARIES_PER_DOMAIN: usize = 2;
/// Cost of sending a request to a server other than the highest-ranked one,
/// relative to the work of a request on a server that holds its object. Without
/// it, all objects end up on all servers, and evict each other there.
const NON_PRIMARY_PENALTY: f64 = 0.5;
/// The same for one of many instances that place requests beside each other. Each knows a
/// small part of the load, and leaves the highest-ranked server at another moment for another
/// server. With a lower cost, a busy region whose objects are cold stays so: requests leave
/// busy servers for others that don't hold their object, where they take longer, so that
/// all servers stay busy.
const MANY_INSTANCES_PENALTY: f64 = 4.0;
/// Number of instances of a region that may place requests beside each other for
/// [`NON_PRIMARY_PENALTY`].
pub(super) const FEW_INSTANCES: usize = 8;
/// Number of instances that may send to one cold server. Each may send one
/// request ahead of its rate, so more of them would overload the server.
const WARMUP_INSTANCES_MAX: usize = 4;
/// Share of the cold rate of a server that is used.
const COLD_RATE_UTILIZATION: f64 = 0.8;
/// Relative noise on costs, so that instances with equal views do not all pick
/// the same idle server.
const COST_NOISE: f64 = 0.06;
/// Extra cost of a server in another failure domain of the region, in
/// milliseconds: the round trip, and the price of its traffic.
const DOMAIN_COST_MS: f64 = 25.0;

struct Ranking {
    // Indices of the servers that may get the request.
    candidates: Vec<usize>,
    // Whether any of them is in the own failure domain.
    has_local: bool,
    // The highest-ranked candidates of the own failure domain, highest first;
    // `usize::MAX` if there are fewer.
    domain_primaries: [usize; PRIMARIES_PER_DOMAIN],
    // Region, score and index of the highest-ranked candidate of each region.
    region_primaries: Vec<(Name, Score, usize)>,
    // The highest-ranked candidates of all regions.
    holders: Holders,
}

pub(super) struct Candidate {
    pub(super) index: usize,
    pub(super) held: Held,
    // `expected_ms` plus the costs of a slow machine, of a cache miss and of a server that is not the
    // highest-ranked one, with noise; the lowest cost is chosen.
    pub(super) cost: f64,
    pub(super) expected_ms: f64,
    pub(super) idle: bool,
    // Whether it is the highest-ranked one.
    pub(super) is_first: bool,
}

impl Placement {
    pub(super) fn best_candidate(
        &mut self,
        now: Millis,
        request: &PlacementRequest,
        allowed: &dyn Fn(&Name) -> bool,
    ) -> Option<Candidate> {
        let ranking = self.rank_servers(now, request, allowed);
        if let Some(best) = self.best_holder(now, request, &ranking) {
            return Some(best);
        }
        self.cheapest(now, request, &ranking, &ranking.candidates)
    }

    // Chooses the cheapest of some candidates.
    fn cheapest(
        &mut self,
        now: Millis,
        request: &PlacementRequest,
        ranking: &Ranking,
        among: &[usize],
    ) -> Option<Candidate> {
        let work = self.work.get(request.route).cloned().unwrap_or_default();
        // While slots are scarce, only one server of the region should hold an
        // object instead of one for each failure domain, since loading an object
        // once more costs more than the round trip to another domain.
        let one_per_region = self.scope(ranking) == Scope::Region;
        let non_primary_penalty = self.penalty() * work.expected(Held::Known, request.objective_ms);
        let mean_work = self.mean_work.expected(Held::Known, request.objective_ms);
        let mut best: Option<Candidate> = None;
        for &index in among {
            let server = &self.servers[index];
            if !server.state.may_send(now, self.cold_rate_share())
                || !self.passes_warmup_limit(now, server)
            {
                continue;
            }
            let is_primary = ranking
                .region_primaries
                .iter()
                .any(|(_, _, top)| *top == index);
            let held = match server.state.sent_recently(request.object) {
                true => Held::Known,
                // Otherwise a server that has just joined would get no requests.
                false
                    if server.state.is_newly_joined()
                        && ranking.domain_primaries.contains(&index) =>
                {
                    Held::Known
                }
                false if is_primary => Held::Likely,
                false => Held::Unlikely,
            };
            let is_preferred = match one_per_region {
                true => is_primary,
                false => ranking.domain_primaries[0] == index,
            };
            let noise = 1.0 + COST_NOISE * self.rng.random::<f64>();
            let (expected_ms, pace_cost, idle) =
                self.expected_latency(now, request, server, &work, mean_work, held);
            let miss_cost = self.miss_weight * work.miss_cost(held, request.objective_ms);
            let server_penalty = if is_preferred {
                0.0
            } else {
                non_primary_penalty
            };
            let cost = (expected_ms + pace_cost + miss_cost + server_penalty) * noise;
            if best.as_ref().is_none_or(|b| cost < b.cost) {
                best = Some(Candidate {
                    index,
                    held,
                    cost,
                    expected_ms,
                    idle,
                    is_first: is_preferred,
                });
            }
        }
        best
    }

    // With stable placement, chooses the cheapest of the holders that may serve the object. If
    // it would be late there, the first holder with a free slot is chosen. `None` if it would
    // be late at all of them, or several regions may serve it: then the cheapest of all servers
    // is chosen. The next server in the ranking after the holders would not do: in a busy
    // region, objects are then loaded on so many servers that they evict each other, and the
    // extra work keeps the region busy.
    fn best_holder(
        &mut self,
        now: Millis,
        request: &PlacementRequest,
        ranking: &Ranking,
    ) -> Option<Candidate> {
        if !self.service.stable || ranking.region_primaries.len() != 1 {
            return None;
        }
        let holders: Vec<usize> = match self.scope(ranking) {
            Scope::Region => ranking.holders.indices().collect(),
            Scope::Domain => {
                let local = ranking.domain_primaries.iter().copied();
                let mut all: Vec<usize> = local.filter(|i| *i < self.servers.len()).collect();
                let other = ranking.holders.indices().find(|i| !all.contains(i));
                all.extend(other);
                all
            }
        };
        let first = &self.servers[*holders.first()?];
        // A server that joins takes its objects over although others still have them.
        let joins = first.state.is_cold(now) && self.room(now, first) == Room::Free;
        let rooms = holders.iter().map(|i| self.room(now, &self.servers[*i]));
        let count = match joins {
            true => 1,
            false => reach(rooms, self.holders_wanted(now, request, first)),
        };
        // Those that have the object already cost no move.
        let has = |i: &usize| !joins && self.servers[*i].state.sent_recently(request.object);
        let later = holders[count..].iter().filter(|i| has(i));
        let among: Vec<usize> = holders[..count].iter().chain(later).copied().collect();
        let best = self.cheapest(now, request, ranking, &among);
        let in_time = |c: &Candidate| self.lateness_ms(request, c).is_none();
        if best.as_ref().is_some_and(in_time) {
            return best;
        }
        let has_room = |i: &usize| self.room(now, &self.servers[*i]) == Room::Free;
        let next = holders.into_iter().find(has_room)?;
        let best = self.cheapest(now, request, ranking, &[next]);
        best.filter(|c| self.lateness_ms(request, c).is_none())
    }

    // Number of holders that the demand for the object of a request calls for.
    fn holders_wanted(&self, now: Millis, request: &PlacementRequest, first: &Server) -> usize {
        let instances = (self.instances_beside + 1) as f64;
        let rate = self.demand.rate(now, request.object) * instances;
        let work_ms = self.mean_work.expected(Held::Known, request.objective_ms);
        holders_wanted(rate * work_ms / 1_000.0, first.spec.slots)
    }

    // Whether objects are ranked by failure domain or by region.
    fn scope(&self, ranking: &Ranking) -> Scope {
        match self.service.stable {
            _ if !ranking.has_local => Scope::Region,
            true => self.scope.scope(),
            false if self.miss_weight > 0.0 => Scope::Region,
            false => Scope::Domain,
        }
    }

    fn room(&self, now: Millis, server: &Server) -> Room {
        let state = &server.state;
        if !state.may_send(now, self.cold_rate_share()) || !self.passes_warmup_limit(now, server) {
            return Room::Closed;
        }
        let (slowdown, failures) = (state.slowdown(now), state.failure_rate(now));
        Room::of(state.load(now), server.spec.slots, slowdown, failures)
    }

    // Score of a server for an object. With stable placement, a cold server takes its objects
    // over step by step.
    fn score(&self, now: Millis, object: u64, server: &Server) -> Score {
        let warmth = match self.service.stable {
            true => server.state.warmth(now),
            false => 1.0,
        };
        let weight = weight(server.spec.slots, warmth);
        Score::new(object, server.state.name_hash(), weight)
    }

    // Cost of another server than the highest-ranked one, relative to the work there.
    fn penalty(&self) -> f64 {
        match self.instances_beside < FEW_INSTANCES {
            true => NON_PRIMARY_PENALTY,
            false => MANY_INSTANCES_PENALTY,
        }
    }

    // Lists the servers that may get a request, and ranks them by weighted rendezvous
    // hashing of its object.
    fn rank_servers(
        &self,
        now: Millis,
        request: &PlacementRequest,
        allowed: &dyn Fn(&Name) -> bool,
    ) -> Ranking {
        let mut ranking = Ranking {
            candidates: Vec::with_capacity(self.servers.len()),
            has_local: false,
            domain_primaries: [usize::MAX; PRIMARIES_PER_DOMAIN],
            region_primaries: Vec::new(),
            holders: Holders::default(),
        };
        let mut top_scores = [Score::LOWEST; PRIMARIES_PER_DOMAIN];
        for (index, (name, server)) in self.servers.iter().enumerate() {
            let spec = &server.spec;
            let may_get = server.takes_requests(now) && allowed(&spec.region);
            if !may_get || request.tried.contains(name) {
                continue;
            }
            ranking.candidates.push(index);
            let score = self.score(now, request.object, server);
            ranking.holders.add(score, index);
            match ranking
                .region_primaries
                .iter_mut()
                .find(|(r, ..)| *r == spec.region)
            {
                Some(top) if top.1 < score => (top.1, top.2) = (score, index),
                Some(_) => {}
                None => ranking
                    .region_primaries
                    .push((spec.region.clone(), score, index)),
            }
            if spec.domain != self.domain {
                continue;
            }
            ranking.has_local = true;
            let place = top_scores.iter().position(|top| score > *top);
            if let Some(place) = place {
                top_scores[place..].rotate_right(1);
                ranking.domain_primaries[place..].rotate_right(1);
                (top_scores[place], ranking.domain_primaries[place]) = (score, index);
            }
        }
        ranking
    }

    // Whether the limit on the senders to cold servers lets this instance send to
    // a server. True for every warm server; to a cold one, only a few instances of
    // its region may send, and share its cold rate.
    fn passes_warmup_limit(&self, now: Millis, server: &Server) -> bool {
        if self.service.cold_rate.is_none() || !server.state.is_cold(now) {
            return true;
        }
        let rank = |name: &Name| hash(&[hash_bytes(name.as_bytes()), server.state.name_hash()]);
        let own = rank(&self.instance);
        let before = self.warmup_peers.iter().filter(|p| rank(p) > own).count();
        self.may_warm && server.spec.region == self.region && before < WARMUP_INSTANCES_MAX
    }

    // Share of this instance in the cold rate of a server.
    pub(super) fn cold_rate_share(&self) -> Option<f64> {
        let instances = (self.warmup_peers.len() + 1).min(WARMUP_INSTANCES_MAX) as f64;
        self.service
            .cold_rate
            .map(|rate| rate * COLD_RATE_UTILIZATION / instances)
    }

    // Expected latency in milliseconds, what the choice adds to it for a slow machine, and
    // whether a slot is expected to be free. The latency includes the price of traffic to
    // another failure domain and a penalty for recent failures. With the addition, its work and
    // wait are multiplied by the pace; refusals by the product would reject twice as many
    // requests, most of which could be answered in time.
    fn expected_latency(
        &self,
        now: Millis,
        request: &PlacementRequest,
        server: &Server,
        work: &WorkEstimate,
        mean_work: f64,
        held: Held,
    ) -> (f64, f64, bool) {
        let round_trip_ms = match () {
            () if server.spec.domain == self.domain => 0.0,
            () if server.spec.region == self.region => {
                let measured = self.distances.domain_ms(&server.spec.domain);
                measured.unwrap_or(DOMAIN_COST_MS)
            }
            () => self.region_cost_ms(&server.spec.region),
        };
        let slowdown = server.state.slowdown(now);
        let run = work.expected(held, request.objective_ms) * slowdown;
        let slots = f64::from(server.spec.slots.max(1));
        let requests_ahead = (server.state.load(now) + 1.0 - slots).max(0.0);
        let wait = requests_ahead / slots * mean_work * slowdown;
        let risk = server.state.failure_rate(now) * request.objective_ms as f64;
        let busy = server.state.pace.duration_ms(now, run + wait);
        let pace_cost = (run + wait) * server.state.pace.factor(now) - busy;
        (round_trip_ms + busy + risk, pace_cost, requests_ahead < 0.5)
    }
}
