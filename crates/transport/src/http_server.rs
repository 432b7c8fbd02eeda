//! HTTP/1 server for callers, based on hyper, with limits on connections and heads.

use std::collections::HashMap;
use std::convert::Infallible;
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::task::{ready, Context, Poll};
use std::time::Duration;

use http::{header, Request, Response};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioTimer;
use serde::{Deserialize, Serialize};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, watch, Notify};
use tokio::time::{timeout, Instant};

use crate::body::CallerBody;
use crate::framing::Verdicts;
use crate::pipeline::{Answered, BodyEnd, CallerIo, PipelinedIo, TrackedBody};
use crate::socket;

// Limits on the time and the bytes for which a connection is read after its last
// response. Closing a socket with unread data resets the connection, and the caller
// may lose the response.
const LINGER_MS: u64 = 500;
const LINGER_MAX_BYTES: usize = 1024 * 1024;
// Value of `Slot::idle_since` while a request is in progress.
const BUSY: u64 = u64::MAX;

/// Limits on the resources that callers can use.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct ServerLimits {
    /// Maximum number of open connections. At the limit, the connection that has been
    /// idle for longest is closed for a new one.
    pub connections: usize,
    /// Maximum size of a request head in bytes, at least 8192.
    pub head_bytes: usize,
    /// Timeout for receiving a request head from its first byte on, in milliseconds.
    pub head_ms: u64,
    /// Maximum number of header fields of a request.
    pub headers: usize,
    /// Time without a request after which a connection is closed, in milliseconds.
    pub idle_ms: u64,
}

impl Default for ServerLimits {
    fn default() -> ServerLimits {
        ServerLimits {
            connections: 4_096,
            head_bytes: 32 * 1024,
            head_ms: 10_000,
            headers: 100,
            idle_ms: 10_000,
        }
    }
}

/// Timeouts that can be changed while a server runs.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Timeouts {
    /// Timeout for receiving a request head from its first byte on, in milliseconds.
    pub head_ms: u64,
    /// Time without a request after which a connection is closed, in milliseconds.
    pub idle_ms: u64,
}

impl From<&ServerLimits> for Timeouts {
    fn from(limits: &ServerLimits) -> Timeouts {
        Timeouts {
            head_ms: limits.head_ms,
            idle_ms: limits.idle_ms,
        }
    }
}

/// Changes the timeouts of a server.
#[derive(Clone, Debug)]
pub struct TimeoutsHandle(Arc<watch::Sender<Timeouts>>);

impl TimeoutsHandle {
    /// Sets the timeouts of all connections, also of those that are open.
    pub fn set(&self, timeouts: Timeouts) {
        self.0.send_if_modified(|t| {
            let changed = *t != timeouts;
            *t = timeouts;
            changed
        });
    }
}

/// Connection-level information about a request.
#[derive(Clone, Copy, Debug)]
pub struct Caller {
    /// Address of the caller.
    pub address: SocketAddr,
    /// Whether the length of the request is unambiguous.
    pub length_is_clear: bool,
}

/// Future of the response to one request.
pub type ResponseFuture = Pin<Box<dyn Future<Output = Response<CallerBody>> + Send>>;
/// Handles requests. The future is dropped when the caller closes the connection.
pub type Handler = Arc<dyn Fn(Request<Incoming>, Caller) -> ResponseFuture + Send + Sync>;

/// Complete responses that the server sends without calling the handler.
#[derive(Clone, Copy, Debug)]
enum BuiltinResponse {
    Full,
    HeadTimeout,
}

impl BuiltinResponse {
    fn bytes(self) -> &'static [u8] {
        match self {
            BuiltinResponse::Full => {
                b"HTTP/1.1 503 Service Unavailable\r\npomelovale-outcome: not-run\r\n\
                retry-after: 1\r\nconnection: close\r\ncontent-length: 0\r\n\r\n"
            }
            BuiltinResponse::HeadTimeout => {
                b"HTTP/1.1 408 Request Timeout\r\npomelovale-outcome: not-run\r\n\
                connection: close\r\ncontent-length: 0\r\n\r\n"
            }
        }
    }
}

#[derive(Debug)]
struct Slot {
    // Since when the connection is idle, in milliseconds after the start of the
    // server, or BUSY.
    idle_since: AtomicU64,
    // Number of requests in progress.
    serving: AtomicU64,
    close: Notify,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Phase {
    Closing,
    Serving,
}

/// A running server: its listener and connections.
#[derive(Debug)]
pub struct Server {
    address: SocketAddr,
    phase: watch::Sender<Phase>,
    timeouts: TimeoutsHandle,
    done: mpsc::Receiver<()>,
}

struct Shared {
    limits: ServerLimits,
    timeouts: TimeoutsHandle,
    handler: Handler,
    start: Instant,
    slots: Mutex<HashMap<u64, Arc<Slot>>>,
}

impl Server {
    /// Starts to accept connections on a bound listener.
    pub fn start(
        listener: TcpListener,
        limits: ServerLimits,
        handler: Handler,
    ) -> io::Result<Server> {
        let address = listener.local_addr()?;
        let (phase, watched) = watch::channel(Phase::Serving);
        let (connection_guard, done) = mpsc::channel(1);
        let timeouts = watch::Sender::new(Timeouts::from(&limits));
        let timeouts = TimeoutsHandle(Arc::new(timeouts));
        let shared = Arc::new(Shared {
            limits,
            timeouts: timeouts.clone(),
            handler,
            start: Instant::now(),
            slots: Mutex::default(),
        });
        tokio::spawn(accept(listener, shared, watched, connection_guard));
        Ok(Server {
            address,
            phase,
            timeouts,
            done,
        })
    }

    /// The bound address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// A handle that changes the timeouts of this server.
    pub fn timeouts(&self) -> TimeoutsHandle {
        self.timeouts.clone()
    }

    /// Stops accepting connections, finishes the requests in flight and closes all
    /// connections.
    pub async fn stop(mut self) {
        self.phase.send_replace(Phase::Closing);
        let _ = self.done.recv().await;
    }
}

async fn accept(
    listener: TcpListener,
    shared: Arc<Shared>,
    mut phase: watch::Receiver<Phase>,
    connection_guard: mpsc::Sender<()>,
) {
    let mut id = 0;
    loop {
        let accepted = tokio::select! {
            biased;
            _ = phase.changed() => return,
            accepted = listener.accept() => accepted,
        };
        let Ok((stream, address)) = accepted else {
            // Most likely the process is out of file descriptors, which are freed as
            // connections end.
            tokio::time::sleep(Duration::from_millis(10)).await;
            continue;
        };
        socket::configure(&stream);
        id += 1;
        let (shared, phase, connection_guard) =
            (shared.clone(), phase.clone(), connection_guard.clone());
        match shared.register(id) {
            None => drop(tokio::spawn(close(stream, Some(BuiltinResponse::Full)))),
            Some(slot) => {
                tokio::spawn(async move {
                    serve(stream, address, &shared, &slot, phase).await;
                    shared.slots().remove(&id);
                    drop(connection_guard);
                });
            }
        }
    }
}

impl Shared {
    fn slots(&self) -> std::sync::MutexGuard<'_, HashMap<u64, Arc<Slot>>> {
        self.slots.lock().expect("no panic while held")
    }

    fn now(&self) -> u64 {
        self.start.elapsed().as_millis() as u64
    }

    // Adds a connection. At the limit, evicts the one that has been idle for longest;
    // returns `None` if all are busy.
    fn register(&self, id: u64) -> Option<Arc<Slot>> {
        let mut slots = self.slots();
        if slots.len() >= self.limits.connections {
            metrics::counter!("entry_connections_evicted_total").increment(1);
            let idle = |s: &Arc<Slot>| s.idle_since.load(Ordering::Relaxed);
            let (oldest, slot) = slots.iter().min_by_key(|(id, s)| (idle(s), **id))?;
            if idle(slot) == BUSY {
                return None;
            }
            slot.close.notify_one();
            let oldest = *oldest;
            slots.remove(&oldest);
        }
        let slot = Arc::new(Slot {
            idle_since: AtomicU64::new(self.now()),
            serving: AtomicU64::new(0),
            close: Notify::new(),
        });
        slots.insert(id, slot.clone());
        Some(slot)
    }
}

/// A request in progress. The connection is marked idle when its last one is
/// dropped.
struct Serving {
    answer: ResponseFuture,
    shared: Arc<Shared>,
    slot: Arc<Slot>,
    body_end: BodyEnd,
    // `Some` for a pipelined request.
    answered: Option<Answered>,
}

impl Serving {
    fn new(
        service: &Service,
        request: Request<Incoming>,
        clear: bool,
        body_end: BodyEnd,
        answered: Option<Answered>,
    ) -> Serving {
        let (shared, slot) = (service.shared.clone(), service.slot.clone());
        slot.serving.fetch_add(1, Ordering::Relaxed);
        slot.idle_since.store(BUSY, Ordering::Relaxed);
        let caller = Caller {
            address: service.address,
            length_is_clear: clear,
        };
        Serving {
            answer: (shared.handler)(request, caller),
            shared,
            slot,
            body_end,
            answered,
        }
    }
}

impl Future for Serving {
    type Output = Result<Response<TrackedBody>, Infallible>;

    fn poll(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Self::Output> {
        let answer = ready!(self.answer.as_mut().poll(cx));
        let closes = answer.headers().get(header::CONNECTION);
        match &self.answered {
            Some(answered) if closes.is_some_and(|v| v == "close") => answered.set_last(),
            Some(_) | None => {}
        }
        let body_end = self.body_end.clone();
        Poll::Ready(Ok(answer.map(|body| TrackedBody::new(body, body_end))))
    }
}

impl Drop for Serving {
    fn drop(&mut self) {
        if self.slot.serving.fetch_sub(1, Ordering::Relaxed) == 1 {
            let now = self.shared.now();
            self.slot.idle_since.store(now, Ordering::Relaxed);
        }
    }
}

/// State shared by the requests of one connection.
#[derive(Clone)]
struct Service {
    shared: Arc<Shared>,
    slot: Arc<Slot>,
    address: SocketAddr,
}

impl Service {
    fn builder(&self) -> http1::Builder {
        let limits = &self.shared.limits;
        let mut builder = http1::Builder::new();
        builder
            .max_buf_size(limits.head_bytes)
            .max_headers(limits.headers);
        builder
    }

    /// Serves one pipelined request.
    fn serve_pipelined(
        &self,
        io: PipelinedIo,
        body_end: BodyEnd,
        answered: Answered,
    ) -> Pin<Box<dyn Future<Output = ()> + Send>> {
        let service = self.clone();
        let call = service_fn(move |request| {
            // Requests with an ambiguous length are never pipelined.
            Serving::new(
                &service,
                request,
                true,
                body_end.clone(),
                Some(answered.clone()),
            )
        });
        let connection = self.builder().serve_connection(io, call);
        Box::pin(async move {
            if let Err(e) = connection.await {
                tracing::debug!(event = "pipelined", "pipelined request failed: {e}");
            }
        })
    }
}

async fn serve(
    stream: TcpStream,
    address: SocketAddr,
    shared: &Arc<Shared>,
    slot: &Arc<Slot>,
    mut phase: watch::Receiver<Phase>,
) {
    let verdicts = Verdicts::default();
    let io = CallerIo::new(stream, verdicts.clone());
    let (body_end, mut pipelined) = (io.body_end(), io.pipelined());
    let service = Service {
        shared: shared.clone(),
        slot: slot.clone(),
        address,
    };
    let calls = service.clone();
    let call = service_fn(move |request| {
        Serving::new(&calls, request, verdicts.next(), body_end.clone(), None)
    });
    let timeouts = *shared.timeouts.0.borrow();
    // hyper's timeout covers the idle time before a head.
    let head_timeout = Duration::from_millis(timeouts.head_ms.max(timeouts.idle_ms));
    let mut connection = service
        .builder()
        .timer(TokioTimer::new())
        .header_read_timeout(head_timeout)
        .serve_connection(io, call);
    let mut closing = std::pin::pin!(async {
        tokio::select! {
            _ = phase.wait_for(|p| *p == Phase::Closing) => {}
            () = slot.close.notified() => {}
        }
    });
    let serve_pipelined = |io, body_end, answered| service.serve_pipelined(io, body_end, answered);
    let mut notified = false;
    // Whether the shutdown began while hyper had no request of its own in progress.
    // It then ends the connection without announcing this in a response, and the
    // pipelined requests are finished afterwards.
    let mut finish_pipelined = false;
    let result = std::future::poll_fn(|cx| {
        if !notified && closing.as_mut().poll(cx).is_ready() {
            notified = true;
            finish_pipelined = pipelined.may_write();
            Pin::new(&mut connection).graceful_shutdown();
        }
        loop {
            if let Poll::Ready(result) = connection.poll_without_shutdown(cx) {
                return Poll::Ready(result.map_err(ConnectionError::Http));
            }
            match pipelined.poll(cx, serve_pipelined) {
                // hyper may be able to read the next request now.
                Ok(true) => continue,
                Ok(false) => return Poll::Pending,
                Err(e) => return Poll::Ready(Err(ConnectionError::Pipelined(e))),
            }
        }
    })
    .await;
    let rest = std::future::poll_fn(|cx| match pipelined.poll(cx, serve_pipelined) {
        Ok(_) if !pipelined.is_empty() => Poll::Pending,
        Ok(_) => Poll::Ready(Ok(())),
        Err(e) => Poll::Ready(Err(ConnectionError::Pipelined(e))),
    });
    let result = match result {
        Ok(()) if finish_pipelined => rest.await,
        result => result,
    };
    if let Err(ConnectionError::Pipelined(e)) = &result {
        tracing::debug!(
            event = "pipelined",
            "connection closed after a pipelined response: {e}"
        );
    }
    drop(pipelined);
    let io = connection.into_parts().io;
    let answer = match result {
        Err(ConnectionError::Http(e)) if e.is_timeout() && io.in_head() => {
            Some(BuiltinResponse::HeadTimeout)
        }
        _ => None,
    };
    if let Some(stream) = io.into_stream() {
        close(stream, answer).await;
    }
}

/// Why a connection must be closed.
enum ConnectionError {
    Http(hyper::Error),
    // A pipelined response was the last one, or is incomplete.
    Pipelined(io::Error),
}

async fn close(mut stream: TcpStream, answer: Option<BuiltinResponse>) {
    let lingering = async {
        if let Some(answer) = answer {
            stream.write_all(answer.bytes()).await?;
        }
        stream.shutdown().await?;
        let (mut buffer, mut left) = ([0; 4096], LINGER_MAX_BYTES);
        while left > 0 {
            match stream.read(&mut buffer).await? {
                0 => break,
                n => left = left.saturating_sub(n),
            }
        }
        Ok::<_, io::Error>(())
    };
    let _ = timeout(Duration::from_millis(LINGER_MS), lingering).await;
}
