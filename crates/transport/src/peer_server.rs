//! Server side of peer connections.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use h2::server;
use h2::Reason;
use http::Response;
use pomelovale_protocol::auth::{nonce, Handshake, Role, Session};
use pomelovale_protocol::frame::{Decoder, FRAME_MAX_BYTES, HANDSHAKE_MAX_BYTES};
use pomelovale_state::Name;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Semaphore;
use tokio::task::{JoinHandle, JoinSet};
use tokio::time::{sleep, timeout};

use crate::peer_client::STREAM_PATH;
use crate::peer_format::{self, LinkFormat};
use crate::peer_link::{
    self, CountingStream, Frames, LinkEnd, PeerConfig, PeerEvent, FLUSH_MS, WINDOW_BYTES,
};
use crate::socket::{self, Remote};

/// Maximum number of open connections. The design scale has 440 instances.
const CONNECTIONS_MAX: usize = 1_024;
/// Maximum size of the header section of a stream.
const HEADER_MAX_BYTES: u32 = 4 * 1024;
/// Pause after a failed accept, which means that file descriptors are exhausted.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Listener for peer connections; dropping it closes them.
#[derive(Debug)]
pub struct PeerServer {
    address: SocketAddr,
    task: JoinHandle<()>,
}

impl PeerServer {
    /// Binds the address and accepts connections.
    pub async fn start(
        config: PeerConfig,
        address: SocketAddr,
        events: flume::Sender<PeerEvent>,
    ) -> io::Result<PeerServer> {
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        let task = tokio::spawn(accept_all(config, listener, events));
        Ok(PeerServer { address, task })
    }

    /// The bound address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Whether connections are still accepted.
    pub fn is_running(&self) -> bool {
        !self.task.is_finished()
    }

    /// Waits until no more connections are accepted.
    pub async fn ended(&mut self) {
        let _ = (&mut self.task).await;
    }
}

impl Drop for PeerServer {
    fn drop(&mut self) {
        self.task.abort();
    }
}

// The connections end with this task, since the task owns the join set.
async fn accept_all(config: PeerConfig, listener: TcpListener, events: flume::Sender<PeerEvent>) {
    let permits = Arc::new(Semaphore::new(CONNECTIONS_MAX));
    let mut connections = JoinSet::new();
    loop {
        while connections.try_join_next().is_some() {}
        let Ok(permit) = permits.clone().acquire_owned().await else {
            return;
        };
        let Ok((socket, _)) = listener.accept().await else {
            sleep(ACCEPT_PAUSE).await;
            continue;
        };
        let (config, events) = (config.clone(), events.clone());
        connections.spawn(async move {
            serve(&config, socket, &events).await;
            drop(permit);
        });
    }
}

async fn serve(config: &PeerConfig, socket: TcpStream, events: &flume::Sender<PeerEvent>) {
    socket::configure(&socket, Remote::Server);
    let socket = CountingStream::new(socket, config.counters.clone());
    let limit = Duration::from_millis(config.timings.connect_ms);
    let mut builder = server::Builder::new();
    builder
        .initial_window_size(WINDOW_BYTES)
        .initial_connection_window_size(WINDOW_BYTES)
        .max_concurrent_streams(1)
        .max_header_list_size(HEADER_MAX_BYTES);
    let opening = async {
        let mut connection = builder.handshake(socket).await?;
        let first = connection.accept().await.ok_or(LinkEnd::Closed)??;
        Ok::<_, LinkEnd>((connection, first))
    };
    let (mut connection, (request, mut respond)) = match timeout(limit, opening).await {
        Err(_) => return config.counters.count_end(LinkEnd::Refused),
        Ok(Err(_)) => return config.counters.count_end(LinkEnd::Rejected),
        Ok(Ok(opened)) => opened,
    };
    if request.uri().path() != STREAM_PATH {
        respond.send_reset(Reason::REFUSED_STREAM);
        return config.counters.count_end(LinkEnd::Rejected);
    }
    let session = async {
        let format = LinkFormat::of(request.headers(), &config.unnamed);
        let mut response = Response::new(());
        *response.headers_mut() = peer_format::headers(&config.unnamed);
        let send = respond.send_response(response, false)?;
        let mut frames = Frames {
            send,
            receive: request.into_body(),
            decoder: Decoder::new(HANDSHAKE_MAX_BYTES),
        };
        let (peer, role) = match timeout(limit, authenticate(config, &mut frames)).await {
            Err(_) => return Err(LinkEnd::Refused),
            Ok(peer) => peer?,
        };
        frames.decoder.set_limit(FRAME_MAX_BYTES);
        let (link, outgoing) = peer_link::link(peer, role, format);
        let id = link.id;
        let opened = events.send_async(PeerEvent::Opened(link)).await;
        opened.map_err(|_| LinkEnd::Closed)?;
        let end = peer_link::run(config, id, frames, outgoing, events).await;
        let _ = events.send_async(PeerEvent::Closed(id)).await;
        Ok(end)
    };
    let mut session = std::pin::pin!(session);
    let end = tokio::select! {
        biased;
        end = &mut session => end,
        // Polls the connection. Further streams are dropped.
        () = async { while connection.accept().await.is_some() {} } => session.await,
    };
    let end = end.unwrap_or_else(|end| end);
    config.counters.count_end(end);
    if end == LinkEnd::Closed {
        connection.graceful_shutdown();
        let flush = async { while connection.accept().await.is_some() {} };
        let _ = timeout(Duration::from_millis(FLUSH_MS), flush).await;
    }
}

async fn authenticate(config: &PeerConfig, frames: &mut Frames) -> Result<(Name, Role), LinkEnd> {
    let Handshake::Hello {
        name,
        role,
        nonce: client_nonce,
    } = frames.read().await?
    else {
        return Err(LinkEnd::Rejected);
    };
    if !name.is_valid() {
        return Err(LinkEnd::Rejected);
    }
    let session = Session {
        client: name,
        role,
        client_nonce,
        server: config.name.clone(),
        server_nonce: nonce(),
    };
    frames
        .write(&Handshake::Challenge(session.server_nonce))
        .await?;
    match frames.read().await? {
        Handshake::Confirm(tag) if session.verify_client_tag(&config.secret, &tag) => {}
        Handshake::Confirm(_) => return Err(LinkEnd::Refused),
        _ => return Err(LinkEnd::Rejected),
    }
    let welcome = Handshake::Welcome(session.server_tag(&config.secret));
    frames.write(&welcome).await?;
    Ok((session.client, session.role))
}
