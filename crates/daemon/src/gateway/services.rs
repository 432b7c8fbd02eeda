//! Placement, repeats and splits of all services, kept in step with the
//! document.

use std::sync::{Mutex, MutexGuard};

use indexmap::IndexMap;
use pomelovale_state::document::{Document, Instance, MemberState};
use pomelovale_state::routing::HostRoute;
use pomelovale_state::{Millis, Name};
use pomelovale_steering::placement::{Placement, ServerSpec, ServiceSpec};
use pomelovale_steering::retry::{RetryBudget, RetryPolicy};
use pomelovale_steering::spread::{hash, hash_bytes};
use pomelovale_transport::peer_client::PeerAddress;

use super::config::{GatewayConfig, RepeatBudget};

/// Part of the shared budgets that is used, in per mille: the rest covers
/// instances that restart and spend their part again.
const BUDGET_USED: u64 = 600;

/// One service on this instance.
#[derive(Debug)]
pub(super) struct Service {
    pub(super) placement: Placement,
    pub(super) repeats: RetryBudget,
    pub(super) probe: String,
    /// The gateway that places the requests of the service in this failure
    /// domain; none if that is this one.
    pub(super) coordinator: Option<PeerAddress>,
}

#[derive(Debug, Default)]
struct Inner {
    version: Option<u64>,
    services: IndexMap<Name, Service>,
    // Smooth weighted round robin of each split route: credit by service.
    splits: IndexMap<Name, IndexMap<Name, i64>>,
}

/// All services on this instance.
#[derive(Debug)]
pub(super) struct Services {
    inner: Mutex<Inner>,
    instance: Name,
    region: Name,
    domain: Name,
    repeats: RepeatBudget,
    // Whether this instance can ask others.
    peered: bool,
    seed: u64,
}

impl Services {
    pub(super) fn new(config: &GatewayConfig, seed: u64) -> Services {
        Services {
            inner: Mutex::default(),
            instance: config.instance.clone(),
            region: config.region.clone(),
            domain: config.domain.clone(),
            repeats: config.repeats,
            peered: config.peering.is_some(),
            seed,
        }
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().expect("no panic while held")
    }

    /// Runs `f` on a service, once it is in step with the document.
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

    /// Runs `f` on every service.
    pub(super) fn each(
        &self,
        now: Millis,
        document: &Document,
        mut f: impl FnMut(&Name, &mut Service),
    ) {
        let mut inner = self.lock();
        self.sync(&mut inner, now, document);
        inner.services.iter_mut().for_each(|(name, s)| f(name, s));
    }

    /// The other gateways that place requests in this failure domain.
    pub(super) fn coordinators(&self) -> Vec<PeerAddress> {
        let inner = self.lock();
        let mut all: Vec<PeerAddress> = Vec::new();
        for peer in inner
            .services
            .values()
            .filter_map(|s| s.coordinator.as_ref())
        {
            if !all.contains(peer) {
                all.push(peer.clone());
            }
        }
        all
    }

    // The serving gateways of this region.
    fn gateways_here<'a>(
        &'a self,
        document: &'a Document,
    ) -> impl Iterator<Item = (&'a Name, &'a Instance)> {
        document.instances.iter().filter(|(_, i)| {
            i.callers.is_some() && i.region == self.region && i.state == MemberState::Serving
        })
    }

    // The gateway that places the requests of a service, for each failure
    // domain of this region. All gateways agree on it by a hash of the names.
    fn coordinators_of(&self, document: &Document, service: &Name) -> IndexMap<Name, PeerAddress> {
        let rank =
            |name: &Name| hash(&[hash_bytes(service.as_bytes()), hash_bytes(name.as_bytes())]);
        let mut best: IndexMap<Name, PeerAddress> = IndexMap::new();
        for (name, instance) in self.gateways_here(document).filter(|_| self.peered) {
            let Some(address) = instance.peers else {
                continue;
            };
            let better = best
                .get(&instance.domain)
                .is_none_or(|b| rank(&b.name) < rank(name));
            if better {
                let peer = PeerAddress {
                    name: name.clone(),
                    address,
                };
                best.insert(instance.domain.clone(), peer);
            }
        }
        best
    }

    /// The service of the next request on a route. Each service of a split
    /// gets its weight's share of any run of requests, to within one.
    pub(super) fn target(&self, route: &HostRoute) -> Option<Name> {
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
        if inner.version == Some(document.version) {
            return;
        }
        inner.version = Some(document.version);
        let Some(routing) = &document.routing else {
            return;
        };
        let gateways = || document.instances.values().filter(|i| i.callers.is_some());
        let regions: Vec<Name> = document.regions.keys().cloned().collect();
        let all = gateways().count().max(1) as u64;
        inner
            .services
            .retain(|name, _| routing.services.contains_key(name));
        for (name, routed) in &routing.services {
            let specs = specs(document, name);
            let service = ServiceSpec {
                cold_ms: routed.cold_ms,
                cold_rate: (routed.cold_rate > 0).then_some(routed.cold_rate as f64 / 1_000.0),
            };
            let policy = RetryPolicy::Fleet {
                per_mille: self.repeats.per_mille * BUDGET_USED / 1_000,
                burst: self.repeats.reserve * BUDGET_USED / 1_000 / all,
            };
            let known = inner
                .services
                .entry(name.clone())
                .or_insert_with(|| Service {
                    placement: Placement::new(
                        &self.instance,
                        &self.region,
                        &self.domain,
                        self.seed,
                    ),
                    repeats: RetryBudget::new(policy),
                    probe: routed.probe.clone(),
                    coordinator: None,
                });
            let leads = self.coordinators_of(document, name);
            let own = leads.iter().find(|(domain, _)| **domain == self.domain);
            known.coordinator = own
                .map(|(_, peer)| peer.clone())
                .filter(|peer| peer.name != self.instance);
            let warm: Vec<Name> = match leads.is_empty() {
                true => self
                    .gateways_here(document)
                    .map(|(n, _)| n.clone())
                    .collect(),
                false => leads.values().map(|peer| peer.name.clone()).collect(),
            };
            known.placement.set_warmup_instances(warm.into_iter());
            known.placement.set_servers(now, &specs, service, &regions);
            known.repeats.set_policy(policy);
            known.probe.clone_from(&routed.probe);
        }
    }
}

// Servers that may get new work, now or once they can be reached.
fn specs(document: &Document, service: &Name) -> Vec<ServerSpec> {
    let open = document.backends.iter().filter(|(_, b)| {
        b.service == *service
            && b.state != MemberState::Leaving
            && !document.evacuated.contains(&b.domain)
    });
    let spec = |(name, b): (&Name, &pomelovale_state::document::Backend)| ServerSpec {
        name: name.clone(),
        address: b.address,
        region: b.region.clone(),
        domain: b.domain.clone(),
        slots: b.slots,
        cold_ms: b.cold_ms,
        down: b.state == MemberState::Away,
    };
    open.map(spec).collect()
}
