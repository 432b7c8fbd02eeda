//! Options of TCP sockets.

use std::io;
use std::time::Duration;

use socket2::SockRef;
use tokio::net::TcpStream;

/// Value of `TCP_USER_TIMEOUT`: how long written bytes may stay unacknowledged
/// before the connection is closed. Round trips between regions take 110 ms; the
/// rest of the time covers the loss of two packets. Keep-alive probes, which are not
/// enabled here, would give up after it, too, whatever their count.
const USER_TIMEOUT: Duration = Duration::from_millis(2_500);

/// Disables Nagle's algorithm and limits the time to detect an unreachable peer.
/// If an option can't be set, the socket is used without it.
pub(crate) fn configure(stream: &TcpStream) {
    let set = || -> io::Result<()> {
        stream.set_nodelay(true)?;
        SockRef::from(stream).set_tcp_user_timeout(Some(USER_TIMEOUT))
    };
    if let Err(e) = set() {
        log::debug!("can't set a TCP socket option: {e}");
    }
}
