//! Placement of the requests of one service on its backend servers.
//!
//! Designed for regions in which all slots are contended, and for backend
//! servers that answer requests for an object much faster while they have it
//! cached; such a server holds the object. Every instance ranks the servers of
//! its failure domain, or of its region while that is busy, by a hash of the
//! object, so that all instances agree on the holder. A request is sent to
//! another server as soon as waiting for the holder costs more than loading the
//! object there. A request that can't be answered in time is refused at once.
//!
//! A server that has just started or returned to service is cold: for a
//! configured time it answers slowly, so it gets requests only at a limited rate
//! and from a few instances of its region.
//!
//! An instance that also places the requests of other instances is told when
//! they end, so that its counts of running requests are exact. An instance that
//! places only its own requests relies on the load reports of the servers.

mod choice;
mod scheduled;
mod types;

use std::net::SocketAddr;

use indexmap::IndexMap;
use pomelovale_state::{Millis, Name};
use rand::rngs::SmallRng;
use rand::SeedableRng;

use crate::affinity::{Demand, MoveCounts, ScopeSwitch};
use crate::availability::Availability;
use crate::distances::Distances;
use crate::estimate::{Held, ServerState, WorkEstimate};
use crate::load_exchange::SharedLoad;
use crate::pace;
use crate::region_assignment::RegionAssignment;
use crate::region_plan::{PlanFollower, RouteDemand};
use crate::server_limit::LimitNotice;

use choice::Candidate;
pub use scheduled::Found;
pub use types::{
    Chosen, LoadReport, PlacementDecision, PlacementEnd, PlacementRequest, ServerReport,
    ServerSpec, ServiceSpec,
};

/// Extra cost of a server in another region, in milliseconds: the round trip.
const REGION_COST_MS: f64 = 112.0;
/// Time for which a server that has recovered is reported to other instances,
/// in milliseconds.
const RECOVERY_NOTICE_MS: u64 = 2_000;
/// Utilization of the own region up to which loading an object on another
/// server does not slow down other requests.
const UNCONTENDED_UTILIZATION: f64 = 0.4;
/// Weight of the extra work of loading an object when all slots are busy.
/// Without it, requests leave a loaded holder, their objects are loaded on many
/// servers, and the extra work keeps all servers loaded.
const MISS_WEIGHT_MAX: f64 = 2.0;
/// The utilization of another region counts as known if at least one in this
/// many of its servers has a recent load report.
const REPORTED_ONE_IN: usize = 4;
/// Bounds of the retry delay given to a refused caller, in milliseconds.
const RETRY_AFTER_MS: (u64, u64) = (60, 2_000);
/// Longest expected latency at which a request without a free slot is still
/// sent, as a share of the latency objective; one value for each priority. The
/// highest priority may wait longest, so that lower ones are refused first under
/// overload.
const OBJECTIVE_SHARES: [f64; 3] = [1.0, 0.85, 0.7];

#[derive(Clone, Debug)]
struct Server {
    spec: ServerSpec,
    state: ServerState,
}

impl Server {
    fn is_usable(&self) -> bool {
        !self.spec.down && self.state.is_usable()
    }

    fn takes_requests(&self, now: Millis) -> bool {
        !self.spec.down && self.state.takes_requests(now)
    }
}

/// Places the requests of one service for one instance.
#[derive(Clone, Debug)]
pub struct Placement {
    instance: Name,
    domain: Name,
    region: Name,
    // The other instances of the region that may send to cold servers, and
    // whether this one may.
    warmup_peers: Vec<Name>,
    may_warm: bool,
    // Servers that have passed a probe, the time of the probe, and how long they
    // stay cold after it, in milliseconds.
    recoveries: Vec<(Name, Millis, u64)>,
    rng: SmallRng,
    servers: IndexMap<Name, Server>,
    // What servers that are not listed at the moment have told this instance.
    unlisted: IndexMap<(Name, SocketAddr), Availability>,
    service: ServiceSpec,
    assignment: RegionAssignment,
    // The plan that replaces `assignment`; `None` unless it is to be followed.
    plan: Option<PlanFollower>,
    work: IndexMap<Name, WorkEstimate>,
    // Mean work of the requests of all routes, to estimate the wait for the
    // requests ahead.
    mean_work: WorkEstimate,
    // Weight of the extra work of loading an object, which delays other requests.
    miss_weight: f64,
    // Whether objects are ranked by failure domain or by region if placement is stable.
    scope: ScopeSwitch,
    // Demand for objects, and the servers that they were sent to.
    demand: Demand,
    // Measured round trips; empty unless they are to be used.
    distances: Distances,
    // Number of other instances of the region that place requests of their own beside this one.
    instances_beside: usize,
    // Time as of which the document is known, and whether that is too long ago.
    known_at: Millis,
    is_isolated: bool,
    // A server whose limit has started or ended by its last answer, and the limit.
    limit_change: Option<(Name, Option<u64>)>,
}

/// Usage of the slots of a region.
#[derive(Default)]
struct RegionUsage {
    servers: usize,
    reported: usize,
    busy: f64,
    slots: f64,
}

impl RegionUsage {
    fn utilization(&self) -> f64 {
        match self.slots > 0.0 {
            true => self.busy / self.slots,
            // Without a usable slot, the region counts as overloaded.
            false => 2.0,
        }
    }
}

impl Placement {
    /// A placement without servers.
    pub fn new(instance: &Name, region: &Name, domain: &Name, seed: u64) -> Placement {
        Placement {
            instance: instance.clone(),
            warmup_peers: Vec::new(),
            may_warm: true,
            recoveries: Vec::new(),
            domain: domain.clone(),
            region: region.clone(),
            rng: SmallRng::seed_from_u64(seed),
            servers: IndexMap::new(),
            unlisted: IndexMap::new(),
            service: ServiceSpec::default(),
            assignment: RegionAssignment::new(region),
            plan: None,
            work: IndexMap::new(),
            mean_work: WorkEstimate::default(),
            miss_weight: 0.0,
            scope: ScopeSwitch::default(),
            demand: Demand::default(),
            distances: Distances::default(),
            instances_beside: 0,
            known_at: Millis(0),
            is_isolated: false,
            limit_change: None,
        }
    }

    /// Sets the instances of the region that may send to cold servers. An empty
    /// list allows this one; any other list that leaves it out forbids it.
    pub fn set_warmup_instances(&mut self, instances: impl Iterator<Item = Name>) {
        let own = &self.instance;
        let all: Vec<Name> = instances.collect();
        self.may_warm = all.is_empty() || all.contains(own);
        self.warmup_peers = all.into_iter().filter(|name| name != own).collect();
    }

    /// Sets the number of other instances of the region that place requests of their own
    /// beside this one, without asking each other.
    pub fn set_instances_beside(&mut self, count: usize) {
        self.instances_beside = count;
    }

    /// Follows the plan of the regions for a service, in place of an assignment of its own.
    pub fn follow_plan(&mut self, service: &Name) {
        self.plan = Some(PlanFollower::new(service, &self.region));
    }

    /// The plan that is followed, if any.
    pub fn plan_mut(&mut self) -> Option<&mut PlanFollower> {
        self.plan.as_mut()
    }

    /// Demand of this instance's callers since the last call, if a plan is followed.
    /// `objective_ms` returns the latency objective of a route in milliseconds.
    pub fn demand(&mut self, now: Millis, objective_ms: impl Fn(&Name) -> u64) -> Vec<RouteDemand> {
        let work = &self.work;
        let held_ms = |route: &Name| {
            let work = work.get(route).cloned().unwrap_or_default();
            work.expected(Held::Known, objective_ms(route))
        };
        let plan = self.plan.as_mut();
        plan.map_or_else(Vec::new, |plan| plan.demand(now, held_ms))
    }

    fn object_region(&self, request: &PlacementRequest) -> Name {
        let plan = self.plan.as_ref();
        let planned = plan.and_then(|plan| plan.region(request.route, request.object));
        planned.map_or_else(|| self.assignment.region(request.object), Name::clone)
    }

    /// Sets measured round trips, which replace the assumed ones where there are samples.
    pub fn set_distances(&mut self, distances: &Distances) {
        self.distances.clone_from(distances);
    }

    // Round trip to another region in milliseconds.
    fn region_cost_ms(&self, region: &Name) -> f64 {
        self.distances.region_ms(region).unwrap_or(REGION_COST_MS)
    }

    /// Counts a request of this instance, for which another instance has chosen
    /// the server, towards the load of that server.
    pub fn record_remote_placement(&mut self, now: Millis, object: u64, chosen: &Chosen) {
        let rate = self.cold_rate_share();
        if let Some(server) = self.servers.get_mut(&chosen.server) {
            server.state.record_start(now, object, rate);
        }
    }

    /// Sets the share of objects that go to other regions to that of another
    /// instance.
    pub fn set_remote_share(&mut self, share: f64) {
        self.assignment.set_remote_share(share);
    }

    /// Servers of the own region that this instance has suspended, because they
    /// could not be reached, timed out or were replaced by another server at the
    /// same address, and since when.
    pub fn suspended_servers(&self) -> impl Iterator<Item = (&Name, Millis)> {
        let here = self
            .servers
            .values()
            .filter(|s| s.spec.region == self.region);
        here.filter_map(|s| Some((&s.spec.name, s.state.suspended_at()?)))
    }

    /// Ends all suspensions, and forgets failures and slowdowns of servers, because this
    /// instance itself was their cause.
    pub fn forget_failures(&mut self) {
        let servers = self.servers.values_mut();
        servers.for_each(|s| s.state.forget_failures());
    }

    /// Replaces the list of servers that may get new requests. `regions` lists
    /// all regions. A server that was not in the previous list, or was there with
    /// another address, counts as cold, since it has just started or was out of
    /// service for a while. If the previous list was empty, no server counts as
    /// cold for that reason. Returns the servers that were only in the previous list.
    pub fn set_servers(
        &mut self,
        now: Millis,
        specs: &[ServerSpec],
        service: ServiceSpec,
        regions: &[Name],
    ) -> Vec<Name> {
        self.service = service;
        let first = self.servers.is_empty();
        let mut old = std::mem::take(&mut self.servers);
        for spec in specs {
            let known = old.swap_remove(&spec.name);
            let same = known.filter(|s| s.spec.address == spec.address);
            // Other changes don't restart the cold time.
            let cold_is_known = same
                .as_ref()
                .is_some_and(|s| s.spec.cold_ms == spec.cold_ms && !s.spec.down);
            let mut state = match same {
                Some(server) => server.state,
                None if first => ServerState::new(now, &spec.name),
                None => {
                    let mut state = ServerState::new(now, &spec.name);
                    state.set_newly_joined();
                    state.set_cold(now, now.plus(service.cold_ms));
                    state
                }
            };
            let key = (spec.name.clone(), spec.address);
            if let Some(availability) = self.unlisted.swap_remove(&key) {
                state.availability = availability;
            }
            if spec.cold_ms > 0 && !spec.down && !cold_is_known {
                state.set_cold(now, now.plus(spec.cold_ms));
            }
            state.limit.set_view(now, self.known_at, self.is_isolated);
            state.limit.set_recorded(now, spec.limit);
            state.limit.set_share(now, spec.share);
            let server = Server {
                spec: spec.clone(),
                state,
            };
            self.servers.insert(spec.name.clone(), server);
        }
        let removed = old.keys().cloned().collect();
        // A server may be left out for a moment, as its failure domain is evacuated.
        let closed = old.into_iter().map(|(name, s)| {
            let key = (name, s.spec.address);
            (key, s.state.availability)
        });
        self.unlisted.extend(closed);
        self.unlisted.retain(|_, a| a.is_remembered(now));
        let slots = |region: &Name| -> u32 {
            let here = specs.iter().filter(|s| s.region == *region);
            here.map(|s| s.slots).sum()
        };
        let capacities: Vec<(Name, u32)> = regions.iter().map(|r| (r.clone(), slots(r))).collect();
        self.assignment.set_capacities(&capacities);
        if let Some(plan) = &mut self.plan {
            plan.set_capacities(&capacities);
        }
        removed
    }

    /// Adjusts the share of objects that go to other regions by one step, and the
    /// weight of the extra work of loading an object to the utilization of this
    /// region. Call it every [`crate::region_assignment::STEP_MS`].
    pub fn tick(&mut self, now: Millis) {
        let (local, remote) = self.utilization(now);
        self.assignment.step(local, &remote);
        if let Some(plan) = &mut self.plan {
            plan.step(now);
        }
        let contention = (local - UNCONTENDED_UTILIZATION) / (1.0 - UNCONTENDED_UTILIZATION);
        self.miss_weight = MISS_WEIGHT_MAX * contention.clamp(0.0, 1.0);
        self.scope.record(now, local, UNCONTENDED_UTILIZATION);
    }

    /// Counts of requests that weren't placed on the first server of their object, and of
    /// requests that moved their object to another server, since the last call.
    pub fn take_moves(&mut self) -> MoveCounts {
        self.demand.take_counts()
    }

    // Utilization of this region and of the others. Another region is left out
    // if too few of its servers have a recent load report.
    fn utilization(&self, now: Millis) -> (f64, Vec<(Name, f64)>) {
        let mut all: IndexMap<&Name, RegionUsage> = IndexMap::new();
        for server in self.servers.values().filter(|s| s.is_usable()) {
            let usage = all.entry(&server.spec.region).or_default();
            usage.servers += 1;
            if server.spec.region == self.region || server.state.has_recent_report(now) {
                let slots = f64::from(server.spec.slots);
                usage.reported += 1;
                usage.busy += server.state.load(now).min(1.5 * slots);
                usage.slots += slots;
            }
        }
        let local = all.swap_remove(&self.region);
        let known = all
            .iter()
            .filter(|(_, u)| u.reported * REPORTED_ONE_IN >= u.servers);
        let remote = known.filter(|(_, u)| u.reported > 0);
        let remote = remote.map(|(name, u)| ((*name).clone(), u.utilization()));
        (local.unwrap_or_default().utilization(), remote.collect())
    }

    /// Chooses a server for a request or refuses it. The request counts towards
    /// the load of the server until [`Placement::finish`].
    pub fn choose(&mut self, now: Millis, request: &PlacementRequest) -> PlacementDecision {
        let allowed = |r: &Name| request.homes.is_empty() || request.homes.contains(r);
        let object_region = self.object_region(request);
        // A region keeps its requests even if all its servers are full; the
        // spill budget below bounds how many leave it.
        let home = self.region.clone();
        let can_serve = |r: &Name| allowed(r) && self.has_candidate(now, request, r);
        let target = [object_region, home].into_iter().find(|r| can_serve(r));
        let mut found = match &target {
            Some(region) => self.best_candidate(now, request, &|r| r == region),
            None => self.best_candidate(now, request, &allowed),
        };
        self.assignment.record_request();
        let is_too_late = |found: &Option<Candidate>| match found {
            Some(best) => self.lateness_ms(request, best).is_some(),
            None => true,
        };
        if is_too_late(&found) && self.assignment.may_spill() {
            let other = self.best_candidate(now, request, &allowed);
            match other.filter(|o| self.lateness_ms(request, o).is_none()) {
                Some(other) => {
                    self.assignment.record_spill();
                    found = Some(other);
                }
                None => self.assignment.record_failed_spill(),
            }
        }
        let Some(best) = found else {
            let retry_ms = self.all_rest_ms(now, request.homes);
            return PlacementDecision::Refuse {
                retry_ms: retry_ms.unwrap_or(RETRY_AFTER_MS.1 / 4),
            };
        };
        match self.lateness_ms(request, &best) {
            Some(late_ms) => PlacementDecision::Refuse {
                retry_ms: (late_ms as u64).clamp(RETRY_AFTER_MS.0, RETRY_AFTER_MS.1),
            },
            None => self.assign(now, request.object, &best),
        }
    }

    /// Records that a server wants no requests of this instance for a time in milliseconds.
    /// Returns whether that is new.
    pub fn record_rest(&mut self, now: Millis, name: &Name, rest_ms: u64) -> bool {
        let server = self.servers.get_mut(name);
        server.is_some_and(|s| s.state.availability.record_rest(now, rest_ms))
    }

    /// Records that a server says that it leaves. Returns whether that is new.
    pub fn record_leaving(&mut self, now: Millis, name: &Name) -> bool {
        let server = self.servers.get_mut(name);
        server.is_some_and(|s| s.state.availability.record_leaving(now))
    }

    /// Records that a server has answered a probe that it would refuse if it left.
    pub fn record_staying(&mut self, now: Millis, name: &Name) {
        if let Some(server) = self.servers.get_mut(name) {
            server.state.availability.record_staying(now);
        }
    }

    /// Records an answer that may be that of a server which leaves.
    pub fn record_doubt(&mut self, name: &Name) {
        if let Some(server) = self.servers.get_mut(name) {
            server.state.availability.record_doubt();
        }
    }

    /// Whether a server has shown recently that it stays.
    pub fn is_staying(&self, now: Millis, name: &Name) -> bool {
        let server = self.servers.get(name);
        server.is_some_and(|s| s.state.availability.is_staying(now))
    }

    /// Whether a server may be asked now whether it stays. That counts towards its limit.
    pub fn take_check(&mut self, now: Millis, name: &Name) -> bool {
        let server = self.servers.get_mut(name);
        let may_check =
            |s: &&mut Server| s.state.availability.may_check(now) && s.state.limit.may_send(now);
        let Some(server) = server.filter(may_check) else {
            return false;
        };
        server.state.limit.record_send(now);
        true
    }

    /// Records that a server was asked whether it stays and didn't show it.
    pub fn record_unconfirmed(&mut self, now: Millis, name: &Name) {
        if let Some(server) = self.servers.get_mut(name) {
            server.state.availability.record_unconfirmed(now);
        }
    }

    /// Whether a server is listed.
    pub fn has_server(&self, name: &Name) -> bool {
        self.servers.contains_key(name)
    }

    /// Whether a server wants requests of this instance, as far as is known.
    pub fn is_open(&self, now: Millis, name: &Name) -> bool {
        let server = self.servers.get(name);
        server.is_none_or(|s| s.state.availability.is_open(now))
    }

    /// Servers that want no requests of this instance.
    pub fn closed_servers(&self, now: Millis) -> impl Iterator<Item = &Name> {
        let servers = self.servers.iter();
        let closed = servers.filter(move |(_, s)| !s.state.availability.is_open(now));
        closed.map(|(name, _)| name)
    }

    /// If all usable servers in these regions want no requests of this instance, the time
    /// until the first one does, in milliseconds.
    pub fn all_rest_ms(&self, now: Millis, homes: &[Name]) -> Option<u64> {
        let allowed = |s: &&Server| homes.is_empty() || homes.contains(&s.spec.region);
        let usable = self.servers.values().filter(|s| s.is_usable());
        let staying = usable.filter(|s| !s.state.availability.is_leaving());
        let rests = staying
            .filter(allowed)
            .map(|s| s.state.availability.rest_ms(now));
        rests.min().filter(|ms| *ms > 0)
    }

    /// Whether a region has a usable server that the request has not tried.
    fn has_candidate(&self, now: Millis, request: &PlacementRequest, region: &Name) -> bool {
        let mut servers = self.servers.values();
        servers.any(|s| {
            s.spec.region == *region
                && s.takes_requests(now)
                && !request.tried.contains(&s.spec.name)
        })
    }

    /// Time by which the expected latency exceeds the limit, in milliseconds, or
    /// `None` if it is within the limit. The limit is the time to the deadline;
    /// if no slot is free, also the share of the latency objective that the
    /// priority of the request allows.
    fn lateness_ms(&self, request: &PlacementRequest, best: &Candidate) -> Option<f64> {
        let rank = (request.priority as usize).min(OBJECTIVE_SHARES.len() - 1);
        let limit = match best.idle {
            true => request.left_ms as f64,
            false => {
                let useful = request.objective_ms as f64 * OBJECTIVE_SHARES[rank];
                useful.min(request.left_ms as f64)
            }
        };
        (best.expected_ms > limit).then_some(best.expected_ms - limit)
    }

    // Counts a request towards the load of the chosen server.
    fn assign(&mut self, now: Millis, object: u64, best: &Candidate) -> PlacementDecision {
        let rate = self.cold_rate_share();
        let server = &mut self.servers[best.index];
        let load = server.state.load(now);
        server.state.record_start(now, object, rate);
        let name_hash = server.state.name_hash();
        let place = (best.is_first, best.held == Held::Known);
        self.demand.record(now, object, name_hash, place);
        PlacementDecision::Send(Chosen {
            server: server.spec.name.clone(),
            address: server.spec.address,
            region: server.spec.region.clone(),
            held: best.held,
            expected_ms: best.expected_ms as u64,
            idle: best.idle,
            load,
        })
    }

    /// Whether a chosen server is still listed with the same address.
    pub fn is_listed(&self, chosen: &Chosen) -> bool {
        let server = self.servers.get(&chosen.server);
        server.is_some_and(|s| s.spec.address == chosen.address)
    }

    /// Records the end of an attempt. Returns whether it has caused the server to
    /// be suspended.
    pub fn finish(
        &mut self,
        now: Millis,
        chosen: &Chosen,
        route: &Name,
        ended: PlacementEnd,
        latency_ms: u64,
        report: impl Into<ServerReport>,
    ) -> bool {
        let ServerReport { load, limit } = report.into();
        let Some(server) = self.servers.get_mut(&chosen.server) else {
            return false;
        };
        let before = server.state.is_usable();
        server.state.record_end(now, ended);
        let suspended = before && !server.state.is_usable();
        if let Some(report) = load {
            server.state.record_report(now, report);
        }
        if self.service.stable && ended == PlacementEnd::Shed {
            server.state.keep_objects(now, load);
        }
        self.record_limit(now, now.minus(latency_ms), &chosen.server, limit);
        let Some(server) = self.servers.get_mut(&chosen.server) else {
            return suspended;
        };
        if ended != PlacementEnd::Answered {
            return suspended;
        }
        let round_trip_ms = match server.spec.region == self.region {
            true => 0.0,
            false => {
                let measured = self.distances.region_ms(&server.spec.region);
                measured.unwrap_or(REGION_COST_MS)
            }
        };
        // A slow phase of its machine is no sign of a failing server.
        let busy_ms = (latency_ms as f64 - round_trip_ms).max(1.0);
        let percent = load.and_then(|l| l.pace);
        let work_ms = percent.map_or(busy_ms, |percent| pace::usual_ms(percent, busy_ms));
        if let Some(plan) = self.plan.as_mut().filter(|_| chosen.idle) {
            plan.record_work(route, work_ms);
        }
        if chosen.idle {
            let slowdown = server.state.slowdown(now);
            let work = self.work.entry(route.clone()).or_default();
            if let Some(expected) = work.measured(chosen.held) {
                server.state.record_slowdown(now, work_ms / expected);
            }
            work.record(chosen.held, work_ms / slowdown);
            self.mean_work.record(Held::Known, work_ms / slowdown);
        }
        suspended
    }

    /// Records loads that other instances have passed on.
    pub fn record_shared_loads(&mut self, now: Millis, loads: &[SharedLoad]) {
        let by_hash: IndexMap<u64, &SharedLoad> = loads.iter().map(|l| (l.server, l)).collect();
        for server in self.servers.values_mut() {
            if let Some(load) = by_hash.get(&server.state.name_hash()) {
                let at = now.minus(u64::from(load.age_ms));
                server.state.record_shared_report(at, load.report());
            }
        }
    }

    /// Records the pace of a server, in percent of the usual time.
    pub fn record_pace(&mut self, now: Millis, name: &Name, percent: u32) {
        if let Some(server) = self.servers.get_mut(name) {
            server.state.pace.record(now, percent);
        }
    }

    /// Whether servers of the service have recently reported their pace.
    pub fn reports_pace(&self, now: Millis) -> bool {
        let mut servers = self.servers.values();
        servers.any(|s| s.state.pace.is_reported(now))
    }

    /// Records what the answer to a request or probe that was sent at `sent` says about the
    /// limit of its server.
    pub fn record_limit(&mut self, now: Millis, sent: Millis, name: &Name, notice: LimitNotice) {
        let Some(server) = self.servers.get_mut(name) else {
            return;
        };
        if server.state.limit.record_notice(now, sent, notice) {
            self.limit_change = Some((name.clone(), server.state.limit.rate(now)));
        }
    }

    /// Sets the time as of which the document is known, and whether that is too long ago.
    pub fn set_view(&mut self, now: Millis, known_at: Millis, is_isolated: bool) {
        (self.known_at, self.is_isolated) = (known_at, is_isolated);
        let servers = self.servers.values_mut();
        servers.for_each(|s| s.state.limit.set_view(now, known_at, is_isolated));
    }

    /// Returns the server whose limit has started or ended since the last call, and its
    /// limit in thousandths of a request per second.
    pub fn take_limit_change(&mut self) -> Option<(Name, Option<u64>)> {
        self.limit_change.take()
    }

    /// What servers have recently said about their limits: name, limit in thousandths of
    /// a request per second, and the age of the answer in milliseconds.
    pub fn limit_notices(&self, now: Millis) -> impl Iterator<Item = (&Name, Option<u64>, u64)> {
        self.servers.iter().filter_map(move |(name, s)| {
            let (rate, age_ms) = s.state.limit.notice(now)?;
            Some((name, rate, age_ms))
        })
    }

    /// Suspended and leaving servers that are due for a probe. Probes count towards the limit of their
    /// server.
    pub fn due_probes(&mut self, now: Millis) -> Vec<(Name, SocketAddr)> {
        let due = self.servers.values_mut().filter_map(|s| {
            let rests = s.state.availability.rest_ms(now) > 0;
            let may_send = s.state.limit.may_send(now) && !rests;
            let due = may_send && (s.state.availability.take_probe(now) || s.state.take_probe(now));
            if due {
                s.state.limit.record_send(now);
            }
            due.then(|| (s.spec.name.clone(), s.spec.address))
        });
        due.collect()
    }

    /// Records the result of a probe: how long the server stays cold, or `None`
    /// if the probe failed.
    pub fn record_probe(&mut self, now: Millis, name: &Name, cold_ms: Option<u64>) {
        let Some(server) = self.servers.get_mut(name) else {
            return;
        };
        server.state.record_probe(now, cold_ms);
        if let Some(cold_ms) = cold_ms {
            server.state.availability.record_back();
            self.recoveries.push((name.clone(), now, cold_ms));
        }
    }

    /// Servers that have recently passed a probe of this instance, and how long
    /// they stay cold, in milliseconds.
    pub fn recovered(&mut self, now: Millis) -> impl Iterator<Item = (Name, u64)> + '_ {
        self.recoveries
            .retain(|(_, at, _)| now.since(*at) < RECOVERY_NOTICE_MS);
        let left = move |at: &Millis, cold_ms: &u64| cold_ms.saturating_sub(now.since(*at));
        self.recoveries
            .iter()
            .map(move |(name, at, cold_ms)| (name.clone(), left(at, cold_ms)))
    }

    /// Usable servers of other regions; none while all objects stay in this one.
    pub fn remote_servers(&self) -> impl Iterator<Item = (&Name, SocketAddr)> {
        let away = self.assignment.remote_share() > 0.0;
        let is_used = move |region: &Name| match &self.plan {
            Some(plan) => plan.uses(region),
            None => away,
        };
        let usable = self.servers.values().filter(|s| s.is_usable());
        usable
            .filter(move |s| s.spec.region != self.region && is_used(&s.spec.region))
            .map(|s| (&s.spec.name, s.spec.address))
    }

    /// Estimated load of a server, and whether it is usable.
    pub fn load_estimate(&self, now: Millis, name: &Name) -> Option<(f64, bool)> {
        let server = self.servers.get(name)?;
        Some((server.state.load(now), server.is_usable()))
    }

    /// Share of objects that go to other regions, from 0 to 1.
    pub fn remote_share(&self) -> f64 {
        let plan = self.plan.as_ref();
        plan.map_or_else(
            || self.assignment.remote_share(),
            PlanFollower::remote_share,
        )
    }
}
