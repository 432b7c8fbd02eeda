//! The server adapter for callers: hyper with limits.

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

use http::{Request, Response};
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
use crate::framing::{CallerIo, Verdicts};
use crate::socket;

// How long the rest of a refused request is read, so that the refusal is not
// lost with a connection reset.
const LINGER_MS: u64 = 500;
const LINGER_MAX_BYTES: usize = 1024 * 1024;
const BUSY: u64 = u64::MAX;

/// Bounds of what callers can occupy.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct ServerLimits {
    /// Open connections; beyond it the one that is idle for longest is closed.
    pub connections: usize,
    /// Bytes of a request's head, at least 8192.
    pub head_bytes: usize,
    /// Time for a request's head, also of an idle connection, in milliseconds.
    pub head_ms: u64,
    /// Header fields of a request.
    pub headers: usize,
}

impl Default for ServerLimits {
    fn default() -> ServerLimits {
        ServerLimits {
            connections: 4_096,
            head_bytes: 32 * 1024,
            head_ms: 10_000,
            headers: 100,
        }
    }
}

/// What the server knows about a request beside its content.
#[derive(Clone, Copy, Debug)]
pub struct Caller {
    /// Address of the caller.
    pub address: SocketAddr,
    /// Whether the request has one clear length.
    pub clear: bool,
}

/// The answer to one request.
pub type Answering = Pin<Box<dyn Future<Output = Response<CallerBody>> + Send>>;
/// Answers requests; the future is dropped when the caller closes.
pub type Handler = Arc<dyn Fn(Request<Incoming>, Caller) -> Answering + Send + Sync>;

/// Heads of answers that the server gives itself, complete on the wire.
#[derive(Clone, Copy, Debug)]
enum OwnAnswer {
    Full,
    HeadTimeout,
}

impl OwnAnswer {
    fn bytes(self) -> &'static [u8] {
        match self {
            OwnAnswer::Full => {
                b"HTTP/1.1 503 Service Unavailable\r\npomelovale-outcome: not-run\r\n\
                retry-after: 1\r\nconnection: close\r\ncontent-length: 0\r\n\r\n"
            }
            OwnAnswer::HeadTimeout => {
                b"HTTP/1.1 408 Request Timeout\r\npomelovale-outcome: not-run\r\n\
                connection: close\r\ncontent-length: 0\r\n\r\n"
            }
        }
    }
}

#[derive(Debug)]
struct Slot {
    // Milliseconds since the start of the server, or BUSY.
    idle: AtomicU64,
    close: Notify,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Phase {
    Closing,
    Serving,
}

/// A listener with its connections.
#[derive(Debug)]
pub struct Server {
    address: SocketAddr,
    phase: watch::Sender<Phase>,
    done: mpsc::Receiver<()>,
}

struct Shared {
    limits: ServerLimits,
    handler: Handler,
    start: Instant,
    slots: Mutex<HashMap<u64, Arc<Slot>>>,
}

impl Server {
    /// Starts to answer on a bound listener.
    pub fn start(
        listener: TcpListener,
        limits: ServerLimits,
        handler: Handler,
    ) -> io::Result<Server> {
        let address = listener.local_addr()?;
        let (phase, watched) = watch::channel(Phase::Serving);
        let (alive, done) = mpsc::channel(1);
        let shared = Arc::new(Shared {
            limits,
            handler,
            start: Instant::now(),
            slots: Mutex::default(),
        });
        tokio::spawn(accept(listener, shared, watched, alive));
        Ok(Server {
            address,
            phase,
            done,
        })
    }

    /// The bound address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Takes no new connection, finishes the requests in flight and closes.
    pub async fn stop(mut self) {
        self.phase.send_replace(Phase::Closing);
        let _ = self.done.recv().await;
    }
}

async fn accept(
    listener: TcpListener,
    shared: Arc<Shared>,
    mut phase: watch::Receiver<Phase>,
    alive: mpsc::Sender<()>,
) {
    let mut id = 0;
    loop {
        let accepted = tokio::select! {
            biased;
            _ = phase.changed() => return,
            accepted = listener.accept() => accepted,
        };
        let Ok((stream, address)) = accepted else {
            // Out of descriptors, most likely; connections in use will end.
            tokio::time::sleep(Duration::from_millis(10)).await;
            continue;
        };
        socket::tune(&stream);
        id += 1;
        let (shared, phase, alive) = (shared.clone(), phase.clone(), alive.clone());
        match shared.register(id) {
            None => drop(tokio::spawn(close(stream, Some(OwnAnswer::Full)))),
            Some(slot) => {
                tokio::spawn(async move {
                    serve(stream, address, &shared, &slot, phase).await;
                    shared.slots().remove(&id);
                    drop(alive);
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

    // At the limit, the connection that is idle for longest makes room.
    fn register(&self, id: u64) -> Option<Arc<Slot>> {
        let mut slots = self.slots();
        if slots.len() >= self.limits.connections {
            metrics::counter!("entry_connections_evicted_total").increment(1);
            let idle = |s: &Arc<Slot>| s.idle.load(Ordering::Relaxed);
            let (oldest, slot) = slots.iter().min_by_key(|(id, s)| (idle(s), **id))?;
            if idle(slot) == BUSY {
                return None;
            }
            slot.close.notify_one();
            let oldest = *oldest;
            slots.remove(&oldest);
        }
        let slot = Arc::new(Slot {
            idle: AtomicU64::new(self.now()),
            close: Notify::new(),
        });
        slots.insert(id, slot.clone());
        Some(slot)
    }
}

/// One request in progress, which marks its connection as idle at its end.
struct Serving {
    answer: Answering,
    shared: Arc<Shared>,
    slot: Arc<Slot>,
}

impl Future for Serving {
    type Output = Result<Response<CallerBody>, Infallible>;

    fn poll(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Self::Output> {
        let answer = ready!(self.answer.as_mut().poll(cx));
        let now = self.shared.now();
        self.slot.idle.store(now, Ordering::Relaxed);
        Poll::Ready(Ok(answer))
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
    let service = service_fn(move |request| {
        let clear = verdicts.next();
        let (shared, slot) = (shared.clone(), slot.clone());
        slot.idle.store(BUSY, Ordering::Relaxed);
        let answer = (shared.handler)(request, Caller { address, clear });
        Serving {
            answer,
            shared,
            slot,
        }
    });
    let limits = &shared.limits;
    let mut connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(Duration::from_millis(limits.head_ms))
        .max_buf_size(limits.head_bytes)
        .max_headers(limits.headers)
        .serve_connection(io, service);
    let mut closing = std::pin::pin!(async {
        tokio::select! {
            _ = phase.wait_for(|p| *p == Phase::Closing) => {}
            () = slot.close.notified() => {}
        }
    });
    let mut notified = false;
    let result = std::future::poll_fn(|cx| {
        if !notified && closing.as_mut().poll(cx).is_ready() {
            notified = true;
            Pin::new(&mut connection).graceful_shutdown();
        }
        connection.poll_without_shutdown(cx)
    })
    .await;
    let io = connection.into_parts().io;
    let answer = match result {
        Err(e) if e.is_timeout() && io.in_head() => Some(OwnAnswer::HeadTimeout),
        _ => None,
    };
    close(io.into_stream(), answer).await;
}

async fn close(mut stream: TcpStream, answer: Option<OwnAnswer>) {
    let lingering = async {
        if let Some(answer) = answer {
            stream.write_all(answer.bytes()).await?;
        }
        stream.shutdown().await?;
        let (mut room, mut left) = ([0; 4096], LINGER_MAX_BYTES);
        while left > 0 {
            match stream.read(&mut room).await? {
                0 => break,
                n => left = left.saturating_sub(n),
            }
        }
        Ok::<_, io::Error>(())
    };
    let _ = timeout(Duration::from_millis(LINGER_MS), lingering).await;
}
