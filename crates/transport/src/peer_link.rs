//! Message exchange on an authenticated peer connection, on the client and the
//! server side.

use std::future::poll_fn;
use std::io;
use std::pin::Pin;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use h2::{RecvStream, SendStream};
use pomelovale_protocol::auth::{Role, Secret};
use pomelovale_protocol::format::Format;
use pomelovale_protocol::frame::{self, decode_body, Decoder, FrameError};
use pomelovale_protocol::message_format::{decode_message, encode_message};
use pomelovale_protocol::messages::PeerMessage;
use pomelovale_state::Name;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::time::{sleep_until, Instant};

use crate::peer_format::{LinkFormat, UnnamedFormat};
use crate::stall::timeout;

/// Maximum number of queued messages of a connection. A peer that falls further
/// behind is disconnected.
const QUEUE_MAX: usize = 8_192;
/// Maximum number of queued chunks of a large message of a connection.
const BULK_QUEUE_MAX: usize = 4;
/// HTTP/2 flow-control window of the connection and of its stream.
pub(crate) const WINDOW_BYTES: u32 = 1024 * 1024;
/// The same for what an entry receives. Messages behind a large one wait for no more than
/// this on a narrow link.
const ENTRY_WINDOW_BYTES: u32 = 64 * 1024;

/// Flow-control window for what an instance with this role receives.
pub(crate) fn window_bytes(role: Role) -> u32 {
    match role {
        Role::Control => WINDOW_BYTES,
        Role::Entry => ENTRY_WINDOW_BYTES,
    }
}
/// Timeout for writing buffered frames when a connection is closed.
pub(crate) const FLUSH_MS: u64 = 200;

/// Time limits of peer connections, in milliseconds.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq)]
#[serde(default, deny_unknown_fields)]
pub struct PeerTimings {
    /// Timeout of each step of opening a connection: TCP connect, HTTP/2 handshake
    /// and authentication.
    pub connect_ms: u64,
    /// Time without a message to send after which a ping is sent.
    pub heartbeat_ms: u64,
    /// Maximum pause before the first attempt to reconnect. Doubles with each failure.
    pub retry_ms: u64,
    /// Time without received bytes after which a connection is closed.
    pub silence_ms: u64,
}

impl Default for PeerTimings {
    fn default() -> PeerTimings {
        PeerTimings {
            connect_ms: 1_000,
            heartbeat_ms: 400,
            retry_ms: 100,
            silence_ms: 1_200,
        }
    }
}

/// Settings for opening and accepting peer connections.
#[derive(Clone, Debug)]
pub struct PeerConfig {
    /// Name of this instance.
    pub name: Name,
    /// Role of this instance.
    pub role: Role,
    /// Secret shared by all instances.
    pub secret: Secret,
    /// Time limits.
    pub timings: PeerTimings,
    /// Delay added to each message sent, to simulate distant regions in tests.
    pub delay_ms: u64,
    /// Counters of all connections of the process.
    pub counters: Arc<PeerCounters>,
    /// Format of the peers that name none.
    pub unnamed: Arc<UnnamedFormat>,
}

/// Counters of all peer connections of a process.
#[derive(Debug, Default)]
pub struct PeerCounters {
    /// Bytes received on the sockets.
    pub received: AtomicU64,
    /// Bytes sent on the sockets.
    pub sent: AtomicU64,
    /// Connections closed because of an invalid frame or an unexpected message.
    pub rejected: AtomicU64,
    /// Connections whose authentication failed.
    pub refused: AtomicU64,
    /// Connections closed because nothing was received in time.
    pub silent: AtomicU64,
}

impl PeerCounters {
    pub(crate) fn count_end(&self, end: LinkEnd) {
        let (counter, name) = match end {
            LinkEnd::Closed | LinkEnd::Failed => return,
            LinkEnd::Refused => (&self.refused, "peer_authentications_refused_total"),
            LinkEnd::Rejected => (&self.rejected, "peer_frames_rejected_total"),
            LinkEnd::Silent => (&self.silent, "peer_connections_silent_total"),
        };
        counter.fetch_add(1, Ordering::Relaxed);
        metrics::counter!(name).increment(1);
    }

    fn count_bytes(&self, received: usize, sent: usize) {
        self.received.fetch_add(received as u64, Ordering::Relaxed);
        self.sent.fetch_add(sent as u64, Ordering::Relaxed);
        metrics::counter!("peer_bytes_received_total").increment(received as u64);
        metrics::counter!("peer_bytes_sent_total").increment(sent as u64);
    }
}

/// Why a connection ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LinkEnd {
    /// One side closed the connection.
    Closed,
    /// The connection failed.
    Failed,
    /// The peer failed to authenticate.
    Refused,
    /// The peer sent an invalid frame or an unexpected message.
    Rejected,
    /// Nothing was received in time.
    Silent,
}

impl From<h2::Error> for LinkEnd {
    fn from(_: h2::Error) -> LinkEnd {
        LinkEnd::Failed
    }
}

impl From<FrameError> for LinkEnd {
    fn from(_: FrameError) -> LinkEnd {
        LinkEnd::Rejected
    }
}

/// Event on a peer connection of the process.
#[derive(Debug)]
pub enum PeerEvent {
    /// A connection was authenticated.
    Opened(PeerLink),
    /// A message was received on the connection with this identifier.
    Message(u64, PeerMessage),
    /// The connection with this identifier ended.
    Closed(u64),
}

type QueuedMessage = (Instant, PeerMessage);

/// Handle for sending on a connection; cheap to clone. The connection is closed
/// when the last clone is dropped.
#[derive(Clone, Debug)]
pub struct PeerLink {
    /// Identifier, unique within the process.
    pub id: u64,
    /// Instance at the other end.
    pub peer: Name,
    /// Role of the instance at the other end.
    pub role: Role,
    format: LinkFormat,
    urgent: flume::Sender<QueuedMessage>,
    queue: flume::Sender<QueuedMessage>,
    bulk: flume::Sender<QueuedMessage>,
    busy: Arc<AtomicBool>,
    received: Arc<AtomicU64>,
    rejected: Arc<AtomicBool>,
    closed: Arc<Notify>,
}

impl PeerLink {
    /// The format of messages to the peer.
    pub fn format(&self) -> Format {
        self.format.outgoing()
    }

    /// The format that the peer has named; `None` if it is of an earlier build, which
    /// names none.
    pub fn named_format(&self) -> Option<Format> {
        self.format.named
    }

    /// Whether the peer's log is sealed against builds that name no format.
    pub fn is_sealed(&self) -> bool {
        self.format.sealed
    }

    /// Whether the peer knows [`PeerMessage::List`].
    pub fn knows_list(&self) -> bool {
        self.format.list
    }

    /// Whether the peer knows [`PeerMessage::Loads`].
    pub fn knows_loads(&self) -> bool {
        self.format.loads
    }

    /// Whether the peer knows [`PeerMessage::FinishedPaced`].
    pub fn knows_pace(&self) -> bool {
        self.format.pace
    }

    /// Whether the peer knows [`Request::Tokens`].
    ///
    /// [`Request::Tokens`]: pomelovale_protocol::messages::Request::Tokens
    pub fn knows_tokens(&self) -> bool {
        self.format.tokens
    }

    /// Whether the peer knows [`PeerMessage::Schedule`] and [`PeerMessage::Waiting`].
    pub fn knows_schedule(&self) -> bool {
        self.format.schedule
    }

    /// Whether the peer knows [`PeerMessage::Regions`].
    pub fn knows_regions(&self) -> bool {
        self.format.regions
    }

    /// Queues a message. Closes the connection and returns false if the queue is full.
    pub fn send(&self, message: PeerMessage) -> bool {
        self.send_to(&self.queue, message)
    }

    /// Likewise, before all other messages that wait for the connection.
    pub fn send_urgent(&self, message: PeerMessage) -> bool {
        self.send_to(&self.urgent, message)
    }

    fn send_to(&self, queue: &flume::Sender<QueuedMessage>, message: PeerMessage) -> bool {
        let sent = queue.try_send((Instant::now(), message)).is_ok();
        if !sent {
            self.close();
        }
        sent
    }

    /// Whether messages wait for the connection, since the peer receives them more slowly
    /// than they are queued.
    pub fn has_backlog(&self) -> bool {
        !self.queue.is_empty()
    }

    /// Bytes received so far, including those of a message that isn't complete yet.
    pub fn received_bytes(&self) -> u64 {
        self.received.load(Ordering::Relaxed)
    }

    /// Sends the chunks of a large message with lower priority than other messages.
    /// Returns false and sends nothing while an earlier large message is being queued.
    pub fn send_bulk(&self, chunks: impl Iterator<Item = PeerMessage> + Send + 'static) -> bool {
        if self.busy.swap(true, Ordering::AcqRel) {
            return false;
        }
        let (bulk, busy) = (self.bulk.clone(), self.busy.clone());
        tokio::spawn(async move {
            for chunk in chunks {
                if bulk.send_async((Instant::now(), chunk)).await.is_err() {
                    break;
                }
            }
            busy.store(false, Ordering::Release);
        });
        true
    }

    /// Closes the connection. Queued messages may be lost.
    pub fn close(&self) {
        self.closed.notify_one();
    }

    /// Closes the connection because of an unexpected message from the peer.
    pub fn reject(&self) {
        self.rejected.store(true, Ordering::Release);
        self.close();
    }
}

/// Receivers of the queues of a [`PeerLink`].
pub(crate) struct OutgoingQueues {
    urgent: flume::Receiver<QueuedMessage>,
    queue: flume::Receiver<QueuedMessage>,
    bulk: flume::Receiver<QueuedMessage>,
    received: Arc<AtomicU64>,
    rejected: Arc<AtomicBool>,
    closed: Arc<Notify>,
    peer: Name,
    format: LinkFormat,
}

pub(crate) fn link(peer: Name, role: Role, format: LinkFormat) -> (PeerLink, OutgoingQueues) {
    static NEXT_ID: AtomicU64 = AtomicU64::new(1);
    let (urgent, urgent_out) = flume::bounded(QUEUE_MAX);
    let (queue, queue_out) = flume::bounded(QUEUE_MAX);
    let (bulk, bulk_out) = flume::bounded(BULK_QUEUE_MAX);
    let closed = Arc::new(Notify::new());
    let rejected = Arc::new(AtomicBool::new(false));
    let received = Arc::<AtomicU64>::default();
    let outgoing = OutgoingQueues {
        urgent: urgent_out,
        queue: queue_out,
        bulk: bulk_out,
        received: received.clone(),
        rejected: rejected.clone(),
        closed: closed.clone(),
        peer: peer.clone(),
        format: format.clone(),
    };
    let id = NEXT_ID.fetch_add(1, Ordering::Relaxed);
    let link = PeerLink {
        id,
        peer,
        role,
        format,
        urgent,
        queue,
        bulk,
        busy: Arc::default(),
        received,
        rejected,
        closed,
    };
    (link, outgoing)
}

/// Both directions of a connection's stream, with the frame decoder.
pub(crate) struct Frames {
    pub(crate) send: SendStream<Bytes>,
    pub(crate) receive: RecvStream,
    pub(crate) decoder: Decoder,
}

impl Frames {
    pub(crate) async fn read<T: DeserializeOwned>(&mut self) -> Result<T, LinkEnd> {
        let body = read_body(&mut self.receive, &mut self.decoder).await?;
        Ok(decode_body(&body)?)
    }

    pub(crate) async fn write<T: Serialize>(&mut self, message: &T) -> Result<(), LinkEnd> {
        write_bytes(&mut self.send, frame::encode(message)?).await
    }
}

async fn read_body(receive: &mut RecvStream, decoder: &mut Decoder) -> Result<Bytes, LinkEnd> {
    loop {
        match decoder.next_body()? {
            Some(body) => return Ok(body),
            None => read_part(receive, decoder).await?,
        };
    }
}

// Reads a part of a message, and returns its size in bytes.
async fn read_part(receive: &mut RecvStream, decoder: &mut Decoder) -> Result<usize, LinkEnd> {
    let bytes = receive.data().await.ok_or(LinkEnd::Closed)??;
    receive.flow_control().release_capacity(bytes.len())?;
    decoder.push(&bytes);
    Ok(bytes.len())
}

async fn write_bytes(send: &mut SendStream<Bytes>, mut bytes: Bytes) -> Result<(), LinkEnd> {
    while !bytes.is_empty() {
        send.reserve_capacity(bytes.len());
        // poll_capacity reports only changes of the capacity.
        let capacity = match send.capacity() {
            0 => {
                let capacity = poll_fn(|cx| send.poll_capacity(cx)).await;
                capacity.ok_or(LinkEnd::Closed)??
            }
            capacity => capacity,
        };
        if capacity > 0 {
            send.send_data(bytes.split_to(capacity.min(bytes.len())), false)?;
        }
    }
    Ok(())
}

fn decode(body: &[u8], format: &LinkFormat) -> Result<PeerMessage, FrameError> {
    if format.named.is_some() {
        return decode_body(body);
    }
    let (message, found) = decode_message(body, format.unnamed.get())?;
    found
        .into_iter()
        .for_each(|found| format.unnamed.set(found));
    Ok(message)
}

/// Exchanges messages on an authenticated connection until it ends.
pub(crate) async fn run(
    config: &PeerConfig,
    id: u64,
    frames: Frames,
    outgoing: OutgoingQueues,
    events: &flume::Sender<PeerEvent>,
) -> LinkEnd {
    let Frames {
        mut send,
        mut receive,
        mut decoder,
    } = frames;
    let (closed, rejected) = (outgoing.closed.clone(), outgoing.rejected.clone());
    let (peer, format) = (outgoing.peer.clone(), outgoing.format.clone());
    let reader = async {
        let limit = Duration::from_millis(config.timings.silence_ms);
        loop {
            let body = match decoder.next_body() {
                Err(e) => return e.into(),
                Ok(Some(body)) => body,
                // A large message may take longer than the limit on a narrow link.
                Ok(None) => match timeout(limit, read_part(&mut receive, &mut decoder)).await {
                    Err(_) => return LinkEnd::Silent,
                    Ok(Err(end)) => return end,
                    Ok(Ok(n)) => {
                        outgoing.received.fetch_add(n as u64, Ordering::Relaxed);
                        continue;
                    }
                },
            };
            let message = match decode(&body, &format) {
                Ok(PeerMessage::Ping) => continue,
                Ok(message) => message,
                Err(e) => {
                    let index = body.first().copied().unwrap_or_default();
                    log::warn!("can't read message {index} of {peer}, closing the connection: {e}");
                    return e.into();
                }
            };
            if events
                .send_async(PeerEvent::Message(id, message))
                .await
                .is_err()
            {
                return LinkEnd::Closed;
            }
        }
    };
    let writer = async {
        let delay = Duration::from_millis(config.delay_ms);
        let heartbeat = Duration::from_millis(config.timings.heartbeat_ms);
        loop {
            let (queued, message) = match next_message(&outgoing, delay, heartbeat).await {
                Err(end) => return end,
                Ok(message) => message,
            };
            let written = match encode_message(&message, outgoing.format.outgoing()) {
                Ok(bytes) => write_bytes(&mut send, bytes).await,
                // A message that exceeds the size limit is dropped; the connection
                // stays usable.
                Err(_) => {
                    metrics::counter!("peer_messages_oversize_total").increment(1);
                    Ok(())
                }
            };
            if let Err(end) = written {
                return end;
            }
            if matches!(&message, PeerMessage::Proof(proof) if !proof.changes.is_empty()) {
                metrics::histogram!("peer_change_send_seconds").record(queued.elapsed());
            }
        }
    };
    tokio::select! {
        end = reader => end,
        end = writer => end,
        () = closed.notified() => match rejected.load(Ordering::Acquire) {
            true => LinkEnd::Rejected,
            false => LinkEnd::Closed,
        },
    }
}

// Returns the next message, or a ping after `heartbeat` without one. The simulated
// delay starts when a message is queued, so that it adds latency without limiting
// throughput.
async fn next_message(
    outgoing: &OutgoingQueues,
    delay: Duration,
    heartbeat: Duration,
) -> Result<QueuedMessage, LinkEnd> {
    let received = tokio::select! {
        biased;
        m = outgoing.urgent.recv_async() => m,
        m = outgoing.queue.recv_async() => m,
        m = outgoing.bulk.recv_async() => m,
        () = tokio::time::sleep(heartbeat) => return Ok((Instant::now(), PeerMessage::Ping)),
    };
    let (queued, message) = received.map_err(|_| LinkEnd::Closed)?;
    if !delay.is_zero() {
        sleep_until(queued + delay).await;
    }
    Ok((queued, message))
}

/// A TCP stream that counts the bytes received and sent.
pub(crate) struct CountingStream {
    socket: TcpStream,
    counters: Arc<PeerCounters>,
}

impl CountingStream {
    pub(crate) fn new(socket: TcpStream, counters: Arc<PeerCounters>) -> CountingStream {
        // Disables Nagle's algorithm, which delays small messages.
        let _ = socket.set_nodelay(true);
        CountingStream { socket, counters }
    }
}

impl AsyncRead for CountingStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        let result = Pin::new(&mut self.socket).poll_read(cx, buffer);
        self.counters.count_bytes(buffer.filled().len() - before, 0);
        result
    }
}

impl AsyncWrite for CountingStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let result = Pin::new(&mut self.socket).poll_write(cx, bytes);
        if let Poll::Ready(Ok(n)) = result {
            self.counters.count_bytes(0, n);
        }
        result
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.socket).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.socket).poll_shutdown(cx)
    }
}
