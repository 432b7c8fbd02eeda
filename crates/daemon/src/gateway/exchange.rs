//! One attempt to send a request to a backend server.

use std::future::Future;
use std::pin::Pin;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::header::HeaderValue;
use http::{Request, Response, StatusCode};
use http_body_util::Full;
use pomelovale_protocol::http::strip_hop_by_hop;
use pomelovale_state::document::{Document, MemberState};
use pomelovale_state::{ErrorKind, Millis, Name};
use pomelovale_steering::placement::{Chosen, PlacementDecision, PlacementEnd};
use pomelovale_transport::backend::{Connection, ExchangeError, Failure, Reply, ReplyBody};
use pomelovale_transport::body::{CallerBody, Passing};
use tokio::time::{timeout_at, Instant};

use super::attempt::{
    blocked_ms, has_retry_budget, AttemptGuard, Outcome, Progress, RoutedRequest,
    RESPONSE_RESERVE_MS,
};
use super::hedge::First;
use super::request_log::Timing;
use super::{availability, connections, departures, hedge, late_sends, server_selection, Shared};
use crate::crash::{self, Run, ServerCheck};
use crate::entry::forward::{buffer_body, BufferedBody};
use crate::reach::LinkFault;

/// If a server has not responded to an idempotent request within the larger of
/// this many times the expected time and twice the latency objective of the
/// route, the attempt is abandoned, provided that a retry is allowed.
const SILENCE_FACTOR: u64 = 4;
/// If a server has not responded to any request within the larger of this many times the
/// expected time and `SILENCE_CHECK_MS`, it is checked whether it has ended.
const CHECK_FACTOR: u64 = 2;

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

/// Outcome of an attempt, and how it ended for the log.
pub(super) type Ended = (Outcome, &'static str);

/// An [`attempt`] that another one may await.
pub(super) fn boxed_attempt<'a>(
    shared: &'a Arc<Shared>,
    routed: &'a Arc<RoutedRequest>,
    running: AttemptGuard,
    progress: &'a mut Progress,
    timing: &'a mut Timing,
) -> Pin<Box<dyn Future<Output = Ended> + Send + 'a>> {
    Box::pin(attempt(shared, routed, running, progress, timing))
}

/// Connects to the server, sends the request and receives the response.
pub(super) async fn attempt(
    shared: &Arc<Shared>,
    routed: &Arc<RoutedRequest>,
    mut running: AttemptGuard,
    progress: &mut Progress,
    timing: &mut Timing,
) -> Ended {
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
    let first = First::new(&running, start);
    let mut next = None;
    let exchange = async {
        let progress = &*progress;
        let sent = await_reply(shared, routed, progress, &first, &run, sending, &mut next).await;
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
    };
    let (ended, second) = hedge::race(shared, routed, progress, &first, exchange).await;
    (progress.next, progress.second) = (next, second);
    ended
}

/// Waits for a response. The attempt of an idempotent request is abandoned if
/// the server stays silent, the route, the time left and the retry budget
/// allow a retry, and another server has room for it. A stopping instance keeps
/// waiting, since it may end before the retry does.
async fn await_reply(
    shared: &Arc<Shared>,
    routed: &Arc<RoutedRequest>,
    progress: &Progress,
    first: &First,
    run: &Run,
    sending: impl Future<Output = Result<Reply, Failure>>,
    next: &mut Option<AttemptGuard>,
) -> Result<Reply, Failure> {
    let chosen = &first.chosen;
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
    if first.is_hedged() {
        return sending.await;
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
        PlacementDecision::Send(selected) => {
            *next = Some(AttemptGuard::new(shared, routed, selected, place));
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

// Size up to which a response is buffered. None of one that is known to be larger is: its
// caller would wait for what passes a narrow link meanwhile.
fn buffered_bytes(shared: &Shared, body: &ReplyBody) -> usize {
    let answer_bytes = shared.config.answer_bytes;
    let is_large = body
        .remaining_length()
        .is_some_and(|n| n > answer_bytes as u64);
    match shared.config.narrow_link.is_some() && shared.is_paced() && is_large {
        true => 0,
        false => answer_bytes,
    }
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
    running.reported = Instant::now();
    let has_slots = running
        .report
        .load
        .is_some_and(|l| l.running < l.slots && l.waiting == 0);
    let limit = buffered_bytes(shared, &body);
    let held = match buffer_body(&mut body, limit, end).await {
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
