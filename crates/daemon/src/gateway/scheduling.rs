//! Order of the requests of a service while demand exceeds its capacity.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use indexmap::IndexMap;
use pomelovale_protocol::messages::PlaceRequest;
use pomelovale_state::{Millis, Name};
use pomelovale_steering::placement::{Chosen, Placement, PlacementDecision, PlacementEnd};
use pomelovale_steering::returns::Return;
use pomelovale_steering::scheduler::{Candidacy, Offer, Order, Scheduler, Ticket};
use tokio::sync::oneshot;
use tokio::time::MissedTickBehavior;

use super::services::Service;
use super::Shared;

/// Interval at which waiting requests are looked at, in milliseconds. Places also become free
/// by requests of other instances, whose ends this instance isn't told.
const RELEASE_MS: u64 = 20;

/// The caller of a request to schedule.
#[derive(Clone, Debug)]
pub(super) struct Caller {
    /// Its workspace; empty on open routes.
    pub(super) workspace: Name,
    /// Failure domain of the gateway that it has reached.
    pub(super) domain: Name,
    /// First 8 bytes of the fingerprint of the request.
    pub(super) fingerprint: u64,
}

/// What happens to a request.
#[derive(Debug)]
pub(super) enum Scheduled {
    Decided(PlacementDecision),
    Waits(Ticket, oneshot::Receiver<PlacementDecision>),
}

#[derive(Debug)]
struct WaitingRequest {
    request: PlaceRequest,
    since: Millis,
    reply: oneshot::Sender<PlacementDecision>,
}

impl WaitingRequest {
    // The request with the times that are left of it.
    fn remaining(&self, now: Millis) -> PlaceRequest {
        let waited_ms = now.since(self.since);
        PlaceRequest {
            objective_ms: self.request.objective_ms.saturating_sub(waited_ms),
            left_ms: self.request.left_ms.saturating_sub(waited_ms),
            ..self.request.clone()
        }
    }
}

/// The requests of one service, if they are ordered.
#[derive(Debug, Default)]
pub(super) struct Scheduling {
    scheduler: Scheduler,
    waiting: IndexMap<Ticket, WaitingRequest>,
    is_active: bool,
}

impl Scheduling {
    pub(super) fn new() -> Scheduling {
        Scheduling {
            scheduler: Scheduler::new(Order::Fair),
            ..Scheduling::default()
        }
    }

    /// Whether requests are ordered, as of the last one.
    pub(super) fn is_active(&self) -> bool {
        self.is_active
    }

    /// Number of waiting requests.
    pub(super) fn waiting(&self) -> usize {
        self.scheduler.waiting()
    }

    /// Gives the caller of a request that a server with free slots has shed a time to return.
    pub(super) fn expect_return(&mut self, now: Millis, fingerprint: u64, retry_ms: u64) {
        self.scheduler.expect_return(now, fingerprint, retry_ms);
    }
}

impl Service {
    /// Updates and returns whether the requests of this service are ordered.
    pub(super) fn follow_scheduling(&mut self, now: Millis, name: &Name, enabled: bool) -> bool {
        let is_active = enabled || self.placement.shares_machines(now);
        if is_active != self.scheduling.is_active {
            self.scheduling.is_active = is_active;
            tracing::info!(event = "scheduling", service = %name, active = is_active);
        }
        is_active
    }

    /// Places a request, rejects it or lets it wait.
    pub(super) fn schedule(
        &mut self,
        now: Millis,
        request: &PlaceRequest,
        caller: &Caller,
    ) -> Scheduled {
        self.release(now);
        let scheduler = &mut self.scheduling.scheduler;
        let is_repeated = !request.tried.is_empty();
        let known = scheduler.recognize(now, caller.fingerprint);
        match known {
            Return::Early => count_return("early"),
            Return::OnTime => count_return("on-time"),
            Return::First => {}
        }
        let candidacy = Candidacy {
            workspace: caller.workspace.clone(),
            domain: caller.domain.clone(),
            priority: request.priority,
            objective_ms: request.objective_ms.min(request.left_ms),
            left_ms: request.left_ms,
            // A request that a server didn't run was placed before.
            returned: is_repeated || known == Return::OnTime,
        };
        let (estimate, found) = self.placement.estimate(now, &request.subject());
        let offer = scheduler.offer(now, candidacy, caller.fingerprint, &estimate);
        match (offer, found) {
            (Offer::Place, Some(found)) => {
                count("placed");
                Scheduled::Decided(self.placement.place(now, request.object, &found))
            }
            (Offer::Wait { ticket }, _) => {
                count("waits");
                let (reply, receiver) = oneshot::channel();
                let waiting = WaitingRequest {
                    request: request.clone(),
                    since: now,
                    reply,
                };
                self.scheduling.waiting.insert(ticket, waiting);
                Scheduled::Waits(ticket, receiver)
            }
            (Offer::Place, None) => Scheduled::Decided(refuse(&mut self.placement, 0)),
            (Offer::Refuse { retry_ms }, _) => {
                count("rejected");
                Scheduled::Decided(refuse(&mut self.placement, retry_ms))
            }
        }
    }

    /// Decides on the waiting requests for which there is a place, or none in time.
    pub(super) fn release(&mut self, now: Millis) {
        let Scheduling {
            scheduler, waiting, ..
        } = &mut self.scheduling;
        let placement = &mut self.placement;
        let mut unread: VecDeque<(Chosen, Name)> = VecDeque::new();
        loop {
            let mut last = None;
            let released = scheduler.release(now, |ticket| {
                let request = waiting[&ticket].remaining(now);
                let (estimate, found) = placement.estimate(now, &request.subject());
                last = found;
                estimate
            });
            let Some((ticket, offer)) = released else {
                break;
            };
            let Some(released) = waiting.swap_remove(&ticket) else {
                continue;
            };
            let waited = Duration::from_millis(now.since(released.since));
            metrics::histogram!("gateway_wait_seconds").record(waited);
            let decision = match (offer, last) {
                (Offer::Place, Some(found)) => {
                    count("placed-after-wait");
                    placement.place(now, released.request.object, &found)
                }
                (Offer::Refuse { retry_ms }, _) => {
                    count("rejected-after-wait");
                    refuse(placement, retry_ms)
                }
                (Offer::Place, None) | (Offer::Wait { .. }, _) => refuse(placement, 0),
            };
            // The caller may have left meanwhile.
            if let Err(PlacementDecision::Send(chosen)) = released.reply.send(decision) {
                unread.push_back((chosen, released.request.route));
            }
        }
        while let Some((chosen, route)) = unread.pop_front() {
            let cancelled = PlacementEnd::Cancelled;
            placement.finish(now, &chosen, &route, cancelled, 0, None);
        }
    }

    fn cancel_wait(&mut self, ticket: Ticket) {
        self.scheduling.scheduler.cancel(ticket);
        self.scheduling.waiting.swap_remove(&ticket);
    }

    /// Records that a request has ended and its place is free.
    pub(super) fn record_place_end(&mut self, now: Millis) {
        self.scheduling.scheduler.record_end(now);
        self.release(now);
    }
}

fn refuse(placement: &mut Placement, retry_ms: u64) -> PlacementDecision {
    placement.record_refusal();
    PlacementDecision::Refuse { retry_ms }
}

fn count(result: &'static str) {
    metrics::counter!("gateway_scheduled_total", "result" => result).increment(1);
}

fn count_return(result: &'static str) {
    metrics::counter!("gateway_returned_total", "result" => result).increment(1);
}

/// Waits for the decision on a request. If the request ends first, it leaves the queue, and a
/// place that it was given is free again.
pub(super) struct Wait<'a> {
    shared: &'a Shared,
    service: &'a Name,
    route: &'a Name,
    ticket: Ticket,
    receiver: oneshot::Receiver<PlacementDecision>,
    decided: bool,
}

impl<'a> Wait<'a> {
    pub(super) fn new(
        shared: &'a Shared,
        service: &'a Name,
        route: &'a Name,
        ticket: Ticket,
        receiver: oneshot::Receiver<PlacementDecision>,
    ) -> Wait<'a> {
        shared.waits.notify_one();
        Wait {
            shared,
            service,
            route,
            ticket,
            receiver,
            decided: false,
        }
    }

    /// Returns the decision; `None` if the service no longer exists.
    pub(super) async fn decision(mut self) -> Option<PlacementDecision> {
        let decision = (&mut self.receiver).await.ok();
        self.decided = true;
        decision
    }
}

impl Drop for Wait<'_> {
    fn drop(&mut self) {
        if self.decided {
            return;
        }
        self.receiver.close();
        let given = self.receiver.try_recv().ok();
        let (now, document) = (self.shared.clock.now(), self.shared.view.document());
        let services = &self.shared.services;
        services.with(now, &document, self.service, |s| match given {
            Some(PlacementDecision::Send(chosen)) => {
                let cancelled = PlacementEnd::Cancelled;
                s.finish(now, &chosen, self.route, cancelled, 0, None.into());
            }
            Some(PlacementDecision::Refuse { .. }) | None => s.cancel_wait(self.ticket),
        });
    }
}

/// Releases waiting requests until the task is aborted.
pub(super) async fn run(shared: Arc<Shared>) {
    let mut ticks = tokio::time::interval(Millis(RELEASE_MS).duration());
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        shared.waits.notified().await;
        loop {
            ticks.tick().await;
            let (now, document) = (shared.clock.now(), shared.view.document());
            let mut waiting = 0;
            shared.services.for_each(now, &document, |_, s| {
                s.release(now);
                waiting += s.scheduling.waiting();
            });
            metrics::gauge!("gateway_waiting").set(waiting as f64);
            if waiting == 0 {
                break;
            }
        }
    }
}
