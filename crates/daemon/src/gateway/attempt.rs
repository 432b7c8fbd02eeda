//! Attempts to send one request to backend servers.

use std::future::Future;
use std::ops::RangeInclusive;
use std::sync::atomic::Ordering;
use std::sync::{Arc, OnceLock};
use std::time::Duration;

use bytes::Bytes;
use http::header::{HeaderMap, HeaderValue};
use http::{Method, Request, Response, StatusCode, Uri};
use http_body_util::Full;
use pomelovale_protocol::http::strip_hop_by_hop;
use pomelovale_state::digest::Digest;
use pomelovale_state::document::{Document, MemberState};
use pomelovale_state::routing::{HostRoute, Repeat};
use pomelovale_state::{ErrorKind, Millis, Name};
use pomelovale_steering::placement::{Chosen, PlacementDecision, PlacementEnd, ServerReport};
use pomelovale_transport::backend::{Connection, ExchangeError, Failure, Reply, ReplyBody};
use pomelovale_transport::body::{CallerBody, Passing};
use tokio::time::{timeout, timeout_at, Instant};

use super::coordinator_client::Place;
use super::request_log::{RequestLog, Timing};
use super::stopping::Sent;
use super::{
    availability, connections, departures, late_sends, relaying, server_selection, Shared,
};
use crate::crash::{self, Run, RunGuard, ServerCheck, Trial};
use crate::entry::forward::{buffer_body, BufferedBody};
use crate::entry::refusal::Refusal;
use crate::reach::{LinkFault, State};
use crate::relay::{self, RelayEnd};

/// Number of attempts that sent no byte after which a request is refused, for
/// example because the connection failed, or the server became ineligible while
/// it was opened. They don't count towards the attempts of the route.
const CONNECT_FAILURES_MAX: usize = 3;
/// Retry delay of a request that a server with free slots has shed, in milliseconds. It is
/// random, so that callers don't return together.
const SHED_RETRY_MS: RangeInclusive<u64> = 60..=120;
/// Maximum number of servers of which it is not known whether they have left, and which don't
/// show that they stay. The request is refused then.
const UNCONFIRMED_MAX: usize = 6;
/// Time reserved for sending the response to the caller, in milliseconds.
pub(super) const RESPONSE_RESERVE_MS: u64 = 5;
/// If a server has not responded to an idempotent request within the larger of
/// this many times the expected time and twice the latency objective of the
/// route, the attempt is abandoned, provided that a retry is allowed.
const SILENCE_FACTOR: u64 = 4;
/// If a server has not responded to any request within the larger of this many times the
/// expected time and `SILENCE_CHECK_MS`, it is checked whether it has ended.
const CHECK_FACTOR: u64 = 2;

/// A request that is within the limits of its workspace, with its route and
/// service.
#[derive(Debug)]
pub(super) struct RoutedRequest {
    pub(super) service: Name,
    /// Path at which the servers of the service answer probes.
    pub(super) probe: Name,
    pub(super) route: HostRoute,
    /// Hash of the object that the request concerns.
    pub(super) object: u64,
    pub(super) priority: u32,
    /// Regions that may serve the request; all if empty.
    pub(super) homes: Vec<Name>,
    /// Workspace of the key; `None` on open routes.
    pub(super) workspace: Option<Name>,
    pub(super) host: String,
    pub(super) method: Method,
    pub(super) target: Uri,
    pub(super) headers: HeaderMap,
    pub(super) body: Bytes,
    pub(super) start: Instant,
    pub(super) deadline: Instant,
    /// Whether another instance relays it.
    pub(super) is_relayed: bool,
    /// Header with the key of its caller, which no server gets.
    pub(super) authorization: Option<HeaderValue>,
    /// Version of the routing table that it was routed by.
    pub(super) version: u64,
    /// Fingerprint, computed on first use.
    pub(super) fingerprint: OnceLock<Digest>,
    /// Whether it is tried although it is quarantined.
    pub(super) trial: Trial,
    pub(super) sent: Arc<Sent>,
}

impl RoutedRequest {
    pub(super) fn left(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }

    pub(super) fn is_idempotent(&self) -> bool {
        self.route.repeat == Repeat::Idempotent
    }

    /// Returns the digest by which a resend of the request by its caller is
    /// recognized.
    pub(super) fn fingerprint(&self) -> Digest {
        *self.fingerprint.get_or_init(|| {
            let target = self.target.to_string();
            let head = [
                self.workspace
                    .as_ref()
                    .map_or(&[][..], |name| name.as_bytes()),
                self.host.as_bytes(),
                self.method.as_str().as_bytes(),
                target.as_bytes(),
            ];
            crash::fingerprint(&head, &self.body)
        })
    }
}

impl RoutedRequest {
    /// Returns the first 8 bytes of the fingerprint.
    pub(super) fn short_fingerprint(&self) -> u64 {
        let Digest(bytes) = self.fingerprint();
        let first = bytes.first_chunk().copied();
        u64::from_le_bytes(first.unwrap_or_default())
    }
}

/// State of a request over its attempts.
#[derive(Default)]
struct Progress {
    tried: Vec<Name>,
    sent: u32,
    connect_failures: usize,
    unconfirmed: usize,
    // Last crash of the request that was known when the last attempt began.
    known_crash: u64,
    // Servers in the failure domain of the server that crashed last. They are avoided
    // if others are available.
    avoided: Vec<Name>,
    // The error to return instead of a refusal, once a server may have run the
    // request.
    unknown_outcome: Option<ErrorKind>,
    // Whether the last server shed the request although it reports free slots.
    shed_idle: bool,
    // Whether the request has waited for another look at servers out of reach.
    rechecked: bool,
    // The next attempt, if its server was selected before the last one was abandoned.
    next: Option<AttemptGuard>,
}

impl Progress {
    // Starts over with servers that are within reach again.
    fn restart(&mut self) {
        self.tried.clear();
        self.connect_failures = 0;
        self.rechecked = true;
    }
}

/// How one attempt ended.
enum Outcome {
    Answer(Response<CallerBody>),
    /// The request was quarantined before it was sent.
    Blocked,
    /// No byte of the request was sent.
    Unsent,
    /// Likewise, since the server may have left.
    Unconfirmed,
    /// The server states that it did not run the request.
    NotRun {
        /// Whether it shed the request although it reports free slots.
        has_slots: bool,
    },
    /// The server may have run the request.
    Unknown {
        kind: ErrorKind,
        /// Whether the server has ended under it.
        ended: bool,
    },
}

impl Outcome {
    /// A response of the server, which is up, without proof that it ran the request.
    fn unproven() -> Outcome {
        Outcome::Unknown {
            kind: ErrorKind::UnknownOutcome,
            ended: false,
        }
    }
}

/// Records the end of an attempt; an attempt whose guard is dropped counts as
/// cancelled.
struct AttemptGuard {
    shared: Arc<Shared>,
    routed: Arc<RoutedRequest>,
    chosen: Chosen,
    place: Option<Place>,
    since: Instant,
    report: ServerReport,
    // Set once the request is sent, until the attempt ends.
    run: Option<(Run, RunGuard)>,
    ended: bool,
}

impl AttemptGuard {
    fn new(
        shared: &Arc<Shared>,
        routed: &Arc<RoutedRequest>,
        chosen: Chosen,
        place: Option<Place>,
    ) -> AttemptGuard {
        AttemptGuard {
            shared: shared.clone(),
            routed: routed.clone(),
            chosen,
            place,
            since: Instant::now(),
            report: ServerReport::default(),
            run: None,
            ended: false,
        }
    }

    fn end(&mut self, ended: PlacementEnd) {
        if self.ended {
            return;
        }
        self.ended = true;
        if let Some(fault) = link_fault(ended) {
            self.shared.reach.record_failure(fault);
        }
        let now = self.shared.clock.now();
        let latency_ms = self.since.elapsed().as_millis() as u64;
        let document = self.shared.view.document();
        let (chosen, routed, report) = (&self.chosen, &self.routed, self.report);
        let services = &self.shared.services;
        let changed = services.with(now, &document, &routed.service, |s| {
            s.finish(now, chosen, &routed.route.name, ended, latency_ms, report)
        });
        let changed = changed.unwrap_or_default();
        let own = &self.shared.config.instance;
        super::report_changed_server(&self.shared, own, &routed.service, chosen, ended, changed);
        let lost = matches!(ended, PlacementEnd::Cancelled | PlacementEnd::TimedOut);
        if let Some((run, _)) = self.run.take().filter(|_| lost) {
            self.shared.crashes.abandon(run);
        }
        if let Some(place) = self.place.take() {
            self.tell_coordinator(place, ended, latency_ms);
        }
        metrics::histogram!("gateway_attempt_seconds").record(self.since.elapsed());
    }
}

impl AttemptGuard {
    // Tells the coordinator how the attempt has ended. A failure is the server's only once
    // another server has been reached after it.
    fn tell_coordinator(&self, place: Place, ended: PlacementEnd, latency_ms: u64) {
        let report = self.report;
        let Some(fault) = link_fault(ended) else {
            return place.end(ended, latency_ms, report);
        };
        let (reach, since) = (self.shared.reach.clone(), Instant::now());
        tokio::spawn(async move {
            let ended = match reach.confirm(fault, since).await {
                true => ended,
                false => PlacementEnd::Cancelled,
            };
            place.end(ended, latency_ms, report);
        });
    }
}

/// The failure to reach a server that an attempt has met.
pub(super) fn link_fault(ended: PlacementEnd) -> Option<LinkFault> {
    match ended {
        PlacementEnd::TimedOut => Some(LinkFault::Silent),
        PlacementEnd::Unreachable => Some(LinkFault::Closed),
        PlacementEnd::Answered
        | PlacementEnd::Cancelled
        | PlacementEnd::Cut
        | PlacementEnd::Failed
        | PlacementEnd::Moved
        | PlacementEnd::Shed => None,
    }
}

impl Drop for AttemptGuard {
    fn drop(&mut self) {
        self.end(PlacementEnd::Cancelled);
    }
}

/// Sends a request, and retries it as long as its route, the retry budget and
/// the outcome of the last attempt allow.
pub(super) async fn run(
    shared: &Arc<Shared>,
    routed: Arc<RoutedRequest>,
    request_log: &mut RequestLog,
) -> Result<Response<CallerBody>, Refusal> {
    if !routed.is_relayed {
        add_retry_credit(shared, &routed);
    }
    let mut progress = Progress::default();
    request_log.object = routed.object;
    loop {
        if routed.left() <= Duration::from_millis(RESPONSE_RESERVE_MS) {
            // Unless a server may have run the request, the caller may send it
            // again.
            let kind = progress.unknown_outcome.unwrap_or(ErrorKind::Overloaded);
            return Err(kind.into());
        }
        if shared.stopping.is_late() {
            let unknown = progress.unknown_outcome.map(Refusal::from);
            return Err(unknown.unwrap_or_else(|| shared.stopping.refusal()));
        }
        if let Some(retry_ms) = blocked_ms(shared, &routed) {
            request_log.fingerprint = Some(routed.fingerprint());
            wait_until_recorded(shared, &routed, &progress).await;
            let kind = progress.unknown_outcome.unwrap_or(ErrorKind::Quarantined);
            return Err(Refusal { kind, retry_ms });
        }
        let is_relay_due = match shared.reach.state() {
            State::Reached => false,
            // Old connections may live on.
            State::Blocked => progress.connect_failures >= CONNECT_FAILURES_MAX,
            State::Lost => true,
        };
        if is_relay_due && may_relay(&routed, &progress) {
            let may_have_run = progress.unknown_outcome.is_some();
            let sent = progress.sent;
            let ended = relaying::relay_rest(shared, &routed, sent, may_have_run, request_log);
            let ended = ended.await;
            let unknown = progress.unknown_outcome.map(RelayEnd::Unknown);
            let may_wait = unknown.is_none() && !progress.rechecked;
            if matches!(ended, RelayEnd::NotTaken)
                && may_wait
                && shared.reach.recheck(relay::RECHECK).await
            {
                progress.restart();
                continue;
            }
            return relaying::result(match ended {
                RelayEnd::NotTaken => unknown.unwrap_or(RelayEnd::NotTaken),
                ended => ended,
            });
        }
        progress.known_crash = shared.crashes.last_crash(|| routed.fingerprint());
        let since = Instant::now();
        let running = match progress.next.take() {
            Some(next) => next,
            None => match choose(shared, &routed, &progress).await {
                (PlacementDecision::Send(chosen), place) => {
                    AttemptGuard::new(shared, &routed, chosen, place)
                }
                (PlacementDecision::Refuse { .. }, _)
                    if is_own_failure(shared, &routed, &mut progress).await =>
                {
                    continue;
                }
                (PlacementDecision::Refuse { retry_ms }, _) => {
                    let kind = progress.unknown_outcome.unwrap_or(ErrorKind::Overloaded);
                    return Err(Refusal { kind, retry_ms });
                }
            },
        };
        let chosen = running.chosen.clone();
        let mut timing = Timing {
            by_coordinator: running.place.is_some(),
            place_ms: since.elapsed().as_millis() as u64,
            connect_ms: 0,
        };
        let since = Instant::now();
        let (outcome, end) = attempt(shared, &routed, running, &mut progress, &mut timing).await;
        request_log.add_attempt(&chosen, timing, since, end);
        progress.tried.push(chosen.server.clone());
        let may_have_run = matches!(outcome, Outcome::Unknown { .. });
        progress.shed_idle = matches!(outcome, Outcome::NotRun { has_slots: true });
        let sent = progress.unknown_outcome.is_some() || may_have_run;
        routed.sent.set(sent);
        let retry = match outcome {
            Outcome::Answer(response) => return Ok(response),
            // The next pass of the loop returns the refusal.
            Outcome::Blocked => continue,
            Outcome::Unsent => {
                metrics::counter!("gateway_unsent_attempts_total").increment(1);
                progress.connect_failures += 1;
                progress.connect_failures < CONNECT_FAILURES_MAX
            }
            Outcome::Unconfirmed => {
                progress.unconfirmed += 1;
                progress.unconfirmed < UNCONFIRMED_MAX
            }
            Outcome::NotRun { .. } => {
                progress.sent += 1;
                progress.sent < routed.route.attempts && spend_retry(shared, &routed)
            }
            Outcome::Unknown { kind, ended } => {
                progress.sent += 1;
                progress.unknown_outcome = Some(kind);
                request_log.fingerprint = Some(routed.fingerprint());
                if ended {
                    // The whole failure domain may be failing.
                    progress.avoided = shared.view.document().domain_peers(&chosen.server);
                }
                routed.is_idempotent()
                    && !routed.trial.is_taken()
                    && progress.sent < routed.route.attempts
                    && spend_retry(shared, &routed)
            }
        };
        if !retry && is_own_failure(shared, &routed, &mut progress).await {
            continue;
        }
        if !retry && progress.unknown_outcome.is_none() && progress.shed_idle {
            if let Some(refusal) = shed_refusal(shared, &routed) {
                return Err(refusal);
            }
        }
        if !retry {
            wait_until_recorded(shared, &routed, &progress).await;
            let kind = progress.unknown_outcome.unwrap_or(ErrorKind::Unavailable);
            return Err(kind.into());
        }
        if progress.sent > 0 {
            metrics::counter!("gateway_repeats_total").increment(1);
        }
    }
}

fn may_relay(routed: &RoutedRequest, progress: &Progress) -> bool {
    !routed.is_relayed && (progress.unknown_outcome.is_none() || routed.is_idempotent())
}

// Refusal of a request that a server has shed although it has free slots, if the requests of
// the service are ordered: the next server has capacity.
fn shed_refusal(shared: &Shared, routed: &RoutedRequest) -> Option<Refusal> {
    let (now, document) = (shared.clock.now(), shared.view.document());
    let retry_ms = rand::random_range(SHED_RETRY_MS);
    let fingerprint = routed.short_fingerprint();
    let is_active = shared.services.with(now, &document, &routed.service, |s| {
        let is_active = s.scheduling.is_active();
        if is_active {
            s.scheduling.expect_return(now, fingerprint, retry_ms);
        }
        is_active
    });
    let refusal = Refusal {
        kind: ErrorKind::Unavailable,
        retry_ms,
    };
    is_active?.then_some(refusal)
}

// Waits until it is known whether the way to the servers is blocked, if that is suspected and a
// request that no server has run fails. It is relayed then.
async fn is_own_failure(
    shared: &Arc<Shared>,
    routed: &RoutedRequest,
    progress: &mut Progress,
) -> bool {
    if progress.unknown_outcome.is_some() || routed.is_relayed || !shared.reach.is_checking() {
        return false;
    }
    let confirmed = shared.reach.confirm(LinkFault::Closed, Instant::now());
    let is_blocked = matches!(timeout(routed.left(), confirmed).await, Ok(false));
    if is_blocked {
        progress.connect_failures = CONNECT_FAILURES_MAX;
    }
    is_blocked
}

// Before a request under which a server crashed is answered with a failure, waits until
// other instances know of the crash.
async fn wait_until_recorded(shared: &Shared, routed: &RoutedRequest, progress: &Progress) {
    if !progress.avoided.is_empty() {
        let fingerprint = routed.fingerprint();
        let recorded = shared
            .crashes
            .wait_until_recorded(&fingerprint, routed.left());
        recorded.await;
    }
}

// Selects a server, outside of the avoided ones if there is one.
async fn choose(
    shared: &Shared,
    routed: &RoutedRequest,
    progress: &Progress,
) -> (PlacementDecision, Option<Place>) {
    if !progress.avoided.is_empty() {
        let avoid = [progress.tried.as_slice(), progress.avoided.as_slice()].concat();
        let selected = server_selection::choose(shared, routed, &avoid).await;
        if matches!(selected.0, PlacementDecision::Send(_)) {
            return selected;
        }
    }
    server_selection::choose(shared, routed, &progress.tried).await
}

fn blocked_ms(shared: &Shared, routed: &RoutedRequest) -> Option<u64> {
    let crashes = &shared.crashes;
    crashes.blocked_ms(&routed.trial, || routed.fingerprint())
}

pub(super) fn add_retry_credit(shared: &Shared, routed: &RoutedRequest) {
    let (now, document) = (shared.clock.now(), shared.view.document());
    shared.services.with(now, &document, &routed.service, |s| {
        s.retry_budget.record_request();
    });
}

fn has_retry_budget(shared: &Shared, routed: &RoutedRequest) -> bool {
    let (now, document) = (shared.clock.now(), shared.view.document());
    let left = shared.services.with(now, &document, &routed.service, |s| {
        s.retry_budget.left() > 0
    });
    left.unwrap_or(false)
}

pub(super) fn spend_retry(shared: &Shared, routed: &RoutedRequest) -> bool {
    let (now, document) = (shared.clock.now(), shared.view.document());
    let spent = shared.services.with(now, &document, &routed.service, |s| {
        s.retry_budget.try_spend()
    });
    spent.unwrap_or(false)
}

// Returns whether the server may still get requests at the same address, which
// may have changed while the connection was opened.
fn is_still_eligible(document: &Document, chosen: &Chosen) -> bool {
    let backend = document.backends.get(&chosen.server);
    backend.is_some_and(|b| {
        b.address == chosen.address
            && b.state == MemberState::Serving
            && !document.evacuated.contains(&b.domain)
    })
}

async fn attempt(
    shared: &Arc<Shared>,
    routed: &Arc<RoutedRequest>,
    mut running: AttemptGuard,
    progress: &mut Progress,
    timing: &mut Timing,
) -> (Outcome, &'static str) {
    running.since = Instant::now();
    let chosen = &running.chosen.clone();
    let connected = connections::connect(shared, chosen.address, routed.left()).await;
    timing.connect_ms = running.since.elapsed().as_millis() as u64;
    let connection = match connected {
        Ok(connection) => connection,
        Err(_) => {
            running.end(PlacementEnd::Unreachable);
            let unreachable = |name: &Name| *name == chosen.server;
            shared.crashes.check_abandoned(unreachable);
            return (Outcome::Unsent, "connect");
        }
    };
    let confirmed = departures::confirm_staying(shared, routed, chosen, connection).await;
    let Some(connection) = confirmed else {
        running.end(PlacementEnd::Cancelled);
        return (Outcome::Unconfirmed, "may-have-left");
    };
    if blocked_ms(shared, routed).is_some() {
        shared.connections.pool.put(chosen.address, connection);
        running.end(PlacementEnd::Cancelled);
        return (Outcome::Blocked, "quarantined");
    }
    let is_open = availability::is_open(shared, &routed.service, &chosen.server);
    if !is_open || !is_still_eligible(&shared.view.document(), chosen) {
        shared.connections.pool.put(chosen.address, connection);
        running.end(PlacementEnd::Cancelled);
        return (Outcome::Unsent, "left");
    }
    // `proven` is the time of the last complete response on the connection, or of
    // its opening.
    let idle = connection.proven().elapsed();
    let header_names = &shared.config.header_names;
    let id = routed.headers.get(&header_names.request).cloned();
    let id = id.as_ref().map_or(&b""[..], HeaderValue::as_bytes);
    let start = Instant::now();
    let end = start
        + routed
            .left()
            .saturating_sub(Duration::from_millis(RESPONSE_RESERVE_MS));
    let request = request(shared, routed, chosen);
    let run = Run {
        fingerprint: routed.fingerprint(),
        server: chosen.server.clone(),
        address: chosen.address,
        known: progress.known_crash,
        probe: routed.probe.clone(),
        since: start,
        connect_ms: connection.is_fresh().then_some(timing.connect_ms),
        opened: connection.is_fresh().then(|| connection.proven()),
    };
    running.run = Some((
        run.clone(),
        shared.crashes.start_run(run.clone(), &routed.trial),
    ));
    routed.sent.set(true);
    let limit = end.saturating_duration_since(start);
    let write_time = connection.write_time();
    let sending = connection.send(request, &header_names.request, id, limit);
    let sent = await_reply(shared, routed, chosen, progress, &run, sending).await;
    late_sends::record(shared, &chosen.server, start, write_time.get());
    let result = match sent {
        Ok(reply) => receive(shared, routed, reply, end, running).await,
        Err(failure) => Err((failure, running)),
    };
    match result {
        Ok(outcome) => outcome,
        Err((failure, mut running)) => {
            let mut found = ServerCheck::default();
            if failure.fault == ExchangeError::Cut {
                if run.connect_ms.is_some() {
                    // Connections may be reset before they get through.
                    shared.reach.record_failure(LinkFault::Closed);
                }
                let now = shared.clock.now();
                shared
                    .connections
                    .record_disconnect(now, chosen.address, idle);
                if failure.written {
                    running.run = None;
                    found = shared.crashes.check(run, routed.left()).await;
                }
            }
            failed(shared, chosen, failure, start, found, &mut running)
        }
    }
}

/// Waits for a response. The attempt of an idempotent request is abandoned if
/// the server stays silent, the route, the time left and the retry budget
/// allow a retry, and another server has room for it. A stopping instance keeps
/// waiting, since it may end before the retry does.
async fn await_reply(
    shared: &Arc<Shared>,
    routed: &Arc<RoutedRequest>,
    chosen: &Chosen,
    progress: &mut Progress,
    run: &Run,
    sending: impl Future<Output = Result<Reply, Failure>>,
) -> Result<Reply, Failure> {
    const SILENT: Failure = Failure {
        fault: ExchangeError::Silent,
        written: true,
    };
    let retries_left = routed.is_idempotent()
        && !routed.trial.is_taken()
        && progress.sent + 1 < routed.route.attempts;
    let abandoned = async {
        shared.reach.lost().await;
        if !retries_left || !has_retry_budget(shared, routed) {
            std::future::pending::<()>().await;
        }
        Err(SILENT)
    };
    let sending = async {
        tokio::select! {
            sent = sending => sent,
            lost = abandoned => lost,
        }
    };
    let mut sending = std::pin::pin!(sending);
    let silence_ms = (chosen.expected_ms * SILENCE_FACTOR).max(routed.route.objective_ms * 2);
    let check_ms = (chosen.expected_ms * CHECK_FACTOR).max(crash::SILENCE_CHECK_MS);
    let silence = [check_ms.min(silence_ms), silence_ms].map(|ms| Millis(ms).duration());
    let began = Instant::now();
    if let Ok(sent) = timeout_at(began + silence[0], &mut sending).await {
        return sent;
    }
    shared.crashes.check_silent(run.clone());
    if let Ok(sent) = timeout_at(began + silence[1], &mut sending).await {
        return sent;
    }
    let is_serving = !shared.leaving.load(Ordering::Relaxed);
    let time = routed.left() > Duration::from_millis(routed.route.objective_ms);
    if !retries_left || !is_serving || !time || !has_retry_budget(shared, routed) {
        return sending.await;
    }
    let tried = [&progress.tried[..], std::slice::from_ref(&chosen.server)].concat();
    let (verdict, place) = tokio::select! {
        biased;
        sent = &mut sending => return sent,
        selected = server_selection::choose(shared, routed, &tried) => selected,
    };
    match verdict {
        PlacementDecision::Send(next) => {
            progress.next = Some(AttemptGuard::new(shared, routed, next, place));
            Err(SILENT)
        }
        PlacementDecision::Refuse { .. } => sending.await,
    }
}

fn failed(
    shared: &Shared,
    chosen: &Chosen,
    failure: Failure,
    start: Instant,
    found: ServerCheck,
    running: &mut AttemptGuard,
) -> (Outcome, &'static str) {
    if failure.fault == ExchangeError::Silent {
        // The other connections that were open before may have failed, too.
        shared.connections.pool.purge(chosen.address, start);
    }
    let (ended, kind, text) = match failure.fault {
        ExchangeError::Connect => (
            PlacementEnd::Unreachable,
            ErrorKind::UnknownOutcome,
            "connect",
        ),
        ExchangeError::Cut if found.down => (
            PlacementEnd::Unreachable,
            ErrorKind::UnknownOutcome,
            "ended",
        ),
        ExchangeError::Cut => (PlacementEnd::Cut, ErrorKind::UnknownOutcome, "cut"),
        ExchangeError::Foreign => (PlacementEnd::Failed, ErrorKind::UnknownOutcome, "foreign"),
        ExchangeError::Malformed => (PlacementEnd::Failed, ErrorKind::UnknownOutcome, "malformed"),
        ExchangeError::Silent => (PlacementEnd::TimedOut, ErrorKind::UnknownTimeout, "silent"),
    };
    let malformed = matches!(
        failure.fault,
        ExchangeError::Foreign | ExchangeError::Malformed
    );
    if let Some((run, _)) = running.run.take_if(|_| malformed) {
        shared.crashes.abandon(run);
    }
    running.end(ended);
    match failure.written {
        true => {
            let ended = found.ended;
            (Outcome::Unknown { kind, ended }, text)
        }
        false => (Outcome::Unsent, text),
    }
}

fn request(shared: &Shared, routed: &RoutedRequest, chosen: &Chosen) -> Request<Full<Bytes>> {
    let header_names = &shared.config.header_names;
    let mut request = Request::new(Full::new(routed.body.clone()));
    *request.method_mut() = routed.method.clone();
    *request.uri_mut() = routed.target.clone();
    let mut headers = routed.headers.clone();
    let left = routed.left().as_millis() as u64;
    headers.insert(header_names.deadline.clone(), HeaderValue::from(left));
    if let Ok(name) = HeaderValue::from_str(&chosen.server) {
        headers.insert(header_names.expect.clone(), name);
    }
    *request.headers_mut() = headers;
    request
}

/// Reads a response and decides whether it is returned to the caller, and what
/// it says about the server.
async fn receive(
    shared: &Arc<Shared>,
    routed: &RoutedRequest,
    reply: Reply,
    end: Instant,
    mut running: AttemptGuard,
) -> Result<(Outcome, &'static str), (Failure, AttemptGuard)> {
    let header_names = &shared.config.header_names;
    let opened = running.run.as_ref().and_then(|(run, _)| run.opened);
    shared.crashes.record_reply(running.chosen.address, opened);
    let Reply { parts, mut body } = reply;
    let server = (&running.chosen.server, running.chosen.address);
    let rests = availability::record(shared, &routed.service, server, &parts);
    running.report = availability::report(header_names, &parts);
    let has_slots = running
        .report
        .load
        .is_some_and(|l| l.running < l.slots && l.waiting == 0);
    let held = match buffer_body(&mut body, shared.config.answer_bytes, end).await {
        Ok(held) => held,
        Err(fault) => {
            let failure = Failure {
                fault,
                written: true,
            };
            return Err((failure, running));
        }
    };
    let status = parts.status;
    let moved = status == StatusCode::MISDIRECTED_REQUEST;
    let refused = moved || parts.headers.contains_key(&header_names.refused);
    // Callers conclude from these statuses that the request was not run.
    let status_means_not_run = matches!(status.as_u16(), 408 | 421 | 429 | 503);
    // The proof header shows that the response comes from a backend server.
    // Without it, the server may or may not have run the request.
    let has_proof =
        !refused && !status_means_not_run && parts.headers.contains_key(&header_names.proof);
    let complete = matches!(held, BufferedBody::All(_));
    if has_proof && complete {
        shared.crashes.record_answer(routed.fingerprint());
    }
    let is_server_error = status.is_server_error();
    let is_retryable = is_server_error && routed.is_idempotent();
    let body = match held {
        BufferedBody::All(bytes) => {
            shared
                .connections
                .pool
                .put(running.chosen.address, body.finish());
            if rests {
                // Rest is no failure of the server.
                running.run = None;
            }
            running.end(match () {
                () if moved => PlacementEnd::Moved,
                () if rests => PlacementEnd::Cancelled,
                () if refused => PlacementEnd::Shed,
                () if !has_proof || is_server_error => PlacementEnd::Failed,
                () => PlacementEnd::Answered,
            });
            CallerBody::Full(bytes)
        }
        BufferedBody::Part(prefix) if has_proof => {
            let pause = Duration::from_millis(shared.config.pause_ms);
            CallerBody::Stream(Box::new(stream_response(
                routed, prefix, body, pause, running,
            )))
        }
        BufferedBody::Part(_) => {
            running.end(PlacementEnd::Failed);
            CallerBody::Full(Bytes::new())
        }
    };
    match () {
        () if refused && rests => return Ok((Outcome::NotRun { has_slots: false }, "rest")),
        () if refused => {
            let text = if moved { "moved" } else { "shed" };
            let has_slots = has_slots && !moved;
            return Ok((Outcome::NotRun { has_slots }, text));
        }
        () if !has_proof => return Ok((Outcome::unproven(), "unproven")),
        // A server error is returned to the caller unless a retry is possible.
        () if is_retryable && routed.route.attempts > 1 && has_time_to_retry(routed) => {
            return Ok((Outcome::unproven(), "fault"));
        }
        () => {}
    }
    let mut headers = parts.headers;
    strip_hop_by_hop(&mut headers);
    let mut response = Response::new(body);
    *response.status_mut() = status;
    *response.headers_mut() = headers;
    Ok((Outcome::Answer(response), "answered"))
}

// Returns whether more time is left than the latency objective, within which a
// retry should get its response.
fn has_time_to_retry(routed: &RoutedRequest) -> bool {
    routed.left() > Duration::from_millis(routed.route.objective_ms)
}

fn stream_response(
    routed: &RoutedRequest,
    prefix: Bytes,
    body: ReplyBody,
    pause: Duration,
    mut running: AttemptGuard,
) -> Passing {
    running.shared.streaming.fetch_add(1, Ordering::Relaxed);
    let on_end = move |result: Result<Connection, ExchangeError>| {
        running.shared.streaming.fetch_sub(1, Ordering::Relaxed);
        match result {
            Ok(connection) => {
                let address = running.chosen.address;
                running.shared.connections.pool.put(address, connection);
                running.end(PlacementEnd::Answered);
                let AttemptGuard { shared, routed, .. } = &running;
                shared.crashes.record_answer(routed.fingerprint());
            }
            // The body also ends with this fault if the caller disconnects, which says
            // nothing about the server.
            Err(ExchangeError::Cut) => running.end(PlacementEnd::Cancelled),
            Err(_) => running.end(PlacementEnd::Failed),
        }
    };
    Passing::new(
        prefix,
        body,
        pause,
        routed.deadline,
        !routed.is_idempotent(),
        Box::new(on_end),
    )
}
