//! Client side of peer connections.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use h2::client;
use http::Request;
use pomelovale_protocol::auth::{nonce, Handshake, Role, Session};
use pomelovale_protocol::frame::{Decoder, FRAME_MAX_BYTES, HANDSHAKE_MAX_BYTES};
use pomelovale_state::Name;
use rand::Rng;
use serde::{Deserialize, Serialize};
use tokio::net::TcpStream;
use tokio::task::JoinHandle;
use tokio::time::{sleep, timeout};

use crate::peer_format::{self, LinkFormat};
use crate::peer_link::{self, CountingStream, Frames, LinkEnd, PeerConfig, PeerEvent, FLUSH_MS};
use crate::socket::{self, Remote};

/// Request path of the single HTTP/2 stream of a peer connection.
pub(crate) const STREAM_PATH: &str = "/peer";
/// Maximum pause between two connection attempts.
const RETRY_MAX_MS: u64 = 250;

/// A control instance to connect to.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct PeerAddress {
    /// Its instance name.
    pub name: Name,
    /// Address of its peer listener.
    pub address: SocketAddr,
}

/// Maintains one connection until it is dropped.
#[derive(Debug)]
pub struct PeerClient {
    task: JoinHandle<()>,
}

impl PeerClient {
    /// Starts a task that connects, and reconnects whenever the connection is lost.
    pub fn start(
        config: PeerConfig,
        target: PeerAddress,
        events: flume::Sender<PeerEvent>,
    ) -> PeerClient {
        let task = tokio::spawn(async move {
            let mut failures = 0;
            while !events.is_disconnected() {
                failures = match connect_once(&config, &target, &events).await {
                    true => 0,
                    false => failures + 1,
                };
                sleep(retry_pause(config.timings.retry_ms, failures)).await;
            }
        });
        PeerClient { task }
    }
}

impl Drop for PeerClient {
    fn drop(&mut self) {
        self.task.abort();
    }
}

// Exponential backoff. Jitter keeps instances that lost the same peer from all
// reconnecting at the same moment.
fn retry_pause(base: u64, failures: u32) -> Duration {
    let longest = base
        .saturating_mul(1 << failures.min(6))
        .clamp(1, RETRY_MAX_MS);
    Duration::from_millis(rand::rng().random_range(longest / 2..=longest))
}

/// Opens one connection and exchanges messages on it until it ends. Returns whether
/// it was authenticated. Counts the cause of the end.
pub async fn connect_once(
    config: &PeerConfig,
    target: &PeerAddress,
    events: &flume::Sender<PeerEvent>,
) -> bool {
    let limit = Duration::from_millis(config.timings.connect_ms);
    let socket = match timeout(limit, TcpStream::connect(target.address)).await {
        Ok(Ok(socket)) => {
            socket::configure(&socket, Remote::Server);
            CountingStream::new(socket, config.counters.clone())
        }
        _ => return false,
    };
    let window = peer_link::window_bytes(config.role);
    let mut builder = client::Builder::new();
    builder
        .initial_window_size(window)
        .initial_connection_window_size(window)
        .enable_push(false);
    let (requests, connection) = match timeout(limit, builder.handshake(socket)).await {
        Ok(Ok(opened)) => opened,
        _ => return false,
    };
    let mut connection = std::pin::pin!(connection);
    let session = async {
        let opening = open_stream(config, target, requests);
        let (frames, format) = match timeout(limit, opening).await {
            Err(_) => return (false, LinkEnd::Silent),
            Ok(Err(end)) => return (false, end),
            Ok(Ok(opened)) => opened,
        };
        let (link, outgoing) = peer_link::link(target.name.clone(), Role::Control, format);
        let id = link.id;
        if events.send_async(PeerEvent::Opened(link)).await.is_err() {
            return (false, LinkEnd::Closed);
        }
        let end = peer_link::run(config, id, frames, outgoing, events).await;
        let _ = events.send_async(PeerEvent::Closed(id)).await;
        (true, end)
    };
    let mut session = std::pin::pin!(session);
    let (opened, end) = tokio::select! {
        biased;
        ended = &mut session => ended,
        // The session's stream fails when the connection ends, so the session ends.
        _ = &mut connection => session.await,
    };
    config.counters.count_end(end);
    if end == LinkEnd::Closed {
        let _ = timeout(Duration::from_millis(FLUSH_MS), connection).await;
    }
    opened
}

async fn open_stream(
    config: &PeerConfig,
    target: &PeerAddress,
    requests: client::SendRequest<Bytes>,
) -> Result<(Frames, LinkFormat), LinkEnd> {
    let mut requests = requests.ready().await?;
    let mut request = Request::post(STREAM_PATH)
        .body(())
        .map_err(|_| LinkEnd::Failed)?;
    *request.headers_mut() = peer_format::headers(&config.unnamed);
    let (response, send) = requests.send_request(request, false)?;
    let response = response.await?;
    let format = LinkFormat::of(response.headers(), &config.unnamed);
    let receive = response.into_body();
    let mut frames = Frames {
        send,
        receive,
        decoder: Decoder::new(HANDSHAKE_MAX_BYTES),
    };
    authenticate(config, target, &mut frames).await?;
    frames.decoder.set_limit(FRAME_MAX_BYTES);
    Ok((frames, format))
}

async fn authenticate(
    config: &PeerConfig,
    target: &PeerAddress,
    frames: &mut Frames,
) -> Result<(), LinkEnd> {
    let client_nonce = nonce();
    let hello = Handshake::Hello {
        name: config.name.clone(),
        role: config.role,
        nonce: client_nonce,
    };
    frames.write(&hello).await?;
    let Handshake::Challenge(server_nonce) = frames.read().await? else {
        return Err(LinkEnd::Rejected);
    };
    let session = Session {
        client: config.name.clone(),
        role: config.role,
        client_nonce,
        server: target.name.clone(),
        server_nonce,
    };
    let confirm = Handshake::Confirm(session.client_tag(&config.secret));
    frames.write(&confirm).await?;
    match frames.read().await? {
        Handshake::Welcome(tag) if session.verify_server_tag(&config.secret, &tag) => Ok(()),
        _ => Err(LinkEnd::Refused),
    }
}
