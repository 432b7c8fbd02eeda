//! Forwarding of requests to backend servers, with retries.

use std::sync::{Arc, OnceLock};
use std::time::{Duration, SystemTime};

use bytes::{Bytes, BytesMut};
use http::header::{self, HeaderMap, HeaderValue};
use http::{response, Method, Request, Response, StatusCode};
use http_body_util::Full;
use pomelovale_protocol::header_names::HeaderNames;
use pomelovale_protocol::http::{
    strip_hop_by_hop, strip_internal_headers, DEADLINE, REQUEST, SHED,
};
use pomelovale_protocol::trace::{TraceContext, TRACEPARENT};
use pomelovale_state::document::Digest;
use pomelovale_state::{ErrorKind, Name};
use pomelovale_steering::server_limit::LimitNotice;
use pomelovale_transport::backend::{Connection, ExchangeError, Failure, Reply, ReplyBody};
use pomelovale_transport::body::{CallerBody, Passing};
use tokio::time::{timeout, timeout_at, Instant};
use tracing::Instrument;

use super::keys::{self, VerifiedKey};
use super::relaying::{self, OriginalRequest, RelayTerms};
use super::steering::{AttemptEnd, Choice, Permit, RequestInfo};
use super::{poll, Shared};
use crate::crash::{self, Run, RunGuard, Trial};
use crate::reach::{self, State};
use crate::relay::RECHECK;

const NOT_RUN: &[u8] = b"not-run";

/// An admitted request.
#[derive(Debug)]
pub struct AdmittedRequest {
    /// Attributes that steering depends on.
    pub info: RequestInfo,
    /// HTTP method.
    pub method: Method,
    /// Path and query with API keys removed.
    pub target: String,
    /// End-to-end headers with API keys removed.
    pub headers: HeaderMap,
    /// Complete body.
    pub body: Bytes,
    /// Whether it may be sent again after it was written.
    pub idempotent: bool,
    /// The verified key; `None` on open routes.
    pub verified_key: Option<VerifiedKey>,
    /// Time by which a response is due.
    pub deadline: Instant,
    /// Trace context of the request.
    pub trace: TraceContext,
    /// Admission permit, held until the response is complete.
    pub permit: Arc<Permit>,
    /// Fingerprint, computed on first use.
    pub fingerprint: OnceLock<Digest>,
    /// Whether it is tried although it is quarantined.
    pub trial: Trial,
    /// Maximum number of attempts.
    pub attempts: usize,
    /// The request as it came, to be relayed; `None` if another instance relays it here.
    pub original: Option<OriginalRequest>,
}

impl AdmittedRequest {
    /// Returns the SHA-256 of method, path with query, and body.
    pub fn digest(&self) -> Digest {
        let (method, target) = (self.method.as_str(), &self.target);
        Digest::of(&[method.as_bytes(), target.as_bytes(), &self.body])
    }

    /// Returns the fingerprint by which crashes under the request are recorded.
    pub fn fingerprint(&self) -> Digest {
        let head = [self.method.as_str().as_bytes(), self.target.as_bytes()];
        let compute = || crash::fingerprint(&head, &self.body);
        *self.fingerprint.get_or_init(compute)
    }

    fn left(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }

    /// Checks the key, the quarantine and the deadline, which may have changed
    /// while the request waited.
    pub fn check(&self, shared: &Shared) -> Result<(), ErrorKind> {
        let now = shared.clock.now();
        if let Some(verified_key) = &self.verified_key {
            keys::recheck(&shared.view, now, verified_key)?;
        }
        match shared
            .crashes
            .blocked_ms(&self.trial, || self.fingerprint())
        {
            Some(_) => Err(ErrorKind::Quarantined),
            None if self.left().is_zero() => Err(ErrorKind::DeadlineSpent),
            None => Ok(()),
        }
    }
}

/// Outcome of one attempt.
enum AttemptOutcome {
    Answer(Response<CallerBody>),
    Failed {
        failure: Failure,
        /// Whether the server has ended under the request.
        ended: bool,
    },
    Shed,
}

/// Records the end of an attempt; records it as cancelled if dropped before.
struct AttemptGuard {
    shared: Arc<Shared>,
    admitted: Arc<AdmittedRequest>,
    choice: Choice,
    since: Instant,
    // Set once the request is sent, until the attempt ends.
    run: Option<(Run, RunGuard)>,
    ended: bool,
}

impl AttemptGuard {
    fn end(&mut self, end: AttemptEnd) {
        if self.ended {
            return;
        }
        self.ended = true;
        let now = self.shared.clock.now();
        let latency_ms = self.since.elapsed().as_millis() as u64;
        self.admitted.permit.record(end, latency_ms);
        let lost = matches!(end, AttemptEnd::Cancelled | AttemptEnd::TimedOut);
        if let Some((run, _)) = self.run.take().filter(|_| lost) {
            self.shared.crashes.abandon(run);
        }
        let steering = &self.shared.steering;
        steering.finish(now, &self.choice, end, latency_ms);
        metrics::histogram!("entry_attempt_seconds").record(self.since.elapsed());
    }
}

impl Drop for AttemptGuard {
    fn drop(&mut self) {
        self.end(AttemptEnd::Cancelled);
    }
}

/// State of a request across its attempts.
#[derive(Debug, Default)]
struct RetryState {
    tried: Vec<Name>,
    attempts: usize,
    cut_connections: usize,
    // Last crash of the request that was known when the last attempt began.
    known_crash: u64,
    // Servers in the failure domain of the server that crashed last. They are
    // avoided if others are available.
    suspect_servers: Vec<Name>,
    error_after_write: Option<ErrorKind>,
    error_before_write: Option<ErrorKind>,
    // Whether the last attempt failed because the way to the servers is blocked.
    is_blocked: bool,
    // Whether the request has waited for another look at servers out of reach.
    rechecked: bool,
}

impl RetryState {
    // Starts over with servers that are within reach again.
    fn restart(&mut self) {
        self.tried.clear();
        self.is_blocked = false;
        self.rechecked = true;
    }

    // Once a byte was written, no later error may claim that the request did not
    // run.
    fn final_error(&self, kind: ErrorKind) -> ErrorKind {
        self.error_after_write.unwrap_or(kind)
    }
}

/// Sends a request to backend servers until one responds or no retry is allowed.
pub async fn forward(
    shared: Arc<Shared>,
    admitted: AdmittedRequest,
) -> Result<Response<CallerBody>, ErrorKind> {
    let admitted = Arc::new(admitted);
    let mut retries = RetryState::default();
    loop {
        admitted
            .check(&shared)
            .map_err(|kind| retries.final_error(kind))?;
        let is_relay_due = match shared.reach.state() {
            State::Reached => false,
            // Old connections may live on.
            State::Blocked => retries.is_blocked,
            State::Lost => true,
        };
        let may_relay = retries.error_after_write.is_none() || admitted.idempotent;
        if is_relay_due && may_relay {
            if let Some(original) = &admitted.original {
                let ended = relay_rest(&shared, &admitted, original, &retries).await;
                let is_not_taken = matches!(ended, Err(ErrorKind::Unavailable));
                if is_not_taken && !retries.rechecked && shared.reach.recheck(RECHECK).await {
                    retries.restart();
                    continue;
                }
                return ended;
            }
        }
        let now = shared.clock.now();
        let avoid = [retries.tried.as_slice(), retries.suspect_servers.as_slice()].concat();
        let chosen = match shared.steering.choose(now, &admitted.info, &avoid) {
            None if !retries.suspect_servers.is_empty() => {
                shared.steering.choose(now, &admitted.info, &retries.tried)
            }
            chosen => chosen,
        };
        let Some(choice) = chosen else {
            if is_own_failure(&shared, &admitted, &mut retries).await {
                continue;
            }
            let kind = retries.error_before_write.unwrap_or(ErrorKind::Unavailable);
            return Err(retries.final_error(kind));
        };
        retries.attempts += 1;
        retries.known_crash = shared.crashes.last_crash(|| admitted.fingerprint());
        let trace = admitted.trace.child();
        let span = tracing::info_span!("attempt", server = %choice.server, trace = %trace);
        let outcome = attempt(&shared, &admitted, &choice, trace, &retries)
            .instrument(span)
            .await;
        let failure = match outcome {
            AttemptOutcome::Answer(response) => {
                if matches!(response.body(), CallerBody::Full(_)) {
                    shared.crashes.record_answer(admitted.fingerprint());
                }
                return Ok(response);
            }
            AttemptOutcome::Shed => None,
            AttemptOutcome::Failed { failure, ended } => {
                if ended {
                    // The whole failure domain may be failing.
                    retries.suspect_servers = shared.view.document().domain_peers(&choice.server);
                    let fingerprint = admitted.fingerprint();
                    let left = admitted.left();
                    shared.crashes.wait_until_recorded(&fingerprint, left).await;
                }
                Some(failure)
            }
        };
        let may_retry = handle_failure(&shared, &admitted, &mut retries, &choice, failure);
        let may_retry = may_retry && retries.attempts < admitted.attempts;
        if !may_retry && is_own_failure(&shared, &admitted, &mut retries).await {
            continue;
        }
        if !may_retry {
            let kind = retries.error_before_write.unwrap_or(ErrorKind::Unavailable);
            return Err(retries.final_error(kind));
        }
        metrics::counter!("entry_retries_total").increment(1);
    }
}

async fn relay_rest(
    shared: &Arc<Shared>,
    admitted: &AdmittedRequest,
    original: &OriginalRequest,
    retries: &RetryState,
) -> Result<Response<CallerBody>, ErrorKind> {
    let sent = retries.attempts.min(admitted.attempts.saturating_sub(1));
    let terms = RelayTerms {
        deadline: admitted.deadline,
        idempotent: admitted.idempotent,
        attempts: (admitted.attempts - sent) as u32,
        may_have_run: retries.error_after_write.is_some(),
        trace: admitted.trace,
    };
    let may_repeat = || shared.steering.try_spend(&admitted.info.service);
    let relayed = relaying::relay(shared, original, &admitted.body, terms, may_repeat);
    relaying::result(relayed.await).map_err(|kind| retries.final_error(kind))
}

// Waits until it is known whether the way to the servers is blocked, if that is suspected and a
// request that no server has run fails. It is relayed then.
async fn is_own_failure(
    shared: &Arc<Shared>,
    admitted: &AdmittedRequest,
    retries: &mut RetryState,
) -> bool {
    if retries.error_after_write.is_some()
        || admitted.original.is_none()
        || !shared.reach.is_checking()
    {
        return false;
    }
    let confirmed = shared
        .reach
        .confirm(reach::LinkFault::Closed, Instant::now());
    retries.is_blocked = matches!(timeout(admitted.left(), confirmed).await, Ok(false));
    retries.is_blocked
}

/// Updates the retry state after a failed attempt; returns whether a retry is
/// allowed.
fn handle_failure(
    shared: &Arc<Shared>,
    admitted: &AdmittedRequest,
    retries: &mut RetryState,
    choice: &Choice,
    failure: Option<Failure>,
) -> bool {
    let service = &admitted.info.service;
    let fault = failure.map(|f| f.fault);
    let closed = failure.is_some_and(|f| !f.written) && fault != Some(ExchangeError::Connect);
    if !closed {
        retries.tried.push(choice.server.clone());
    }
    let Some(failure) = failure else {
        retries.error_before_write = Some(ErrorKind::Overloaded);
        return retries.error_after_write.is_none() && shared.steering.try_spend(service);
    };
    if !failure.written {
        // Nothing was written, so a retry adds no load and spends no budget.
        retries.error_before_write = Some(ErrorKind::Unavailable);
        return true;
    }
    retries.error_after_write = Some(match failure.fault {
        ExchangeError::Silent => ErrorKind::UnknownTimeout,
        _ => ErrorKind::UnknownOutcome,
    });
    if failure.fault == ExchangeError::Cut {
        retries.cut_connections += 1;
    }
    admitted.idempotent
        && !admitted.trial.is_taken()
        && retries.cut_connections <= 1
        && shared.steering.try_spend(service)
}

async fn attempt(
    shared: &Arc<Shared>,
    admitted: &Arc<AdmittedRequest>,
    choice: &Choice,
    trace: TraceContext,
    retries: &RetryState,
) -> AttemptOutcome {
    let mut running = AttemptGuard {
        shared: shared.clone(),
        admitted: admitted.clone(),
        choice: choice.clone(),
        since: Instant::now(),
        run: None,
        ended: false,
    };
    let failed_before_write = |fault| AttemptOutcome::Failed {
        failure: Failure {
            fault,
            written: false,
        },
        ended: false,
    };
    let connection = match connect(shared, admitted, choice).await {
        Ok(connection) => connection,
        Err(fault) => {
            running.end(AttemptEnd::Failed);
            shared.reach.record_failure(reach::LinkFault::Closed);
            let unreachable = |name: &Name| *name == choice.server;
            shared.crashes.check_abandoned(unreachable);
            return failed_before_write(fault);
        }
    };
    // The key may have been revoked and the server may have left while the
    // connection was opened.
    let may_send = shared.steering.is_serving(&choice.server)
        && shared.steering.is_open(&choice.service, &choice.server);
    if admitted.check(shared).is_err() || !may_send {
        shared.pool.put(choice.address, connection);
        // Nothing was written, so this is reported like a failed connect.
        return failed_before_write(ExchangeError::Connect);
    }
    let connect_ms = running.since.elapsed().as_millis() as u64;
    let run = Run {
        fingerprint: admitted.fingerprint(),
        server: choice.server.clone(),
        address: choice.address,
        known: retries.known_crash,
        probe: poll::PATH.into(),
        since: Instant::now(),
        connect_ms: connection.is_fresh().then_some(connect_ms),
        opened: connection.is_fresh().then(|| connection.proven()),
    };
    running.run = Some((
        run.clone(),
        shared.crashes.start_run(run.clone(), &admitted.trial),
    ));
    let id = shared.unique_id();
    let request = request(admitted, choice, trace, &id);
    let may_follow = admitted.idempotent && retries.attempts < admitted.attempts;
    let limit = match choice.attempt.filter(|_| may_follow) {
        Some(ms) => admitted.left().min(Duration::from_millis(ms)),
        None => admitted.left(),
    };
    let (start, span) = (Instant::now(), tracing::info_span!("backend"));
    let (end, header) = (start + limit, REQUEST);
    let sending = connection.send(request, &header, id.as_bytes(), limit);
    let sending = sending.instrument(span);
    let result = match shared.crashes.watch(&run, sending).await {
        Ok(reply) => receive(shared, admitted, reply, end, running).await,
        Err(failure) => Err((failure, running)),
    };
    match result {
        Ok(outcome) => outcome,
        Err((failure, mut running)) => {
            if failure.fault == ExchangeError::Silent {
                shared.reach.record_failure(reach::LinkFault::Silent);
                // Connections without a response since the attempt began may be dead too.
                shared.pool.purge(choice.address, start);
            }
            let malformed = matches!(
                failure.fault,
                ExchangeError::Foreign | ExchangeError::Malformed
            );
            if let Some((run, _)) = running.run.take_if(|_| malformed) {
                shared.crashes.abandon(run);
            }
            if failure.fault == ExchangeError::Cut && run.connect_ms.is_some() {
                // Connections may be reset before they get through.
                shared.reach.record_failure(reach::LinkFault::Closed);
            }
            let cut = failure.fault == ExchangeError::Cut && failure.written;
            running.run.take_if(|_| cut);
            let ended = cut && shared.crashes.check(run, admitted.left()).await.ended;
            running.end(match failure.fault {
                ExchangeError::Silent => AttemptEnd::TimedOut,
                _ => AttemptEnd::Failed,
            });
            AttemptOutcome::Failed { failure, ended }
        }
    }
}

async fn connect(
    shared: &Shared,
    admitted: &AdmittedRequest,
    choice: &Choice,
) -> Result<Connection, ExchangeError> {
    let config = &shared.config;
    let age = match admitted.idempotent {
        true => config.idle_ms,
        false => config.proven_ms,
    };
    match shared.pool.take(choice.address, Duration::from_millis(age)) {
        Some(connection) => Ok(connection),
        None if shared.reach.state() != State::Reached => Err(ExchangeError::Connect),
        None => {
            let limit = Duration::from_millis(config.connect_ms).min(admitted.left());
            Connection::open(choice.address, limit).await
        }
    }
}

fn request(
    admitted: &AdmittedRequest,
    choice: &Choice,
    trace: TraceContext,
    id: &str,
) -> Request<Full<Bytes>> {
    let mut request = Request::new(Full::new(admitted.body.clone()));
    *request.method_mut() = admitted.method.clone();
    *request.uri_mut() = admitted.target.parse().unwrap_or_default();
    let mut headers = admitted.headers.clone();
    if !headers.contains_key(header::HOST) {
        let host = HeaderValue::try_from(choice.address.to_string());
        headers.insert(
            header::HOST,
            host.expect("an address is a valid header value"),
        );
    }
    let left = admitted.left().as_millis() as u64;
    headers.insert(DEADLINE, HeaderValue::from(left));
    headers.insert(TRACEPARENT, trace.header_value());
    let id = HeaderValue::try_from(id).unwrap_or(HeaderValue::from_static(""));
    headers.insert(REQUEST, id);
    *request.headers_mut() = headers;
    request
}

// Records what an answer says about the limit of its server. Only an answer of a run shows
// that a limit has ended.
fn record_limit(shared: &Shared, running: &AttemptGuard, parts: &response::Parts, shed: bool) {
    let choice = &running.choice;
    let spent_ms = running.since.elapsed().as_millis() as u64;
    let notice = match shared.header_names.limit(&parts.headers) {
        LimitNotice::Unlimited if shed => LimitNotice::Unknown,
        notice => notice,
    };
    if shared.steering.record_limit(choice, spent_ms, notice) {
        metrics::counter!("server_limit_changes_total").increment(1);
        tracing::info!(event = "server-limit", service = %choice.service,
            server = %choice.server, notice = ?notice, source = "answer");
        poll::report(shared);
    }
}

// Records what an answer says about sending its server requests. Returns whether it rests.
fn record_availability(shared: &Shared, choice: &Choice, parts: &response::Parts) -> bool {
    if shared.header_names.says_leaving(&parts.headers) {
        record_leaving(shared, &choice.service, &choice.server, true);
    }
    let Some(rest_ms) = HeaderNames::rest_ms(parts, SystemTime::now()) else {
        return false;
    };
    shared.reach.record_rest(choice.address, rest_ms);
    let steering = &shared.steering;
    if steering.record_rest(&choice.service, &choice.server, rest_ms) {
        metrics::counter!("server_rests_total").increment(1);
        tracing::info!(event = "server-rest", service = %choice.service,
            server = %choice.server, rest_ms);
    }
    true
}

/// Records whether a server says that it leaves.
pub(super) fn record_leaving(shared: &Shared, service: &Name, server: &Name, leaving: bool) {
    if shared.steering.record_leaving(service, server, leaving) {
        metrics::counter!("servers_leaving_total").increment(1);
        tracing::info!(event = "server-leaving", service = %service, server = %server);
    }
}

/// Buffers a response until it is complete, or streams one that is larger than
/// `answer_bytes`.
async fn receive(
    shared: &Arc<Shared>,
    admitted: &AdmittedRequest,
    reply: Reply,
    end: Instant,
    mut running: AttemptGuard,
) -> Result<AttemptOutcome, (Failure, AttemptGuard)> {
    let address = running.choice.address;
    let opened = running.run.as_ref().and_then(|(run, _)| run.opened);
    shared.crashes.record_reply(address, opened);
    let Reply { parts, mut body } = reply;
    let shed = parts.status == StatusCode::SERVICE_UNAVAILABLE
        && parts.headers.get(SHED).is_some_and(|v| v == NOT_RUN);
    record_limit(shared, &running, &parts, shed);
    let rests = record_availability(shared, &running.choice, &parts);
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
    let mut headers = parts.headers;
    strip_hop_by_hop(&mut headers);
    strip_internal_headers(&mut headers);
    let body = match held {
        BufferedBody::All(bytes) => {
            shared.pool.put(address, body.finish());
            if rests {
                // Rest is no failure of the server.
                running.run = None;
            }
            running.end(match parts.status {
                _ if rests => AttemptEnd::Cancelled,
                _ if shed => AttemptEnd::Shed,
                status if status.is_server_error() => AttemptEnd::Failed,
                _ => AttemptEnd::Complete,
            });
            CallerBody::Full(bytes)
        }
        BufferedBody::Part(prefix) => {
            let pause = Duration::from_millis(shared.config.pause_ms);
            CallerBody::Stream(Box::new(stream_body(
                admitted, prefix, body, pause, running,
            )))
        }
    };
    if shed {
        return Ok(AttemptOutcome::Shed);
    }
    let mut response = Response::new(body);
    *response.status_mut() = parts.status;
    *response.headers_mut() = headers;
    Ok(AttemptOutcome::Answer(response))
}

/// The buffered part of a response body.
#[derive(Debug)]
pub(crate) enum BufferedBody {
    /// The complete body.
    All(Bytes),
    /// The start of a body that exceeds the limit.
    Part(Bytes),
}

/// Buffers a body until it is complete or exceeds `limit` bytes, at most until
/// `end`.
pub(crate) async fn buffer_body(
    body: &mut ReplyBody,
    limit: usize,
    end: Instant,
) -> Result<BufferedBody, ExchangeError> {
    let mut held = Bytes::new();
    loop {
        let part = std::future::poll_fn(|cx| body.poll_part(cx));
        match timeout_at(end, part).await {
            Err(_) => return Err(ExchangeError::Silent),
            Ok(None) => return Ok(BufferedBody::All(held)),
            Ok(Some(Err(fault))) => return Err(fault),
            Ok(Some(Ok(part))) if held.is_empty() => held = part,
            Ok(Some(Ok(part))) => {
                let mut joined = BytesMut::from(held);
                joined.extend_from_slice(&part);
                held = joined.freeze();
            }
        }
        if held.len() > limit {
            return Ok(BufferedBody::Part(held));
        }
    }
}

fn stream_body(
    admitted: &AdmittedRequest,
    prefix: Bytes,
    body: ReplyBody,
    pause: Duration,
    mut running: AttemptGuard,
) -> Passing {
    let on_end = move |result: Result<Connection, ExchangeError>| match result {
        Ok(connection) => {
            let address = running.choice.address;
            running.shared.pool.put(address, connection);
            running.end(AttemptEnd::Complete);
            let AttemptGuard {
                shared, admitted, ..
            } = &running;
            shared.crashes.record_answer(admitted.fingerprint());
        }
        // `Cancelled` is not counted as a failure of the region.
        Err(ExchangeError::Cut) => running.end(AttemptEnd::Cancelled),
        Err(_) => running.end(AttemptEnd::Failed),
    };
    Passing::new(
        prefix,
        body,
        pause,
        admitted.deadline,
        !admitted.idempotent,
        Box::new(on_end),
    )
}
