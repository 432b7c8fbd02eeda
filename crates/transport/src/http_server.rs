//! HTTP/1 server for callers, based on hyper, with limits on connections and heads.

use std::collections::HashMap;
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use http::{Request, Response};
use hyper::body::Incoming;
use pomelovale_state::clock::Millis;
use serde::{Deserialize, Serialize};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, watch, Notify};
use tokio::task::JoinHandle;
use tokio::time::Instant;

use crate::body::CallerBody;
use crate::connection;
use crate::ending::{Cause, EndLog, EndReport};
use crate::linger::{self, BuiltinResponse, LateBytes};
use crate::socket::{self, Remote};

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
    /// When the request was received. It may have waited for others on its connection.
    pub received: Instant,
}

/// Future of the response to one request.
pub type ResponseFuture = Pin<Box<dyn Future<Output = Response<CallerBody>> + Send>>;
/// Handles requests. The future is dropped when the caller closes the connection.
pub type Handler = Arc<dyn Fn(Request<Incoming>, Caller) -> ResponseFuture + Send + Sync>;

/// A connection, as the server sees it.
#[derive(Debug)]
pub(crate) struct Slot {
    // Since when the connection is idle, in milliseconds after the start of the
    // server, or BUSY.
    idle_since: AtomicU64,
    /// Notified when the connection is evicted.
    pub(crate) close: Notify,
}

impl Slot {
    /// Records since when the connection is idle, or that it has requests in progress.
    pub(crate) fn set_idle(&self, since: Option<Millis>) {
        self.idle_since
            .store(since.map_or(BUSY, |t| t.0), Ordering::Relaxed);
    }
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Phase {
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
    accepting: JoinHandle<()>,
}

/// State that all connections of a server share.
pub(crate) struct Shared {
    pub(crate) limits: ServerLimits,
    timeouts: TimeoutsHandle,
    pub(crate) handler: Handler,
    /// Origin of the times of this server.
    pub(crate) start: Instant,
    pub(crate) end_log: EndLog,
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
            end_log: EndLog::default(),
            slots: Mutex::default(),
        });
        let accepting = tokio::spawn(accept(listener, shared, watched, connection_guard));
        Ok(Server {
            accepting,
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

    /// Whether connections are still accepted.
    pub fn is_running(&self) -> bool {
        !self.accepting.is_finished()
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
    watched: watch::Receiver<Phase>,
    connection_guard: mpsc::Sender<()>,
) {
    let mut id = 0;
    let mut admit = |stream, address| {
        id += 1;
        admit(id, stream, address, &shared, &watched, &connection_guard);
    };
    let mut phase = watched.clone();
    loop {
        let accepted = tokio::select! {
            biased;
            _ = phase.changed() => break,
            accepted = listener.accept() => accepted,
        };
        match accepted {
            Ok((stream, address)) => admit(stream, address),
            // Most likely the process is out of file descriptors, which are freed as
            // connections end.
            Err(_) => tokio::time::sleep(Duration::from_millis(10)).await,
        }
    }
    // Connections that are already established would be reset with the listener.
    let Ok(listener) = listener.into_std() else {
        return;
    };
    while let Ok((stream, address)) = listener.accept() {
        let stream = stream.set_nonblocking(true).map(|()| stream);
        if let Ok(stream) = stream.and_then(TcpStream::from_std) {
            admit(stream, address);
        }
    }
}

// Serves a new connection, or refuses it at the limit.
fn admit(
    id: u64,
    stream: TcpStream,
    address: SocketAddr,
    shared: &Arc<Shared>,
    phase: &watch::Receiver<Phase>,
    connection_guard: &mpsc::Sender<()>,
) {
    socket::configure(&stream, Remote::Caller);
    let (shared, phase) = (shared.clone(), phase.clone());
    let connection_guard = connection_guard.clone();
    match shared.register(id) {
        None => {
            drop(EndReport {
                opened: shared.now(),
                shared,
                link: None,
                address,
                cause: Cause::Full,
            });
            tokio::spawn(async move {
                let limit = linger::limit(None);
                let refusal = Some(BuiltinResponse::Full);
                linger::close(&stream, refusal, LateBytes::Read, limit).await;
            });
        }
        Some(slot) => {
            let entry = SlotEntry { shared, id, slot };
            tokio::spawn(async move {
                connection::serve(stream, address, &entry.shared, &entry.slot, phase).await;
                drop((entry, connection_guard));
            });
        }
    }
}

/// Entry of a connection in the slots of its server, removed when it is dropped.
struct SlotEntry {
    shared: Arc<Shared>,
    id: u64,
    slot: Arc<Slot>,
}

impl Drop for SlotEntry {
    fn drop(&mut self) {
        self.shared.slots().remove(&self.id);
    }
}

impl Shared {
    fn slots(&self) -> std::sync::MutexGuard<'_, HashMap<u64, Arc<Slot>>> {
        self.slots.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn now(&self) -> Millis {
        Millis(self.start.elapsed().as_millis() as u64)
    }

    /// The timeouts in force and their changes.
    pub(crate) fn timeouts(&self) -> watch::Receiver<Timeouts> {
        self.timeouts.0.subscribe()
    }

    // Adds a connection. At the limit, evicts the one that has been idle for longest;
    // returns `None` if all are busy.
    fn register(&self, id: u64) -> Option<Arc<Slot>> {
        let mut slots = self.slots();
        if slots.len() >= self.limits.connections {
            let idle = |s: &Arc<Slot>| s.idle_since.load(Ordering::Relaxed);
            let (oldest, slot) = slots.iter().min_by_key(|(id, s)| (idle(s), **id))?;
            if idle(slot) == BUSY {
                return None;
            }
            metrics::counter!("entry_connections_evicted_total").increment(1);
            slot.close.notify_one();
            let oldest = *oldest;
            slots.remove(&oldest);
        }
        let slot = Arc::new(Slot {
            idle_since: AtomicU64::new(self.now().0),
            close: Notify::new(),
        });
        slots.insert(id, slot.clone());
        Some(slot)
    }
}
