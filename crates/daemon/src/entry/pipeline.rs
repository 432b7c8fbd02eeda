//! Processing of a request on an entry instance.

use std::sync::atomic::Ordering;
use std::sync::{Arc, OnceLock};
use std::time::Duration;

use bytes::Bytes;
use http::header::{self, HeaderMap, HeaderValue};
use http::{request, Method, Request, Response};
use hyper::body::{Body, Incoming};
use pomelovale_protocol::http::{
    check_path, deadline_ms, find_key, strip_hop_by_hop, strip_internal_headers, strip_keys,
    strip_query_keys, IDEMPOTENCY_KEY,
};
use pomelovale_protocol::trace::{TraceContext, TRACESTATE};
use pomelovale_state::document::{Route, Service};
use pomelovale_state::intents::IntentResult;
use pomelovale_state::{ErrorKind, Name, Outcome};
use pomelovale_transport::body::CallerBody;
use pomelovale_transport::http_server::Caller;
use tokio::time::Instant;
use tracing::Instrument;

use super::forward::{forward, AdmittedRequest};
use super::intent::{self, BeginResult};
use super::keys::{self, VerifiedKey};
use super::refusal::Refusal;
use super::relaying::{self, OriginalRequest, RelayTerms};
use super::steering::{Class, RequestInfo};
use super::{list, Shared};
use crate::caller_body;
use crate::crash::Trial;
use crate::relay::{self, Acceptance, RelayEnd};

// Methods that HTTP defines as idempotent and that are forwarded.
const IDEMPOTENT_METHODS: [&str; 5] = ["GET", "HEAD", "PUT", "DELETE", "OPTIONS"];

/// Properties of a request that its service and route define.
#[derive(Debug)]
struct RoutePolicy {
    service: Name,
    timeout: Duration,
    open: bool,
    idempotent: bool,
    class: Class,
}

/// Handles one request of a caller.
pub async fn answer(
    shared: Arc<Shared>,
    request: Request<Incoming>,
    caller: Caller,
) -> Response<CallerBody> {
    let start = caller.received;
    let (parts, mut body) = request.into_parts();
    let waits_for_continue = parts.headers.contains_key(header::EXPECT);
    let trace = TraceContext::from_headers(&parts.headers);
    let span = tracing::info_span!("request", caller = %caller.address, parent = trace.map(tracing::field::display));
    let trace = trace.map_or_else(TraceContext::root, |t| t.child());
    let is_lost = shared.reach.is_lost();
    let accepted = shared.relays.accept(&parts.headers, || 0, is_lost);
    let relayed = match accepted.await {
        Acceptance::Direct => None,
        Acceptance::Relayed(relayed) => Some(relayed),
        Acceptance::Refused => {
            return caller_body::finish(shared.relays.refusal(), &mut body).await
        }
    };
    let attempts = relayed.as_ref().map(|r| r.attempts);
    let result = handle(&shared, parts, &mut body, caller, trace, attempts)
        .instrument(span)
        .await;
    drop(relayed);
    metrics::counter!("entry_requests_total").increment(1);
    metrics::histogram!("entry_request_seconds").record(start.elapsed());
    // A leaving instance closes its connections, so that callers fetch the entry list
    // again before their next request.
    let leaving = shared.leaving.load(Ordering::Relaxed);
    match result {
        Ok(response) if leaving => caller_body::close(response),
        Ok(response) => response,
        Err(refusal) if leaving || waits_for_continue && !body.is_end_stream() => {
            caller_body::close(refusal.response())
        }
        Err(refusal) => caller_body::finish(refusal.response(), &mut body).await,
    }
}

// `relayed` holds the attempts that are left of a request that another instance relays.
async fn handle(
    shared: &Arc<Shared>,
    parts: request::Parts,
    body: &mut Incoming,
    caller: Caller,
    trace: TraceContext,
    relayed: Option<u32>,
) -> Result<Response<CallerBody>, Refusal> {
    let refuse_and_close = |refusal: Refusal| Ok(caller_body::close(refusal.response()));
    if !caller.length_is_clear || matches!(parts.method, Method::CONNECT | Method::TRACE) {
        return refuse_and_close(ErrorKind::BadRequest.into());
    }
    if parts.uri.path() == list::PATH && parts.method == Method::GET {
        return list::answer(shared, caller.address.ip(), parts.uri.query());
    }
    if !shared.view.is_proven() {
        return Err(ErrorKind::StaleView.into());
    }
    let policy = route_policy(shared, &parts)?;
    let verified_key = match policy.open {
        true => None,
        false => {
            let key = find_key(&parts.headers)?;
            Some(keys::check(&shared.view, shared.clock.now(), key.as_ref())?)
        }
    };
    let limit = match deadline_ms(&parts.headers)? {
        Some(ms) => policy.timeout.min(Duration::from_millis(ms)),
        None => policy.timeout,
    };
    let deadline = caller.received + limit;
    if deadline <= Instant::now() {
        return Err(ErrorKind::DeadlineSpent.into());
    }
    // The instance that serves a relayed request charges its workspace.
    let relay_due = relayed.is_none() && shared.reach.is_relay_due();
    let workspace = verified_key.as_ref().map(|key| key.workspace.clone());
    if let Some(workspace) = workspace.as_ref().filter(|_| !relay_due) {
        shared.steering.admit(workspace).await?;
    }
    let hold = match BodyReservation::take(shared, body) {
        Ok(hold) => hold,
        Err(kind) => return refuse_and_close(kind.into()),
    };
    let limit = Duration::from_millis(shared.config.body_ms);
    // A body of unknown length has reserved the maximum.
    let body = match caller_body::read(body, shared.config.body_bytes, limit, |_| true).await {
        Ok(body) => body,
        Err(kind) => return refuse_and_close(kind.into()),
    };
    let attempts = shared.config.attempts as u32;
    let attempts = relayed.map_or(attempts, |left| left.min(attempts));
    let original = relayed.is_none().then(|| OriginalRequest::of(&parts));
    if let Some(original) = original.as_ref().filter(|_| relay_due) {
        let terms = RelayTerms {
            deadline,
            idempotent: policy.idempotent,
            attempts,
            may_have_run: false,
            trace,
        };
        let may_repeat = || shared.steering.try_spend(&policy.service);
        match relaying::relay(shared, original, &body, terms, may_repeat).await {
            // The servers may be within reach again.
            RelayEnd::NotTaken if shared.reach.recheck(relay::RECHECK).await => {}
            ended => return Ok(relaying::result(ended)?),
        }
        if let Some(workspace) = &workspace {
            shared.steering.admit(workspace).await?;
        }
    }
    let arrival = Arrival {
        deadline,
        trace,
        attempts: attempts as usize,
        original,
    };
    let result = run(shared, policy, parts, body, verified_key, arrival).await;
    drop(hold);
    result
}

fn route_policy(shared: &Shared, parts: &request::Parts) -> Result<RoutePolicy, ErrorKind> {
    let path = parts.uri.path();
    check_path(path)?;
    let rest = path.strip_prefix('/').ok_or(ErrorKind::BadRequest)?;
    let (name, service_path) = match rest.find('/') {
        Some(at) => rest.split_at(at),
        None => (rest, "/"),
    };
    let document = shared.view.document();
    let found = document.services.get_key_value(name);
    let (name, service) = found.ok_or(ErrorKind::NotFound)?;
    let route = route(service, service_path);
    let method = parts.method.as_str();
    let listed = route.and_then(|r| r.idempotent.as_ref());
    let idempotent = match listed {
        Some(methods) => methods.iter().any(|m| m.eq_ignore_ascii_case(method)),
        None => IDEMPOTENT_METHODS.contains(&method),
    };
    let class = match route.is_some_and(|r| r.deferrable) {
        true => Class::Deferrable,
        false if idempotent => Class::Idempotent,
        false => Class::Once,
    };
    Ok(RoutePolicy {
        service: name.clone(),
        timeout: Duration::from_millis(service.timeout_ms),
        open: route.is_some_and(|r| r.open),
        idempotent,
        class,
    })
}

// The longest prefix that ends at a segment boundary applies.
fn route<'a>(service: &'a Service, path: &str) -> Option<&'a Route> {
    let matches = |r: &&Route| {
        let prefix = r.prefix.trim_end_matches('/');
        path.strip_prefix(prefix)
            .is_some_and(|rest| rest.is_empty() || rest.starts_with('/'))
    };
    let matching = service.routes.iter().filter(matches);
    matching.max_by_key(|r| r.prefix.trim_end_matches('/').len())
}

/// Bytes of a body that count towards `held_bytes` until dropped.
struct BodyReservation {
    shared: Arc<Shared>,
    bytes: usize,
}

impl BodyReservation {
    fn take(shared: &Arc<Shared>, body: &Incoming) -> Result<BodyReservation, ErrorKind> {
        let max_bytes = shared.config.body_bytes;
        let bytes = match body.size_hint().exact() {
            Some(n) if n > max_bytes as u64 => return Err(ErrorKind::TooLarge),
            Some(n) => n as usize,
            None => max_bytes,
        };
        let before = shared.held.fetch_add(bytes, Ordering::Relaxed);
        let shared = shared.clone();
        let reservation = BodyReservation { shared, bytes };
        match before + bytes > reservation.shared.config.held_bytes && bytes > 0 {
            true => Err(ErrorKind::Overloaded),
            false => Ok(reservation),
        }
    }
}

impl Drop for BodyReservation {
    fn drop(&mut self) {
        self.shared.held.fetch_sub(self.bytes, Ordering::Relaxed);
    }
}

/// Returns the headers that are forwarded to a backend server.
fn end_to_end_headers(mut headers: HeaderMap, length: usize) -> Result<HeaderMap, ErrorKind> {
    if headers.get_all(header::HOST).iter().count() > 1 {
        return Err(ErrorKind::BadRequest);
    }
    let has_length = headers.contains_key(header::CONTENT_LENGTH)
        || headers.contains_key(header::TRANSFER_ENCODING);
    strip_hop_by_hop(&mut headers);
    strip_internal_headers(&mut headers);
    strip_keys(&mut headers);
    // The body is complete, so `100 Continue` has already been sent.
    headers.remove(header::EXPECT);
    headers.remove(header::CONTENT_LENGTH);
    if has_length {
        headers.insert(header::CONTENT_LENGTH, HeaderValue::from(length));
    }
    if TraceContext::from_headers(&headers).is_none() {
        headers.remove(TRACESTATE);
    }
    Ok(headers)
}

/// What is known of a request from its arrival.
struct Arrival {
    deadline: Instant,
    trace: TraceContext,
    attempts: usize,
    original: Option<OriginalRequest>,
}

async fn run(
    shared: &Arc<Shared>,
    policy: RoutePolicy,
    parts: request::Parts,
    body: Bytes,
    verified_key: Option<VerifiedKey>,
    arrival: Arrival,
) -> Result<Response<CallerBody>, Refusal> {
    let Arrival {
        deadline,
        trace,
        attempts,
        original,
    } = arrival;
    let info = RequestInfo {
        service: policy.service,
        workspace: verified_key
            .as_ref()
            .map_or_else(Name::default, |p| p.workspace.clone()),
        class: policy.class,
        region: None,
    };
    let target = strip_query_keys(parts.uri.path(), parts.uri.query()).into_owned();
    let headers = end_to_end_headers(parts.headers, body.len())?;
    shared.steering.refuse_if_all_rest(&info.service)?;
    let queued_at = Instant::now();
    let left = deadline.saturating_duration_since(queued_at).as_millis() as u64;
    let admission = shared.steering.acquire_permit(&info, left);
    let permit = admission.instrument(tracing::info_span!("queue")).await;
    metrics::histogram!("entry_queue_seconds").record(queued_at.elapsed());
    let (permit, spilled) = permit?;
    let mut admitted = AdmittedRequest {
        info,
        method: parts.method,
        target,
        headers,
        body,
        idempotent: policy.idempotent,
        verified_key,
        deadline,
        trace,
        permit: Arc::new(permit),
        fingerprint: OnceLock::new(),
        trial: Trial::default(),
        attempts,
        original,
    };
    admitted.check(shared)?;
    admitted.info.region = shared
        .steering
        .start_request(&admitted.info.service, spilled);
    match admitted.idempotent {
        // Dropped with the caller's connection, which cancels the attempt in flight.
        true => forward(shared.clone(), admitted)
            .await
            .map_err(Refusal::from),
        false => {
            let completion = run_non_idempotent(shared.clone(), admitted).in_current_span();
            let task = shared.spawn(completion);
            task.await.unwrap_or(Err(ErrorKind::Internal.into()))
        }
    }
}

/// Runs a non-idempotent request to completion, even if its caller disconnects.
async fn run_non_idempotent(
    shared: Arc<Shared>,
    admitted: AdmittedRequest,
) -> Result<Response<CallerBody>, Refusal> {
    let Some(key) = admitted.headers.get(IDEMPOTENCY_KEY).cloned() else {
        return Ok(forward(shared, admitted).await?);
    };
    let (service, workspace) = (
        admitted.info.service.clone(),
        admitted.info.workspace.clone(),
    );
    let digest = admitted.digest();
    let mut admitted = admitted;
    if let Some(original) = &mut admitted.original {
        original.remove_idempotency_key();
    }
    let intent = match intent::begin(&shared, &service, &workspace, &key, digest).await? {
        BeginResult::Replay(response) => return Ok(response),
        BeginResult::Run(intent) => intent,
    };
    let result = forward(shared.clone(), admitted).await;
    let ended = match &result {
        Ok(response) => intent::result_of(response),
        Err(kind) => match kind.answer().outcome {
            Outcome::NotRun => IntentResult::NotRun,
            Outcome::Unknown => IntentResult::Unknown,
        },
    };
    intent::end(&shared, intent, ended);
    Ok(result?)
}
