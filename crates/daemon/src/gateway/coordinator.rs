//! Selects backend servers for the other gateways of this failure domain.
//!
//! Where many gateways share the same backend servers, each of them sends too
//! few requests to estimate the load of the servers, and all of them select the
//! same idle one. One gateway of a failure domain therefore selects the servers
//! for all requests of a service and counts these requests exactly.

use std::sync::Arc;
use std::time::Duration;

use indexmap::IndexMap;
use pomelovale_protocol::messages::{PeerMessage, PlaceRequest};
use pomelovale_state::{Millis, Name};
use pomelovale_steering::placement::{Chosen, PlacementDecision, PlacementEnd, ServerReport};
use pomelovale_transport::peer_link::{PeerEvent, PeerLink};
use tokio::task::AbortHandle;
use tokio::time::MissedTickBehavior;

use super::coordinator_client::WAITING_MS;
use super::scheduling::{Caller, Scheduled, Wait};
use super::{loads, Shared};
use crate::reach::State;

/// Interval between two checks for expired placements.
const EXPIRY_INTERVAL: Duration = Duration::from_millis(500);
/// Time after the deadline of a request for which its placement is kept, in
/// milliseconds, since the gateway that sent it may report its end late.
const END_GRACE_MS: u64 = 500;

/// A request of another gateway that was placed on a server. It has nothing to do
/// with the grants of rate limit leases.
struct Grant {
    /// The gateway.
    source: Name,
    service: Name,
    route: Name,
    chosen: Chosen,
    until: Millis,
}

struct Coordinator {
    shared: Arc<Shared>,
    links: IndexMap<u64, PeerLink>,
    // By connection identifier and request identifier.
    grants: IndexMap<(u64, u64), Grant>,
    // Requests that wait for a place, likewise, and the decisions on them.
    waits: IndexMap<(u64, u64), AbortHandle>,
    decisions: (flume::Sender<Decision>, flume::Receiver<Decision>),
}

/// Decision on a request that has waited.
struct Decision {
    link: u64,
    id: u64,
    request: PlaceRequest,
    verdict: Option<PlacementDecision>,
}

// Waits for the decision on a request, and shows its gateway meanwhile that it waits.
async fn show_waiting(
    peer: Option<PeerLink>,
    id: u64,
    wait: Wait<'_>,
) -> Option<PlacementDecision> {
    let mut decision = std::pin::pin!(wait.decision());
    let mut ticks = tokio::time::interval(Millis(WAITING_MS).duration());
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            biased;
            verdict = &mut decision => return verdict,
            _ = ticks.tick() => {
                if let Some(peer) = &peer {
                    peer.send(PeerMessage::Waiting { id });
                }
            }
        }
    }
}

/// Serves the other gateways until the task is aborted.
pub(super) async fn run(shared: Arc<Shared>, events: flume::Receiver<PeerEvent>) {
    let exchanges = shared.config.load_exchange;
    let mut coordinator = Coordinator {
        shared,
        links: IndexMap::new(),
        grants: IndexMap::new(),
        waits: IndexMap::new(),
        decisions: flume::unbounded(),
    };
    let decisions = coordinator.decisions.1.clone();
    let mut ticks = tokio::time::interval(EXPIRY_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut load_ticks = tokio::time::interval(loads::INTERVAL);
    load_ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            event = events.recv_async() => match event {
                Ok(event) => coordinator.event(event),
                Err(_) => return,
            },
            Ok(decision) = decisions.recv_async() => coordinator.decided(decision),
            _ = ticks.tick() => coordinator.expire(),
            _ = load_ticks.tick(), if exchanges => {
                loads::pass_on(&coordinator.shared, coordinator.links.values());
            }
        }
    }
}

impl Coordinator {
    fn event(&mut self, event: PeerEvent) {
        match event {
            PeerEvent::Opened(link) => {
                self.links.insert(link.id, link);
            }
            PeerEvent::Closed(id) => {
                self.links.swap_remove(&id);
                self.cancel(|link, _| link == id);
                self.waits.retain(|(link, _), task| {
                    if *link == id {
                        task.abort();
                    }
                    *link != id
                });
            }
            PeerEvent::Message(link, PeerMessage::Place { id, request }) => {
                self.place(link, id, &request);
            }
            PeerEvent::Message(
                link,
                PeerMessage::Schedule {
                    id,
                    request,
                    workspace,
                    fingerprint,
                },
            ) => self.schedule(link, id, request, workspace, fingerprint),
            PeerEvent::Message(
                link,
                PeerMessage::Finished {
                    id,
                    ended,
                    latency_ms,
                    report,
                },
            ) => {
                if let Some(grant) = self.grants.swap_remove(&(link, id)) {
                    self.finish(&grant, ended, latency_ms, report);
                }
            }
            PeerEvent::Message(link, PeerMessage::Loads { service, loads }) => {
                if let Some(link) = self.links.get(&link) {
                    loads::take_over(&self.shared, &link.peer, &service, &loads);
                }
            }
            PeerEvent::Message(
                link,
                PeerMessage::FinishedPaced {
                    id,
                    ended,
                    latency_ms,
                    report,
                    pace,
                },
            ) => {
                if let Some(grant) = self.grants.swap_remove(&(link, id)) {
                    self.finish(&grant, ended, latency_ms, report.with_pace(pace));
                }
            }
            PeerEvent::Message(id, _) => {
                if let Some(link) = self.links.get(&id) {
                    link.reject();
                }
            }
        }
    }

    fn place(&mut self, link: u64, id: u64, request: &PlaceRequest) {
        let shared = &self.shared;
        let (now, document) = (shared.clock.now(), shared.view.document());
        let placed = match shared.reach.state() {
            // The other gateway selects the server itself.
            State::Blocked | State::Lost => None,
            State::Reached => shared.services.with(now, &document, &request.service, |s| {
                let verdict = s.placement.choose(now, &request.subject());
                (verdict, s.placement.remote_share())
            }),
        };
        let (verdict, part) = match placed {
            Some((verdict, part)) => (Some(verdict), part),
            None => (None, 0.0),
        };
        self.reply(link, id, request, verdict, part);
    }

    // Likewise, if the requests of the service are ordered.
    fn schedule(
        &mut self,
        link: u64,
        id: u64,
        request: PlaceRequest,
        workspace: Name,
        fingerprint: u64,
    ) {
        let shared = self.shared.clone();
        let (now, document) = (shared.clock.now(), shared.view.document());
        let caller = Caller {
            workspace,
            domain: shared.config.domain.clone(),
            fingerprint,
        };
        let (service, is_enabled) = (&request.service, shared.config.scheduling);
        let scheduled = match shared.reach.state() {
            State::Blocked | State::Lost => None,
            State::Reached => shared.services.with(now, &document, service, |s| {
                let scheduled = match s.follow_scheduling(now, service, is_enabled) {
                    true => s.schedule(now, &request, &caller),
                    false => Scheduled::Decided(s.placement.choose(now, &request.subject())),
                };
                (scheduled, s.placement.remote_share())
            }),
        };
        match scheduled {
            Some((Scheduled::Decided(verdict), part)) => {
                self.reply(link, id, &request, Some(verdict), part);
            }
            Some((Scheduled::Waits(ticket, receiver), _)) => {
                let peer = self.links.get(&link).cloned();
                let decisions = self.decisions.0.clone();
                let task = tokio::spawn(async move {
                    let (service, route) = (&request.service, &request.route);
                    let wait = Wait::new(&shared, service, route, ticket, receiver);
                    let verdict = show_waiting(peer, id, wait).await;
                    let decision = Decision {
                        link,
                        id,
                        request,
                        verdict,
                    };
                    drop(decisions.send(decision));
                });
                self.waits.insert((link, id), task.abort_handle());
            }
            None => self.reply(link, id, &request, None, 0.0),
        }
    }

    fn decided(&mut self, decision: Decision) {
        let Decision {
            link,
            id,
            request,
            verdict,
        } = decision;
        self.waits.swap_remove(&(link, id));
        let shared = &self.shared;
        let (now, document) = (shared.clock.now(), shared.view.document());
        let part = shared.services.with(now, &document, &request.service, |s| {
            s.placement.remote_share()
        });
        self.reply(link, id, &request, verdict, part.unwrap_or(0.0));
        if !self.links.contains_key(&link) {
            // The gateway doesn't report the end of a request that it wasn't told of.
            self.cancel(|of, _| of == link);
        }
    }

    fn reply(
        &mut self,
        link: u64,
        id: u64,
        request: &PlaceRequest,
        verdict: Option<PlacementDecision>,
        part: f64,
    ) {
        let now = self.shared.clock.now();
        if let Some(PlacementDecision::Send(chosen)) = &verdict {
            let source = self.links.get(&link).map(|l| l.peer.clone());
            let grant = Grant {
                source: source.unwrap_or_default(),
                service: request.service.clone(),
                route: request.route.clone(),
                chosen: chosen.clone(),
                until: now.plus(request.left_ms + END_GRACE_MS),
            };
            self.grants.insert((link, id), grant);
        }
        if let Some(link) = self.links.get(&link) {
            link.send(PeerMessage::Placed { id, verdict, part });
        }
        metrics::counter!("gateway_placed_for_others_total").increment(1);
    }

    fn finish(&self, grant: &Grant, ended: PlacementEnd, latency_ms: u64, report: ServerReport) {
        let shared = &self.shared;
        let (now, document) = (shared.clock.now(), shared.view.document());
        let (route, chosen) = (&grant.route, &grant.chosen);
        let changed = shared.services.with(now, &document, &grant.service, |s| {
            s.finish(now, chosen, route, ended, latency_ms, report)
        });
        let changed = changed.unwrap_or_default();
        let (source, service) = (&grant.source, &grant.service);
        super::report_changed_server(shared, source, service, chosen, ended, changed);
    }

    fn expire(&mut self) {
        let now = self.shared.clock.now();
        self.cancel(|_, grant| grant.until <= now);
    }

    fn cancel(&mut self, matches: impl Fn(u64, &Grant) -> bool) {
        let matching_key = |((link, id), grant): (&(u64, u64), &Grant)| {
            matches(*link, grant).then_some((*link, *id))
        };
        let keys: Vec<(u64, u64)> = self.grants.iter().filter_map(matching_key).collect();
        for key in keys {
            if let Some(grant) = self.grants.swap_remove(&key) {
                self.finish(&grant, PlacementEnd::Cancelled, 0, ServerReport::default());
            }
        }
    }
}
