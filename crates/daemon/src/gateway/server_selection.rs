//! Selects the server of a request, or asks the coordinator to select it.

use pomelovale_protocol::messages::PlaceRequest;
use pomelovale_state::Name;
use pomelovale_steering::placement::PlacementDecision;

use super::attempt::{RoutedRequest, RESPONSE_RESERVE_MS};
use super::coordinator_client::Place;
use super::scheduling::{Caller, Scheduled, Wait};
use super::Shared;

/// Refusal of a request whose service is not known yet.
const UNKNOWN_SERVICE: PlacementDecision = PlacementDecision::Refuse { retry_ms: 500 };

/// Selects a server. If the coordinator of the failure domain is another
/// gateway, it is asked for the server. This instance counts the request as
/// well, so that it can select servers itself if the coordinator fails.
pub(super) async fn choose(
    shared: &Shared,
    routed: &RoutedRequest,
    tried: &[Name],
) -> (PlacementDecision, Option<Place>) {
    let (now, document) = (shared.clock.now(), shared.view.document());
    let is_enabled = shared.config.scheduling;
    let known = shared.services.with(now, &document, &routed.service, |s| {
        let is_ordered = s.follow_scheduling(now, &routed.service, is_enabled);
        if let Some(plan) = s.placement.plan_mut().filter(|_| tried.is_empty()) {
            plan.record_request(&routed.route.name, !routed.homes.is_empty());
        }
        let rest_ms = s.placement.all_rest_ms(now, &routed.homes);
        let closed = s.placement.closed_servers(now).cloned();
        (
            s.coordinator.clone(),
            rest_ms,
            closed.collect::<Vec<Name>>(),
            is_ordered,
        )
    });
    let Some((coordinator, rest_ms, closed, is_ordered)) = known else {
        return (UNKNOWN_SERVICE, None);
    };
    if let Some(retry_ms) = rest_ms {
        return (PlacementDecision::Refuse { retry_ms }, None);
    }
    // What a server has told this instance, the coordinator doesn't know.
    let tried = &[tried, closed.as_slice()].concat();
    if let Some(peer) = coordinator {
        let caller = is_ordered.then(|| caller(shared, routed));
        let reply =
            shared
                .coordinator_client
                .request_server(&peer.name, request(routed, tried), caller);
        if let Some(answer) = reply.await {
            let now = shared.clock.now();
            shared.services.with(now, &document, &routed.service, |s| {
                s.placement.set_remote_share(answer.part);
                if let PlacementDecision::Send(chosen) = &answer.verdict {
                    s.placement
                        .record_remote_placement(now, routed.object, chosen);
                }
            });
            return (answer.verdict, answer.place);
        }
    }
    let (now, request) = (shared.clock.now(), request(routed, tried));
    let selected = shared
        .services
        .with(now, &document, &routed.service, |s| match is_ordered {
            true => s.schedule(now, &request, &caller(shared, routed)),
            false => Scheduled::Decided(s.placement.choose(now, &request.subject())),
        });
    let verdict = match selected {
        Some(Scheduled::Decided(verdict)) => Some(verdict),
        Some(Scheduled::Waits(ticket, decision)) => {
            let (service, route) = (&routed.service, &routed.route.name);
            Wait::new(shared, service, route, ticket, decision)
                .decision()
                .await
        }
        None => None,
    };
    (verdict.unwrap_or(UNKNOWN_SERVICE), None)
}

fn caller(shared: &Shared, routed: &RoutedRequest) -> Caller {
    Caller {
        workspace: routed.workspace.clone().unwrap_or_default(),
        domain: shared.config.domain.clone(),
        fingerprint: routed.short_fingerprint(),
    }
}

fn request(routed: &RoutedRequest, tried: &[Name]) -> PlaceRequest {
    let spent_ms = routed.start.elapsed().as_millis() as u64;
    PlaceRequest {
        service: routed.service.clone(),
        route: routed.route.name.clone(),
        object: routed.object,
        priority: routed.priority,
        objective_ms: routed.route.objective_ms.saturating_sub(spent_ms),
        left_ms: (routed.left().as_millis() as u64).saturating_sub(RESPONSE_RESERVE_MS),
        homes: routed.homes.clone(),
        tried: tried.to_vec(),
    }
}
