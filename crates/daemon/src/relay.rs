//! Relay of requests through other instances while this one has lost the backend servers.
//!
//! A request goes to the address for callers of another instance as it came, with its key,
//! and is served there like any other. A marker keeps it from being relayed again.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use http::header::{self, HeaderMap, HeaderValue};
use http::{Method, Request, Response, Uri};
use http_body_util::Full;
use indexmap::IndexMap;
use pomelovale_protocol::header_names::HeaderNames;
use pomelovale_protocol::http::strip_hop_by_hop;
use pomelovale_state::document::{Document, Instance, MemberState};
use pomelovale_state::{ErrorKind, Millis, Name};
use pomelovale_transport::backend::{Connection, ExchangeError, Reply};
use pomelovale_transport::body::{CallerBody, Passing};
use pomelovale_transport::pool::Pool;
use rand::seq::IndexedRandom;
use tokio::time::{sleep, Instant};

use crate::entry::forward::{buffer_body, BufferedBody};
use crate::entry::refusal::Refusal;

/// Instances that are tried for one request.
const TARGETS_MAX: usize = 3;
/// Relayed requests that this instance runs at a time for others.
const ACCEPTED_MAX: usize = 256;
/// Time for which an instance that could not be reached is tried after others, in
/// milliseconds.
const AVOID_MS: u64 = 500;
/// Longest wait for the routing table that a relayed request was routed by, and the interval
/// at which it is looked for, in milliseconds.
const VERSION_WAIT_MS: (u64, u64) = (200, 10);
/// Time since its last answer up to which a connection to another instance is reused, in
/// milliseconds.
const IDLE_MS: u64 = 2_000;
/// Time that the answer takes on its way back, in milliseconds.
const RETURN_MS: u64 = 10;
/// Time for the body of a refusal, in milliseconds. Without it the connection is closed.
const DISCARD_MS: u64 = 100;
/// Time for which a request that no instance has taken waits for another look at the
/// servers.
pub const RECHECK: Duration = Duration::from_millis(60);
/// Time after which a request that no instance has taken may succeed, in milliseconds.
const RETRY_MS: u64 = 1_000;
const REFUSED: HeaderValue = HeaderValue::from_static("refused");

/// Settings of a [`Relays`].
#[derive(Clone, Debug)]
pub struct RelayConfig {
    /// This instance.
    pub instance: Name,
    /// Its region.
    pub region: Name,
    /// Names of the HTTP headers.
    pub header_names: HeaderNames,
    /// Timeout for connecting to another instance, in milliseconds.
    pub connect_ms: u64,
    /// Size in bytes up to which a response is buffered.
    pub answer_bytes: usize,
    /// Timeout between two parts of a response that is streamed, in milliseconds. It
    /// applies after the deadline of the request.
    pub pause_ms: u64,
}

/// A request to be relayed.
#[derive(Debug)]
pub struct RelayRequest<'a> {
    /// HTTP method.
    pub method: &'a Method,
    /// Path and query, as they came.
    pub target: &'a Uri,
    /// End-to-end headers with the key of the caller.
    pub headers: HeaderMap,
    /// Body.
    pub body: &'a Bytes,
    /// Time by which a response is due.
    pub deadline: Instant,
    /// Regions that may serve the request; all if empty.
    pub homes: &'a [Name],
    /// Whether it may be sent again after it was written.
    pub idempotent: bool,
    /// Backend servers that it may still be sent to.
    pub attempts: u32,
    /// Version of the routing table that it was routed by; 0 without one.
    pub version: u64,
    /// Whether a server may have run it already.
    pub may_have_run: bool,
}

/// How the relay of a request ended.
#[derive(Debug)]
pub enum RelayEnd {
    /// The response of another instance.
    Answer(Response<CallerBody>),
    /// No instance has taken the request.
    NotTaken,
    /// A server may have run the request.
    Unknown(ErrorKind),
}

/// A relayed request that this instance serves, until it is dropped.
#[derive(Debug)]
pub struct RelayedGuard {
    relays: Arc<Relays>,
    /// Backend servers that the request may be sent to.
    pub attempts: u32,
}

impl Drop for RelayedGuard {
    fn drop(&mut self) {
        self.relays.accepted.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Whether a request is served here.
#[derive(Debug)]
pub enum Acceptance {
    /// It comes from its caller.
    Direct,
    /// It comes from another instance, and is served.
    Relayed(RelayedGuard),
    /// It comes from another instance, which should try a third one.
    Refused,
}

/// Requests of this instance at another one.
#[derive(Clone, Copy, Debug, Default)]
struct Target {
    in_flight: usize,
    avoided_until: Option<Instant>,
}

/// Relays to and from other instances.
#[derive(Debug)]
pub struct Relays {
    config: RelayConfig,
    pool: Pool,
    targets: Mutex<IndexMap<Name, Target>>,
    accepted: AtomicUsize,
}

/// Counts a request at another instance until it is dropped.
struct InFlight<'a> {
    relays: &'a Relays,
    name: Name,
}

impl Drop for InFlight<'_> {
    fn drop(&mut self) {
        if let Some(target) = self.relays.lock().get_mut(&self.name) {
            target.in_flight = target.in_flight.saturating_sub(1);
        }
    }
}

/// How one instance has reacted to a request.
enum TargetEnd {
    Answer(Response<CallerBody>),
    NotTaken,
    Unreachable,
    Lost(ErrorKind),
}

impl Relays {
    /// Creates relays without connections.
    pub fn new(config: RelayConfig) -> Relays {
        Relays {
            config,
            pool: Pool::default(),
            targets: Mutex::default(),
            accepted: AtomicUsize::new(0),
        }
    }

    fn lock(&self) -> MutexGuard<'_, IndexMap<Name, Target>> {
        self.targets.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Decides whether a request with these headers is served here. `version` returns that of
    /// the routing table in force, `is_lost` tells whether this instance has lost the servers or
    /// is about to end.
    pub async fn accept(
        self: &Arc<Self>,
        headers: &HeaderMap,
        version: impl Fn() -> u64,
        is_lost: bool,
    ) -> Acceptance {
        let Some(marker) = headers.get(&self.config.header_names.relay) else {
            return Acceptance::Direct;
        };
        let marker = marker.to_str().ok().and_then(Marker::parse);
        let Some(marker) = marker.filter(|_| !is_lost) else {
            return Acceptance::Refused;
        };
        let (wait_ms, interval_ms) = VERSION_WAIT_MS;
        let end = Instant::now() + Millis(wait_ms).duration();
        while version() < marker.version {
            if Instant::now() >= end {
                return Acceptance::Refused;
            }
            sleep(Millis(interval_ms).duration()).await;
        }
        let guard = RelayedGuard {
            relays: self.clone(),
            attempts: marker.attempts,
        };
        match self.accepted.fetch_add(1, Ordering::Relaxed) < ACCEPTED_MAX {
            true => Acceptance::Relayed(guard),
            false => Acceptance::Refused,
        }
    }

    /// The response to a relayed request that is not served here.
    pub fn refusal(&self) -> Response<CallerBody> {
        metrics::counter!("relays_refused_total").increment(1);
        let mut response = not_taken().fractional_response();
        let name = self.config.header_names.relay.clone();
        response.headers_mut().insert(name, REFUSED);
        response
    }

    /// Closes connections that are too old to be reused.
    pub fn sweep(&self) {
        self.pool.sweep(Millis(IDLE_MS).duration(), &|_| true);
    }

    /// Sends a request to other instances until one takes it. `may_repeat` is asked before a
    /// request that was written is sent again.
    pub async fn send(
        &self,
        document: &Document,
        mut request: RelayRequest<'_>,
        may_repeat: impl Fn() -> bool,
    ) -> RelayEnd {
        metrics::counter!("relays_total").increment(1);
        let mut tried: Vec<Name> = Vec::new();
        let mut lost = None;
        while tried.len() < TARGETS_MAX {
            let Some((name, address)) = self.choose(document, request.homes, &tried) else {
                break;
            };
            tried.push(name.clone());
            match self.send_to(&name, address, &request).await {
                TargetEnd::Answer(response) => return RelayEnd::Answer(response),
                TargetEnd::NotTaken => {}
                TargetEnd::Unreachable => self.avoid(&name),
                TargetEnd::Lost(kind) => {
                    self.avoid(&name);
                    lost = Some(kind);
                    request.may_have_run = true;
                    request.attempts = request.attempts.saturating_sub(1);
                    if !request.idempotent || request.attempts == 0 || !may_repeat() {
                        break;
                    }
                }
            }
        }
        match lost {
            Some(kind) => RelayEnd::Unknown(kind),
            None => {
                metrics::counter!("relays_not_taken_total").increment(1);
                RelayEnd::NotTaken
            }
        }
    }

    // Draws two instances and takes the one with fewer requests of this one in flight.
    fn choose(
        &self,
        document: &Document,
        homes: &[Name],
        tried: &[Name],
    ) -> Option<(Name, SocketAddr)> {
        let now = Instant::now();
        let targets = self.lock();
        let state = |name: &Name| targets.get(name).copied().unwrap_or_default();
        let open = |name: &Name, i: &Instance| {
            i.state == MemberState::Serving
                && *name != self.config.instance
                && !tried.contains(name)
                && (homes.is_empty() || homes.contains(&i.region))
        };
        let is_avoided = |name: &Name| state(name).avoided_until.is_some_and(|until| until > now);
        let open = document.instances.iter().filter(|(name, i)| open(name, i));
        let open = open.filter_map(|(name, i)| Some((name, i.callers?, &i.region)));
        let (near, far): (Vec<_>, Vec<_>) =
            open.partition(|(_, _, region)| **region == self.config.region);
        let from = if near.is_empty() { far } else { near };
        let drawn = from.choose_multiple(&mut rand::rng(), 2);
        let load = |name: &Name| (is_avoided(name), state(name).in_flight);
        let (name, address, _) = drawn.min_by_key(|(name, ..)| load(name))?;
        Some(((*name).clone(), *address))
    }

    fn avoid(&self, name: &Name) {
        let mut targets = self.lock();
        let target = targets.entry(name.clone()).or_default();
        target.avoided_until = Some(Instant::now() + Millis(AVOID_MS).duration());
    }

    fn start(&self, name: &Name) -> InFlight<'_> {
        self.lock().entry(name.clone()).or_default().in_flight += 1;
        InFlight {
            relays: self,
            name: name.clone(),
        }
    }

    async fn send_to(
        &self,
        name: &Name,
        address: SocketAddr,
        request: &RelayRequest<'_>,
    ) -> TargetEnd {
        let _in_flight = self.start(name);
        let left = request.deadline.saturating_duration_since(Instant::now());
        let Some(connection) = self.connect(address, left).await else {
            return TargetEnd::Unreachable;
        };
        let names = &self.config.header_names;
        let id = request.headers.get(&names.request).cloned();
        let id = id.as_ref().map_or(&b""[..], HeaderValue::as_bytes);
        let left = request.deadline.saturating_duration_since(Instant::now());
        let message = self.message(request, left);
        match connection.send(message, &names.request, id, left).await {
            Ok(reply) if reply.parts.headers.get(&names.relay) == Some(&REFUSED) => {
                self.discard(address, reply).await;
                TargetEnd::NotTaken
            }
            Ok(reply) => self.receive(address, reply, request).await,
            Err(failure) if !failure.written => TargetEnd::Unreachable,
            Err(failure) => TargetEnd::Lost(unknown(failure.fault)),
        }
    }

    async fn connect(&self, address: SocketAddr, left: Duration) -> Option<Connection> {
        match self.pool.take(address, Millis(IDLE_MS).duration()) {
            Some(connection) => Some(connection),
            None => {
                let limit = Millis(self.config.connect_ms).duration().min(left);
                Connection::open(address, limit).await.ok()
            }
        }
    }

    fn message(&self, request: &RelayRequest<'_>, left: Duration) -> Request<Full<Bytes>> {
        let names = &self.config.header_names;
        let mut message = Request::new(Full::new(request.body.clone()));
        *message.method_mut() = request.method.clone();
        *message.uri_mut() = request.target.clone();
        let mut headers = request.headers.clone();
        let left_ms = (left.as_millis() as u64).saturating_sub(RETURN_MS);
        headers.insert(names.deadline.clone(), HeaderValue::from(left_ms));
        let marker = Marker {
            version: request.version,
            attempts: request.attempts,
        };
        headers.insert(names.relay.clone(), marker.value());
        *message.headers_mut() = headers;
        message
    }

    // Reads the body of a refusal, so that the connection can be reused.
    async fn discard(&self, address: SocketAddr, mut reply: Reply) {
        let limit = self.config.answer_bytes;
        let end = Instant::now() + Millis(DISCARD_MS).duration();
        if let Ok(BufferedBody::All(_)) = buffer_body(&mut reply.body, limit, end).await {
            self.pool.put(address, reply.body.finish());
        }
    }

    async fn receive(
        &self,
        address: SocketAddr,
        reply: Reply,
        request: &RelayRequest<'_>,
    ) -> TargetEnd {
        let Reply { parts, mut body } = reply;
        let limit = self.config.answer_bytes;
        let body = match buffer_body(&mut body, limit, request.deadline).await {
            Ok(BufferedBody::All(bytes)) => {
                self.pool.put(address, body.finish());
                CallerBody::Full(bytes)
            }
            Ok(BufferedBody::Part(prefix)) => {
                let pause = Millis(self.config.pause_ms).duration();
                let on_end = Box::new(drop);
                let (deadline, drain) = (request.deadline, !request.idempotent);
                let rest = Passing::new(prefix, body, pause, deadline, drain, on_end);
                CallerBody::Stream(Box::new(rest))
            }
            Err(fault) => return TargetEnd::Lost(unknown(fault)),
        };
        let is_not_run = matches!(parts.status.as_u16(), 408 | 421 | 429 | 503);
        if is_not_run && request.may_have_run {
            return TargetEnd::Lost(ErrorKind::UnknownOutcome);
        }
        let mut headers = parts.headers;
        strip_hop_by_hop(&mut headers);
        let mut response = Response::new(body);
        *response.status_mut() = parts.status;
        *response.headers_mut() = headers;
        TargetEnd::Answer(response)
    }
}

fn unknown(fault: ExchangeError) -> ErrorKind {
    match fault {
        ExchangeError::Silent => ErrorKind::UnknownTimeout,
        ExchangeError::Connect
        | ExchangeError::Cut
        | ExchangeError::Foreign
        | ExchangeError::Malformed => ErrorKind::UnknownOutcome,
    }
}

/// The refusal of a request that no instance has taken.
pub fn not_taken() -> Refusal {
    Refusal {
        kind: ErrorKind::Unavailable,
        retry_ms: RETRY_MS,
    }
}

/// Adapts the headers of a caller for another instance. `length` is that of the body.
pub fn end_to_end(mut headers: HeaderMap, length: usize) -> HeaderMap {
    let has_length = headers.contains_key(header::CONTENT_LENGTH)
        || headers.contains_key(header::TRANSFER_ENCODING);
    strip_hop_by_hop(&mut headers);
    headers.remove(header::EXPECT);
    headers.remove(header::CONTENT_LENGTH);
    if has_length {
        headers.insert(header::CONTENT_LENGTH, HeaderValue::from(length));
    }
    headers
}

/// Value of the header that marks a relayed request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
struct Marker {
    /// Version of the routing table that the request was routed by.
    version: u64,
    /// Backend servers that it may be sent to.
    attempts: u32,
}

impl Marker {
    fn parse(text: &str) -> Option<Marker> {
        let (version, attempts) = text.split_once(';')?;
        Some(Marker {
            version: version.trim().strip_prefix("version=")?.parse().ok()?,
            attempts: attempts.trim().strip_prefix("attempts=")?.parse().ok()?,
        })
    }

    fn value(self) -> HeaderValue {
        let text = format!("version={};attempts={}", self.version, self.attempts);
        HeaderValue::try_from(text).unwrap_or(REFUSED)
    }
}
