//! Placement of the requests of one service on its backend servers.
//!
//! Answers a load in which all slots of a region are contended, and in which a
//! backend server answers much faster from the moment on at which it began to
//! handle the same object. Every instance ranks the servers of its failure
//! domain, or of its region while that is busy, by a hash of the object, so that
//! all agree on the server that holds it, and leaves that as soon as waiting
//! there costs more than starting anew elsewhere. A request that can't be
//! answered in a useful time is refused at once.
//!
//! An instance that places the requests of others as well is told how they end,
//! so that it counts exactly what runs; one that decides alone goes by what
//! servers report.

mod choice;
mod types;

use std::net::SocketAddr;

use indexmap::IndexMap;
use pomelovale_state::{Millis, Name};
use rand::rngs::SmallRng;
use rand::SeedableRng;

use crate::estimate::{Held, ServerState, WorkEstimate};
use crate::spread::Spread;

use choice::Candidate;
pub use types::{Chosen, Ended, LoadReport, PlacementRequest, ServerSpec, ServiceSpec, Verdict};

/// Extra cost of a server in another region, in milliseconds: the round trip.
const REGION_COST_MS: f64 = 112.0;
/// Time for which others are told that a server is sound again, in
/// milliseconds.
const RECOVERY_NOTICE_MS: u64 = 2_000;
/// Utilization of the own region up to which starting an object anew on another
/// server takes nothing from others.
const UNCONTENDED_UTILIZATION: f64 = 0.4;
/// Weight of the extra work of such a start when all slots are busy. Without
/// it, objects leave a loaded holder, start anew everywhere, and the extra work
/// keeps all servers loaded.
const MISS_WEIGHT_MAX: f64 = 2.0;
/// One in this many remote servers must have reported lately for a judgement of
/// the other regions.
const REPORTED_ONE_IN: usize = 4;
/// Shortest and longest time after which a refused caller is told to return,
/// in milliseconds.
const RETRY_AFTER_MS: (u64, u64) = (60, 2_000);
/// Part of the latency objective that a request of each priority may be
/// expected to use while it would have to wait. The most urgent waits longest,
/// so that the less urgent gives round_trip_ms under overload.
const WAIT_SHARES: [f64; 3] = [1.0, 0.85, 0.7];

#[derive(Clone, Debug)]
struct Server {
    spec: ServerSpec,
    state: ServerState,
}

impl Server {
    fn is_usable(&self) -> bool {
        !self.spec.down && self.state.is_usable()
    }
}

/// The servers of one service as one instance sees them.
#[derive(Clone, Debug)]
pub struct Placement {
    instance: Name,
    domain: Name,
    region: Name,
    // The other instances of the region that send to cold servers, and whether
    // this one does.
    warmup_peers: Vec<Name>,
    is_warmup_instance: bool,
    // Servers that a probe found sound again, when, and how long they stay cold.
    recoveries: Vec<(Name, Millis, u64)>,
    rng: SmallRng,
    servers: IndexMap<Name, Server>,
    service: ServiceSpec,
    spread: Spread,
    work: IndexMap<Name, WorkEstimate>,
    // Mean work of all requests; what one waiting request costs the next.
    mean_work: WorkEstimate,
    // Weight of the work that others lose when an object starts anew.
    miss_weight: f64,
}

/// Use of the slots of a region.
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
            false => 2.0,
        }
    }
}

impl Placement {
    /// Knows no server yet.
    pub fn new(instance: &Name, region: &Name, domain: &Name, seed: u64) -> Placement {
        Placement {
            instance: instance.clone(),
            warmup_peers: Vec::new(),
            is_warmup_instance: true,
            recoveries: Vec::new(),
            domain: domain.clone(),
            region: region.clone(),
            rng: SmallRng::seed_from_u64(seed),
            servers: IndexMap::new(),
            service: ServiceSpec::default(),
            spread: Spread::new(region),
            work: IndexMap::new(),
            mean_work: WorkEstimate::default(),
            miss_weight: 0.0,
        }
    }

    /// Takes over the instances of the region that may send to cold servers.
    /// Without this one among them, it sends them nothing.
    pub fn set_warmup_instances(&mut self, warmup_peers: impl Iterator<Item = Name>) {
        let own = &self.instance;
        let all: Vec<Name> = warmup_peers.collect();
        self.is_warmup_instance = all.is_empty() || all.contains(own);
        self.warmup_peers = all.into_iter().filter(|name| name != own).collect();
    }

    /// Counts a server as busy with a request for an object that another
    /// instance placed there.
    pub fn record_sent(&mut self, now: Millis, object: u64, chosen: &Chosen) {
        let rate = self.cold_rate_share();
        if let Some(server) = self.servers.get_mut(&chosen.server) {
            server.state.start(now, object, rate);
        }
    }

    /// Takes over the division between regions of another instance.
    pub fn set_remote_share(&mut self, share: f64) {
        self.spread.set_remote_share(share);
    }

    /// Servers of the own region that this instance can't reach.
    pub fn unreachable(&self) -> impl Iterator<Item = &Name> {
        let here = self
            .servers
            .values()
            .filter(|s| s.spec.region == self.region);
        here.filter(|s| !s.state.is_usable()).map(|s| &s.spec.name)
    }

    /// Takes over the servers that may get new work. `regions` are all
    /// regions. A server that comes later than the first
    /// ones counts as cold: it has just started, or was left out for a while.
    pub fn sync(
        &mut self,
        now: Millis,
        specs: &[ServerSpec],
        service: ServiceSpec,
        regions: &[Name],
    ) {
        self.service = service;
        let first = self.servers.is_empty();
        let mut old = std::mem::take(&mut self.servers);
        for spec in specs {
            let known = old.swap_remove(&spec.name);
            let same = known.filter(|s| s.spec.address == spec.address);
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
            if spec.cold_ms > 0 && !spec.down {
                state.set_cold(now, now.plus(spec.cold_ms));
            }
            let server = Server {
                spec: spec.clone(),
                state,
            };
            self.servers.insert(spec.name.clone(), server);
        }
        let slots = |region: &Name| -> u32 {
            let here = specs.iter().filter(|s| s.region == *region);
            here.map(|s| s.slots).sum()
        };
        let capacities: Vec<(Name, u32)> = regions.iter().map(|r| (r.clone(), slots(r))).collect();
        self.spread.set_capacities(&capacities);
    }

    /// Moves the share that goes to other regions a step on. Call it every
    /// [`crate::spread::STEP_MS`].
    pub fn tick(&mut self, now: Millis) {
        let (local, remote) = self.utilization(now);
        self.spread.step(local, &remote);
        let contention = (local - UNCONTENDED_UTILIZATION) / (1.0 - UNCONTENDED_UTILIZATION);
        self.miss_weight = MISS_WEIGHT_MAX * contention.clamp(0.0, 1.0);
    }

    // Busy slots over all slots, in this region and in the others. The others
    // are only known as far as their servers reported lately.
    fn utilization(&self, now: Millis) -> (f64, Vec<(Name, f64)>) {
        let mut all: IndexMap<&Name, RegionUsage> = IndexMap::new();
        for server in self.servers.values().filter(|s| s.is_usable()) {
            let usage = all.entry(&server.spec.region).or_default();
            usage.servers += 1;
            if server.spec.region == self.region || server.state.is_reported(now) {
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

    /// Decides about a request. The chosen server counts as busy with it until
    /// [`Placement::finish`].
    pub fn choose(&mut self, now: Millis, request: &PlacementRequest) -> Verdict {
        let allowed = |r: &Name| request.homes.is_empty() || request.homes.contains(r);
        let object_region = self.spread.region(request.object);
        // A region whose servers are all full keeps its requests: what leaves
        // it all the same is bounded below.
        let home = self.region.clone();
        let can_serve = |r: &Name| allowed(r) && self.has_candidate(request, r);
        let target = [object_region, home].into_iter().find(|r| can_serve(r));
        let mut found = match &target {
            Some(region) => self.best_candidate(now, request, &|r| r == region),
            None => self.best_candidate(now, request, &allowed),
        };
        self.spread.record_request();
        let is_too_late = |found: &Option<Candidate>| match found {
            Some(best) => self.lateness_ms(request, best).is_some(),
            None => true,
        };
        if is_too_late(&found) && self.spread.may_spill() {
            let other = self.best_candidate(now, request, &allowed);
            match other.filter(|o| self.lateness_ms(request, o).is_none()) {
                Some(other) => {
                    self.spread.record_spill();
                    found = Some(other);
                }
                None => self.spread.record_failed_spill(),
            }
        }
        let Some(best) = found else {
            return Verdict::Refuse {
                retry_ms: RETRY_AFTER_MS.1 / 4,
            };
        };
        match self.lateness_ms(request, &best) {
            Some(late_ms) => Verdict::Refuse {
                retry_ms: (late_ms as u64).clamp(RETRY_AFTER_MS.0, RETRY_AFTER_MS.1),
            },
            None => self.send(now, request.object, &best),
        }
    }

    /// Whether a region has a server that is left for a request.
    fn has_candidate(&self, request: &PlacementRequest, region: &Name) -> bool {
        let mut servers = self.servers.values();
        servers.any(|s| {
            s.spec.region == *region && s.is_usable() && !request.tried.contains(&s.spec.name)
        })
    }

    /// How many milliseconds too late a request would be answered, if it is not
    /// worth sending. A free slot is never left empty unless the request would
    /// be given up before its answer.
    fn lateness_ms(&self, request: &PlacementRequest, best: &Candidate) -> Option<f64> {
        let rank = (request.priority as usize).min(WAIT_SHARES.len() - 1);
        let limit = match best.idle {
            true => request.left_ms as f64,
            false => {
                let useful = request.objective_ms as f64 * WAIT_SHARES[rank];
                useful.min(request.left_ms as f64)
            }
        };
        (best.expected_ms > limit).then_some(best.expected_ms - limit)
    }

    fn send(&mut self, now: Millis, object: u64, best: &Candidate) -> Verdict {
        let rate = self.cold_rate_share();
        let server = &mut self.servers[best.index];
        let load = server.state.load(now);
        server.state.start(now, object, rate);
        Verdict::Send(Chosen {
            server: server.spec.name.clone(),
            address: server.spec.address,
            region: server.spec.region.clone(),
            held: best.held,
            expected_ms: best.expected_ms as u64,
            idle: best.idle,
            load,
        })
    }

    /// Whether a chosen server may still get the request.
    pub fn may_send(&self, chosen: &Chosen) -> bool {
        let server = self.servers.get(&chosen.server);
        server.is_some_and(|s| s.spec.address == chosen.address)
    }

    /// Takes the end of an exchange into account. Returns whether the server is
    /// held back from now on.
    pub fn finish(
        &mut self,
        now: Millis,
        chosen: &Chosen,
        route: &Name,
        ended: Ended,
        latency_ms: u64,
        report: Option<LoadReport>,
    ) -> bool {
        let Some(server) = self.servers.get_mut(&chosen.server) else {
            return false;
        };
        let before = server.state.is_usable();
        server.state.end(now, ended);
        let suspended = before && !server.state.is_usable();
        if let Some(report) = report {
            server.state.report(now, report);
        }
        if ended != Ended::Answered {
            return suspended;
        }
        let round_trip_ms = match server.spec.region == self.region {
            true => 0.0,
            false => REGION_COST_MS,
        };
        let spent = (latency_ms as f64 - round_trip_ms).max(1.0);
        if chosen.idle {
            let slowdown = server.state.slowdown(now);
            let work = self.work.entry(route.clone()).or_default();
            if let Some(expected) = work.measured(chosen.held) {
                server.state.record_slowdown(now, spent / expected);
            }
            work.record(chosen.held, spent / slowdown);
            self.mean_work.record(Held::Known, spent / slowdown);
        }
        suspended
    }

    /// Servers that are held back until a probe finds them sound, and are due
    /// for one.
    pub fn due_probes(&mut self, now: Millis) -> Vec<(Name, SocketAddr)> {
        let due = self.servers.values_mut().filter_map(|s| {
            let due = s.state.take_probe(now);
            due.then(|| (s.spec.name.clone(), s.spec.address))
        });
        due.collect()
    }

    /// Takes the answer of a probe: how long the server stays cold, or nothing
    /// if it is not sound.
    pub fn record_probe(&mut self, now: Millis, name: &Name, cold_ms: Option<u64>) {
        let Some(server) = self.servers.get_mut(name) else {
            return;
        };
        server.state.record_probe(now, cold_ms);
        if let Some(cold_ms) = cold_ms {
            self.recoveries.push((name.clone(), now, cold_ms));
        }
    }

    /// Servers that this instance found sound again lately, and how long they
    /// stay cold, in milliseconds.
    pub fn recovered(&mut self, now: Millis) -> impl Iterator<Item = (Name, u64)> + '_ {
        self.recoveries
            .retain(|(_, at, _)| now.since(*at) < RECOVERY_NOTICE_MS);
        let left = move |at: &Millis, cold_ms: &u64| cold_ms.saturating_sub(now.since(*at));
        self.recoveries
            .iter()
            .map(move |(name, at, cold_ms)| (name.clone(), left(at, cold_ms)))
    }

    /// Usable servers of other regions, if a share of the objects goes there.
    pub fn remote_servers(&self) -> impl Iterator<Item = (&Name, SocketAddr)> {
        let away = self.spread.remote_share() > 0.0;
        let usable = self.servers.values().filter(|s| s.is_usable());
        usable
            .filter(move |s| away && s.spec.region != self.region)
            .map(|s| (&s.spec.name, s.spec.address))
    }

    /// Load that a server is believed to have, and whether it is usable.
    pub fn load_estimate(&self, now: Millis, name: &Name) -> Option<(f64, bool)> {
        let server = self.servers.get(name)?;
        Some((server.state.load(now), server.is_usable()))
    }

    /// Part of the objects that go to other regions, from 0 to 1.
    pub fn remote_share(&self) -> f64 {
        self.spread.remote_share()
    }
}
