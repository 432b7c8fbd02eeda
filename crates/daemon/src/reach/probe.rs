//! Probes that only tell whether a server shows any life.

use std::io::ErrorKind;
use std::net::SocketAddr;
use std::time::Duration;

use pomelovale_state::Millis;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{timeout, Instant};

/// Time for which a connection to a server must stay open: a terminating process closes
/// its connections and its listener one by one. In milliseconds.
pub const SETTLE_MS: u64 = 25;

/// How a server reacts to a probe.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Reaction {
    /// Sends a byte, which is not looked at.
    Answers,
    /// Closes the connection without an answer, after this time.
    ClosesAfter(Duration),
    /// Does nothing within the time limit.
    Silent,
}

/// Sends a probe on a new connection, and waits up to `limit`.
pub async fn probe(stream: &mut TcpStream, path: &str, limit: Duration) -> Reaction {
    let request = format!("GET {path} HTTP/1.1\r\nhost: server\r\nconnection: close\r\n\r\n");
    let (mut byte, start) = ([0], Instant::now());
    let exchange = async {
        stream.write_all(request.as_bytes()).await?;
        stream.read(&mut byte).await
    };
    match timeout(limit, exchange).await {
        Ok(Ok(1..)) => Reaction::Answers,
        Ok(Ok(0) | Err(_)) => Reaction::ClosesAfter(start.elapsed()),
        Err(_) => Reaction::Silent,
    }
}

/// What the port of a server does.
#[derive(Debug)]
pub enum Port {
    /// Accepts a connection and keeps it open.
    Open(TcpStream),
    /// Accepts a connection and closes it.
    Closes,
    /// Refuses connections.
    Refuses,
    /// Doesn't react, or can't be reached.
    Unreachable,
}

/// Opens a connection within `limit`, and looks whether it stays open.
pub async fn look_at_port(address: SocketAddr, limit: Duration) -> Port {
    let mut byte = [0];
    match timeout(limit, TcpStream::connect(address)).await {
        Ok(Ok(mut stream)) => {
            let settle = Millis(SETTLE_MS).duration();
            match timeout(settle, stream.read(&mut byte)).await {
                Ok(_) => Port::Closes,
                Err(_) => Port::Open(stream),
            }
        }
        Ok(Err(e)) if e.kind() == ErrorKind::ConnectionRefused => Port::Refuses,
        Ok(Err(_)) | Err(_) => Port::Unreachable,
    }
}
