//! Placement, retry budget and traffic split of all services, updated from the
//! document.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use indexmap::IndexMap;
use pomelovale_coordination::server_list::KnownList;
use pomelovale_coordination::view::View;
use pomelovale_state::document::{Backend, Document, Instance, MemberState};
use pomelovale_state::routing::HostRoute;
use pomelovale_state::{Millis, Name};
use pomelovale_steering::load_exchange::{LoadTable, Origin, SharedLoad};
use pomelovale_steering::pace::HedgeGate;
use pomelovale_steering::placement::{
    Chosen, Placement, PlacementEnd, ServerReport, ServerSpec, ServiceSpec,
};
use pomelovale_steering::region_assignment::{hash, hash_bytes};
use pomelovale_steering::retry::{RetryBudget, RetryPolicy};
use pomelovale_steering::server_limit::LimitShare;
use pomelovale_transport::peer_client::PeerAddress;

use super::config::{GatewayConfig, RetryBudgetConfig};
use super::scheduling::Scheduling;

/// Share of the common retry budgets that the instances use, in per mille. The
/// rest covers instances that restart and then spend their share a second time.
const BUDGET_USED_PER_MILLE: u64 = 600;
/// Time for which the departure of a server is kept.
const DEPARTURE_TTL: Duration = Duration::from_secs(10);
/// Time for which it is kept that a server leaves which the document doesn't show yet, in
/// milliseconds.
const NOTICED_MS: u64 = 10_000;
/// Time for following a change of the document from which it is logged, in milliseconds.
const SLOW_SYNC_MS: u64 = 20;

/// State of one service on this instance.
#[derive(Debug)]
pub(super) struct Service {
    pub(super) placement: Placement,
    pub(super) scheduling: Scheduling,
    pub(super) retry_budget: RetryBudget,
    pub(super) hedge_gate: HedgeGate,
    /// Path of the health probe of the service's servers.
    pub(super) probe: String,
    /// The gateway that selects the servers for the requests of the service in
    /// this failure domain, or `None` if this gateway does.
    pub(super) coordinator: Option<PeerAddress>,
    /// Those of the other failure domains of this region.
    pub(super) other_coordinators: Vec<PeerAddress>,
    /// Loads to pass on to other gateways.
    pub(super) loads: LoadTable,
}

/// How the end of a request has changed the state of its server.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub(super) struct ServerChange {
    /// The server is suspended.
    pub(super) suspended: bool,
    /// Its limit has started or ended: the server, and the limit in thousandths of a request
    /// per second.
    pub(super) limit: Option<(Name, Option<u64>)>,
}

impl Service {
    /// Records the end of a request.
    pub(super) fn finish(
        &mut self,
        now: Millis,
        chosen: &Chosen,
        route: &Name,
        ended: PlacementEnd,
        latency_ms: u64,
        report: ServerReport,
    ) -> ServerChange {
        if let Some(load) = report.load {
            let server = hash_bytes(chosen.server.as_bytes());
            self.loads.record(now, server, load, Origin::Domain);
        }
        let placement = &mut self.placement;
        let changed = ServerChange {
            suspended: placement.finish(now, chosen, route, ended, latency_ms, report),
            limit: placement.take_limit_change(),
        };
        if self.scheduling.is_active() {
            self.record_place_end(now);
        }
        changed
    }
}

impl Service {
    /// Records loads that another gateway has passed on, and that this one is to pass on.
    pub(super) fn record_loads(&mut self, now: Millis, loads: &[SharedLoad], origin: Origin) {
        for load in loads {
            let at = now.minus(u64::from(load.age_ms));
            self.loads.record(at, load.server, load.report(), origin);
        }
        self.placement.record_shared_loads(now, loads);
    }
}

/// A server that gets no more requests by the latest document.
#[derive(Clone, Copy, Debug)]
pub(super) struct Departure {
    /// Version of the document that took it out.
    pub(super) version: u64,
    /// When this instance followed it.
    pub(super) at: Instant,
}

#[derive(Debug, Default)]
struct Inner {
    version: Option<u64>,
    // Servers that were taken out recently.
    departures: IndexMap<Name, Departure>,
    // Number of the last leaving server that was taken over from the server list.
    noticed_number: u64,
    // Leaving servers that the document doesn't show yet, and until when that counts.
    noticed: IndexMap<Name, Millis>,
    services: IndexMap<Name, Service>,
    // State of the smooth weighted round robin of each route with several
    // targets: credit by service.
    splits: IndexMap<Name, IndexMap<Name, i64>>,
}

impl Inner {
    fn follow_list(&mut self, now: Millis, list: &KnownList, version: u64) {
        if list.last_number() == self.noticed_number {
            return;
        }
        let until = now.plus(NOTICED_MS);
        let new = list.noticed_after(self.noticed_number);
        self.noticed
            .extend(new.into_iter().map(|name| (name, until)));
        self.noticed_number = list.last_number();
        self.close_noticed(now, version);
    }

    // Closes the servers that leave. Those that the document doesn't show yet are kept.
    fn close_noticed(&mut self, now: Millis, version: u64) {
        let departure = Departure {
            version,
            at: Instant::now(),
        };
        let (services, departures) = (&mut self.services, &mut self.departures);
        self.noticed.retain(|name, until| {
            let mut services = services.values_mut();
            let service = services.find(|s| s.placement.has_server(name));
            if let Some(service) = service {
                service.placement.record_leaving(now, name);
                departures.insert(name.clone(), departure);
                return false;
            }
            *until > now
        });
    }
}

/// State of all services on this instance.
#[derive(Debug)]
pub(super) struct Services {
    inner: Mutex<Inner>,
    instance: Name,
    region: Name,
    domain: Name,
    retry_budget: RetryBudgetConfig,
    // Whether this instance has connections to other gateways.
    has_peering: bool,
    exchanges_loads: bool,
    needs_pace: bool,
    // Whether objects change their server as little as possible.
    is_stable: bool,
    seed: u64,
    region_planning: bool,
    view: Arc<View>,
}

impl Services {
    pub(super) fn new(config: &GatewayConfig, seed: u64, view: Arc<View>) -> Services {
        Services {
            inner: Mutex::default(),
            instance: config.instance.clone(),
            region: config.region.clone(),
            domain: config.domain.clone(),
            retry_budget: config.retry_budget,
            has_peering: config.peering.is_some(),
            exchanges_loads: config.load_exchange,
            needs_pace: config.needs_pace,
            is_stable: config.stable_placement,
            seed,
            region_planning: config.region_planning,
            view,
        }
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Updates the services from the document, then runs `f` on one of them.
    pub(super) fn with<R>(
        &self,
        now: Millis,
        document: &Document,
        name: &Name,
        f: impl FnOnce(&mut Service) -> R,
    ) -> Option<R> {
        let mut inner = self.lock();
        self.sync(&mut inner, now, document);
        inner.services.get_mut(name).map(f)
    }

    /// Updates the services from the document, then runs `f` on each of them.
    pub(super) fn for_each(
        &self,
        now: Millis,
        document: &Document,
        mut f: impl FnMut(&Name, &mut Service),
    ) {
        let mut inner = self.lock();
        self.sync(&mut inner, now, document);
        inner.services.iter_mut().for_each(|(name, s)| f(name, s));
    }

    /// Returns the departure of a server that was taken out recently.
    pub(super) fn departure(&self, server: &Name) -> Option<Departure> {
        self.lock().departures.get(server).copied()
    }

    /// Returns the other gateways that select servers for this failure domain, and those to
    /// which this one passes on loads.
    pub(super) fn coordinators(&self, now: Millis) -> Vec<PeerAddress> {
        let inner = self.lock();
        let mut all: Vec<PeerAddress> = Vec::new();
        for service in inner.services.values() {
            // Coordinators tell each other the loads of the servers.
            let is_paced = !self.needs_pace || service.placement.reports_pace(now);
            let others: &[PeerAddress] = match &service.coordinator {
                None if self.exchanges_loads && is_paced => &service.other_coordinators,
                Some(_) | None => &[],
            };
            for peer in service.coordinator.iter().chain(others) {
                if !all.contains(peer) {
                    all.push(peer.clone());
                }
            }
        }
        all
    }

    // Returns the serving gateways of this region.
    fn gateways_in_region<'a>(
        &'a self,
        document: &'a Document,
    ) -> impl Iterator<Item = (&'a Name, &'a Instance)> {
        serving_gateways(document).filter(|(_, i)| i.region == self.region)
    }

    // Returns the gateway that selects the servers of a service for each failure
    // domain. It is the one with the highest hash of service name and gateway name,
    // so that all gateways with the same document agree on it.
    fn elect_coordinators<'a>(
        &self,
        document: &'a Document,
        service: &Name,
    ) -> IndexMap<&'a Name, (&'a Name, &'a Instance)> {
        let rank =
            |name: &Name| hash(&[hash_bytes(service.as_bytes()), hash_bytes(name.as_bytes())]);
        let mut best: IndexMap<&Name, (&Name, &Instance)> = IndexMap::new();
        let connected = serving_gateways(document).filter(|(_, i)| i.peers.is_some());
        for (name, instance) in connected.filter(|_| self.has_peering) {
            let known = best.entry(&instance.domain).or_insert((name, instance));
            if rank(known.0) < rank(name) {
                *known = (name, instance);
            }
        }
        best
    }

    // Likewise, with their addresses and for the failure domains of this region only.
    fn coordinators_by_domain(
        &self,
        document: &Document,
        service: &Name,
    ) -> IndexMap<Name, PeerAddress> {
        let all = self.elect_coordinators(document, service).into_iter();
        let here = all.filter(|(_, (_, i))| i.region == self.region);
        let peer = |(domain, (name, instance)): (&Name, (&Name, &Instance))| {
            let address = instance.peers?;
            let name = name.clone();
            Some((domain.clone(), PeerAddress { name, address }))
        };
        here.filter_map(peer).collect()
    }

    // Returns the gateways that select servers for a service: the coordinators of all
    // failure domains, or all gateways if there are none.
    fn selecting_gateways<'a>(
        &self,
        document: &'a Document,
        service: &Name,
    ) -> Vec<(&'a Name, &'a Instance)> {
        let coordinators = self.elect_coordinators(document, service);
        match coordinators.is_empty() {
            true => serving_gateways(document).collect(),
            false => coordinators.into_values().collect(),
        }
    }

    /// Returns the service for the next request on a route. If the route has
    /// several targets, each gets its share by weight of any sequence of
    /// requests, to within one request.
    pub(super) fn next_service(&self, route: &HostRoute) -> Option<Name> {
        let weight: i64 = route.targets.iter().map(|t| i64::from(t.weight)).sum();
        match route.targets.as_slice() {
            [] => return None,
            [only] => return Some(only.service.clone()),
            [first, ..] if weight == 0 => return Some(first.service.clone()),
            _ => {}
        }
        let mut inner = self.lock();
        let credits = inner.splits.entry(route.name.clone()).or_default();
        credits.retain(|name, _| route.targets.iter().any(|t| t.service == *name));
        for target in &route.targets {
            *credits.entry(target.service.clone()).or_default() += i64::from(target.weight);
        }
        let best = credits.iter_mut().max_by_key(|(_, credit)| **credit)?;
        *best.1 -= weight;
        Some(best.0.clone())
    }

    fn sync(&self, inner: &mut Inner, now: Millis, document: &Document) {
        if inner.version < Some(document.version) {
            self.follow_document(inner, now, document);
        }
        inner.follow_list(now, &self.view.list(), document.version);
    }

    fn follow_document(&self, inner: &mut Inner, now: Millis, document: &Document) {
        let start = Instant::now();
        self.apply(inner, now, document);
        let spent = start.elapsed();
        metrics::histogram!("gateway_sync_seconds").record(spent);
        let (version, sync_ms) = (document.version, spent.as_millis() as u64);
        if sync_ms >= SLOW_SYNC_MS {
            tracing::info!(event = "slow-sync", version, sync_ms);
        }
    }

    fn apply(&self, inner: &mut Inner, now: Millis, document: &Document) {
        inner.version = Some(document.version);
        let Some(routing) = &document.routing else {
            return;
        };
        let gateways = || document.instances.values().filter(|i| i.callers.is_some());
        let regions: Vec<Name> = document.regions.keys().cloned().collect();
        let gateway_count = gateways().count().max(1) as u64;
        inner
            .services
            .retain(|name, _| routing.services.contains_key(name));
        let departure = Departure {
            version: document.version,
            at: Instant::now(),
        };
        inner
            .departures
            .retain(|_, d| d.at.elapsed() < DEPARTURE_TTL);
        for (name, routed) in &routing.services {
            let server_specs = self.server_specs(document, name);
            if !inner.departures.is_empty() {
                let placement = inner.services.get(name).map(|s| &s.placement);
                let is_open = |spec: &&ServerSpec| {
                    placement.is_none_or(|placement| placement.is_open(now, &spec.name))
                };
                for spec in server_specs.iter().filter(is_open) {
                    inner.departures.swap_remove(&spec.name);
                }
            }
            let service = ServiceSpec {
                cold_ms: routed.cold_ms,
                cold_rate: (routed.cold_rate > 0).then_some(routed.cold_rate as f64 / 1_000.0),
                stable: self.is_stable,
            };
            let policy = RetryPolicy::Shared {
                per_mille: self.retry_budget.per_mille * BUDGET_USED_PER_MILLE / 1_000,
                burst: self.retry_budget.reserve * BUDGET_USED_PER_MILLE / 1_000 / gateway_count,
            };
            let service_state = inner
                .services
                .entry(name.clone())
                .or_insert_with(|| Service {
                    placement: self.placement(name),
                    scheduling: Scheduling::new(),
                    retry_budget: RetryBudget::new(policy),
                    hedge_gate: HedgeGate::default(),
                    probe: routed.probe.clone(),
                    coordinator: None,
                    other_coordinators: Vec::new(),
                    loads: LoadTable::default(),
                });
            let coordinators_by_domain = self.coordinators_by_domain(document, name);
            let own = coordinators_by_domain
                .iter()
                .find(|(domain, _)| **domain == self.domain);
            service_state.coordinator = own
                .map(|(_, peer)| peer.clone())
                .filter(|peer| peer.name != self.instance);
            let others = coordinators_by_domain.iter();
            let others = others.filter(|(domain, _)| **domain != self.domain);
            service_state.other_coordinators = others.map(|(_, peer)| peer.clone()).collect();
            // An instance that can't ask its coordinator places beside all others that can't.
            let instances = match &service_state.coordinator {
                None if !coordinators_by_domain.is_empty() => coordinators_by_domain.len(),
                Some(_) | None => self.gateways_in_region(document).count(),
            };
            let placement = &mut service_state.placement;
            placement.set_instances_beside(instances.saturating_sub(1));
            let warmup_instances: Vec<Name> = match coordinators_by_domain.is_empty() {
                true => self
                    .gateways_in_region(document)
                    .map(|(n, _)| n.clone())
                    .collect(),
                false => coordinators_by_domain
                    .values()
                    .map(|peer| peer.name.clone())
                    .collect(),
            };
            service_state
                .placement
                .set_warmup_instances(warmup_instances.into_iter());
            let removed =
                service_state
                    .placement
                    .set_servers(now, &server_specs, service, &regions);
            let departed = removed.into_iter().map(|name| (name, departure));
            inner.departures.extend(departed);
            service_state.retry_budget.set_policy(policy);
            service_state.probe.clone_from(&routed.probe);
        }
        inner.close_noticed(now, document.version);
    }

    fn placement(&self, service: &Name) -> Placement {
        let mut placement = Placement::new(&self.instance, &self.region, &self.domain, self.seed);
        if self.region_planning {
            placement.follow_plan(service);
        }
        placement
    }

    // Returns the servers that may get new requests, including those that may get
    // them only once they are reachable again.
    fn server_specs(&self, document: &Document, service: &Name) -> Vec<ServerSpec> {
        let open = document.backends.iter().filter(|(_, b)| {
            b.service == *service
                && b.state != MemberState::Leaving
                && !document.evacuated.contains(&b.domain)
        });
        let gateways = self.selecting_gateways(document, service);
        let spec = |(name, b): (&Name, &Backend)| ServerSpec {
            name: name.clone(),
            address: b.address,
            region: b.region.clone(),
            domain: b.domain.clone(),
            slots: b.slots,
            cold_ms: b.cold_ms,
            down: b.state == MemberState::Away,
            limit: document.limits.get(name).copied(),
            share: self.limit_share(&gateways, b),
        };
        open.map(spec).collect()
    }

    // A limited server gets its requests from the gateways that are nearest to it.
    fn limit_share(&self, gateways: &[(&Name, &Instance)], server: &Backend) -> LimitShare {
        let nearness = |i: &Instance| match () {
            () if i.domain == server.domain => 2,
            () if i.region == server.region => 1,
            () => 0,
        };
        let nearest = gateways.iter().map(|(_, i)| nearness(i)).max();
        let users = gateways
            .iter()
            .map(|(name, i)| (*name, Some(nearness(i)) == nearest));
        let users: Vec<(&Name, bool)> = users.collect();
        LimitShare::of(&&self.instance, &users)
    }
}

fn serving_gateways(document: &Document) -> impl Iterator<Item = (&Name, &Instance)> {
    let serving = |i: &Instance| i.callers.is_some() && i.state == MemberState::Serving;
    document.instances.iter().filter(move |(_, i)| serving(i))
}
