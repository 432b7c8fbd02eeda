//! Who chooses the server of a request: this gateway or a coordinator.

use pomelovale_protocol::messages::PlaceRequest;
use pomelovale_state::Name;
use pomelovale_steering::placement::Verdict;

use super::attempt::{Job, ANSWER_MS};
use super::delegate::Place;
use super::Shared;

/// Refusal while the service is not known yet; the time after which the caller
/// may return is in milliseconds.
const UNKNOWN: Verdict = Verdict::Refuse { retry_ms: 500 };

/// Chooses a server, and asks the coordinator of the failure domain for it if
/// that is another gateway. This instance counts the request as well, so that it
/// can decide alone.
pub(super) async fn choose(
    shared: &Shared,
    job: &Job,
    tried: &[Name],
    first: bool,
) -> (Verdict, Option<Place>) {
    let (now, document) = (shared.clock.now(), shared.view.document());
    let known = shared.services.with(now, &document, &job.service, |s| {
        if first {
            s.repeats.record_request();
        }
        s.coordinator.clone()
    });
    let Some(coordinator) = known else {
        return (UNKNOWN, None);
    };
    if let Some(peer) = coordinator {
        let asked = shared.delegate.ask(&peer.name, request(job, tried));
        if let Some(answer) = asked.await {
            let now = shared.clock.now();
            shared.services.with(now, &document, &job.service, |s| {
                s.placement.set_remote_share(answer.part);
                if let Verdict::Send(chosen) = &answer.verdict {
                    s.placement.record_sent(now, job.object, chosen);
                }
            });
            return (answer.verdict, answer.place);
        }
    }
    let (now, request) = (shared.clock.now(), request(job, tried));
    let verdict = shared.services.with(now, &document, &job.service, |s| {
        s.placement.choose(now, &request.subject())
    });
    (verdict.unwrap_or(UNKNOWN), None)
}

fn request(job: &Job, tried: &[Name]) -> PlaceRequest {
    let spent_ms = job.start.elapsed().as_millis() as u64;
    PlaceRequest {
        service: job.service.clone(),
        route: job.route.name.clone(),
        object: job.object,
        priority: job.priority,
        objective_ms: job.route.objective_ms.saturating_sub(spent_ms),
        left_ms: (job.left().as_millis() as u64).saturating_sub(ANSWER_MS),
        homes: job.homes.clone(),
        tried: tried.to_vec(),
    }
}
