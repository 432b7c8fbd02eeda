//! One request of a caller, from its arrival to its answer.

use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http::header::{self, HeaderMap, HeaderValue};
use http::{request, Request, Response, Uri};
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use pomelovale_protocol::header_names::HeaderNames;
use pomelovale_protocol::http::strip_hop_by_hop;
use pomelovale_state::digest::Digest;
use pomelovale_state::document::Document;
use pomelovale_state::routing::{HostRoute, Routing};
use pomelovale_state::{ErrorKind, Name};
use pomelovale_steering::spread::hash_bytes;
use pomelovale_transport::body::CallerBody;
use pomelovale_transport::http_server::Caller;
use tokio::time::{timeout, Instant};

use super::attempt::{self, Job};
use super::story::Story;
use super::Shared;
use crate::entry::refusal::Refusal;

/// Longest time for the body of a request, in milliseconds.
const BODY_MS: u64 = 10_000;
/// Time limit of a request whose caller names none, in milliseconds.
const DEADLINE_MS: u64 = 30_000;

/// Answers one request of a caller.
pub(super) async fn answer(
    shared: Arc<Shared>,
    request: Request<Incoming>,
    caller: Caller,
) -> Response<CallerBody> {
    let start = Instant::now();
    shared.running.fetch_add(1, Ordering::Relaxed);
    let seq = shared.seen.fetch_add(1, Ordering::Relaxed);
    let guard = Running(&shared);
    let id = request
        .headers()
        .get(&shared.config.dialect.request)
        .cloned();
    let mut story = Story::default();
    let result = handle(&shared, request, caller, start, &mut story).await;
    let spent_ms = start.elapsed().as_millis() as u64;
    let refusal = result.as_ref().err().copied();
    let mut response = match result {
        Ok(response) => response,
        Err(refusal) => refusal.fractional_response(),
    };
    if shared.leaving.load(Ordering::Relaxed) {
        // The caller asks for the list again before its next request.
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(header::CONNECTION, close);
    }
    drop(guard);
    metrics::counter!("gateway_requests_total").increment(1);
    metrics::histogram!("gateway_request_seconds").record(start.elapsed());
    if refusal.is_some() || seq.is_multiple_of(shared.config.log_one_in) || story.attempts.len() > 1
    {
        story.log(id.as_ref(), response.status(), refusal, spent_ms);
    }
    response
}

/// Counts a request in flight.
struct Running<'a>(&'a Shared);

impl Drop for Running<'_> {
    fn drop(&mut self) {
        self.0.running.fetch_sub(1, Ordering::Relaxed);
    }
}

async fn handle(
    shared: &Arc<Shared>,
    request: Request<Incoming>,
    caller: Caller,
    start: Instant,
    story: &mut Story,
) -> Result<Response<CallerBody>, Refusal> {
    let (parts, body) = request.into_parts();
    let dialect = &shared.config.dialect;
    if !caller.length_is_clear {
        return Err(ErrorKind::BadRequest.into());
    }
    if !shared.has_routing() {
        return Err(ErrorKind::StaleView.into());
    }
    let document = shared.view.document();
    let Some(routing) = document.routing.clone() else {
        return Err(ErrorKind::StaleView.into());
    };
    story.version = routing.version;
    let host = host(&parts)?;
    let Some(route) = routing.route(&host, parts.uri.path()) else {
        return Err(ErrorKind::NotFound.into());
    };
    story.route = route.name.clone();
    let workspace = workspace(&routing, route, &parts.headers)?;
    story.workspace.clone_from(&workspace);
    let limit =
        HeaderNames::parse_integer(&parts.headers, &dialect.deadline).unwrap_or(DEADLINE_MS);
    let deadline = start + Duration::from_millis(limit.min(route.timeout_ms));
    if let Some(name) = workspace
        .as_ref()
        .filter(|n| document.workspaces.contains_key(*n))
    {
        shared.quota.admit(&document, name).await?;
    }
    let hold = Hold::take(shared, &routing, &body)?;
    let body = collect(&routing, body, deadline).await?;
    story.received_ms = start.elapsed().as_millis() as u64;
    let job = job(
        shared, &document, route, workspace, parts, body, deadline, start,
    );
    let result = attempt::run(shared, job?, story).await;
    drop(hold);
    result
}

// The host of an absolute URI goes before the header.
fn host(parts: &request::Parts) -> Result<String, Refusal> {
    let mut named = parts.headers.get_all(header::HOST).iter();
    let header = named.next().and_then(|v| v.to_str().ok());
    if named.next().is_some() {
        return Err(ErrorKind::BadRequest.into());
    }
    let uri = parts.uri.authority().map(|a| a.as_str());
    let host = uri.or(header).ok_or(ErrorKind::BadRequest)?;
    Ok(host.to_owned())
}

// The workspace of the request's key; none if no key is needed.
fn workspace(
    routing: &Routing,
    route: &HostRoute,
    headers: &HeaderMap,
) -> Result<Option<Name>, Refusal> {
    if route.open || routing.workspaces.is_empty() {
        return Ok(None);
    }
    let key = HeaderNames::bearer(headers).ok_or(ErrorKind::KeyRefused)?;
    let found = routing.workspace(&Digest::of_key(key));
    Ok(Some(found.ok_or(ErrorKind::KeyRefused)?.clone()))
}

#[expect(clippy::too_many_arguments, reason = "the parts of one request")]
fn job(
    shared: &Shared,
    document: &Document,
    route: &HostRoute,
    workspace: Option<Name>,
    parts: request::Parts,
    body: Bytes,
    deadline: Instant,
    start: Instant,
) -> Result<Job, Refusal> {
    let dialect = &shared.config.dialect;
    let object = match dialect.object(&parts.headers).filter(|_| route.sticky) {
        Some(object) => hash_bytes(object.as_bytes()),
        None => rand::random(),
    };
    let service = shared
        .services
        .target(route)
        .ok_or(ErrorKind::Unavailable)?;
    let routed = document.routing.as_ref();
    let known = workspace
        .as_ref()
        .and_then(|name| routed?.workspaces.get(name));
    let homes = homes(&route.homes, known.map_or(&[][..], |w| &w.homes));
    // Servers take the path alone, also of an absolute URI.
    let target = parts.uri.path_and_query().ok_or(ErrorKind::BadRequest)?;
    Ok(Job {
        service,
        route: route.clone(),
        object,
        priority: known.and_then(|w| w.priority).unwrap_or(route.priority),
        homes: homes?,
        method: parts.method,
        target: Uri::from(target.clone()),
        headers: forwarded(dialect, parts.headers, body.len(), workspace.as_ref())?,
        body,
        start,
        deadline,
    })
}

// Where route and workspace both have homes, both bind.
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

/// The headers that a backend server sees.
fn forwarded(
    dialect: &HeaderNames,
    mut headers: HeaderMap,
    length: usize,
    workspace: Option<&Name>,
) -> Result<HeaderMap, Refusal> {
    let sized = headers.contains_key(header::CONTENT_LENGTH)
        || headers.contains_key(header::TRANSFER_ENCODING);
    strip_hop_by_hop(&mut headers);
    for name in [
        &header::AUTHORIZATION,
        &header::EXPECT,
        &header::CONTENT_LENGTH,
        &dialect.workspace,
        &dialect.expect,
    ] {
        headers.remove(name);
    }
    if sized {
        headers.insert(header::CONTENT_LENGTH, HeaderValue::from(length));
    }
    if let Some(name) = workspace {
        let value = HeaderValue::from_str(name).map_err(|_| ErrorKind::Internal)?;
        headers.insert(dialect.workspace.clone(), value);
    }
    Ok(headers)
}

/// Bytes of a body that count towards those held at a time.
struct Hold<'a> {
    shared: &'a Shared,
    bytes: usize,
}

impl<'a> Hold<'a> {
    fn take(shared: &'a Shared, routing: &Routing, body: &Incoming) -> Result<Hold<'a>, Refusal> {
        let most = routing.limits.body_bytes as usize;
        let bytes = match body.size_hint().exact() {
            Some(n) if n > most as u64 => return Err(ErrorKind::TooLarge.into()),
            Some(n) => n as usize,
            None => 0,
        };
        let before = shared.held.fetch_add(bytes, Ordering::Relaxed);
        let hold = Hold { shared, bytes };
        match before + bytes > shared.config.held_bytes && bytes > 0 {
            true => Err(ErrorKind::Overloaded.into()),
            false => Ok(hold),
        }
    }
}

impl Drop for Hold<'_> {
    fn drop(&mut self) {
        self.shared.held.fetch_sub(self.bytes, Ordering::Relaxed);
    }
}

async fn collect(
    routing: &Routing,
    mut body: Incoming,
    deadline: Instant,
) -> Result<Bytes, Refusal> {
    if body.is_end_stream() {
        return Ok(Bytes::new());
    }
    let most = routing.limits.body_bytes as usize;
    let all = async {
        let mut held = BytesMut::new();
        while let Some(frame) = body.frame().await {
            let Ok(data) = frame.map_err(|_| ErrorKind::BadRequest)?.into_data() else {
                continue;
            };
            if held.len() + data.len() > most {
                return Err(ErrorKind::TooLarge);
            }
            held.extend_from_slice(&data);
        }
        Ok(held.freeze())
    };
    let left = deadline.saturating_duration_since(Instant::now());
    let limit = left.min(Duration::from_millis(BODY_MS));
    let collected = timeout(limit, all).await;
    Ok(collected.unwrap_or(Err(ErrorKind::RequestTimeout))?)
}
