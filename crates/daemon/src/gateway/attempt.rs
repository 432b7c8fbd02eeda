//! Attempts of one request on backend servers.

use std::future::Future;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::header::{HeaderMap, HeaderValue};
use http::{Method, Request, Response, StatusCode, Uri};
use http_body_util::Full;
use pomelovale_protocol::http::strip_hop_by_hop;
use pomelovale_state::document::{Document, MemberState};
use pomelovale_state::routing::{HostRoute, Repeat};
use pomelovale_state::{ErrorKind, Name};
use pomelovale_steering::placement::{Chosen, Ended, LoadReport, Verdict};
use pomelovale_transport::backend::{Connection, ExchangeError, Failure, Reply, ReplyBody};
use pomelovale_transport::body::{CallerBody, Passing};
use tokio::time::{timeout, Instant};

use super::delegate::Place;
use super::story::{Story, Timing};
use super::{connections, placing, Shared};
use crate::entry::forward::{hold, Held};
use crate::entry::refusal::Refusal;

/// Connections that may fail before a request is refused. Nothing was sent over
/// them, so that they count as no attempt.
const CONNECTS_MAX: usize = 3;
/// Time kept for the answer to reach the caller, in milliseconds.
pub(super) const ANSWER_MS: u64 = 5;
/// A server that has not answered an idempotent request within this many times
/// the expected time is given up, if another attempt is allowed.
const PATIENCE: u64 = 4;

/// A request that was admitted.
#[derive(Debug)]
pub(super) struct Job {
    pub(super) service: Name,
    pub(super) route: HostRoute,
    /// Hash of the object that it concerns.
    pub(super) object: u64,
    pub(super) priority: u32,
    /// Regions that may serve it; all if empty.
    pub(super) homes: Vec<Name>,
    pub(super) method: Method,
    pub(super) target: Uri,
    pub(super) headers: HeaderMap,
    pub(super) body: Bytes,
    pub(super) start: Instant,
    pub(super) deadline: Instant,
}

impl Job {
    pub(super) fn left(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }

    fn is_idempotent(&self) -> bool {
        self.route.repeat == Repeat::Idempotent
    }
}

/// What the attempts so far have come to.
#[derive(Debug, Default)]
struct Progress {
    tried: Vec<Name>,
    sent: u32,
    connects: usize,
    // A refusal in place of an answer, once a server may have run the request.
    written: Option<ErrorKind>,
}

/// How one attempt ended.
enum Outcome {
    Answer(Response<CallerBody>),
    /// No byte was sent.
    Unsent,
    /// The server states that it did not run the request.
    NotRun,
    /// The server may have run it.
    Unknown(ErrorKind),
}

/// Counts an attempt until it ends; a dropped one was cancelled.
struct Running {
    shared: Arc<Shared>,
    service: Name,
    route: Name,
    chosen: Chosen,
    place: Option<Place>,
    since: Instant,
    report: Option<LoadReport>,
    ended: bool,
}

impl Running {
    fn end(&mut self, ended: Ended) {
        if self.ended {
            return;
        }
        self.ended = true;
        let now = self.shared.clock.now();
        let latency_ms = self.since.elapsed().as_millis() as u64;
        let document = self.shared.view.document();
        let (chosen, route, report) = (&self.chosen, &self.route, self.report);
        let held = self
            .shared
            .services
            .with(now, &document, &self.service, |s| {
                s.placement
                    .finish(now, chosen, route, ended, latency_ms, report)
            });
        super::note_held(
            &self.shared,
            &self.service,
            chosen,
            ended,
            held == Some(true),
        );
        if let Some(place) = self.place.take() {
            place.end(ended, latency_ms, report);
        }
        metrics::histogram!("gateway_attempt_seconds").record(self.since.elapsed());
    }
}

impl Drop for Running {
    fn drop(&mut self) {
        self.end(Ended::Cancelled);
    }
}

/// Sends a request until it is answered or must not be sent again.
pub(super) async fn run(
    shared: &Arc<Shared>,
    job: Job,
    story: &mut Story,
) -> Result<Response<CallerBody>, Refusal> {
    let mut progress = Progress::default();
    story.object = job.object;
    loop {
        if job.left() <= Duration::from_millis(ANSWER_MS) {
            // Nothing was sent: the caller may try again elsewhere.
            let kind = progress.written.unwrap_or(ErrorKind::Overloaded);
            return Err(kind.into());
        }
        let first = progress.sent == 0;
        let since = Instant::now();
        let (verdict, place) = placing::choose(shared, &job, &progress.tried, first).await;
        let chosen = match verdict {
            Verdict::Send(chosen) => chosen,
            Verdict::Refuse { retry_ms } => {
                let kind = progress.written.unwrap_or(ErrorKind::Overloaded);
                return Err(Refusal { kind, retry_ms });
            }
        };
        let mut timing = Timing {
            asked: place.is_some(),
            place_ms: since.elapsed().as_millis() as u64,
            connect_ms: 0,
        };
        let since = Instant::now();
        let (outcome, end) = attempt(shared, &job, &chosen, place, &progress, &mut timing).await;
        story.note(&chosen, timing, since, end);
        progress.tried.push(chosen.server.clone());
        let again = match outcome {
            Outcome::Answer(response) => return Ok(response),
            Outcome::Unsent => {
                progress.connects += 1;
                progress.connects < CONNECTS_MAX
            }
            Outcome::NotRun => {
                progress.sent += 1;
                progress.sent < job.route.attempts && may_repeat(shared, &job)
            }
            Outcome::Unknown(kind) => {
                progress.sent += 1;
                progress.written = Some(kind);
                job.is_idempotent()
                    && progress.sent < job.route.attempts
                    && may_repeat(shared, &job)
            }
        };
        if !again {
            let kind = progress.written.unwrap_or(ErrorKind::Unavailable);
            return Err(kind.into());
        }
        metrics::counter!("gateway_repeats_total").increment(1);
    }
}

fn can_repeat(shared: &Shared, job: &Job) -> bool {
    let (now, document) = (shared.clock.now(), shared.view.document());
    let left = shared
        .services
        .with(now, &document, &job.service, |s| s.repeats.left() > 0);
    left.unwrap_or(false)
}

fn may_repeat(shared: &Shared, job: &Job) -> bool {
    let (now, document) = (shared.clock.now(), shared.view.document());
    let spent = shared
        .services
        .with(now, &document, &job.service, |s| s.repeats.try_spend());
    spent.unwrap_or(false)
}

// What may have changed while a connection was opened.
fn may_write(document: &Document, chosen: &Chosen) -> bool {
    let backend = document.backends.get(&chosen.server);
    backend.is_some_and(|b| {
        b.address == chosen.address
            && b.state == MemberState::Serving
            && !document.evacuated.contains(&b.domain)
    })
}

async fn attempt(
    shared: &Arc<Shared>,
    job: &Job,
    chosen: &Chosen,
    place: Option<Place>,
    progress: &Progress,
    timing: &mut Timing,
) -> (Outcome, &'static str) {
    let mut running = Running {
        shared: shared.clone(),
        service: job.service.clone(),
        route: job.route.name.clone(),
        chosen: chosen.clone(),
        place,
        since: Instant::now(),
        report: None,
        ended: false,
    };
    let connected = connections::connect(shared, chosen.address, job.left()).await;
    timing.connect_ms = running.since.elapsed().as_millis() as u64;
    let connection = match connected {
        Ok(connection) => connection,
        Err(_) => {
            running.end(Ended::Unreachable);
            return (Outcome::Unsent, "connect");
        }
    };
    if !may_write(&shared.view.document(), chosen) {
        shared.connections.pool.put(chosen.address, connection);
        running.end(Ended::Cancelled);
        return (Outcome::Unsent, "left");
    }
    let idle = connection.proven().elapsed();
    let dialect = &shared.config.dialect;
    let id = job.headers.get(&dialect.request).cloned();
    let id = id.as_ref().map_or(&b""[..], HeaderValue::as_bytes);
    let start = Instant::now();
    let end = start + job.left().saturating_sub(Duration::from_millis(ANSWER_MS));
    let request = request(shared, job, chosen);
    let limit = end.saturating_duration_since(start);
    let sending = connection.send(request, &dialect.request, id, limit);
    let sent = patient(shared, job, chosen, progress, sending).await;
    let result = match sent {
        Ok(reply) => receive(shared, job, reply, end, running).await,
        Err(failure) => Err((failure, running)),
    };
    match result {
        Ok(outcome) => outcome,
        Err((failure, mut running)) => {
            if failure.fault == ExchangeError::Cut {
                let now = shared.clock.now();
                shared.connections.note_cut(now, chosen.address, idle);
            }
            failed(shared, chosen, failure, start, &mut running)
        }
    }
}

/// Waits for an answer. An idempotent request leaves a silent server if another
/// attempt is allowed and affordable; an instance that stops waits on, since
/// it may not be there for the other attempt.
async fn patient(
    shared: &Shared,
    job: &Job,
    chosen: &Chosen,
    progress: &Progress,
    sending: impl Future<Output = Result<Reply, Failure>>,
) -> Result<Reply, Failure> {
    let mut sending = std::pin::pin!(sending);
    let patience = (chosen.expected_ms * PATIENCE).max(job.route.objective_ms * 2);
    if let Ok(sent) = timeout(Duration::from_millis(patience), &mut sending).await {
        return sent;
    }
    let another = job.is_idempotent() && progress.sent + 1 < job.route.attempts;
    let stays = !shared.leaving.load(Ordering::Relaxed);
    let time = job.left() > Duration::from_millis(job.route.objective_ms);
    match another && stays && time && can_repeat(shared, job) {
        true => Err(Failure {
            fault: ExchangeError::Silent,
            written: true,
        }),
        false => sending.await,
    }
}

fn failed(
    shared: &Shared,
    chosen: &Chosen,
    failure: Failure,
    start: Instant,
    running: &mut Running,
) -> (Outcome, &'static str) {
    if failure.fault == ExchangeError::Silent {
        // Others that were open before may have gone silent with it.
        shared.connections.pool.purge(chosen.address, start);
    }
    let (ended, kind, text) = match failure.fault {
        ExchangeError::Connect => (Ended::Unreachable, ErrorKind::UnknownOutcome, "connect"),
        ExchangeError::Cut => (Ended::Cut, ErrorKind::UnknownOutcome, "cut"),
        ExchangeError::Foreign => (Ended::Failed, ErrorKind::UnknownOutcome, "foreign"),
        ExchangeError::Malformed => (Ended::Failed, ErrorKind::UnknownOutcome, "malformed"),
        ExchangeError::Silent => (Ended::TimedOut, ErrorKind::UnknownTimeout, "silent"),
    };
    running.end(ended);
    match failure.written {
        true => (Outcome::Unknown(kind), text),
        false => (Outcome::Unsent, text),
    }
}

fn request(shared: &Shared, job: &Job, chosen: &Chosen) -> Request<Full<Bytes>> {
    let dialect = &shared.config.dialect;
    let mut request = Request::new(Full::new(job.body.clone()));
    *request.method_mut() = job.method.clone();
    *request.uri_mut() = job.target.clone();
    let mut headers = job.headers.clone();
    let left = job.left().as_millis() as u64;
    headers.insert(dialect.deadline.clone(), HeaderValue::from(left));
    if let Ok(name) = HeaderValue::from_str(&chosen.server) {
        headers.insert(dialect.expect.clone(), name);
    }
    *request.headers_mut() = headers;
    request
}

/// Reads an answer and decides what it means.
async fn receive(
    shared: &Arc<Shared>,
    job: &Job,
    reply: Reply,
    end: Instant,
    mut running: Running,
) -> Result<(Outcome, &'static str), (Failure, Running)> {
    let dialect = &shared.config.dialect;
    let Reply { parts, mut body } = reply;
    running.report = dialect
        .load(&parts.headers)
        .map(|[running, waiting, slots]| LoadReport {
            running,
            waiting,
            slots,
        });
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
    let status = parts.status;
    let moved = status == StatusCode::MISDIRECTED_REQUEST;
    let refused = moved || parts.headers.contains_key(&dialect.refused);
    // These statuses promise that the request was not run.
    let promises = matches!(status.as_u16(), 408 | 421 | 429 | 503);
    let sound = !refused && !promises && parts.headers.contains_key(&dialect.proof);
    let faulty = status.is_server_error();
    let again = faulty && job.is_idempotent();
    let body = match held {
        Held::All(bytes) => {
            shared
                .connections
                .pool
                .put(running.chosen.address, body.finish());
            running.end(match () {
                () if moved => Ended::Moved,
                () if refused => Ended::Shed,
                () if !sound || faulty => Ended::Failed,
                () => Ended::Answered,
            });
            CallerBody::Full(bytes)
        }
        Held::Part(prefix) if sound => {
            let pause = Duration::from_millis(shared.config.pause_ms);
            CallerBody::Stream(Box::new(pass_on(job, prefix, body, pause, running)))
        }
        Held::Part(_) => {
            running.end(Ended::Failed);
            CallerBody::Full(Bytes::new())
        }
    };
    match () {
        () if refused => return Ok((Outcome::NotRun, if moved { "moved" } else { "shed" })),
        () if !sound => return Ok((Outcome::Unknown(ErrorKind::UnknownOutcome), "unproven")),
        () if again && job.route.attempts > 1 && may_try_again(job) => {
            return Ok((Outcome::Unknown(ErrorKind::UnknownOutcome), "fault"));
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

// A faulty answer of a server is better than none, unless there is time for
// another one.
fn may_try_again(job: &Job) -> bool {
    job.left() > Duration::from_millis(job.route.objective_ms)
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
            let address = running.chosen.address;
            running.shared.connections.pool.put(address, connection);
            running.end(Ended::Answered);
        }
        Err(ExchangeError::Cut) => running.end(Ended::Cancelled),
        Err(_) => running.end(Ended::Failed),
    };
    Passing::new(prefix, body, pause, !job.is_idempotent(), Box::new(on_end))
}
