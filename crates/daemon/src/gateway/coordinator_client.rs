//! Client of the coordinators, which select servers for this failure domain.

use std::sync::{Mutex, MutexGuard, PoisonError};

use indexmap::IndexMap;
use pomelovale_protocol::messages::{PeerMessage, PlaceRequest};
use pomelovale_state::{Clock, Millis, Name};
use pomelovale_steering::load_exchange::SharedLoad;
use pomelovale_steering::placement::{PlacementDecision, PlacementEnd, ServerReport};
use pomelovale_transport::peer_client::{connect_once, PeerAddress};
use pomelovale_transport::peer_link::{PeerConfig, PeerEvent, PeerLink};
use pomelovale_transport::stall::timeout;
use tokio::sync::mpsc;
use tokio::task::JoinHandle;

use super::scheduling::Caller;

/// Timeout for a reply of a coordinator, in milliseconds. It runs in the same
/// failure domain, but responses to callers may delay its messages on a slow
/// link.
const WAIT_MS: u64 = 90;
/// Interval at which a coordinator shows that a request waits in its queue, in milliseconds.
pub(super) const WAITING_MS: u64 = 40;
/// Consecutive timeouts of a coordinator after which this instance selects
/// servers itself.
const MISSED_MAX: u32 = 3;
/// Time for which this instance then selects servers itself, in milliseconds.
const LOCAL_PLACEMENT_MS: u64 = 300;
/// Mean time to a reply above which a coordinator is slow, in milliseconds. It delays
/// requests by more than its choice of a server gains, as it does where large responses
/// share a narrow link with its messages.
const SLOW_REPLY_MS: f64 = 30.0;
/// Weight of a new sample in the mean time to a reply.
const REPLY_SAMPLE_WEIGHT: f64 = 0.1;
/// A slow coordinator is asked to choose for one in this many requests, so that it is
/// noticed when its replies are fast again.
const SLOW_ASKED_ONE_IN: u64 = 16;
/// Pause between two attempts to connect, in milliseconds.
const RECONNECT_MS: u64 = 400;
/// Capacity of the queue of events.
const EVENT_QUEUE: usize = 1_024;

/// A server slot on which a coordinator has placed a request. The coordinator
/// is sent the end of the request; if the place is dropped first, the request
/// counts as cancelled.
#[derive(Debug)]
pub(super) struct Place {
    link: PeerLink,
    id: u64,
    end_sent: bool,
}

impl Place {
    /// Reports the end of the attempt to the coordinator.
    pub(super) fn end(mut self, ended: PlacementEnd, latency_ms: u64, report: ServerReport) {
        self.send_end(ended, latency_ms, report);
    }

    fn send_end(&mut self, ended: PlacementEnd, latency_ms: u64, report: ServerReport) {
        self.end_sent = true;
        let id = self.id;
        let pace = report.load.and_then(|load| load.pace);
        self.link
            .send(match pace.filter(|_| self.link.knows_pace()) {
                Some(pace) => PeerMessage::FinishedPaced {
                    id,
                    ended,
                    latency_ms,
                    report,
                    pace,
                },
                None => PeerMessage::Finished {
                    id,
                    ended,
                    latency_ms,
                    report,
                },
            });
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        if !self.end_sent {
            self.send_end(PlacementEnd::Cancelled, 0, ServerReport::default());
        }
    }
}

/// Decision of a coordinator.
#[derive(Debug)]
pub(super) struct Answer {
    pub(super) verdict: PlacementDecision,
    /// Share of objects that go to other regions, from 0 to 1.
    pub(super) part: f64,
    /// The slot, if the request is to be sent.
    pub(super) place: Option<Place>,
}

/// What a coordinator replies.
#[derive(Debug)]
enum Reply {
    Decided(Box<Option<Answer>>),
    /// The request waits there.
    Waiting,
}

#[derive(Debug)]
struct Peer {
    target: PeerAddress,
    link: Option<PeerLink>,
    session: Option<JoinHandle<bool>>,
    tried: Option<Millis>,
    // Consecutive timeouts, when the last one was, and the time until which the
    // coordinator is not asked.
    missed: u32,
    missed_at: Millis,
    local_until: Millis,
    reply_time: ReplyTime,
}

/// Mean time of a coordinator to a reply, by which it is asked or not.
#[derive(Clone, Copy, Debug, Default)]
struct ReplyTime {
    mean_ms: f64,
    // Requests since it became slow.
    skipped: u64,
}

impl ReplyTime {
    fn record(&mut self, spent_ms: u64) {
        self.mean_ms += REPLY_SAMPLE_WEIGHT * (spent_ms as f64 - self.mean_ms);
    }

    // Whether the coordinator is to be asked for the next request.
    fn is_worth_asking(&mut self) -> bool {
        if self.mean_ms <= SLOW_REPLY_MS {
            self.skipped = 0;
            return true;
        }
        self.skipped += 1;
        self.skipped.is_multiple_of(SLOW_ASKED_ONE_IN)
    }
}

#[derive(Debug, Default)]
struct Inner {
    last: u64,
    peers: IndexMap<Name, Peer>,
    waiting: IndexMap<u64, (PeerLink, mpsc::UnboundedSender<Reply>)>,
}

/// Connections to the coordinators of this failure domain.
#[derive(Debug)]
pub(super) struct CoordinatorClient {
    peering: Option<PeerConfig>,
    clock: Clock,
    events: (flume::Sender<PeerEvent>, flume::Receiver<PeerEvent>),
    inner: Mutex<Inner>,
}

impl CoordinatorClient {
    /// Creates a client. Without `peering` it connects to no coordinator.
    pub(super) fn new(peering: Option<PeerConfig>, clock: Clock) -> CoordinatorClient {
        CoordinatorClient {
            peering,
            clock,
            events: flume::bounded(EVENT_QUEUE),
            inner: Mutex::default(),
        }
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Connects to each of the wanted coordinators that has no connection, and
    /// removes all other coordinators.
    pub(super) fn connect_wanted(&self, wanted: &[PeerAddress]) {
        let Some(peering) = &self.peering else {
            return;
        };
        let now = self.clock.now();
        let mut inner = self.lock();
        inner.peers.retain(|_, peer| wanted.contains(&peer.target));
        for target in wanted {
            let peer = inner.peers.entry(target.name.clone()).or_insert(Peer {
                target: target.clone(),
                link: None,
                session: None,
                tried: None,
                missed: 0,
                missed_at: Millis(0),
                local_until: Millis(0),
                reply_time: ReplyTime::default(),
            });
            let ended = peer.session.as_ref().is_none_or(JoinHandle::is_finished);
            let due = peer.tried.is_none_or(|at| now.since(at) >= RECONNECT_MS);
            if peer.link.is_some() || !ended || !due {
                continue;
            }
            peer.tried = Some(now);
            let (peering, target) = (peering.clone(), target.clone());
            let events = self.events.0.clone();
            peer.session = Some(tokio::spawn(async move {
                connect_once(&peering, &target, &events).await
            }));
        }
    }

    /// Asks a coordinator for a server; if `caller` is given, for one of a service whose
    /// requests are ordered. Returns `None` if there is no reply in time; this gateway then
    /// selects the server itself.
    pub(super) async fn request_server(
        &self,
        name: &Name,
        request: PlaceRequest,
        caller: Option<Caller>,
    ) -> Option<Answer> {
        let asked = self.clock.now();
        let (id, mut replies) = {
            let mut inner = self.lock();
            let peer = inner.peers.get_mut(name);
            let peer = peer.filter(|p| p.local_until <= asked)?;
            let link = peer.link.clone()?;
            if !peer.reply_time.is_worth_asking() {
                metrics::counter!("gateway_coordinator_skipped_total").increment(1);
                return None;
            }
            inner.last += 1;
            let id = inner.last;
            let (reply, replies) = mpsc::unbounded_channel();
            let message = match caller.filter(|_| link.knows_schedule()) {
                Some(caller) => PeerMessage::Schedule {
                    id,
                    request,
                    workspace: caller.workspace,
                    fingerprint: caller.fingerprint,
                },
                None => PeerMessage::Place { id, request },
            };
            if !link.send(message) {
                return None;
            }
            inner.waiting.insert(id, (link, reply));
            (id, replies)
        };
        let mut waits = false;
        let answered = loop {
            let reply = timeout(Millis(WAIT_MS).duration(), replies.recv()).await;
            match reply {
                // The next reply follows within `WAITING_MS`.
                Ok(Some(Reply::Waiting)) => waits = true,
                Ok(Some(Reply::Decided(answer))) => break Ok(*answer),
                Ok(None) => break Ok(None),
                Err(late) => break Err(late),
            }
        };
        let now = self.clock.now();
        let mut inner = self.lock();
        let peer = inner.peers.get_mut(name);
        // The time in the queue says nothing about the link.
        if let Some(peer) = peer.filter(|_| !waits) {
            peer.reply_time.record(now.since(asked));
        }
        if let Ok(answered) = answered {
            return answered;
        }
        inner.waiting.swap_remove(&id);
        metrics::counter!("gateway_coordinator_unanswered_total").increment(1);
        // Questions that were asked at the same time count as one.
        let peer = inner.peers.get_mut(name);
        if let Some(peer) = peer.filter(|p| p.missed == 0 || p.missed_at <= asked) {
            peer.missed += 1;
            peer.missed_at = now;
            if peer.missed >= MISSED_MAX {
                peer.local_until = now.plus(LOCAL_PLACEMENT_MS);
                tracing::info!(event = "dependency", name = "coordinator", up = false,
                    peer = %name, cause = "no answer in time", missed = peer.missed);
            }
        }
        None
    }

    /// Passes on loads to a coordinator, if it is connected.
    pub(super) fn send_loads(&self, name: &Name, service: &Name, loads: Vec<SharedLoad>) {
        let inner = self.lock();
        let link = inner.peers.get(name).and_then(|p| p.link.as_ref());
        if let Some(link) = link.filter(|link| link.knows_loads()) {
            let service = service.clone();
            link.send(PeerMessage::Loads { service, loads });
        }
    }

    /// Handles the messages of the coordinators until the task is aborted.
    /// Loads that they pass on go to `record`.
    pub(super) async fn run(&self, record: impl Fn(&Name, &[SharedLoad])) {
        while let Ok(event) = self.events.1.recv_async().await {
            match event {
                PeerEvent::Opened(link) => self.opened(link),
                PeerEvent::Closed(id) => self.closed(id),
                PeerEvent::Message(link, PeerMessage::Placed { id, verdict, part }) => {
                    self.placed(link, id, verdict, part);
                }
                PeerEvent::Message(_, PeerMessage::Loads { service, loads }) => {
                    record(&service, &loads);
                }
                PeerEvent::Message(_, PeerMessage::Waiting { id }) => {
                    if let Some((_, reply)) = self.lock().waiting.get(&id) {
                        drop(reply.send(Reply::Waiting));
                    }
                }
                PeerEvent::Message(id, _) => {
                    let inner = self.lock();
                    let links = inner.peers.values().filter_map(|p| p.link.as_ref());
                    links.filter(|l| l.id == id).for_each(PeerLink::reject);
                }
            }
        }
    }

    fn opened(&self, link: PeerLink) {
        tracing::info!(event = "dependency", name = "coordinator", up = true, peer = %link.peer);
        let mut inner = self.lock();
        // The link to a coordinator that is no longer wanted is dropped.
        if let Some(peer) = inner.peers.get_mut(&link.peer) {
            peer.link = Some(link);
        }
    }

    fn closed(&self, id: u64) {
        let mut inner = self.lock();
        inner.waiting.retain(|_, (link, _)| link.id != id);
        let mut peers = inner.peers.values_mut();
        let peer = peers.find(|p| p.link.as_ref().is_some_and(|l| l.id == id));
        if let Some(peer) = peer {
            peer.link = None;
            tracing::info!(event = "dependency", name = "coordinator", up = false,
                peer = %peer.target.name, cause = "closed");
        }
    }

    fn placed(&self, link: u64, id: u64, verdict: Option<PlacementDecision>, part: f64) {
        let mut inner = self.lock();
        let waiting = inner.waiting.swap_remove(&id);
        let mut peers = inner.peers.values_mut();
        let peer = peers.find(|p| p.link.as_ref().is_some_and(|l| l.id == link));
        if let Some(peer) = peer.filter(|_| waiting.is_some()) {
            peer.missed = 0;
        }
        let links = inner.peers.values().filter_map(|p| p.link.clone());
        let link = match &waiting {
            Some((link, _)) => Some(link.clone()),
            None => links.into_iter().find(|l| l.id == link),
        };
        drop(inner);
        let place = link
            .filter(|_| matches!(verdict, Some(PlacementDecision::Send(_))))
            .map(|link| Place {
                link,
                id,
                end_sent: false,
            });
        let answer = verdict.map(|verdict| Answer {
            verdict,
            part,
            place,
        });
        if let Some((_, reply)) = waiting {
            // If the request has timed out meanwhile, the place is dropped and
            // the coordinator releases the slot.
            drop(reply.send(Reply::Decided(Box::new(answer))));
        }
    }
}
