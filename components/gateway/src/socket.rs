//! Options of the sockets on which a node sends what may take effect only while it has a right to.
//!
//! The kernel keeps sent bytes until the peer acknowledges them, also after the socket was closed
//! or its process was killed. If the path to the peer is cut, they arrive after the end of the cut,
//! however long it lasted.

use std::{io, time::Duration};

use socket2::SockRef;
use tokio::net::TcpStream;

/// Time without an acknowledgement after which the kernel ends the connection of a control call
/// (`TCP_USER_TIMEOUT`), whatever became of the process.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_millis(500);

/// Longest time from the writing of a control call to its arrival.
///
/// The kernel counts its timeout from the first retransmission, which follows a probe and a
/// retransmission timeout; both take 200 ms and a few round trips.
pub const MAX_CONTROL_DELIVERY: Duration = Duration::from_millis(1200);

/// Makes the kernel discard what the peer has not acknowledged when the socket is closed, by the
/// process or by its end, and at the latest [`MAX_CONTROL_DELIVERY`] after it was written.
pub fn discard_unacknowledged(io: &TcpStream) -> io::Result<()> {
    discard_unacknowledged_after(io, UNACKNOWLEDGED_TIMEOUT)
}

/// The same, once the peer has acknowledged nothing for `timeout`.
pub(crate) fn discard_unacknowledged_after(io: &TcpStream, timeout: Duration) -> io::Result<()> {
    let socket = SockRef::from(io);
    socket.set_linger(Some(Duration::ZERO))?;
    socket.set_tcp_user_timeout(Some(timeout))
}
