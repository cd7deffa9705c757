//! The listening socket.
//!
//! The HTTP library sets no time-outs on connections. Linux copies a listening socket's send time-out to each
//! connection that it accepts, so the time-out is set here once, and a caller that does not read cannot hold a thread
//! forever. The receive time-out is not set, because it would also end the library's accept loop when it is idle.

use std::io;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::fd::OwnedFd;
use std::time::Duration;

/// Greatest wait for a caller that does not read its answer.
const WRITE_TIMEOUT: Duration = Duration::from_secs(10);

/// Listens on `address`.
///
/// # Errors
/// The address is not available.
pub(crate) fn bind(address: SocketAddr) -> io::Result<TcpListener> {
    let listener = TcpListener::bind(address)?;
    // Time-outs are methods of streams only; the conversion does not touch the socket.
    let socket = TcpStream::from(OwnedFd::from(listener));
    socket.set_write_timeout(Some(WRITE_TIMEOUT))?;
    Ok(TcpListener::from(OwnedFd::from(socket)))
}
