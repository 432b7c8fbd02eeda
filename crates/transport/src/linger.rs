//! Closes callers' connections.

use std::io::{self, ErrorKind, Read};
use std::net::Shutdown;
use std::time::Duration;

use socket2::SockRef;
use tokio::io::Interest;
use tokio::net::TcpStream;
use tokio::time::timeout;

/// Time for which an idle socket is kept open, in milliseconds.
const IDLE_MS: u64 = 500;
/// Time after a response for which its socket is kept open, in milliseconds. Closing a
/// socket with unread data, or to which data is sent later, resets the connection, and
/// the caller loses what it has not received yet. Round trips between regions take
/// 110 ms; the rest of the time covers the loss of two packets, and callers that pause.
const RESPONSE_MS: u64 = 2_500;
// Maximum number of bytes read in that time.
const DRAIN_MAX_BYTES: usize = 1024 * 1024;

/// What happens to bytes that a caller sends after the last response.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum LateBytes {
    /// They are discarded at the end of the linger time, since they would reset the
    /// connection under a response that is still on its way. The caller was told of the close.
    Discard,
    /// They are read and discarded as they arrive: the rest of a request that was answered. The
    /// caller may not read the response before it has sent all.
    Read,
    /// They are never read. The caller was not told of the close, and learns from the reset
    /// that its request was not received.
    Leave,
}

/// Complete responses that the server sends without calling the handler.
#[derive(Clone, Copy, Debug)]
pub(crate) enum BuiltinResponse {
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

/// Time for which a socket is kept open if its last response was written `since` ago, in
/// milliseconds.
pub(crate) fn limit(since: Option<u64>) -> Duration {
    let left = since.map_or(0, |ms| RESPONSE_MS.saturating_sub(ms));
    Duration::from_millis(left.max(IDLE_MS))
}

/// Whether a stop waits for a socket that is idle `since` its last response, in
/// milliseconds.
pub(crate) fn is_recent(since: Option<u64>) -> bool {
    since.is_some_and(|ms| ms < IDLE_MS)
}

/// Writes a last response, if any, and closes the connection once the caller has done so, or
/// after `limit`.
pub(crate) async fn close(
    stream: &TcpStream,
    answer: Option<BuiltinResponse>,
    late: LateBytes,
    limit: Duration,
) {
    let lingering = async {
        if let Some(answer) = answer {
            write(stream, answer.bytes()).await?;
        }
        SockRef::from(stream).shutdown(Shutdown::Write)?;
        match late {
            LateBytes::Read => drain(stream).await,
            LateBytes::Discard | LateBytes::Leave => wait_closed(stream).await,
        }
    };
    let _ = timeout(limit, lingering).await;
    if late != LateBytes::Leave {
        discard(stream);
    }
}

async fn write(stream: &TcpStream, mut bytes: &[u8]) -> io::Result<()> {
    while !bytes.is_empty() {
        stream.writable().await?;
        match stream.try_write(bytes) {
            Ok(n) => bytes = &bytes[n..],
            Err(e) if e.kind() == ErrorKind::WouldBlock => {}
            Err(e) => return Err(e),
        }
    }
    Ok(())
}

async fn drain(stream: &TcpStream) -> io::Result<()> {
    let (mut buffer, mut left) = ([0; 4096], DRAIN_MAX_BYTES);
    while left > 0 {
        stream.readable().await?;
        match stream.try_read(&mut buffer) {
            Ok(0) => return Ok(()),
            Ok(n) => left = left.saturating_sub(n),
            Err(e) if e.kind() == ErrorKind::WouldBlock => {}
            Err(e) => return Err(e),
        }
    }
    Ok(())
}

// Reads what has arrived, without waiting.
fn discard(stream: &TcpStream) {
    let (mut buffer, mut left) = ([0; 4096], DRAIN_MAX_BYTES);
    let socket = SockRef::from(stream);
    while let Ok(n @ 1..) = (&*socket).read(&mut buffer) {
        left = left.saturating_sub(n);
        if left == 0 {
            return;
        }
    }
}

// Waits until the caller has closed its side, without reading.
async fn wait_closed(stream: &TcpStream) -> io::Result<()> {
    loop {
        if stream.ready(Interest::READABLE).await?.is_read_closed() {
            return Ok(());
        }
        // Clears the readiness, so that the next event is waited for.
        let _ = stream.try_io(Interest::READABLE, || {
            Err::<(), _>(ErrorKind::WouldBlock.into())
        });
    }
}
