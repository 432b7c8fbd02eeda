//! Attempts of one request on backend servers.

use std::sync::{Arc, OnceLock};
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http::header::{self, HeaderMap, HeaderValue};
use http::{Method, Request, Response, StatusCode};
use http_body_util::Full;
use pomelovale_protocol::http::{
    strip_hop_by_hop, strip_internal_headers, DEADLINE, REQUEST, SHED,
};
use pomelovale_protocol::trace::{TraceContext, TRACEPARENT};
use pomelovale_state::document::Digest;
use pomelovale_state::{ErrorKind, Name};
use pomelovale_transport::backend::{Connection, ExchangeError, Failure, Reply, ReplyBody};
use pomelovale_transport::body::{CallerBody, Passing};
use tokio::time::{timeout_at, Instant};
use tracing::Instrument;

use super::decide::{AttemptEnd, Choice, Permit, Subject};
use super::keys::{self, Pass};
use super::{crash, Shared};

const NOT_RUN: &[u8] = b"not-run";

/// An admitted request.
#[derive(Debug)]
pub struct Job {
    /// What decisions about it go by.
    pub subject: Subject,
    /// Its method.
    pub method: Method,
    /// Its path and query, without keys.
    pub target: String,
    /// Its end-to-end headers, without keys.
    pub headers: HeaderMap,
    /// Its whole body.
    pub body: Bytes,
    /// Whether it may be sent again.
    pub idempotent: bool,
    /// The accepted key; none on open routes.
    pub pass: Option<Pass>,
    /// When it must be answered.
    pub deadline: Instant,
    /// Its position in the caller's trace.
    pub trace: TraceContext,
    /// Its room in the service, held until the answer is complete.
    pub permit: Arc<Permit>,
    /// Its fingerprint, once computed.
    pub print: OnceLock<Digest>,
}

impl Job {
    /// SHA-256 of method, path and body.
    pub fn fingerprint(&self) -> Digest {
        let compute = || crash::fingerprint(self.method.as_str(), &self.target, &self.body);
        *self.print.get_or_init(compute)
    }

    fn left(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }

    /// Checks what may have changed while the request waited.
    pub fn check(&self, shared: &Shared) -> Result<(), ErrorKind> {
        let now = shared.clock.now();
        if let Some(pass) = &self.pass {
            keys::check_again(&shared.view, now, pass)?;
        }
        let document = shared.view.document();
        let print = || self.fingerprint();
        match shared.crashes.is_blocked(&document, now, print) {
            true => Err(ErrorKind::Quarantined),
            false if self.left().is_zero() => Err(ErrorKind::DeadlineSpent),
            false => Ok(()),
        }
    }
}

/// How one attempt ended.
enum Outcome {
    Answer(Response<CallerBody>),
    Failed(Failure),
    Shed,
}

/// Counts an attempt until it ends; a dropped one was cancelled.
struct Running {
    shared: Arc<Shared>,
    choice: Choice,
    permit: Arc<Permit>,
    since: Instant,
    ended: bool,
}

impl Running {
    fn end(&mut self, end: AttemptEnd) {
        if self.ended {
            return;
        }
        self.ended = true;
        let now = self.shared.clock.now();
        let latency_ms = self.since.elapsed().as_millis() as u64;
        self.permit.record(end, latency_ms);
        let decisions = &self.shared.decisions;
        decisions.finish(now, &self.choice, end, latency_ms);
        metrics::histogram!("entry_attempt_seconds").record(self.since.elapsed());
    }
}

impl Drop for Running {
    fn drop(&mut self) {
        self.end(AttemptEnd::Cancelled);
    }
}

/// What the attempts so far have come to.
#[derive(Debug, Default)]
struct Progress {
    tried: Vec<Name>,
    attempts: usize,
    cuts: usize,
    // Servers of failure domains in which a server went down.
    doubtful: Vec<Name>,
    written: Option<ErrorKind>,
    unwritten: Option<ErrorKind>,
}

impl Progress {
    // Once a byte was written, no later refusal may claim that nothing ran.
    fn refuse(&self, kind: ErrorKind) -> ErrorKind {
        self.written.unwrap_or(kind)
    }
}

/// Sends a request until it is answered or must not be sent again.
pub async fn forward(shared: Arc<Shared>, job: Job) -> Result<Response<CallerBody>, ErrorKind> {
    let mut progress = Progress::default();
    loop {
        job.check(&shared).map_err(|kind| progress.refuse(kind))?;
        let now = shared.clock.now();
        let avoid = [progress.tried.as_slice(), progress.doubtful.as_slice()].concat();
        let chosen = match shared.decisions.choose(now, &job.subject, &avoid) {
            None if !progress.doubtful.is_empty() => {
                shared.decisions.choose(now, &job.subject, &progress.tried)
            }
            chosen => chosen,
        };
        let Some(choice) = chosen else {
            let kind = progress.unwritten.unwrap_or(ErrorKind::Unavailable);
            return Err(progress.refuse(kind));
        };
        progress.attempts += 1;
        let trace = job.trace.child();
        let span = tracing::info_span!("attempt", server = %choice.server, trace = %trace);
        let outcome = attempt(&shared, &job, &choice, trace, &progress)
            .instrument(span)
            .await;
        let failure = match outcome {
            Outcome::Answer(response) => {
                let complete = matches!(response.body(), CallerBody::Full(_));
                let document = shared.view.document();
                if complete
                    && shared
                        .crashes
                        .is_suspect(&document, now, || job.fingerprint())
                {
                    crash::clear(&shared, job.fingerprint());
                }
                return Ok(response);
            }
            Outcome::Shed => None,
            Outcome::Failed(failure) => Some(failure),
        };
        let again = settle(&shared, &job, &mut progress, &choice, failure).await;
        if !again || progress.attempts >= shared.config.attempts {
            let kind = progress.unwritten.unwrap_or(ErrorKind::Unavailable);
            return Err(progress.refuse(kind));
        }
        metrics::counter!("entry_retries_total").increment(1);
    }
}

/// Takes a failed attempt into account; tells whether another one may follow.
async fn settle(
    shared: &Arc<Shared>,
    job: &Job,
    progress: &mut Progress,
    choice: &Choice,
    failure: Option<Failure>,
) -> bool {
    let service = &job.subject.service;
    let fault = failure.map(|f| f.fault);
    let closed = failure.is_some_and(|f| !f.written) && fault != Some(ExchangeError::Connect);
    if !closed {
        progress.tried.push(choice.server.clone());
    }
    let Some(failure) = failure else {
        progress.unwritten = Some(ErrorKind::Overloaded);
        return progress.written.is_none() && shared.decisions.try_spend(service);
    };
    if !failure.written {
        // Nothing ran, so that another attempt costs no server anything.
        progress.unwritten = Some(ErrorKind::Unavailable);
        return true;
    }
    progress.written = Some(match failure.fault {
        ExchangeError::Silent => ErrorKind::UnknownTimeout,
        _ => ErrorKind::UnknownOutcome,
    });
    let limit = Duration::from_millis(shared.config.connect_ms);
    if failure.fault == ExchangeError::Cut {
        progress.cuts += 1;
        if crash::is_down(choice.address, limit).await {
            // The whole failure domain may be going down.
            progress.doubtful = domain_of(shared, &choice.server);
            crash::report(shared, job.fingerprint(), &choice.server).await;
        }
    }
    job.idempotent && progress.cuts <= 1 && shared.decisions.try_spend(service)
}

fn domain_of(shared: &Shared, server: &Name) -> Vec<Name> {
    let document = shared.view.document();
    let Some(down) = document.backends.get(server) else {
        return Vec::new();
    };
    let near = document
        .backends
        .iter()
        .filter(|(_, b)| b.service == down.service && b.domain == down.domain);
    near.map(|(name, _)| name.clone()).collect()
}

async fn attempt(
    shared: &Arc<Shared>,
    job: &Job,
    choice: &Choice,
    trace: TraceContext,
    progress: &Progress,
) -> Outcome {
    let config = &shared.config;
    let mut running = Running {
        shared: shared.clone(),
        choice: choice.clone(),
        permit: job.permit.clone(),
        since: Instant::now(),
        ended: false,
    };
    let unwritten = |fault| {
        Outcome::Failed(Failure {
            fault,
            written: false,
        })
    };
    let connection = match connect(shared, job, choice).await {
        Ok(connection) => connection,
        Err(fault) => {
            running.end(AttemptEnd::Failed);
            return unwritten(fault);
        }
    };
    // A key can be revoked and a server can leave while a connection is opened.
    if job.check(shared).is_err() || !shared.decisions.may_write(&choice.server) {
        shared.pool.put(choice.address, connection);
        return unwritten(ExchangeError::Connect);
    }
    let id = shared.unique();
    let request = request(job, choice, trace, &id);
    let followed = job.idempotent && progress.attempts < config.attempts;
    let limit = match choice.attempt.filter(|_| followed) {
        Some(ms) => job.left().min(Duration::from_millis(ms)),
        None => job.left(),
    };
    let (start, span) = (Instant::now(), tracing::info_span!("backend"));
    let end = start + limit;
    let result = match connection
        .send(request, &REQUEST, id.as_bytes(), limit)
        .instrument(span)
        .await
    {
        Ok(reply) => receive(shared, job, reply, end, running).await,
        Err(failure) => Err((failure, running)),
    };
    match result {
        Ok(outcome) => outcome,
        Err((failure, mut running)) => {
            if failure.fault == ExchangeError::Silent {
                // Others that were open before may have gone silent with it.
                shared.pool.purge(choice.address, start);
            }
            running.end(match failure.fault {
                ExchangeError::Silent => AttemptEnd::TimedOut,
                _ => AttemptEnd::Failed,
            });
            Outcome::Failed(failure)
        }
    }
}

async fn connect(shared: &Shared, job: &Job, choice: &Choice) -> Result<Connection, ExchangeError> {
    let config = &shared.config;
    let age = match job.idempotent {
        true => config.idle_ms,
        false => config.proven_ms,
    };
    match shared.pool.take(choice.address, Duration::from_millis(age)) {
        Some(connection) => Ok(connection),
        None => {
            let limit = Duration::from_millis(config.connect_ms).min(job.left());
            Connection::open(choice.address, limit).await
        }
    }
}

fn request(job: &Job, choice: &Choice, trace: TraceContext, id: &str) -> Request<Full<Bytes>> {
    let mut request = Request::new(Full::new(job.body.clone()));
    *request.method_mut() = job.method.clone();
    *request.uri_mut() = job.target.parse().unwrap_or_default();
    let mut headers = job.headers.clone();
    if !headers.contains_key(header::HOST) {
        let host = HeaderValue::try_from(choice.address.to_string());
        headers.insert(header::HOST, host.expect("an address is a valid value"));
    }
    let left = job.left().as_millis() as u64;
    headers.insert(DEADLINE, HeaderValue::from(left));
    headers.insert(TRACEPARENT, trace.header_value());
    let id = HeaderValue::try_from(id).unwrap_or(HeaderValue::from_static(""));
    headers.insert(REQUEST, id);
    *request.headers_mut() = headers;
    request
}

/// Holds an answer back until it is complete, or passes on one that is large.
async fn receive(
    shared: &Arc<Shared>,
    job: &Job,
    reply: Reply,
    end: Instant,
    mut running: Running,
) -> Result<Outcome, (Failure, Running)> {
    let address = running.choice.address;
    let Reply { parts, mut body } = reply;
    let shed = parts.status == StatusCode::SERVICE_UNAVAILABLE
        && parts.headers.get(SHED).is_some_and(|v| v == NOT_RUN);
    let held = match hold(&mut body, shared.config.answer_bytes, end).await {
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
        Held::All(bytes) => {
            shared.pool.put(address, body.finish());
            running.end(match parts.status {
                _ if shed => AttemptEnd::Shed,
                status if status.is_server_error() => AttemptEnd::Failed,
                _ => AttemptEnd::Complete,
            });
            CallerBody::Full(bytes)
        }
        Held::Part(prefix) => {
            let pause = Duration::from_millis(shared.config.pause_ms);
            CallerBody::Stream(Box::new(pass_on(job, prefix, body, pause, running)))
        }
    };
    if shed {
        return Ok(Outcome::Shed);
    }
    let mut response = Response::new(body);
    *response.status_mut() = parts.status;
    *response.headers_mut() = headers;
    Ok(Outcome::Answer(response))
}

/// The part of an answer that was held back.
#[derive(Debug)]
pub(crate) enum Held {
    /// The whole body.
    All(Bytes),
    /// The begin of a body that is over the limit.
    Part(Bytes),
}

/// Reads a body until it is complete or over `limit` bytes, at most until `end`.
pub(crate) async fn hold(
    body: &mut ReplyBody,
    limit: usize,
    end: Instant,
) -> Result<Held, ExchangeError> {
    let mut held = Bytes::new();
    loop {
        let part = std::future::poll_fn(|cx| body.poll_part(cx));
        match timeout_at(end, part).await {
            Err(_) => return Err(ExchangeError::Silent),
            Ok(None) => return Ok(Held::All(held)),
            Ok(Some(Err(fault))) => return Err(fault),
            Ok(Some(Ok(part))) if held.is_empty() => held = part,
            Ok(Some(Ok(part))) => {
                let mut joined = BytesMut::from(held);
                joined.extend_from_slice(&part);
                held = joined.freeze();
            }
        }
        if held.len() > limit {
            return Ok(Held::Part(held));
        }
    }
}

fn pass_on(
    job: &Job,
    prefix: Bytes,
    body: ReplyBody,
    pause: Duration,
    mut running: Running,
) -> Passing {
    let on_end = move |result: Result<Connection, ExchangeError>| match result {
        Ok(connection) => {
            let address = running.choice.address;
            running.shared.pool.put(address, connection);
            running.end(AttemptEnd::Complete);
        }
        Err(ExchangeError::Cut) => running.end(AttemptEnd::Cancelled),
        Err(_) => running.end(AttemptEnd::Failed),
    };
    Passing::new(prefix, body, pause, !job.idempotent, Box::new(on_end))
}
