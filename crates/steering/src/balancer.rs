//! Selection of the backend server for an attempt of an entry.
//!
//! An entry is an instance that accepts the requests of callers and forwards them
//! to the backend servers; the servers of a service are shared by several entries.

use indexmap::IndexMap;
use pomelovale_state::{Millis, Name};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use crate::baseline;
use crate::ejection::{Ejection, Health, EJECTED_SHARE_MAX};
use crate::server::Server;
use crate::server_limit::{LimitNotice, LimitShare};
use crate::{AttemptEnd, Class};

pub use crate::server_stats::ServerLoad;

/// Age up to which a load report counts towards the load of its region, in
/// milliseconds.
const REPORT_FRESH_MS: u64 = 2_000;

/// Least load that a server adds to its region, as a factor on the mean load that
/// other entries cause. At 1 every report below the mean would be raised to it,
/// and the sum would be too high.
const MIN_REGION_LOAD_FACTOR: f64 = 0.5;

/// Load balancing algorithm.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum BalancerPolicy {
    /// Fewest own outstanding requests; a baseline for benchmarks.
    LeastOutstanding,
    /// A random server; a baseline for benchmarks.
    Random,
    /// Round robin; a baseline for benchmarks.
    RoundRobin,
    /// Fills the entry's share of each server's slots evenly; beyond the shares,
    /// prefers the server with the shortest expected wait.
    SlotShares,
}

/// Configuration of a backend server.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ServerInfo {
    /// Name of the server.
    pub name: Name,
    /// Region of the server.
    pub region: Name,
    /// Failure domain of the server.
    pub domain: Name,
    /// Number of requests that it can run concurrently.
    pub slots: u32,
    /// Number of connections that it accepts from all entries together.
    pub connections: u32,
    /// Whether it is being drained and gets no new requests.
    pub leaving: bool,
    /// Limit that it names for all entries together, in thousandths of a request per
    /// second.
    pub limit: Option<u64>,
}

/// An entry that shares the servers.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct EntryInfo {
    /// Name of the entry.
    pub name: Name,
    /// Region of the entry.
    pub region: Name,
    /// Failure domain of the entry.
    pub domain: Name,
    /// Whether it is being drained and callers are no longer directed to it.
    pub leaving: bool,
}

/// An attempt that needs a server.
#[derive(Clone, Copy, Debug)]
pub struct AttemptSpec<'a> {
    /// Kind of request.
    pub class: Class,
    /// Servers that must not be chosen, such as those already tried.
    pub exclude: &'a [Name],
    /// The only region allowed; any region if `None`.
    pub region: Option<&'a Name>,
}

/// The server chosen for an attempt.
#[derive(Clone, Debug, PartialEq)]
pub struct Choice {
    /// Name of the server.
    pub server: Name,
    /// Region of the server.
    pub region: Name,
    /// Expected wait at the server in milliseconds.
    pub wait_ms: f64,
}

/// Load of a service in one region, as known to this entry.
#[derive(Clone, Debug, PartialEq)]
pub struct RegionLoad {
    /// The region.
    pub region: Name,
    /// Slots of the servers that take requests.
    pub slots: u32,
    /// Requests at these servers according to their reports.
    pub load: f64,
    /// Expected wait of a new request in milliseconds.
    pub wait_ms: f64,
    /// Age of the oldest report used in milliseconds; `Some(u64::MAX)` if a server
    /// has not reported yet, `None` before a server is added.
    pub oldest_ms: Option<u64>,
}

/// Selects the servers of one service for one entry.
#[derive(Clone, Debug)]
pub struct Balancer {
    policy: BalancerPolicy,
    rng: SmallRng,
    /// Name of this entry.
    own: Name,
    entries: Vec<EntryInfo>,
    servers: IndexMap<Name, Server>,
    /// State of the round-robin baseline.
    cursor: usize,
    /// Buffer that `choose` reuses.
    candidates: Vec<usize>,
}

impl Balancer {
    /// Creates a balancer without servers.
    pub fn new(policy: BalancerPolicy, seed: u64) -> Balancer {
        Balancer {
            policy,
            rng: SmallRng::seed_from_u64(seed),
            own: Name::default(),
            entries: Vec::new(),
            servers: IndexMap::new(),
            cursor: seed as usize % 1_024,
            candidates: Vec::new(),
        }
    }

    /// Sets the entries that share the servers, and the name of this entry.
    pub fn set_entries(&mut self, now: Millis, own: &Name, entries: &[EntryInfo]) {
        self.own = own.clone();
        self.entries = entries.to_vec();
        self.entries
            .sort_by(|a, b| (&a.region, &a.domain, &a.name).cmp(&(&b.region, &b.domain, &b.name)));
        self.assign_shares();
        self.assign_limits(now);
    }

    /// Replaces the list of servers. A server that is added to a non-empty list is
    /// treated as cold.
    pub fn set_servers(&mut self, now: Millis, list: &[ServerInfo]) {
        let first = self.servers.is_empty();
        let mut before = std::mem::take(&mut self.servers);
        for info in list {
            let old = before.swap_remove(&info.name);
            let joined = !first && old.is_none();
            let mut server = old.unwrap_or_else(|| Server::new(info));
            server.info = info.clone();
            if joined {
                server.stats.begin_slow_start(now);
            }
            self.servers.insert(info.name.clone(), server);
        }
        self.assign_shares();
        self.assign_limits(now);
    }

    /// Records what the answer to a request says about the limit of its server. Returns
    /// whether a limit has started or ended by it.
    pub fn record_limit(
        &mut self,
        now: Millis,
        sent: Millis,
        server: &Name,
        notice: LimitNotice,
    ) -> bool {
        let server = self.servers.get_mut(server);
        server.is_some_and(|s| s.limit.record_notice(now, sent, notice))
    }

    /// Sets the time as of which the document is known, and whether that is too long ago.
    pub fn set_view(&mut self, now: Millis, known_at: Millis, is_isolated: bool) {
        let servers = self.servers.values_mut();
        servers.for_each(|s| s.limit.set_view(now, known_at, is_isolated));
    }

    /// What servers have recently said about their limits: name, limit in thousandths of
    /// a request per second, and the age of the answer in milliseconds.
    pub fn limit_notices(&self, now: Millis) -> impl Iterator<Item = (&Name, Option<u64>, u64)> {
        self.servers.iter().filter_map(move |(name, s)| {
            let (rate, age_ms) = s.limit.notice(now)?;
            Some((name, rate, age_ms))
        })
    }

    /// Records that a server wants no requests of this entry for a time in milliseconds.
    /// Returns whether that is new.
    pub fn record_rest(&mut self, now: Millis, server: &Name, rest_ms: u64) -> bool {
        let server = self.servers.get_mut(server);
        server.is_some_and(|s| s.availability.record_rest(now, rest_ms))
    }

    /// Records whether a server says that it leaves. Returns whether it does so for the first
    /// time.
    pub fn record_leaving(&mut self, now: Millis, server: &Name, leaving: bool) -> bool {
        let Some(server) = self.servers.get_mut(server) else {
            return false;
        };
        if !leaving {
            server.availability.record_back();
        }
        leaving && server.availability.record_leaving(now)
    }

    /// Whether a server wants requests of this entry, as far as is known.
    pub fn is_open(&self, now: Millis, server: &Name) -> bool {
        let server = self.servers.get(server);
        server.is_none_or(|s| s.availability.is_open(now))
    }

    /// If all servers want no requests of this entry, the time until the first one does, in
    /// milliseconds.
    pub fn all_rest_ms(&self, now: Millis) -> Option<u64> {
        let serving = self.servers.values().filter(|s| !s.info.leaving);
        let staying = serving.filter(|s| !s.availability.is_leaving());
        let rests = staying.map(|s| s.availability.rest_ms(now));
        rests.min().filter(|ms| *ms > 0)
    }

    /// Ends all ejections, and forgets the failures that led to them.
    pub fn forget_failures(&mut self) {
        let servers = self.servers.values_mut();
        servers.for_each(|s| s.ejection = Ejection::default());
    }

    /// Records a load report that was requested at `at`.
    pub fn report_load(&mut self, at: Millis, server: &Name, report: ServerLoad) {
        if let Some(s) = self.servers.get_mut(server) {
            s.stats.report(at, report);
        }
    }

    /// Chooses a server. Returns `None` if no server may be used.
    pub fn choose(&mut self, now: Millis, request: &AttemptSpec<'_>) -> Option<Choice> {
        let mut candidates = std::mem::take(&mut self.candidates);
        candidates.clear();
        let servers = self.servers.values().enumerate();
        match self.policy {
            BalancerPolicy::SlotShares => {
                let usable = |s: &Server| s.is_allowed(now, request) && s.is_usable(now);
                candidates.extend(servers.filter(|(_, s)| usable(s)).map(|(i, _)| i));
            }
            _ => candidates.extend(
                servers
                    .filter(|(_, s)| s.is_allowed(now, request))
                    .map(|(i, _)| i),
            ),
        }
        let chosen = match self.policy {
            BalancerPolicy::LeastOutstanding => {
                let cost = |i: usize| f64::from(self.servers[i].stats.outstanding());
                baseline::min_cost(&candidates, &mut self.rng, cost)
            }
            BalancerPolicy::Random => baseline::random(&candidates, &mut self.rng),
            BalancerPolicy::RoundRobin => baseline::round_robin(&candidates, &mut self.cursor),
            BalancerPolicy::SlotShares => self.choose_by_share(now, request, &mut candidates),
        };
        self.candidates = candidates;
        let server = &self.servers[chosen?];
        Some(Choice {
            server: server.info.name.clone(),
            region: server.info.region.clone(),
            wait_ms: server.wait_ms(now, 0.0),
        })
    }

    /// Records the start of an attempt.
    pub fn start(&mut self, now: Millis, server: &Name) {
        if let Some(s) = self.servers.get_mut(server) {
            s.stats.start(now);
            s.limit.record_send(now);
        }
    }

    /// Records the end of an attempt.
    pub fn finish(&mut self, now: Millis, server: &Name, end: AttemptEnd, latency_ms: u64) {
        let may_eject = end == AttemptEnd::Complete || self.may_eject(now, server);
        let jitter = self.rng.random::<f64>();
        if let Some(s) = self.servers.get_mut(server) {
            let silent = end == AttemptEnd::Cancelled && s.stats.was_silent(now, latency_ms);
            s.stats.finish(now, end, latency_ms);
            let end = if silent { AttemptEnd::Failed } else { end };
            if s.ejection.record(now, end, may_eject, jitter) {
                s.stats.begin_slow_start(now);
            }
        }
    }

    /// Number of own outstanding requests at a server.
    pub fn outstanding(&self, server: &Name) -> u32 {
        self.servers
            .get(server)
            .map_or(0, |s| s.stats.outstanding())
    }

    /// Whether a server is serving, on probation or ejected.
    pub fn health(&self, now: Millis, server: &Name) -> Option<Health> {
        self.servers.get(server).map(|s| s.ejection.health(now))
    }

    /// Load of each region, for the selection of regions and for metrics. A server
    /// without a fresh report is left out if other servers have one, and a
    /// reported load far below the mean that other entries cause is raised.
    pub fn region_loads(&self, now: Millis) -> Vec<RegionLoad> {
        let mut regions: IndexMap<&Name, Vec<usize>> = IndexMap::new();
        for (i, s) in self.servers.values().enumerate() {
            if s.takes_work(now) {
                regions.entry(&s.info.region).or_default().push(i);
            }
        }
        let load = |(region, list): (&Name, Vec<usize>)| self.region_load(now, region, &list);
        regions.into_iter().map(load).collect()
    }

    fn region_load(&self, now: Millis, region: &Name, list: &[usize]) -> RegionLoad {
        let mean_load = self.mean_load_per_slot(now, list);
        let mut load = RegionLoad::new(region);
        for &i in list {
            load.add(now, &self.servers[i], mean_load);
        }
        load.wait_ms /= f64::from(load.slots.max(1));
        load
    }

    fn choose_by_share(
        &mut self,
        now: Millis,
        request: &AttemptSpec<'_>,
        candidates: &mut Vec<usize>,
    ) -> Option<usize> {
        if let Some(i) = self.due_probe(now, request) {
            self.servers[i].probed_at = now;
            return Some(i);
        }
        if candidates.is_empty() {
            let servers = self.servers.values().enumerate();
            candidates.extend(
                servers
                    .filter(|(_, s)| s.is_allowed(now, request))
                    .map(|(i, _)| i),
            );
        }
        let mean_load = self.mean_load_per_slot(now, candidates);
        let servers = &self.servers;
        let cost = |i: usize| servers[i].cost(now, mean_load) + servers[i].distance_ms;
        baseline::min_cost(candidates, &mut self.rng, cost)
    }

    /// Server on probation that is due for a probe. Only idempotent requests probe.
    fn due_probe(&self, now: Millis, request: &AttemptSpec<'_>) -> Option<usize> {
        if request.class != Class::Idempotent {
            return None;
        }
        let due = |s: &Server| s.is_probe_due(now) && s.is_allowed(now, request);
        self.servers.values().position(due)
    }

    /// Mean load per slot that other entries cause at the servers of `list`,
    /// according to the reports. It keeps a single wrong report from making its
    /// server look idle.
    fn mean_load_per_slot(&self, now: Millis, list: &[usize]) -> f64 {
        let mut sum = 0.0;
        let mut weight = 0.0;
        for &i in list {
            let s = &self.servers[i];
            let w = s.stats.report_weight(now);
            sum += w * s.stats.others_load() / f64::from(s.info.slots.max(1));
            weight += w;
        }
        match weight > 0.0 {
            true => sum / weight,
            false => 0.0,
        }
    }

    /// Region and failure domain of this entry; `None` if it is not in the list.
    fn own_location(&self) -> Option<(Name, Name)> {
        let own = self.entries.iter().find(|e| e.name == self.own)?;
        Some((own.region.clone(), own.domain.clone()))
    }

    /// Whether one more server of the region may be ejected. The first one may be if
    /// the region has others; beyond it, `EJECTED_SHARE_MAX` is the limit.
    fn may_eject(&self, now: Millis, server: &Name) -> bool {
        let Some(target) = self.servers.get(server) else {
            return false;
        };
        let peers = self
            .servers
            .values()
            .filter(|s| s.info.region == target.info.region && !s.info.leaving);
        let (mut total, mut unhealthy) = (0.0, 0.0);
        for s in peers {
            total += 1.0;
            unhealthy += f64::from(u8::from(s.ejection.health(now) != Health::Serving));
        }
        total > 1.0 && (unhealthy == 0.0 || unhealthy + 1.0 <= total * EJECTED_SHARE_MAX)
    }

    /// Divides the slots and connections of the servers among the entries.
    /// Slots are ordered by failure domain and name of their server, and each entry
    /// gets a consecutive range. Each server is then used by few entries, which
    /// know most of its load from their own requests.
    fn assign_shares(&mut self) {
        let home = self.own_location();
        for s in self.servers.values_mut() {
            s.distance_ms = s.info.distance_ms(home.as_ref());
        }
        let Some((region, _)) = home else {
            self.assign_all_slots();
            return;
        };
        let regional: Vec<&EntryInfo> = self
            .entries
            .iter()
            .filter(|e| e.region == region && !e.leaving)
            .collect();
        let count = regional.len().max(1) as u32;
        let own_index = regional.iter().position(|e| e.name == self.own);
        let mut order: Vec<usize> = (0..self.servers.len())
            .filter(|&i| self.servers[i].info.region == region && !self.servers[i].info.leaving)
            .collect();
        order.sort_by(|&a, &b| {
            let (a, b) = (&self.servers[a].info, &self.servers[b].info);
            (&a.domain, &a.name).cmp(&(&b.domain, &b.name))
        });
        let total: u32 = order.iter().map(|&i| self.servers[i].info.slots).sum();
        let entries = self.entries.len().max(1) as u32;
        for s in self.servers.values_mut() {
            s.share = 0;
            s.outstanding_max = (s.info.connections / entries).max(1);
        }
        let mut slot = 0;
        for i in order {
            let s = &mut self.servers[i];
            let owner = |k: u32| u64::from(k) * u64::from(count) / u64::from(total.max(1));
            let slots = slot..slot + s.info.slots;
            let owned = slots.filter(|&k| own_index.is_some_and(|p| owner(k) == p as u64));
            s.share = owned.count() as u32;
            slot += s.info.slots;
        }
    }

    /// Divides the limit of each server as its slots are divided among the entries of its
    /// region, since these send it its requests. Without any, all entries have equal parts.
    fn assign_limits(&mut self, now: Millis) {
        let serving = || self.entries.iter().filter(|e| !e.leaving);
        let equal = 1.0 / serving().count().max(1) as f64;
        for s in self.servers.values_mut() {
            let has_entries = serving().any(|e| e.region == s.info.region);
            let share = LimitShare {
                current: match has_entries {
                    true => f64::from(s.share) / f64::from(s.info.slots.max(1)),
                    false => equal,
                },
                isolated: equal,
            };
            s.limit.set_recorded(now, s.info.limit);
            s.limit.set_share(now, share);
        }
    }

    /// Assigns all slots and connections to this entry, as long as it is not in the
    /// list of entries.
    fn assign_all_slots(&mut self) {
        for s in self.servers.values_mut() {
            s.share = s.info.slots;
            s.outstanding_max = s.info.connections.max(1);
        }
    }
}

impl RegionLoad {
    fn new(region: &Name) -> RegionLoad {
        RegionLoad {
            region: region.clone(),
            slots: 0,
            load: 0.0,
            wait_ms: 0.0,
            oldest_ms: None,
        }
    }

    fn add(&mut self, now: Millis, server: &Server, mean_load: f64) {
        let age = server.stats.report_age(now).unwrap_or(u64::MAX);
        let stale = |age: u64| age > REPORT_FRESH_MS;
        match self.oldest_ms {
            Some(oldest) if stale(age) && !stale(oldest) => return,
            Some(oldest) if stale(oldest) && !stale(age) => *self = RegionLoad::new(&self.region),
            _ => {}
        }
        let slots = server.info.slots;
        self.slots += slots;
        self.load += server
            .stats
            .reported_load()
            .max(mean_load * f64::from(slots) * MIN_REGION_LOAD_FACTOR);
        self.wait_ms += server.wait_ms(now, mean_load) * f64::from(slots);
        self.oldest_ms = self.oldest_ms.max(Some(age));
    }
}
