//! Options of TCP sockets.

use std::io;
use std::time::Duration;

use socket2::SockRef;
use tokio::net::TcpStream;

/// The other end of a connection.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Remote {
    Caller,
    /// A backend server or another instance.
    Server,
}

impl Remote {
    // Value of `TCP_USER_TIMEOUT`: how long written bytes may stay unacknowledged, or wait
    // for a receive window, before the connection is closed. Keep-alive probes, which are
    // not enabled here, would give up after it, too, whatever their count.
    fn user_timeout(self) -> Duration {
        match self {
            // No other instance can return the response, so only a caller that is gone
            // should lose it, and not one on a slow or congested link.
            Remote::Caller => Duration::from_secs(60),
            // Round trips between regions take 110 ms; the rest of the time covers the
            // loss of two packets.
            Remote::Server => Duration::from_millis(2_500),
        }
    }
}

/// Disables Nagle's algorithm and limits the time to detect an unreachable peer.
/// If an option can't be set, the socket is used without it.
pub(crate) fn configure(stream: &TcpStream, remote: Remote) {
    let set = || -> io::Result<()> {
        stream.set_nodelay(true)?;
        SockRef::from(stream).set_tcp_user_timeout(Some(remote.user_timeout()))
    };
    if let Err(e) = set() {
        log::debug!("can't set a TCP socket option: {e}");
    }
}
