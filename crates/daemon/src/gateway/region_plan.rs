//! Follows the plan of the regions, and reports the demand that it is made from.

use pomelovale_protocol::messages::{DemandReport, PlanNotice};
use pomelovale_state::document::Document;
use pomelovale_state::{Millis, Name};

use super::services::Service;
use super::Shared;

/// Takes over the plan that was received last.
pub(super) fn follow(shared: &Shared, name: &Name, service: &mut Service, now: Millis) {
    let Some(plan) = service.placement.plan_mut() else {
        return;
    };
    if let Some((received, notice)) = shared.view.plan() {
        let age_ms = notice.age_ms + now.since(received);
        plan.receive(
            now,
            &PlanNotice {
                age_ms,
                ..(*notice).clone()
            },
        );
    }
    if let Some(age_ms) = plan.age_ms(now) {
        metrics::gauge!("gateway_region_plan_age_ms").set(age_ms as f64);
    }
    let share = plan.remote_share();
    metrics::gauge!("gateway_remote_share", "service" => name.to_string()).set(share);
}

/// Sends the demand of this instance's callers to the leader.
pub(super) fn report(shared: &Shared, now: Millis, document: &Document) {
    let Some(routing) = &document.routing else {
        return;
    };
    let objective_ms = |name: &Name| {
        let mut routes = routing.hosts.values().flatten();
        routes
            .find(|r| r.name == *name)
            .map_or(0, |r| r.objective_ms)
    };
    let mut routes = Vec::new();
    shared.services.for_each(now, document, |_, service| {
        routes.extend(service.placement.demand(now, objective_ms));
    });
    let distances = shared.connections.distances();
    let others = document
        .regions
        .keys()
        .filter(|r| **r != shared.config.region);
    let measured = others.filter_map(|r| Some((r.clone(), distances.region_ms(r)? as u32)));
    let round_trips = measured.collect();
    shared.control.report_demand(DemandReport {
        instance: shared.config.instance.clone(),
        routes,
        round_trips,
    });
}
