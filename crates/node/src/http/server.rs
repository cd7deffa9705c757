//! The listening socket and the runtime that owns all connections of callers.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use config::settings::Settings;
use model::Refusal;
use model::refusal::Reason;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::runtime::{Builder, Runtime};
use tokio::sync::{OwnedSemaphorePermit, Semaphore, watch};
use tokio::time::{sleep, timeout};

use super::reply::Reply;
use super::tls::{self, Tls};
use super::{connection, dispatch};
use crate::phase::Phase;
use crate::shared::Shared;

/// Threads for sockets; they only move bytes, the requests run on other threads.
const WORKERS: usize = 2;

/// Blocking threads besides those for requests: renewal of the certificate.
const OTHER_THREADS: usize = 1;

/// Stack of each thread; the frames are small and there may be thousands of threads.
const STACK_BYTES: usize = 512 << 10;

/// Connections that may wait to be accepted.
const BACKLOG: u32 = 1024;

/// Interval between checks whether the node stops.
const POLL: Duration = Duration::from_millis(100);

/// Pause after a failed accept; it fails at once again while file descriptors are short.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Time for the last bytes of answers to leave after the node has stopped.
const FLUSH_TIMEOUT: Duration = Duration::from_secs(1);

/// Connections over the bound that are sent a refusal at the same time; more are closed without one.
const MAX_REFUSALS: usize = 64;

/// Time to send a refusal to a connection over the bound.
const REFUSAL_TIMEOUT: Duration = Duration::from_secs(1);

/// When a caller that was refused a connection may try again.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// Failure to start the server.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The address for callers is not available.
    #[error("cannot listen on {address}: {cause}")]
    Bind {
        /// The address.
        address: SocketAddr,
        /// The failure.
        cause: io::Error,
    },
    /// The runtime did not start.
    #[error("cannot start the server: {0}")]
    Runtime(io::Error),
    /// The certificate or the private key is not usable.
    #[error("TLS towards callers: {0}")]
    Tls(#[from] tls::Error),
}

/// A bound server that accepts nothing yet.
#[derive(Debug)]
pub(crate) struct Server {
    runtime: Runtime,
    listener: TcpListener,
    address: SocketAddr,
    tls: Option<Tls>,
}

impl Server {
    /// Listens on the address for callers.
    ///
    /// # Errors
    /// Any [`Error`].
    pub(crate) fn bind(settings: &Settings) -> Result<Self, Error> {
        let tls = settings.tls.as_ref().map(Tls::open).transpose()?;
        let runtime = Builder::new_multi_thread()
            .worker_threads(WORKERS)
            .max_blocking_threads(settings.http.max_open_requests + OTHER_THREADS)
            .thread_stack_size(STACK_BYTES)
            .thread_name("http")
            .enable_io()
            .enable_time()
            .build()
            .map_err(Error::Runtime)?;
        let address = settings.node.entry;
        let bind = |cause| Error::Bind { address, cause };
        let listener = {
            let _context = runtime.enter();
            listen(address).map_err(bind)?
        };
        Ok(Self {
            address: listener.local_addr().map_err(bind)?,
            runtime,
            listener,
            tls,
        })
    }

    /// Address for callers, with the port that was assigned.
    pub(crate) fn address(&self) -> SocketAddr {
        self.address
    }

    /// Serves callers until the node stops, then flushes answers for a bounded time.
    pub(crate) fn run(self, shared: &Arc<Shared>) {
        let Self {
            runtime,
            listener,
            tls,
            ..
        } = self;
        runtime.block_on(serve(shared, listener, tls));
        // Requests that were cut off by the bound of a planned stop may still hold threads.
        runtime.shutdown_background();
    }
}

fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = match address {
        SocketAddr::V4(_) => TcpSocket::new_v4()?,
        SocketAddr::V6(_) => TcpSocket::new_v6()?,
    };
    // A restarted node takes its port over while old connections are still in TIME_WAIT.
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(BACKLOG)
}

async fn serve(shared: &Arc<Shared>, listener: TcpListener, tls: Option<Tls>) {
    let (stop, stopping) = watch::channel(());
    let connections = Arc::new(Semaphore::new(shared.settings.http.max_connections));
    let refusals = Arc::new(Semaphore::new(MAX_REFUSALS));
    let acceptor = tls.as_ref().map(Tls::acceptor);
    if let Some(tls) = tls {
        tokio::spawn(tls.renew(Arc::clone(shared)));
    }
    loop {
        let (stream, peer) = tokio::select! {
            () = stopped(shared) => break,
            accepted = listener.accept() => match accepted {
                Ok(accepted) => accepted,
                Err(err) => {
                    log::debug!("accept: {err}");
                    shared.metrics.accept_failures.inc();
                    sleep(ACCEPT_PAUSE).await;
                    continue;
                }
            },
        };
        let Ok(permit) = Arc::clone(&connections).try_acquire_owned() else {
            shared.metrics.connections_refused.inc();
            if let (Ok(permit), None) = (Arc::clone(&refusals).try_acquire_owned(), &acceptor) {
                tokio::spawn(timeout(REFUSAL_TIMEOUT, refuse(stream, permit)));
            }
            continue;
        };
        let accepted = connection::Accepted {
            shared: Arc::clone(shared),
            peer,
            permit,
            stopping: stopping.clone(),
        };
        tokio::spawn(connection::run(accepted, stream, acceptor.clone()));
    }
    drop(listener);
    if shared.killed.load(Ordering::SeqCst) {
        return;
    }
    stop.send_replace(());
    let all = u32::try_from(shared.settings.http.max_connections).unwrap_or(u32::MAX);
    // Past the time-out, the rest is cut off.
    timeout(FLUSH_TIMEOUT, connections.acquire_many(all)).await.ok();
}

async fn stopped(shared: &Shared) {
    while shared.phase.get() < Phase::Stopped {
        sleep(POLL).await;
    }
}

/// Sends a refusal on a connection over the bound.
async fn refuse(mut stream: TcpStream, _permit: OwnedSemaphorePermit) -> io::Result<()> {
    // The request is not read: it may repeat a call with an idempotency key that ran earlier.
    let refusal = Refusal::unknown(Reason::Overloaded).retry_after(RETRY_AFTER);
    let reply = Reply::refusal(&refusal).header("Connection", "close".to_owned());
    stream.write_all(&dispatch::bytes(&reply)).await?;
    stream.shutdown().await?;
    // Closing a socket with unread bytes resets the connection, and the caller may lose the refusal.
    let mut rest = [0; 1024];
    while stream.read(&mut rest).await? > 0 {}
    Ok(())
}
