//! HTTP client for engines and the store.
//!
//! Each request has its own connection. So a silent connection, a late response or bytes after a response can
//! never affect another request, and a request that failed before its connection was established is known not
//! to have run.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::task::JoinHandle;
use tokio::time::timeout;

/// Maximum size of the head of a response.
const MAX_HEAD_BYTES: usize = 64 << 10;

/// Why there is no response.
#[derive(Debug, thiserror::Error)]
pub(crate) enum Error {
    /// No connection was established, so nothing was sent.
    #[error("no connection: {0}")]
    Connect(String),
    /// The peer may have received the request.
    #[error("no response: {0}")]
    Exchange(#[from] hyper::Error),
}

/// A connection; dropping it closes the socket, which cancels the peer's work.
#[derive(Debug)]
pub(crate) struct Connection(JoinHandle<()>);

impl Drop for Connection {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// An open connection on which no request was sent yet.
#[derive(Debug)]
pub(crate) struct IdleConnection {
    sender: http1::SendRequest<Full<Bytes>>,
    connection: Connection,
}

/// Connects within `limit`.
pub(crate) async fn connect(address: SocketAddr, limit: Duration) -> Result<IdleConnection, Error> {
    let stream = match timeout(limit, TcpStream::connect(address)).await {
        Ok(Ok(stream)) => stream,
        Ok(Err(err)) => return Err(Error::Connect(err.to_string())),
        Err(_) => return Err(Error::Connect("time-out".to_owned())),
    };
    stream.set_nodelay(true).ok();
    let (sender, connection) = http1::Builder::new()
        .max_buf_size(MAX_HEAD_BYTES)
        .handshake(TokioIo::new(stream))
        .await
        .map_err(|err| Error::Connect(err.to_string()))?;
    let task = tokio::spawn(async move {
        if let Err(err) = connection.await {
            log::debug!("connection to {address}: {err}");
        }
    });
    Ok(IdleConnection {
        sender,
        connection: Connection(task),
    })
}

impl IdleConnection {
    /// Sends the request and waits for the head of the response.
    pub(crate) async fn send(
        mut self,
        request: Request<Full<Bytes>>,
    ) -> Result<(Response<Incoming>, Connection), Error> {
        let response = self.sender.send_request(request).await?;
        Ok((response, self.connection))
    }
}
