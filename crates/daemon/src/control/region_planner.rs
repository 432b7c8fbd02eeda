//! The leader's plan of the regions for all services.

use std::sync::Arc;

use indexmap::IndexMap;
use pomelovale_protocol::messages::{DemandReport, PlanNotice};
use pomelovale_state::document::{Document, MemberState};
use pomelovale_state::routing::Routing;
use pomelovale_state::{Millis, Name};
use pomelovale_steering::region_plan::{route_key, DemandTable, RegionPlan, PLAN_STEP_MS};

/// Time after the start of a leadership until the first step, in milliseconds: two reports of
/// each gateway. Before, the demand of the regions would be incomplete.
const START_MS: u64 = 1_200;
/// Largest number of rows in a plan. Each takes about 16 bytes, and a gateway gets those of its
/// region only.
const ROWS_MAX: usize = 1_024;

/// Figures and plans of a leader.
#[derive(Debug)]
pub(super) struct RegionPlanner {
    since: Millis,
    stepped: Millis,
    demand: DemandTable,
    plans: IndexMap<Name, RegionPlan>,
}

impl RegionPlanner {
    pub(super) fn new(now: Millis) -> RegionPlanner {
        RegionPlanner {
            since: now,
            stepped: now,
            demand: DemandTable::default(),
            plans: IndexMap::new(),
        }
    }

    pub(super) fn record(&mut self, report: DemandReport, document: &Document, now: Millis) {
        if let Some(instance) = document.instances.get(&report.instance) {
            self.demand.record(now, &instance.region, report);
        }
    }

    /// Takes a step if one is due and gateways have reported demand. Continues the `last` plan
    /// that this instance has received from an earlier leader.
    pub(super) fn step(
        &mut self,
        document: &Document,
        last: Option<&(Millis, Arc<PlanNotice>)>,
        now: Millis,
    ) -> Option<PlanNotice> {
        let is_due = now.since(self.stepped) >= PLAN_STEP_MS && now.since(self.since) >= START_MS;
        let routing = document.routing.as_ref().filter(|_| is_due)?;
        if !self.demand.has_figures(now) {
            return None;
        }
        self.stepped = now;
        self.plans
            .retain(|name, _| routing.services.contains_key(name));
        let mut rows = Vec::new();
        for service in routing.services.keys() {
            let objectives = objectives(routing, service);
            let keys: Vec<u32> = objectives.keys().copied().collect();
            let plan = self.plans.entry(service.clone()).or_insert_with(|| {
                last.map_or_else(RegionPlan::default, |(_, n)| RegionPlan::resume(n, &keys))
            });
            let figures = self.demand.figures(now, &slots(document, service), &keys);
            let objectives: Vec<(u32, u64)> = objectives.into_iter().collect();
            plan.step(now, &figures, &objectives);
            rows.extend(plan.rows());
        }
        rows.truncate(ROWS_MAX);
        metrics::gauge!("region_plan_rows").set(rows.len() as f64);
        let mut regions: Vec<Name> = document.regions.keys().cloned().collect();
        regions.sort();
        Some(PlanNotice {
            age_ms: 0,
            regions,
            rows,
        })
    }
}

// Latency objectives of the routes to a service, in milliseconds.
fn objectives(routing: &Routing, service: &Name) -> IndexMap<u32, u64> {
    let routes = routing.hosts.values().flatten();
    let routes = routes.filter(|r| r.targets.iter().any(|t| t.service == *service));
    let objective = routes.map(|r| (route_key(service, &r.name), r.objective_ms));
    objective.collect()
}

// Slots of the servers of a service that can get requests, by region.
fn slots(document: &Document, service: &Name) -> Vec<(Name, u32)> {
    let regions = document.regions.keys().map(|name| (name.clone(), 0));
    let mut slots: IndexMap<Name, u32> = regions.collect();
    let servers = document.backends.values().filter(|b| {
        b.service == *service
            && b.state == MemberState::Serving
            && !document.evacuated.contains(&b.domain)
    });
    for server in servers {
        if let Some(sum) = slots.get_mut(&server.region) {
            *sum += server.slots;
        }
    }
    slots.into_iter().collect()
}
