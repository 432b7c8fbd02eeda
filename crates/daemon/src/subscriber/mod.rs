//! The entry side of distribution: keeps a view current and passes calls to
//! the control instances.

mod endpoints;

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use indexmap::IndexMap;
use pomelovale_coordination::control::{ControlCall, ControlHandle};
use pomelovale_coordination::view::View;
use pomelovale_protocol::auth::Role;
use pomelovale_protocol::frame::decode_body_unlimited;
use pomelovale_protocol::log::Position;
use pomelovale_protocol::messages::{
    Chunk, ChunkAssembler, Content, PeerMessage, Proof, Renew, Request, Response,
};
use pomelovale_state::document::Document;
use pomelovale_state::{Clock, ErrorKind, Millis, Name};
use pomelovale_transport::peer_client::{connect_once, PeerAddress};
use pomelovale_transport::peer_link::{PeerConfig, PeerEvent, PeerLink};
use tokio::task::JoinSet;
use tokio::time::MissedTickBehavior;

use crate::control::calls::{Calls, Sink, Target};

use endpoints::{distance, known_endpoints};
pub use endpoints::{ranked_endpoints, ControlEndpoint, SubscriberConfig, SubscriberLimits};

/// Time between two checks of what is due.
const TICK: Duration = Duration::from_millis(50);
/// Calls that may wait for the task.
const CALL_QUEUE: usize = 65_536;
/// Messages that may wait for the task.
const EVENT_QUEUE: usize = 1_024;
/// Doublings of the time that a control instance is given.
const SETTLE_SHIFT_MAX: usize = 2;
/// Shortest and longest time between two attempts to reach a control instance
/// of the own region from one elsewhere, in milliseconds.
const NEARER_PAUSE_MS: (u64, u64) = (2_000, 30_000);
/// Time for which a control instance that did not prove its document is left
/// out, in milliseconds. An isolated one usually stays so for seconds.
const EXCLUSION_MS: u64 = 4_000;
/// Longest time for the document of a chosen control instance, in milliseconds:
/// several times what it takes on a link of 2 Mbit/s that callers fill as well.
const DOCUMENT_TIMEOUT_MS: u64 = 4_000;
/// Distance of control instances in other regions.
const OTHER_REGION: u8 = 2;
/// Renewals without an answer that are remembered.
const RENEWALS_MAX: usize = 64;

/// Starts subscribers.
pub struct Subscriber;

impl Subscriber {
    /// Subscribes to the control instances until every clone of the handle is
    /// dropped.
    pub fn start(config: SubscriberConfig, view: Arc<View>, clock: Clock) -> ControlHandle {
        let (handle, calls) = ControlHandle::new(CALL_QUEUE);
        let (events, received) = flume::bounded(EVENT_QUEUE);
        let peering = PeerConfig {
            name: config.name.clone(),
            role: Role::Entry,
            secret: config.secret.clone(),
            timings: config.timings,
            delay_ms: config.limits.delay_ms,
            counters: config.counters.clone(),
        };
        let session = Session {
            endpoints: ranked_endpoints(&config),
            limits: config.limits,
            config,
            peering,
            clock,
            view,
            events,
            next: 0,
            attempts: JoinSet::new(),
            tried: None,
            link: None,
            connected_at: Millis(0),
            last_chunk_at: Millis(0),
            next_nearer_attempt: Millis(0),
            nearer_pause_ms: NEARER_PAUSE_MS.0,
            excluded: IndexMap::new(),
            switch_count: 0,
            document: Document::default(),
            position: None,
            assembly: ChunkAssembler::default(),
            seq: 0,
            renewals: VecDeque::new(),
            renewed_at: None,
            calls: Calls::default(),
        };
        tokio::spawn(session.run(calls, received));
        handle
    }
}

struct Session {
    endpoints: Vec<ControlEndpoint>,
    limits: SubscriberLimits,
    config: SubscriberConfig,
    peering: PeerConfig,
    clock: Clock,
    view: Arc<View>,
    events: flume::Sender<PeerEvent>,
    // Place that is tried next, and the connections that are being opened.
    next: usize,
    attempts: JoinSet<()>,
    tried: Option<Millis>,
    link: Option<PeerLink>,
    connected_at: Millis,
    // When the last part of a document came.
    last_chunk_at: Millis,
    // When a nearer control instance is tried next, and the pause after that.
    next_nearer_attempt: Millis,
    nearer_pause_ms: u64,
    // Control instances that did not prove their document, and until when they
    // are left out.
    excluded: IndexMap<Name, Millis>,
    // Connections left since the view was current.
    switch_count: usize,
    document: Document,
    position: Option<Position>,
    assembly: ChunkAssembler,
    seq: u64,
    renewals: VecDeque<(u64, Millis)>,
    renewed_at: Option<Millis>,
    calls: Calls,
}

impl Session {
    async fn run(
        mut self,
        calls: flume::Receiver<ControlCall>,
        events: flume::Receiver<PeerEvent>,
    ) {
        let mut ticks = tokio::time::interval(TICK);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                _ = ticks.tick() => self.tick(),
                Ok(event) = events.recv_async() => self.event(event),
                call = calls.recv_async() => match call {
                    Ok(call) => self.start_call(call),
                    Err(_) => return,
                },
            }
        }
    }

    fn tick(&mut self) {
        let now = self.clock.now();
        let outdated = self.view.age(now) > self.limits.switch_ms;
        if !outdated {
            self.switch_count = 0;
        }
        // Once all instances were tried in vain, the attempts become rarer.
        let rounds = self.switch_count / self.endpoints.len().max(1);
        let settle = self.limits.settle_ms << rounds.min(SETTLE_SHIFT_MAX);
        // A document that is on its way would have to be sent again from its
        // start by another control instance.
        let loading = now.since(self.last_chunk_at) <= settle
            && now.since(self.connected_at) <= DOCUMENT_TIMEOUT_MS;
        let switch_due = outdated && now.since(self.connected_at) > settle && !loading;
        match &self.link {
            Some(_) if switch_due => self.leave(),
            Some(_) if !outdated && now >= self.next_nearer_attempt && self.is_far(now) => {
                self.move_nearer(now);
            }
            Some(_) if self.is_due(self.renewed_at, self.limits.renew_ms, now) => self.renew(now),
            Some(_) => {}
            None => self.connect(now),
        }
        self.calls.expire(now);
        self.resend_lost_calls();
    }

    // Instances learn from the document where the control instances are.
    fn is_far(&self, now: Millis) -> bool {
        let name = self.link.as_ref().map(|l| &l.peer);
        let here = self.endpoints.iter().find(|p| Some(&p.name) == name);
        let far = |p: &ControlEndpoint| distance(&self.config, p) == OTHER_REGION;
        here.is_none_or(far)
            && self
                .endpoints
                .iter()
                .any(|p| !far(p) && self.is_eligible(p, now))
    }

    fn is_eligible(&self, endpoint: &ControlEndpoint, now: Millis) -> bool {
        let until = self.excluded.get(&endpoint.name);
        until.is_none_or(|until| *until <= now)
    }

    // The pause grows while the nearer ones can't be reached.
    fn move_nearer(&mut self, now: Millis) {
        self.next_nearer_attempt = now.plus(self.nearer_pause_ms);
        self.nearer_pause_ms = (self.nearer_pause_ms * 2).min(NEARER_PAUSE_MS.1);
        self.next = 0;
        if let Some(link) = self.link.take() {
            link.close();
        }
        self.on_link_lost("a nearer one is known");
    }

    fn is_due(&self, last: Option<Millis>, pause: u64, now: Millis) -> bool {
        last.is_none_or(|at| now.since(at) >= pause)
    }

    // The next endpoint is tried beside the earlier ones, since an address that
    // went silent holds an attempt up until its time limit.
    fn connect(&mut self, now: Millis) {
        while self.attempts.try_join_next().is_some() {}
        let due = self.is_due(self.tried, self.limits.next_ms, now);
        if self.endpoints.is_empty() || !(due || self.attempts.is_empty()) {
            return;
        }
        let endpoints = self.endpoints.iter();
        let eligible: Vec<&ControlEndpoint> =
            endpoints.filter(|p| self.is_eligible(p, now)).collect();
        let endpoint = match eligible.as_slice() {
            [] => &self.endpoints[self.next % self.endpoints.len()],
            eligible => eligible[self.next % eligible.len()],
        };
        self.next += 1;
        self.tried = Some(now);
        let target = PeerAddress {
            name: endpoint.name.clone(),
            address: endpoint.address,
        };
        let (peering, events) = (self.peering.clone(), self.events.clone());
        self.attempts.spawn(async move {
            connect_once(&peering, &target, &events).await;
        });
    }

    fn on_opened(&mut self, link: PeerLink) {
        if self.link.is_some() {
            return link.close();
        }
        let now = self.clock.now();
        tracing::info!(event = "dependency", name = "control", up = true, peer = %link.peer, view_ms = self.view_ms(now));
        self.connected_at = now;
        self.renewals.clear();
        self.assembly = ChunkAssembler::default();
        self.link = Some(link);
        self.renew(now);
        self.resend_lost_calls();
    }

    // Age of the view; nothing before the first proof.
    fn view_ms(&self, now: Millis) -> Option<u64> {
        Some(self.view.age(now)).filter(|age| *age != u64::MAX)
    }

    fn on_link_lost(&mut self, cause: &str) {
        let now = self.clock.now();
        tracing::info!(
            event = "dependency",
            name = "control",
            up = false,
            cause,
            view_ms = self.view_ms(now)
        );
        self.link = None;
        self.renewed_at = None;
        self.tried = None;
        self.connect(self.clock.now());
    }

    fn leave(&mut self) {
        if let Some(link) = self.link.take() {
            let until = self.clock.now().plus(EXCLUSION_MS);
            self.excluded.insert(link.peer.clone(), until);
            self.next = 0;
            link.close();
            self.switch_count += 1;
            metrics::counter!("subscriber_switches_total").increment(1);
        }
        self.on_link_lost("view too outdated");
    }

    fn renew(&mut self, now: Millis) {
        let Some(link) = &self.link else {
            return;
        };
        self.seq += 1;
        self.renewed_at = Some(now);
        self.renewals.push_back((self.seq, now));
        if self.renewals.len() > RENEWALS_MAX {
            self.renewals.pop_front();
        }
        link.send(PeerMessage::Renew(Renew {
            seq: self.seq,
            position: self.position,
        }));
    }

    fn event(&mut self, event: PeerEvent) {
        let current = self.link.as_ref().map(|l| l.id);
        match event {
            PeerEvent::Opened(link) => self.on_opened(link),
            PeerEvent::Closed(id) if current == Some(id) => self.on_link_lost("closed"),
            PeerEvent::Message(id, message) if current == Some(id) => self.message(message),
            PeerEvent::Closed(_) | PeerEvent::Message(..) => {}
        }
    }

    fn message(&mut self, message: PeerMessage) {
        let taken = match message {
            PeerMessage::Proof(proof) => self.apply_proof(proof),
            PeerMessage::Chunk(chunk) => self.add_chunk(chunk),
            PeerMessage::Reply { id, response } => {
                self.handle_reply(id, &response);
                Ok(())
            }
            _ => Err(ErrorKind::BadRequest),
        };
        if taken.is_err() {
            self.link.iter().for_each(PeerLink::reject);
            self.leave();
        }
    }

    fn apply_proof(&mut self, proof: Proof) -> Result<(), ErrorKind> {
        let before = self.document.version;
        for delta in &proof.changes {
            match delta.version {
                v if v <= self.document.version => continue,
                v if v > self.document.version + 1 => return Err(ErrorKind::BadRequest),
                v => {
                    if self.document.apply_accepted(&delta.change, v).is_err() {
                        // Part of a batch may be in it; it is loaded again.
                        self.document = Document::default();
                        self.position = None;
                        return Err(ErrorKind::BadRequest);
                    }
                }
            }
            self.position = Some(delta.position);
        }
        if self.document.version > before {
            self.publish();
        }
        let complete = self
            .position
            .is_some_and(|p| p.index >= proof.position.index);
        if let Some(sent) = proof.seq.and_then(|seq| self.renewal_sent_at(seq)) {
            match complete {
                true if proof.age_ms <= sent.0 => self.view.prove(sent.minus(proof.age_ms)),
                // A moment before this process started can't be expressed; a
                // renewal that is sent soon can prove a later one.
                true if proof.age_ms < self.limits.switch_ms => self.renewed_at = None,
                true | false => {}
            }
        }
        Ok(())
    }

    fn publish(&mut self) {
        self.endpoints = known_endpoints(&self.config, &self.document);
        let routing = self.document.routing.as_ref().map_or(0, |r| r.version);
        let before = self
            .view
            .document()
            .routing
            .as_ref()
            .map_or(0, |r| r.version);
        if routing != before {
            let version = self.document.version;
            tracing::info!(event = "routing", routing, before, version);
        }
        self.view.publish(self.document.clone());
    }

    fn renewal_sent_at(&self, seq: u64) -> Option<Millis> {
        let found = self.renewals.iter().find(|(s, _)| *s == seq);
        found.map(|(_, at)| *at)
    }

    fn add_chunk(&mut self, chunk: Chunk) -> Result<(), ErrorKind> {
        self.last_chunk_at = self.clock.now();
        let (content, body) = match self.assembly.push(chunk)? {
            None => return Ok(()),
            Some(whole) => whole,
        };
        let Content::Document(position) = content else {
            return Err(ErrorKind::BadRequest);
        };
        let older = self.position.is_some_and(|p| position.index < p.index);
        if !older {
            self.document = decode_body_unlimited(&body).map_err(|_| ErrorKind::BadRequest)?;
            self.position = Some(position);
            tracing::info!(
                event = "document",
                bytes = body.len(),
                version = self.document.version,
                load_ms = self.clock.now().since(self.connected_at)
            );
            self.publish();
        }
        // Asks for the changes since, without waiting for the next renewal.
        self.renew(self.clock.now());
        Ok(())
    }

    fn handle_reply(&mut self, id: u64, response: &Response) {
        match response {
            Response::Failed(ErrorKind::NotLeader | ErrorKind::Unavailable) => {
                self.calls.set_target(id, Target::Nobody);
            }
            response => self.calls.answer(id, response),
        }
    }

    fn start_call(&mut self, call: ControlCall) {
        let (request, sink) = match call {
            ControlCall::Admit(name, reply) => (Request::Admit(name), Sink::Admitted(reply)),
            ControlCall::Grant(request, reply) => (Request::Grant(request), Sink::Grant(reply)),
            ControlCall::Propose(change, reply) => (Request::Propose(change), Sink::Applied(reply)),
            ControlCall::Report(report) => {
                if let Some(link) = &self.link {
                    link.send(PeerMessage::Report(report));
                }
                return;
            }
        };
        let until = self.clock.now().plus(self.limits.call_ms);
        if let Some(token) = self.calls.add(request, Some(sink), until) {
            self.send_call(token);
        }
    }

    fn resend_lost_calls(&mut self) {
        let link = self.link.as_ref().map(|l| l.id);
        let lost = |target| !matches!(target, Target::Peer(id) if Some(id) == link);
        for token in self.calls.unattended(lost) {
            self.send_call(token);
        }
    }

    fn send_call(&mut self, token: u64) {
        let request = self.calls.get(token).map(|c| c.request.clone());
        let (Some(link), Some(request)) = (&self.link, request) else {
            return;
        };
        let id = link.id;
        if link.send(PeerMessage::Call { id: token, request }) {
            self.calls.set_target(token, Target::Peer(id));
        }
    }
}
