//! Options of TCP sockets.

use std::io;
use std::time::Duration;

use socket2::SockRef;
use tokio::net::TcpStream;

/// How long written bytes may stay unacknowledged before the connection counts
/// as lost. Round trips between regions take 110 ms; the rest covers two lost
/// packets.
const USER_TIMEOUT: Duration = Duration::from_millis(2_500);

/// Sends small messages at once, and ends connections whose peer went silent.
/// A socket that refuses an option is used without it.
pub(crate) fn configure(stream: &TcpStream) {
    let set = || -> io::Result<()> {
        stream.set_nodelay(true)?;
        SockRef::from(stream).set_tcp_user_timeout(Some(USER_TIMEOUT))
    };
    if let Err(e) = set() {
        log::debug!("an option of a TCP socket is refused: {e}");
    }
}
