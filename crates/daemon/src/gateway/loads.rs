//! Passes on the loads that servers report in their answers.
//!
//! Each gateway tells the coordinator of its failure domain what it was told, and coordinators
//! tell their own failure domain and each other.

use std::time::Duration;

use pomelovale_protocol::messages::PeerMessage;
use pomelovale_state::Name;
use pomelovale_steering::load_exchange::{Origin, SharedLoad};
use pomelovale_transport::peer_link::PeerLink;

use super::Shared;

/// Interval between two messages about the servers of a service. Loads change within a few
/// hundred milliseconds; ten messages a second would take a tenth of a small gateway's
/// processor.
pub(super) const INTERVAL: Duration = Duration::from_millis(200);

/// Records loads that the coordinator has passed on.
pub(super) fn record(shared: &Shared, service: &Name, loads: &[SharedLoad]) {
    let (now, document) = (shared.clock.now(), shared.view.document());
    metrics::counter!("gateway_loads_received_total").increment(loads.len() as u64);
    shared.services.with(now, &document, service, |s| {
        s.placement.record_shared_loads(now, loads);
    });
}

/// Records loads that another gateway tells this one, the coordinator, which is to pass them on.
pub(super) fn take_over(shared: &Shared, gateway: &Name, service: &Name, loads: &[SharedLoad]) {
    let (now, document) = (shared.clock.now(), shared.view.document());
    metrics::counter!("gateway_loads_received_total").increment(loads.len() as u64);
    let origin = origin(shared, gateway);
    shared.services.with(now, &document, service, |s| {
        s.record_loads(now, loads, origin);
    });
}

fn origin(shared: &Shared, gateway: &Name) -> Origin {
    let document = shared.view.document();
    let instance = document.instances.get(gateway);
    match instance.is_some_and(|i| i.domain == shared.config.domain) {
        true => Origin::Domain,
        false => Origin::Region,
    }
}

/// Passes on what is new: to the coordinator, or as the coordinator to the gateways of this
/// failure domain on `links` and to the coordinators of the others.
pub(super) fn pass_on<'a>(shared: &Shared, links: impl Iterator<Item = &'a PeerLink>) {
    let (now, document) = (shared.clock.now(), shared.view.document());
    let mut messages = Vec::new();
    shared.services.for_each(now, &document, |name, service| {
        if shared.config.needs_pace && !service.placement.reports_pace(now) {
            return;
        }
        let changed = service.loads.take_changed(now);
        if !changed.is_empty() {
            let (coordinator, others) = (&service.coordinator, &service.other_coordinators);
            messages.push((name.clone(), coordinator.clone(), others.clone(), changed));
        }
    });
    let near = links.filter(|l| l.knows_loads() && origin(shared, &l.peer) == Origin::Domain);
    let near: Vec<&PeerLink> = near.collect();
    let client = &shared.coordinator_client;
    for (service, coordinator, others, changed) in messages {
        let all: Vec<SharedLoad> = changed.iter().map(|(load, _)| *load).collect();
        if let Some(coordinator) = coordinator {
            client.send_loads(&coordinator.name, &service, all);
            continue;
        }
        let own = changed.iter().filter(|(_, o)| *o == Origin::Domain);
        let own: Vec<SharedLoad> = own.map(|(load, _)| *load).collect();
        for peer in others.iter().filter(|_| !own.is_empty()) {
            client.send_loads(&peer.name, &service, own.clone());
        }
        for link in &near {
            let (service, loads) = (service.clone(), all.clone());
            link.send(PeerMessage::Loads { service, loads });
        }
    }
}
