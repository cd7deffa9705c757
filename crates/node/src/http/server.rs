//! Listening socket for callers and the runtime that owns their connections.

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

/// Threads that do socket I/O; requests run on blocking threads.
const IO_THREADS: usize = 2;

/// Blocking threads that reload the certificate, in addition to those for requests.
const RENEWAL_THREADS: usize = 1;

/// Stack size of each thread. Frames are small, and there may be thousands of threads.
const STACK_BYTES: usize = 512 << 10;

/// Connections that the kernel queues until they are accepted.
const LISTEN_BACKLOG: u32 = 1024;

/// Interval between checks of the node's phase.
const STOP_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Delay after a failed accept. Without file descriptors, the next accept would fail at once as well.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Time to send the remaining bytes of responses after the node has stopped.
const FLUSH_TIMEOUT: Duration = Duration::from_secs(1);

/// Connections over the limit that receive a refusal concurrently; further ones are closed without one.
const MAX_REFUSALS: usize = 64;

/// Time-out for sending a refusal on a connection over the limit.
const REFUSAL_TIMEOUT: Duration = Duration::from_secs(1);

/// Retry delay of a caller whose connection was refused.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// Failure to start the server.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The address for callers cannot be bound.
    #[error("cannot listen on {address}: {cause}")]
    Bind {
        /// The address.
        address: SocketAddr,
        /// The failure.
        cause: io::Error,
    },
    /// The runtime did not start.
    #[error("cannot start the runtime of the HTTP server: {0}")]
    Runtime(io::Error),
    /// The certificate or its private key cannot be used.
    #[error("cannot set up TLS for the caller API: {0}")]
    Tls(#[from] tls::Error),
}

/// A server that is bound to its address and does not accept connections yet.
#[derive(Debug)]
pub(crate) struct Server {
    runtime: Runtime,
    listener: TcpListener,
    address: SocketAddr,
    tls: Option<Tls>,
}

impl Server {
    /// Binds the address for callers.
    ///
    /// # Errors
    /// Any [`Error`].
    pub(crate) fn bind(settings: &Settings) -> Result<Self, Error> {
        let tls = settings.tls.as_ref().map(Tls::open).transpose()?;
        let runtime = Builder::new_multi_thread()
            .worker_threads(IO_THREADS)
            .max_blocking_threads(settings.http.max_open_requests + RENEWAL_THREADS)
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

    /// Address for callers, with the assigned port.
    pub(crate) fn address(&self) -> SocketAddr {
        self.address
    }

    /// Serves callers until the node stops, then flushes responses for at most [`FLUSH_TIMEOUT`].
    pub(crate) fn run(self, shared: &Arc<Shared>) {
        let Self {
            runtime,
            listener,
            tls,
            ..
        } = self;
        runtime.block_on(serve(shared, listener, tls));
        // Requests that exceeded the time-out of a planned stop may still occupy threads.
        runtime.shutdown_background();
    }
}

fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = match address {
        SocketAddr::V4(_) => TcpSocket::new_v4()?,
        SocketAddr::V6(_) => TcpSocket::new_v6()?,
    };
    // A restarted node can bind its port while old connections are still in TIME_WAIT.
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(LISTEN_BACKLOG)
}

async fn serve(shared: &Arc<Shared>, listener: TcpListener, tls: Option<Tls>) {
    let (stop, stopping) = watch::channel(());
    let connections = Arc::new(Semaphore::new(shared.settings.http.max_connections));
    let refusals = Arc::new(Semaphore::new(MAX_REFUSALS));
    let acceptor = tls.as_ref().map(Tls::acceptor);
    if let Some(tls) = tls {
        tokio::spawn(tls.watch_files(Arc::clone(shared)));
    }
    loop {
        let (stream, peer) = tokio::select! {
            () = stopped(shared) => break,
            accepted = listener.accept() => match accepted {
                Ok(accepted) => accepted,
                Err(err) => {
                    log::debug!("cannot accept a connection: {err}");
                    shared.metrics.accept_failures.inc();
                    sleep(ACCEPT_RETRY_DELAY).await;
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
    // Connections that are still open after the time-out are aborted.
    timeout(FLUSH_TIMEOUT, connections.acquire_many(all)).await.ok();
}

async fn stopped(shared: &Shared) {
    while shared.phase.get() < Phase::Stopped {
        sleep(STOP_CHECK_INTERVAL).await;
    }
}

/// Sends a refusal on a connection over the limit.
async fn refuse(mut stream: TcpStream, _permit: OwnedSemaphorePermit) -> io::Result<()> {
    // The request is not read. It may repeat a call with an idempotency key that ran before, so the refusal
    // must not say that nothing ran.
    let refusal = Refusal::unknown(Reason::Overloaded).retry_after(RETRY_AFTER);
    let reply = Reply::refusal(&refusal).header("Connection", "close".to_owned());
    stream.write_all(&dispatch::encode(&reply)).await?;
    stream.shutdown().await?;
    // Closing a socket with unread bytes resets the connection, and the caller may lose the refusal.
    let mut rest = [0; 1024];
    while stream.read(&mut rest).await? > 0 {}
    Ok(())
}
