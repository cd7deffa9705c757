//! Options of TCP sockets that find peers which have gone silent.
//!
//! On Linux, a `TCP_USER_TIMEOUT` also decides when keep-alive probes give up, whatever their number. So both are set, and
//! a peer that acknowledges nothing is found within the same time, whether data is under way or not.

use std::io;
use std::time::Duration;

use socket2::{SockRef, TcpKeepalive};

/// Time after which a silent engine, node or store is given up. Exchanges with them have shorter timeouts of their own.
pub(crate) const PEER_TIMEOUT: Duration = Duration::from_secs(20);

/// Parts of the timeout at which the first probe is sent, and between two of them.
const FIRST_PROBE_FRACTION: u32 = 2;
const PROBE_FRACTION: u32 = 4;

/// Resolution of the times between probes.
const RESOLUTION: Duration = Duration::from_secs(1);

/// Makes the socket fail once its peer has acknowledged nothing for `timeout`. Sockets that are accepted from a
/// listening one inherit this.
///
/// # Errors
/// The system does not support an option.
pub(crate) fn set<'s>(socket: impl Into<SockRef<'s>>, timeout: Duration) -> io::Result<()> {
    let socket = socket.into();
    let keep_alive = TcpKeepalive::new()
        .with_time((timeout / FIRST_PROBE_FRACTION).max(RESOLUTION))
        .with_interval((timeout / PROBE_FRACTION).max(RESOLUTION));
    socket.set_tcp_keepalive(&keep_alive)?;
    socket.set_tcp_user_timeout(Some(timeout))
}

/// Like [`set`]; without the options, other timeouts bound the exchange.
pub(crate) fn try_set<'s>(socket: impl Into<SockRef<'s>>, timeout: Duration) {
    if let Err(err) = set(socket, timeout) {
        log::debug!("keep-alive: {err}");
    }
}

#[cfg(test)]
mod tests;
