//! Replicates the shared document from a control instance into a [`View`] and
//! forwards calls to that control instance.

mod endpoints;

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::{Duration, Instant};

use indexmap::IndexMap;
use pomelovale_coordination::control::{ControlCall, ControlHandle};
use pomelovale_coordination::view::View;
use pomelovale_protocol::auth::Role;
use pomelovale_protocol::format::decode_document;
use pomelovale_protocol::log::Position;
use pomelovale_protocol::messages::{
    Chunk, ChunkAssembler, Content, ListNotice, PeerMessage, Proof, RegionNotice, Renew, Request,
    Response, TokenReply,
};
use pomelovale_state::document::Document;
use pomelovale_state::{Clock, ErrorKind, Millis, Name};
use pomelovale_transport::peer_client::{connect_once, PeerAddress};
use pomelovale_transport::peer_link::{PeerConfig, PeerEvent, PeerLink};
use tokio::task::JoinSet;
use tokio::time::MissedTickBehavior;

use crate::control::calls::{Calls, Sink, Target};
use crate::list_change::{names_for_log, ListChange};
use crate::runtime_delay;

use endpoints::{distance, known_endpoints};
pub use endpoints::{ranked_endpoints, ControlEndpoint, SubscriberConfig, SubscriberLimits};

/// Interval at which timeouts, renewals and connections are checked.
const TICK: Duration = Duration::from_millis(50);
/// Delay of a tick from which this process is taken to have stood still.
const STALL: Duration = Duration::from_millis(300);
/// Capacity of the queue of calls to the subscriber task.
const CALL_QUEUE: usize = 65_536;
/// Capacity of the queue of peer events to the subscriber task.
const EVENT_QUEUE: usize = 1_024;
/// Maximum number of times that `settle_ms` is doubled.
const SETTLE_SHIFT_MAX: usize = 2;
/// Minimum and maximum time between two attempts to switch from a control
/// instance in another region to one in the own region, in milliseconds.
const NEARER_PAUSE_MS: (u64, u64) = (2_000, 30_000);
/// Time for which a control instance that did not prove its document is not
/// tried again, in milliseconds. An isolated instance usually stays isolated
/// for seconds.
const EXCLUSION_MS: u64 = 4_000;
/// Timeout for receiving the whole document, or all missing changes, after connecting, in
/// milliseconds. Several times what the document takes on a 2 Mbit/s link that callers'
/// traffic saturates.
const DOCUMENT_TIMEOUT_MS: u64 = 4_000;
/// Bytes received within the settle time from which a document or changes are on their way.
/// Proofs without changes are shorter.
const LOADING_BYTES: u64 = 4 * 1024;
/// Time for applying a change of the document from which it is logged, in milliseconds.
const SLOW_APPLY_MS: u64 = 20;
/// Value of [`distance`] for control instances in other regions.
const OTHER_REGION: u8 = 2;
/// Maximum number of unanswered renewals whose send times are kept.
const RENEWALS_MAX: usize = 64;

/// Starts subscribers.
pub struct Subscriber;

impl Subscriber {
    /// Spawns the subscriber task, which runs until every clone of the returned
    /// handle is dropped.
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
            unnamed: config.unnamed.clone(),
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
            stalled_at: None,
            loaded: (0, Millis(0)),
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
    // Index of the endpoint to try next.
    next: usize,
    // Connections that are being opened.
    attempts: JoinSet<()>,
    // When the last attempt was started.
    tried: Option<Millis>,
    link: Option<PeerLink>,
    connected_at: Millis,
    // When a tick was last late.
    stalled_at: Option<Millis>,
    // Bytes of the connection when enough of a document or of changes had arrived last, and
    // the time.
    loaded: (u64, Millis),
    // When a control instance in the own region is tried next, and the pause
    // until the attempt after that.
    next_nearer_attempt: Millis,
    nearer_pause_ms: u64,
    // Control instances that did not prove their document, and until when they
    // are not tried again.
    excluded: IndexMap<Name, Millis>,
    // Connections given up since the view was last current.
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
        let mut watching = JoinSet::new();
        watching.spawn(runtime_delay::watch());
        loop {
            tokio::select! {
                due = ticks.tick() => self.tick(due.elapsed()),
                Ok(event) = events.recv_async() => self.event(event),
                call = calls.recv_async() => match call {
                    Ok(call) => self.start_call(call),
                    Err(_) => return,
                },
            }
        }
    }

    // `delay` is how much later than due this is called.
    fn tick(&mut self, delay: Duration) {
        let now = self.clock.now();
        if delay >= STALL {
            self.stalled_at = Some(now);
        }
        let outdated = self.view.age(now) > self.limits.switch_ms;
        if !outdated {
            self.switch_count = 0;
        }
        // The settle time doubles with each round over all control instances that
        // did not bring the view up to date.
        let rounds = self.switch_count / self.endpoints.len().max(1);
        let settle = self.limits.settle_ms << rounds.min(SETTLE_SHIFT_MAX);
        // While a document or changes are arriving, switching would lose them: another
        // control instance would send them from their start.
        let received = self.link.as_ref().map_or(0, PeerLink::received_bytes);
        if received >= self.loaded.0 + LOADING_BYTES {
            self.loaded = (received, now);
        }
        let loading = now.since(self.loaded.1) <= settle
            && now.since(self.connected_at) <= DOCUMENT_TIMEOUT_MS;
        // After a stall of this process, proofs may have arrived that are not processed yet.
        let stalled = self.stalled_at.is_some_and(|at| now.since(at) <= settle);
        let settled = now.since(self.connected_at) > settle && !stalled;
        let switch_due = outdated && settled && !loading;
        match &self.link {
            Some(_) if switch_due => self.leave(),
            Some(_)
                if !outdated && now >= self.next_nearer_attempt && self.can_move_nearer(now) =>
            {
                self.move_nearer(now);
            }
            Some(_) if self.is_due(self.renewed_at, self.limits.renew_ms, now) => self.renew(now),
            Some(_) => {}
            None => self.connect(now),
        }
        self.calls.expire(now);
        self.resend_lost_calls();
    }

    // Whether the connected control instance is in another region or not listed, and
    // one of the own region may be tried. `endpoints` contains the control instances
    // of the settings and of the document.
    fn can_move_nearer(&self, now: Millis) -> bool {
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

    // The pause between two attempts doubles up to its maximum, so that control
    // instances that can't be reached are tried less and less often.
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

    // Every `next_ms`, starts an attempt at the next endpoint without waiting for
    // the earlier ones: an address that does not respond keeps an attempt open
    // until its timeout.
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
        self.loaded = (0, Millis(0));
        self.renewals.clear();
        self.assembly = ChunkAssembler::default();
        self.link = Some(link);
        self.renew(now);
        self.resend_lost_calls();
    }

    // Age of the view for log lines; `None` before the first proof.
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
        self.on_link_lost("view too old");
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
            PeerMessage::List(notice) => {
                self.record_list(&notice);
                Ok(())
            }
            PeerMessage::Regions(RegionNotice::Plan(notice)) => {
                self.view.set_plan(self.clock.now(), notice);
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
        let start = Instant::now();
        let before = self.document.version;
        let mut list_changes = Vec::new();
        for delta in &proof.changes {
            match delta.version {
                v if v <= self.document.version => continue,
                v if v > self.document.version + 1 => return Err(ErrorKind::BadRequest),
                v => {
                    if self.document.apply_accepted(&delta.change, v).is_err() {
                        // Part of a batch may have been applied, so the whole document
                        // is requested again.
                        self.document = Document::default();
                        self.position = None;
                        return Err(ErrorKind::BadRequest);
                    }
                }
            }
            self.position = Some(delta.position);
            let change = ListChange::of(&delta.change.command);
            let closing = change.filter(|change| !change.closed.is_empty());
            list_changes.extend(closing.map(|change| (delta.version, change)));
        }
        if self.document.version > before {
            // The document was current then, without these changes.
            let lag_ms = self.view_ms(self.clock.now());
            self.publish(start);
            let apply_ms = start.elapsed().as_millis() as u64;
            for (version, change) in list_changes {
                let closed = change.closed.len();
                tracing::info!(event = "list-change", version, closed, lag_ms, apply_ms);
            }
            let lag = lag_ms.map(|ms| Millis(ms).duration());
            lag.into_iter()
                .for_each(|lag| metrics::histogram!("document_lag_seconds").record(lag));
        }
        let complete = self
            .position
            .is_some_and(|p| p.index >= proof.position.index);
        if let Some(sent) = proof.seq.and_then(|seq| self.renewal_sent_at(seq)) {
            match complete {
                true if proof.age_ms <= sent.0 => self.view.prove(sent.minus(proof.age_ms)),
                // The proven time lies before this process's clock started and
                // has no value. The answer to a renewal that is sent at once may
                // prove a later time.
                true if proof.age_ms < self.limits.switch_ms => self.renewed_at = None,
                true | false => {}
            }
        }
        Ok(())
    }

    // `start` is when the change of the document was received.
    fn publish(&mut self, start: Instant) {
        self.endpoints = known_endpoints(&self.config, &self.document);
        let routing = self.document.routing.as_ref().map_or(0, |r| r.version);
        let before = self
            .view
            .document()
            .routing
            .as_ref()
            .map_or(0, |r| r.version);
        self.view.publish(self.document.clone());
        let spent = start.elapsed();
        metrics::histogram!("document_apply_seconds").record(spent);
        let (version, apply_ms) = (self.document.version, spent.as_millis() as u64);
        match routing != before {
            true => tracing::info!(event = "routing", routing, before, version, apply_ms),
            false if apply_ms >= SLOW_APPLY_MS => {
                tracing::info!(event = "slow-change", version, apply_ms);
            }
            false => {}
        }
    }

    fn record_list(&self, notice: &ListNotice) {
        // Only the answer to a renewal tells how long it was on its way.
        let sent = notice.seq.and_then(|seq| self.renewal_sent_at(seq));
        let read = sent.zip(notice.age_ms);
        let read = read.and_then(|(sent, age_ms)| sent.0.checked_sub(age_ms).map(Millis));
        let now = self.clock.now();
        let is_new = self.view.list().record(now, read, &notice.leaving);
        if is_new {
            let (leaving, names) = (notice.leaving.len(), names_for_log(&notice.leaving));
            tracing::info!(event = "list-notice", leaving, names);
        }
    }

    fn renewal_sent_at(&self, seq: u64) -> Option<Millis> {
        let found = self.renewals.iter().find(|(s, _)| *s == seq);
        found.map(|(_, at)| *at)
    }

    fn add_chunk(&mut self, chunk: Chunk) -> Result<(), ErrorKind> {
        let (content, body) = match self.assembly.push(chunk)? {
            None => return Ok(()),
            Some(whole) => whole,
        };
        let Content::Document(position) = content else {
            return Err(ErrorKind::BadRequest);
        };
        let older = self.position.is_some_and(|p| position.index < p.index);
        if !older {
            let start = Instant::now();
            self.document = self.decode_document(&body)?;
            self.position = Some(position);
            tracing::info!(
                event = "document",
                bytes = body.len(),
                version = self.document.version,
                load_ms = self.clock.now().since(self.connected_at),
                decode_ms = start.elapsed().as_millis() as u64
            );
            self.publish(start);
        }
        // Requests the changes made since, without waiting for the next renewal.
        self.renew(self.clock.now());
        Ok(())
    }

    fn decode_document(&self, body: &[u8]) -> Result<Document, ErrorKind> {
        let link = self.link.as_ref();
        match decode_document(body) {
            Ok((document, format)) => {
                if link.is_some_and(|link| link.named_format().is_none()) {
                    self.config.unnamed.set(format);
                }
                Ok(document)
            }
            Err(e) => {
                let peer = link.map(|link| link.peer.as_str()).unwrap_or_default();
                log::warn!("can't read the document of {peer}: {e}");
                Err(ErrorKind::BadRequest)
            }
        }
    }

    fn handle_reply(&mut self, id: u64, response: &Response) {
        match response {
            Response::Failed(ErrorKind::NotLeader | ErrorKind::Unavailable) => {
                self.calls.set_target(id, Target::Unassigned);
            }
            Response::Tokens(TokenReply::Waiting) => self.calls.notify(id, response),
            response => self.calls.answer(id, response),
        }
    }

    fn start_call(&mut self, call: ControlCall) {
        let (request, sink) = match call {
            ControlCall::Admit(name, reply) => (Request::Admit(name), Sink::Admitted(reply)),
            ControlCall::Grant(request, reply) => (Request::Grant(request), Sink::Grant(reply)),
            ControlCall::Propose(change, reply) => (Request::Propose(change), Sink::Applied(reply)),
            ControlCall::Demand(report) => {
                if let Some(link) = self.link.as_ref().filter(|l| l.knows_regions()) {
                    link.send(PeerMessage::Regions(RegionNotice::Demand(report)));
                }
                return;
            }
            ControlCall::Report(report) => {
                if let Some(link) = &self.link {
                    link.send(PeerMessage::Report(report));
                }
                return;
            }
            ControlCall::Tokens(request, reply) => (Request::Tokens(request), Sink::Tokens(reply)),
        };
        let until = self.clock.now().plus(self.limits.call_ms);
        if let Some(token) = self.calls.add(request, Some(sink), until) {
            self.send_call(token);
        }
    }

    fn resend_lost_calls(&mut self) {
        let link = self.link.as_ref().map(|l| l.id);
        let lost = |target| !matches!(target, Target::Peer(id) if Some(id) == link);
        for token in self.calls.unassign_lost(lost) {
            self.send_call(token);
        }
    }

    fn send_call(&mut self, token: u64) {
        let request = self.calls.get(token).map(|c| c.request.clone());
        let (Some(link), Some(request)) = (&self.link, request) else {
            return;
        };
        let id = link.id;
        let request = match request {
            // A control instance of an earlier build admits requests one by one.
            Request::Tokens(t) if !link.knows_tokens() && t.waiting => Request::Admit(t.workspace),
            Request::Tokens(_) if !link.knows_tokens() => {
                let none = TokenReply::Granted {
                    count: 0,
                    life_ms: 0,
                };
                return self.calls.answer(token, &Response::Tokens(none));
            }
            request => request,
        };
        if link.send(PeerMessage::Call { id: token, request }) {
            self.calls.set_target(token, Target::Peer(id));
        }
    }
}
