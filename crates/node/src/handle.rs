//! Start and planned stop of a node.

use std::net::{SocketAddr, TcpListener, UdpSocket};
use std::sync::atomic::Ordering;
use std::sync::{Arc, PoisonError};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use config::settings::Settings;
use tokio::runtime::Runtime;
use tokio::sync::oneshot;

use crate::http::server as callers;
use crate::peers::{exchange, gossip, server};
use crate::phase::Phase;
use crate::ports::Ports;
use crate::secrets::Secrets;
use crate::shared::Shared;
use crate::{billing, config_log, hosts, key_files, once, polling, ratings, rollouts, timer};

/// Interval of the checks during a planned stop.
const POLL: Duration = Duration::from_millis(20);

/// Threads of the runtime for calls between nodes.
const RUNTIME_THREADS: usize = 2;

/// Calls of other nodes that are executed at the same time; further ones wait.
const MAX_EXECUTIONS: usize = 256;

/// Time until the announcement of a planned stop has reached the other nodes, so that they name this one no more.
const SPREAD: Duration = Duration::from_secs(2);

/// Wait for the log after all bills are held by two other nodes.
const LOG_WAIT: Duration = Duration::from_secs(5);

/// Failure to start.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The server of the caller API did not start.
    #[error(transparent)]
    Callers(#[from] callers::Error),
    /// An address for other nodes is not available.
    #[error("cannot listen on {address}: {cause}")]
    Bind {
        /// The address.
        address: SocketAddr,
        /// The failure.
        cause: std::io::Error,
    },
    /// A thread or a socket is not available.
    #[error("cannot start a thread or read a socket: {0}")]
    Thread(#[from] std::io::Error),
}

/// Whether a planned stop completed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Stopped {
    /// All requests finished, and all bills are in the log or held by two other nodes.
    Complete,
    /// The bound passed first: so many requests were cut off, or so many billing records are neither in the log nor
    /// held by two other nodes.
    Bounded {
        /// Requests that were cut off.
        requests: usize,
        /// Billing records that may be lost.
        records: usize,
    },
}

/// A running node. Dropping it without [`Handle::stop`] leaves its threads running.
#[derive(Debug)]
pub struct Handle {
    shared: Arc<Shared>,
    address: SocketAddr,
    threads: Vec<JoinHandle<()>>,
    runtime: Runtime,
    /// Ends the service for other nodes.
    peer_server: oneshot::Sender<()>,
}

/// Starts a node.
///
/// # Errors
/// Any [`Error`].
pub fn spawn(mut settings: Settings, secrets: Secrets, ports: Ports) -> Result<Handle, Error> {
    let callers = callers::Server::bind(&settings)?;
    let bind = |address| move |cause| Error::Bind { address, cause };
    let node = &mut settings.node;
    let peer = TcpListener::bind(node.peer).map_err(bind(node.peer))?;
    let socket = UdpSocket::bind(node.gossip).map_err(bind(node.gossip))?;
    // With port 0 in the settings, other nodes and callers learn the port that was assigned.
    node.entry = callers.address();
    node.peer = peer.local_addr()?;
    node.gossip = socket.local_addr()?;
    let address = node.entry;
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .thread_name("peers")
        .worker_threads(RUNTIME_THREADS)
        .max_blocking_threads(MAX_EXECUTIONS)
        .enable_all()
        .build()?;
    let shared = Arc::new(Shared::new(settings, &secrets, ports, runtime.handle().clone()));
    let (peer_server, stop) = oneshot::channel();
    server::spawn(&shared, peer, stop)?;
    shared.members_changed();
    let threads = vec![
        thread("config-log", &shared, config_log::run)?,
        thread("config-calls", &shared, config_log::call_log)?,
        thread("hosts", &shared, |it| hosts::run(it))?,
        thread("key-files", &shared, move |it| key_files::run(it, secrets))?,
        thread("timer", &shared, |it| timer::run(it))?,
        thread("ratings", &shared, |it| ratings::run(it))?,
        thread("rollouts", &shared, |it| rollouts::run(it))?,
        thread("polling", &shared, |it| polling::run(it))?,
        thread("gossip", &shared, move |it| gossip::run(it, &socket))?,
        thread("evidence", &shared, |it| exchange::run(it))?,
        thread("billing", &shared, billing::run)?,
        thread("billing-log", &shared, billing::append)?,
        thread("callers", &shared, move |it| callers.run(it))?,
    ];
    log::info!("host {} serves callers on {address}", shared.settings.node.host);
    Ok(Handle {
        shared,
        address,
        threads,
        runtime,
        peer_server,
    })
}

impl Handle {
    /// Address for callers.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Whether callers may be sent to this node.
    pub fn is_ready(&self) -> bool {
        self.shared.is_ready()
    }

    /// Whether a planned stop was requested, by an operator's drain or by [`Handle::stop`].
    pub fn is_leaving(&self) -> bool {
        self.shared.phase.get() >= Phase::Leaving
    }

    /// Address for calls of other nodes.
    pub fn peer_address(&self) -> SocketAddr {
        self.shared.settings.node.peer
    }

    /// Address for membership datagrams.
    pub fn gossip_address(&self) -> SocketAddr {
        self.shared.settings.node.gossip
    }

    /// Number of live nodes that this one knows, itself included.
    pub fn members(&self) -> usize {
        self.shared.peers.live(self.shared.now()).len() + 1
    }

    /// Stops gracefully: waits until callers no longer hold this node's address, refuses new requests, lets the
    /// others finish, hands over the keys and delivers the bills, all within the settings' `drain_timeout`.
    pub fn stop(self) -> Stopped {
        let shared = &self.shared;
        let start = Instant::now();
        let end = start + shared.settings.stop.drain_timeout;
        shared.phase.advance(Phase::Leaving);
        log::info!("host {} leaves", shared.settings.node.host);
        wait(end, || self.entry_answers_expired(start));
        shared.phase.advance(Phase::Sealed);
        shared.once.seal();
        wait(end, || self.open_requests() == 0 && shared.once.running() == 0);
        let requests = self.open_requests();
        if once::hand_over(shared) < once::TABLE_HOLDERS && self.members() > once::TABLE_HOLDERS {
            log::warn!(
                "fewer than {} nodes took over the idempotency keys",
                once::TABLE_HOLDERS
            );
        }
        shared.biller.flush(shared.now());
        wait(end.min(Instant::now() + LOG_WAIT), || {
            shared.biller.unsettled() == 0
        });
        wait(end, || shared.biller.unsettled() == 0 || shared.biller.is_safe());
        let records = match shared.biller.is_safe() {
            true => 0,
            false => shared.biller.unsettled(),
        };
        self.end();
        if requests == 0 && records == 0 {
            return Stopped::Complete;
        }
        Stopped::Bounded { requests, records }
    }

    /// Ends the node at once, as if its process was killed: nothing is announced, handed over or appended. Requests
    /// under way may still reach their callers, because threads cannot be ended from outside.
    pub fn kill(self) {
        self.shared.killed.store(true, Ordering::SeqCst);
        self.end();
    }

    fn end(self) {
        self.shared.phase.advance(Phase::Stopped);
        // A receiver that is gone has stopped already.
        self.peer_server.send(()).ok();
        for thread in self.threads {
            if thread.join().is_err() {
                log::error!("a thread of host {} had panicked", self.shared.settings.node.host);
            }
        }
        self.runtime.shutdown_background();
    }

    fn open_requests(&self) -> usize {
        self.shared.open.load(Ordering::SeqCst)
    }

    /// Whether no caller holds this node's address any more, for a stop that was announced at `announced`.
    fn entry_answers_expired(&self, announced: Instant) -> bool {
        let lifetime = self.shared.settings.stop.entry_lifetime;
        // Any other node may have named this one until it learned of the stop.
        if self.members() > 1 && announced.elapsed() < SPREAD + lifetime {
            return false;
        }
        let named_at = *self
            .shared
            .named_at
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        named_at.is_none_or(|it| it.elapsed() >= lifetime)
    }
}

fn thread(
    name: &str,
    shared: &Arc<Shared>,
    run: impl FnOnce(&Arc<Shared>) + Send + 'static,
) -> Result<JoinHandle<()>, Error> {
    let shared = Arc::clone(shared);
    let thread = std::thread::Builder::new().name(name.to_owned());
    Ok(thread.spawn(move || run(&shared))?)
}

fn wait(end: Instant, done: impl Fn() -> bool) {
    while !done() && Instant::now() < end {
        std::thread::sleep(POLL);
    }
}
