//! Handles one request of a caller, from its arrival to the response.

use std::sync::atomic::Ordering;
use std::sync::{Arc, OnceLock};
use std::time::Duration;

use bytes::Bytes;
use http::header::{self, HeaderMap, HeaderValue};
use http::{request, Request, Response, StatusCode, Uri};
use hyper::body::{Body, Incoming};
use pomelovale_protocol::header_names::HeaderNames;
use pomelovale_protocol::http::strip_hop_by_hop;
use pomelovale_state::digest::Digest;
use pomelovale_state::document::Document;
use pomelovale_state::routing::{HostRoute, Routing};
use pomelovale_state::{ErrorKind, Name};
use pomelovale_steering::region_assignment::hash_bytes;
use pomelovale_transport::body::CallerBody;
use pomelovale_transport::http_server::Caller;
use tokio::time::Instant;

use super::attempt::{self, RoutedRequest};
use super::request_log::{RequestEnd, RequestLog};
use super::stopping::Sent;
use super::{relaying, Shared};
use crate::caller_body;
use crate::crash::Trial;
use crate::entry::refusal::Refusal;
use crate::relay::{self, Acceptance, RelayEnd};

/// Timeout for reading the body of a request, in milliseconds.
const BODY_TIMEOUT_MS: u64 = 10_000;
/// Timeout of a request whose caller sets none, in milliseconds.
const DEFAULT_TIMEOUT_MS: u64 = 30_000;
/// Age of the view up to which a route or key that it lacks counts as unknown, in
/// milliseconds. An older view may lack those that were added since.
const DENIAL_VIEW_AGE_MAX_MS: u64 = 1_500;

/// Handles one request of a caller.
pub(super) async fn answer(
    shared: Arc<Shared>,
    request: Request<Incoming>,
    caller: Caller,
) -> Response<CallerBody> {
    let start = caller.received;
    let (parts, mut body) = request.into_parts();
    let id = parts
        .headers
        .get(&shared.config.header_names.request)
        .cloned();
    let waits_for_continue = parts.headers.contains_key(header::EXPECT);
    let mut record = RequestRecord::new(&shared, id, start);
    let version = || {
        let document = shared.view.document();
        document.routing.as_ref().map_or(0, |r| r.version)
    };
    let is_lost = shared.reach.is_lost() || shared.stopping.refuses_relays();
    let accepted = shared.relays.accept(&parts.headers, version, is_lost);
    let relayed = match accepted.await {
        Acceptance::Direct => None,
        Acceptance::Relayed(relayed) => Some(relayed),
        Acceptance::Refused => {
            let response = shared.relays.refusal();
            record.end(response.status(), Some(relay::not_taken()));
            let response = caller_body::finish(response, &mut body).await;
            return match shared.leaving.load(Ordering::Relaxed) {
                true => caller_body::close(response),
                false => response,
            };
        }
    };
    let arrival = Arrival {
        start,
        length_is_clear: caller.length_is_clear,
        relayed: relayed.as_ref().map(|r| r.attempts),
        sent: record.sent.clone(),
    };
    let handling = handle(&shared, parts, &mut body, &arrival, &mut record.log);
    let result = shared.stopping.limit(&arrival.sent, handling).await;
    drop(relayed);
    let refusal = result.as_ref().err().copied();
    let response = match result {
        Ok(response) => response,
        Err(refusal) => refusal.fractional_response(),
    };
    record.end(response.status(), refusal);
    let response = match shared.pacer.as_ref().filter(|_| shared.is_paced()) {
        Some(pacer) => response.map(|body| pacer.pace(body)),
        None => response,
    };
    // A leaving instance closes its connections, so that callers fetch the list of
    // gateways before their next request.
    let leaving = shared.leaving.load(Ordering::Relaxed);
    let closes = leaving || waits_for_continue && !body.is_end_stream();
    match (refusal, closes) {
        (Some(_), false) => caller_body::finish(response, &mut body).await,
        (Some(_), true) => caller_body::close(response),
        (None, _) if leaving => caller_body::close(response),
        (None, _) => response,
    }
}

/// What is known of a request besides its message.
struct Arrival {
    start: Instant,
    length_is_clear: bool,
    // Attempts that are left of a request that another instance relays.
    relayed: Option<u32>,
    sent: Arc<Sent>,
}

/// Counts a request in flight and logs its end, also if its connection ends first.
struct RequestRecord<'a> {
    shared: &'a Shared,
    id: Option<HeaderValue>,
    start: Instant,
    log: RequestLog,
    sent: Arc<Sent>,
    ended: bool,
}

impl<'a> RequestRecord<'a> {
    fn new(shared: &'a Shared, id: Option<HeaderValue>, start: Instant) -> RequestRecord<'a> {
        shared.running.fetch_add(1, Ordering::Relaxed);
        RequestRecord {
            shared,
            id,
            start,
            log: RequestLog::default(),
            sent: Arc::default(),
            ended: false,
        }
    }

    fn end(mut self, status: StatusCode, refusal: Option<Refusal>) {
        self.ended = true;
        let seq = self.shared.request_count.fetch_add(1, Ordering::Relaxed);
        metrics::counter!("gateway_requests_total").increment(1);
        metrics::histogram!("gateway_request_seconds").record(self.start.elapsed());
        if refusal.is_some()
            || seq.is_multiple_of(self.shared.config.log_one_in)
            || self.log.attempts.len() > 1
        {
            let end = refusal.map_or(RequestEnd::Answered(status), |refusal| {
                RequestEnd::Refused(status, refusal)
            });
            self.log(end);
        }
    }

    fn log(&self, end: RequestEnd) {
        let spent_ms = self.start.elapsed().as_millis() as u64;
        self.log.log(self.id.as_ref(), end, spent_ms);
    }
}

impl Drop for RequestRecord<'_> {
    fn drop(&mut self) {
        self.shared.running.fetch_sub(1, Ordering::Relaxed);
        if !self.ended {
            let sent = self.sent.get();
            metrics::counter!("gateway_requests_closed_total").increment(1);
            self.log(RequestEnd::Closed { sent });
        }
    }
}

async fn handle(
    shared: &Arc<Shared>,
    parts: request::Parts,
    body: &mut Incoming,
    arrival: &Arrival,
    request_log: &mut RequestLog,
) -> Result<Response<CallerBody>, Refusal> {
    let header_names = &shared.config.header_names;
    let start = arrival.start;
    if !arrival.length_is_clear {
        return Err(ErrorKind::BadRequest.into());
    }
    if !shared.has_routing() {
        return Err(ErrorKind::StaleView.into());
    }
    let document = shared.view.document();
    let Some(routing) = document.routing.clone() else {
        return Err(ErrorKind::StaleView.into());
    };
    request_log.version = routing.version;
    // The instance that relays a request has checked it, and has added a header.
    let is_direct = arrival.relayed.is_none();
    if is_direct && head_bytes(&parts.headers) > routing.limits.head_bytes {
        return Err(ErrorKind::HeaderTooLarge.into());
    }
    let host = host(&parts)?;
    let route = routing.route(&host, parts.uri.path());
    let route = route.ok_or_else(|| denial(shared, ErrorKind::NotFound))?;
    request_log.route = route.name.clone();
    let workspace = workspace(&routing, route, &parts.headers);
    let workspace = workspace.map_err(|kind| denial(shared, kind))?;
    request_log.workspace.clone_from(&workspace);
    let limit = HeaderNames::parse_integer(&parts.headers, &header_names.deadline)
        .unwrap_or(DEFAULT_TIMEOUT_MS);
    let deadline = start + Duration::from_millis(limit.min(route.timeout_ms));
    let now = Instant::now();
    if deadline <= now {
        return Err(ErrorKind::DeadlineSpent.into());
    }
    if shared.stopping.may_outlast(now, deadline) {
        return Err(shared.stopping.refusal());
    }
    let relay_due = arrival.relayed.is_none() && shared.reach.is_relay_due();
    let limited = workspace
        .clone()
        .filter(|name| document.workspaces.contains_key(name));
    // The instance that serves a relayed request charges its workspace.
    let admission = async {
        match limited.as_ref().filter(|_| !relay_due) {
            Some(name) => shared.quota.admit(&document, name).await,
            None => Ok(()),
        }
    };
    let reading = async {
        let mut hold = Hold::acquire(shared, &routing, body)?;
        let left = deadline.saturating_duration_since(Instant::now());
        let limit = left.min(Duration::from_millis(BODY_TIMEOUT_MS));
        let max_bytes = routing.limits.body_bytes as usize;
        let body = caller_body::read(body, max_bytes, limit, |n| hold.reserve(n)).await?;
        Ok::<_, Refusal>((hold, body))
    };
    // On a narrow link, the body arrives while the control instance is asked.
    let (hold, body) = match shared.quota.is_prefetching() {
        true => tokio::try_join!(admission, reading)?.1,
        false => {
            admission.await?;
            reading.await?
        }
    };
    request_log.received_ms = start.elapsed().as_millis() as u64;
    let routed = route_request(
        shared, &document, route, workspace, host, parts, body, deadline, arrival,
    );
    let routed = Arc::new(routed?);
    if relay_due {
        let ended = relaying::relay(shared, &routed, request_log).await;
        match ended {
            // The servers may be within reach again.
            RelayEnd::NotTaken if shared.reach.recheck(relay::RECHECK).await => {}
            ended => return relaying::result(ended),
        }
        if let Some(name) = &limited {
            shared.quota.admit(&document, name).await?;
        }
    }
    let result = attempt::run(shared, routed, request_log).await;
    drop(hold);
    result
}

// Refusal of a request for a route or with a key that the view lacks. An instance whose view
// is out of date does not know whether it still lacks them.
fn denial(shared: &Shared, kind: ErrorKind) -> Refusal {
    match shared.view.age(shared.clock.now()) > DENIAL_VIEW_AGE_MAX_MS {
        true => ErrorKind::StaleView.into(),
        false => kind.into(),
    }
}

// Size of the header section, without optional white space.
fn head_bytes(headers: &HeaderMap) -> u64 {
    let lines = headers.iter();
    let sizes = lines.map(|(name, value)| name.as_str().len() + ": \r\n".len() + value.len());
    sizes.sum::<usize>() as u64
}

// Returns the host of the request. That of an absolute URI has precedence over
// the Host header.
fn host(parts: &request::Parts) -> Result<String, Refusal> {
    let mut host_headers = parts.headers.get_all(header::HOST).iter();
    let header = host_headers.next().and_then(|v| v.to_str().ok());
    if host_headers.next().is_some() {
        return Err(ErrorKind::BadRequest.into());
    }
    let uri = parts.uri.authority().map(|a| a.as_str());
    let host = uri.or(header).ok_or(ErrorKind::BadRequest)?;
    Ok(host.to_owned())
}

// Returns the workspace that the key of the request belongs to, or `None` if
// the route needs no key.
fn workspace(
    routing: &Routing,
    route: &HostRoute,
    headers: &HeaderMap,
) -> Result<Option<Name>, ErrorKind> {
    if route.open || routing.workspaces.is_empty() {
        return Ok(None);
    }
    let key = HeaderNames::bearer(headers).ok_or(ErrorKind::KeyRefused)?;
    let found = routing.workspace(&Digest::of_key(key));
    Ok(Some(found.ok_or(ErrorKind::KeyRefused)?.clone()))
}

#[expect(clippy::too_many_arguments, reason = "the parts of one request")]
fn route_request(
    shared: &Shared,
    document: &Document,
    route: &HostRoute,
    workspace: Option<Name>,
    host: String,
    parts: request::Parts,
    body: Bytes,
    deadline: Instant,
    arrival: &Arrival,
) -> Result<RoutedRequest, Refusal> {
    let header_names = &shared.config.header_names;
    let object = match header_names.object(&parts.headers).filter(|_| route.sticky) {
        Some(object) => hash_bytes(object.as_bytes()),
        None => rand::random(),
    };
    let service = shared
        .services
        .next_service(route)
        .ok_or(ErrorKind::Unavailable)?;
    let routing = document.routing.as_ref();
    let routed_service = routing.and_then(|r| r.services.get(&service));
    let probe = routed_service.ok_or(ErrorKind::Unavailable)?.probe.as_str();
    let routed_workspace = workspace
        .as_ref()
        .and_then(|name| routing?.workspaces.get(name));
    let homes = homes(&route.homes, routed_workspace.map_or(&[][..], |w| &w.homes));
    // Only the path and the query are sent to servers, also if the URI is
    // absolute.
    let target = parts.uri.path_and_query().ok_or(ErrorKind::BadRequest)?;
    let mut route = route.clone();
    route.attempts = arrival
        .relayed
        .map_or(route.attempts, |left| left.min(route.attempts));
    Ok(RoutedRequest {
        probe: Name::from(probe),
        service,
        is_relayed: arrival.relayed.is_some(),
        authorization: parts.headers.get(header::AUTHORIZATION).cloned(),
        version: routing.map_or(0, |r| r.version),
        object,
        priority: routed_workspace
            .and_then(|w| w.priority)
            .unwrap_or(route.priority),
        route,
        homes: homes?,
        host,
        method: parts.method,
        target: Uri::from(target.clone()),
        headers: forwarded_headers(header_names, parts.headers, body.len(), workspace.as_ref())?,
        workspace,
        body,
        start: arrival.start,
        deadline,
        fingerprint: OnceLock::new(),
        trial: Trial::default(),
        sent: arrival.sent.clone(),
    })
}

// If both the route and the workspace restrict the regions, only regions that
// both allow may serve the request.
fn homes(route: &[Name], workspace: &[Name]) -> Result<Vec<Name>, Refusal> {
    match (route, workspace) {
        (homes, []) | ([], homes) => Ok(homes.to_vec()),
        (route, workspace) => {
            let common = route.iter().filter(|r| workspace.contains(r));
            let common: Vec<Name> = common.cloned().collect();
            match common.is_empty() {
                true => Err(ErrorKind::Unavailable.into()),
                false => Ok(common),
            }
        }
    }
}

/// Returns the headers that are forwarded to the backend server.
fn forwarded_headers(
    header_names: &HeaderNames,
    mut headers: HeaderMap,
    length: usize,
    workspace: Option<&Name>,
) -> Result<HeaderMap, Refusal> {
    let has_length = headers.contains_key(header::CONTENT_LENGTH)
        || headers.contains_key(header::TRANSFER_ENCODING);
    strip_hop_by_hop(&mut headers);
    for name in [
        &header::AUTHORIZATION,
        &header::EXPECT,
        &header::CONTENT_LENGTH,
        &header_names.workspace,
        &header_names.expect,
        &header_names.relay,
    ] {
        headers.remove(name);
    }
    if has_length {
        headers.insert(header::CONTENT_LENGTH, HeaderValue::from(length));
    }
    if let Some(name) = workspace {
        let value = HeaderValue::from_str(name).map_err(|_| ErrorKind::Internal)?;
        headers.insert(header_names.workspace.clone(), value);
    }
    Ok(headers)
}

/// Reservation of the bytes of a body within the limit on all bodies in memory.
struct Hold<'a> {
    shared: &'a Shared,
    bytes: usize,
}

impl<'a> Hold<'a> {
    fn acquire(
        shared: &'a Shared,
        routing: &Routing,
        body: &Incoming,
    ) -> Result<Hold<'a>, Refusal> {
        let max_bytes = routing.limits.body_bytes as usize;
        let bytes = match body.size_hint().exact() {
            Some(n) if n > max_bytes as u64 => return Err(ErrorKind::TooLarge.into()),
            Some(n) => n as usize,
            // Reserved as it arrives.
            None => 0,
        };
        let mut hold = Hold { shared, bytes: 0 };
        match hold.reserve(bytes) {
            true => Ok(hold),
            false => Err(ErrorKind::Overloaded.into()),
        }
    }

    // Extends the reservation to `bytes`. Returns false if that exceeds the limit.
    fn reserve(&mut self, bytes: usize) -> bool {
        let added = bytes.saturating_sub(self.bytes);
        self.bytes += added;
        let before = self.shared.held.fetch_add(added, Ordering::Relaxed);
        added == 0 || before + added <= self.shared.config.held_bytes
    }
}

impl Drop for Hold<'_> {
    fn drop(&mut self) {
        self.shared.held.fetch_sub(self.bytes, Ordering::Relaxed);
    }
}
