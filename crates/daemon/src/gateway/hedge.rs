//! A second attempt beside one that takes long, for services whose servers report their pace.

use std::future::Future;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::Duration;

use pomelovale_state::{Millis, Name};
use pomelovale_steering::pace::{hedge_wait_ms, is_hedge_useful};
use pomelovale_steering::placement::{Chosen, PlacementDecision};
use tokio::time::{timeout_at, Instant};

use super::attempt::{
    has_retry_budget, spend_retry, AttemptGuard, Outcome, Progress, RoutedRequest,
};
use super::exchange::{boxed_attempt, Ended};
use super::request_log::Timing;
use super::{server_selection, Shared};
use crate::reach::State;

/// An attempt that has been sent and may be hedged.
pub(super) struct First {
    pub(super) chosen: Chosen,
    since: Instant,
    // Whether its server counts as silent if the attempt is cancelled.
    silent: Arc<AtomicBool>,
    hedged: AtomicBool,
}

impl First {
    pub(super) fn new(running: &AttemptGuard, since: Instant) -> First {
        First {
            chosen: running.chosen.clone(),
            since,
            silent: running.silent.clone(),
            hedged: AtomicBool::new(false),
        }
    }

    /// Whether a second attempt runs beside it. It isn't abandoned then.
    pub(super) fn is_hedged(&self) -> bool {
        self.hedged.load(Ordering::Relaxed)
    }
}

/// Log fields of a second attempt.
pub(super) struct Second {
    pub(super) chosen: Chosen,
    pub(super) timing: Timing,
    pub(super) since: Instant,
    pub(super) end: &'static str,
}

/// Awaits an exchange. If it takes long, the request is sent to another server as well, and the
/// first response of either wins; the other attempt is cancelled.
pub(super) async fn race(
    shared: &Arc<Shared>,
    routed: &Arc<RoutedRequest>,
    progress: &Progress,
    first: &First,
    exchange: impl Future<Output = Ended>,
) -> (Ended, Option<Second>) {
    if !may_hedge(shared, routed, progress) {
        return (exchange.await, None);
    }
    let objective_ms = routed.route.objective_ms;
    let wait = Millis(hedge_wait_ms(first.chosen.expected_ms, objective_ms)).duration();
    let mut exchange = std::pin::pin!(exchange);
    if let Ok(ended) = timeout_at(first.since + wait, &mut exchange).await {
        return (ended, None);
    }
    let asked = Instant::now();
    let selected = tokio::select! {
        biased;
        ended = &mut exchange => return (ended, None),
        selected = select_server(shared, routed, progress, first) => selected,
    };
    let Some(running) = selected else {
        return (exchange.await, None);
    };
    first.hedged.store(true, Ordering::Relaxed);
    let mut timing = Timing {
        by_coordinator: running.is_placed_by_other(),
        place_ms: asked.elapsed().as_millis() as u64,
        connect_ms: 0,
    };
    let (chosen, since) = (running.chosen.clone(), Instant::now());
    let mut beside = progress.beside(&first.chosen);
    let mut second = boxed_attempt(shared, routed, running, &mut beside, &mut timing);
    let (ended, end, result) = tokio::select! {
        biased;
        ended = &mut exchange => match ended {
            (Outcome::Answer(_), _) => (ended, "cancelled", "lost"),
            _ => {
                let other = second.as_mut().await;
                let (end, result) = (other.1, result_of(&other.0));
                ((either(ended.0, other.0), ended.1), end, result)
            }
        },
        other = &mut second => match other {
            (Outcome::Answer(response), end) => {
                if !shared.crashes.heard_since(first.chosen.address, first.since) {
                    first.silent.store(true, Ordering::Relaxed);
                    shared.connections.pool.purge(first.chosen.address, first.since);
                }
                ((Outcome::Answer(response), "overtaken"), end, "won")
            }
            (outcome, end) => {
                let ended = exchange.await;
                ((either(ended.0, outcome), ended.1), end, "failed")
            }
        },
    };
    drop(second);
    metrics::counter!("gateway_hedges_total", "result" => result).increment(1);
    let (now, document) = (shared.clock.now(), shared.view.document());
    shared.services.with(now, &document, &routed.service, |s| {
        s.hedge_gate.record(result == "won");
    });
    let second = Second {
        chosen,
        timing,
        since,
        end,
    };
    (ended, Some(second))
}

// Whether a request may be sent to a second server while it runs on the first one. One under
// which a server has crashed may be the cause.
fn may_hedge(shared: &Shared, routed: &RoutedRequest, progress: &Progress) -> bool {
    let may_repeat = routed.is_idempotent() && !routed.trial.is_taken() && !routed.is_relayed;
    if !may_repeat || progress.hedged || progress.sent + 1 >= routed.route.attempts {
        return false;
    }
    let (now, document) = (shared.clock.now(), shared.view.document());
    let paced = shared.services.with(now, &document, &routed.service, |s| {
        s.placement.reports_pace(now)
    });
    paced == Some(true) && progress.known_crash == 0
}

// Selects a server with a free slot that is expected to answer before the first one, and takes
// the attempt from the retry budget.
async fn select_server(
    shared: &Arc<Shared>,
    routed: &Arc<RoutedRequest>,
    progress: &Progress,
    first: &First,
) -> Option<AttemptGuard> {
    let is_stopping = shared.leaving.load(Ordering::Relaxed) || shared.stopping.is_late();
    let is_reached = shared.reach.state() == State::Reached;
    let crashed = shared.crashes.last_crash(|| routed.fingerprint()) > 0;
    if is_stopping || !is_reached || crashed || !has_retry_budget(shared, routed) {
        return None;
    }
    let (now, document) = (shared.clock.now(), shared.view.document());
    let may_hedge = shared.services.with(now, &document, &routed.service, |s| {
        s.hedge_gate.may_hedge()
    });
    if may_hedge != Some(true) {
        return None;
    }
    let tried: Vec<Name> = [
        &progress.tried[..],
        std::slice::from_ref(&first.chosen.server),
    ]
    .concat();
    let running = match server_selection::choose(shared, routed, &tried).await {
        (PlacementDecision::Send(chosen), place) => {
            AttemptGuard::new(shared, routed, chosen, place)
        }
        (PlacementDecision::Refuse { .. }, _) => return None,
    };
    let elapsed_ms = first.since.elapsed().as_millis() as u64;
    let is_useful = running.chosen.idle && is_hedge_useful(elapsed_ms, running.chosen.expected_ms);
    let in_time = routed.left() > Duration::from_millis(running.chosen.expected_ms);
    (is_useful && in_time && spend_retry(shared, routed)).then_some(running)
}

fn result_of(outcome: &Outcome) -> &'static str {
    match outcome {
        Outcome::Answer(_) => "won",
        Outcome::Blocked
        | Outcome::NotRun { .. }
        | Outcome::Unconfirmed
        | Outcome::Unknown { .. }
        | Outcome::Unsent => "failed",
    }
}

// The outcome of both attempts: an answer, or else whether one of them may have run.
fn either(first: Outcome, second: Outcome) -> Outcome {
    match (first, second) {
        (answer @ Outcome::Answer(_), _) | (_, answer @ Outcome::Answer(_)) => answer,
        (Outcome::Unknown { kind, ended }, other) | (other, Outcome::Unknown { kind, ended }) => {
            let other_ended = matches!(other, Outcome::Unknown { ended: true, .. });
            Outcome::Unknown {
                kind,
                ended: ended || other_ended,
            }
        }
        (Outcome::NotRun { has_slots }, _) | (_, Outcome::NotRun { has_slots }) => {
            Outcome::NotRun { has_slots }
        }
        (first, _) => first,
    }
}
