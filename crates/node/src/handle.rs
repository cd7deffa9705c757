//! Start and graceful shutdown of a node.

use std::net::{SocketAddr, TcpListener, UdpSocket};
use std::sync::atomic::Ordering;
use std::sync::{Arc, PoisonError};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use config::settings::Settings;
use tokio::runtime::Runtime;
use tokio::sync::oneshot;

use crate::http::server as callers;
use crate::peers::{evidence_exchange, gossip, server};
use crate::phase::Phase;
use crate::ports::Ports;
use crate::secrets::Secrets;
use crate::shared::Shared;
use crate::{billing, config_log, engine_polling, hosts, idempotency, key_files, ratings, rollouts, timer};

/// Interval of the checks during a planned stop.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Number of threads of the asynchronous runtime for calls between nodes.
const RUNTIME_THREADS: usize = 2;

/// Maximum number of calls from other nodes that are executed concurrently; further calls are queued.
const MAX_EXECUTIONS: usize = 256;

/// Time until the announcement of a planned stop has reached all other nodes, so that their entry answers no
/// longer contain this node.
const ANNOUNCEMENT_TIME: Duration = Duration::from_secs(2);

/// Time for appending the remaining billing records to the log, before records held by two other nodes
/// suffice.
const LOG_TIMEOUT: Duration = Duration::from_secs(5);

/// Failure to start a node.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The server of the caller API cannot be started.
    #[error(transparent)]
    CallerApi(#[from] callers::Error),
    /// An address for calls or datagrams from other nodes cannot be bound.
    #[error("cannot listen on {address}: {cause}")]
    Bind {
        /// The address.
        address: SocketAddr,
        /// The failure.
        cause: std::io::Error,
    },
    /// A thread, the asynchronous runtime or a socket cannot be set up.
    #[error("cannot set up a thread or a socket: {0}")]
    Io(#[from] std::io::Error),
}

/// Outcome of a planned stop.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StopOutcome {
    /// All requests finished, and all billing records are in the log or held by two other nodes.
    Complete,
    /// The drain time-out passed first: requests were aborted, or billing records are neither in the log nor
    /// held by two other nodes.
    TimedOut {
        /// Number of aborted requests.
        requests: usize,
        /// Number of billing records that may be lost.
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
    /// Stops the server for calls from other nodes.
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
    // With port 0 in the settings, the assigned port is announced to other nodes and callers.
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
        spawn_thread("config-log", &shared, config_log::run)?,
        spawn_thread("config-calls", &shared, config_log::call_log)?,
        spawn_thread("hosts", &shared, |it| hosts::run(it))?,
        spawn_thread("key-files", &shared, move |it| key_files::run(it, secrets))?,
        spawn_thread("timer", &shared, |it| timer::run(it))?,
        spawn_thread("ratings", &shared, |it| ratings::run(it))?,
        spawn_thread("rollouts", &shared, |it| rollouts::run(it))?,
        spawn_thread("polling", &shared, |it| engine_polling::run(it))?,
        spawn_thread("gossip", &shared, move |it| gossip::run(it, &socket))?,
        spawn_thread("evidence", &shared, |it| evidence_exchange::run(it))?,
        spawn_thread("billing", &shared, billing::run)?,
        spawn_thread("billing-log", &shared, billing::append)?,
        spawn_thread("callers", &shared, move |it| callers.run(it))?,
    ];
    log::info!("host {} accepts callers on {address}", shared.settings.node.host);
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

    /// Whether callers may be directed to this node.
    pub fn is_ready(&self) -> bool {
        self.shared.is_ready()
    }

    /// Whether a planned stop was requested, by an operator's drain request or by [`Handle::stop`].
    pub fn is_leaving(&self) -> bool {
        self.shared.phase.get() >= Phase::Leaving
    }

    /// Address for calls from other nodes.
    pub fn peer_address(&self) -> SocketAddr {
        self.shared.settings.node.peer
    }

    /// Address for membership datagrams.
    pub fn gossip_address(&self) -> SocketAddr {
        self.shared.settings.node.gossip
    }

    /// Number of live nodes known to this node, including itself.
    pub fn members(&self) -> usize {
        self.shared.peers.live(self.shared.now()).len() + 1
    }

    /// Stops gracefully, within `drain_timeout` of the settings: waits until the entry answers with this
    /// node's address have expired, refuses new requests, lets running requests finish, hands over the
    /// idempotency keys and delivers the billing records.
    pub fn stop(self) -> StopOutcome {
        let shared = &self.shared;
        let start = Instant::now();
        let end = start + shared.settings.stop.drain_timeout;
        shared.phase.advance(Phase::Leaving);
        log::info!("host {} starts a graceful shutdown", shared.settings.node.host);
        wait_until(end, || self.entry_answers_expired(start));
        shared.phase.advance(Phase::Sealed);
        shared.idempotency.seal();
        wait_until(end, || {
            self.open_requests() == 0 && shared.idempotency.running() == 0
        });
        let requests = self.open_requests();
        if idempotency::hand_over(shared) < idempotency::TABLE_HOLDERS
            && self.members() > idempotency::TABLE_HOLDERS
        {
            log::warn!(
                "fewer than {} nodes received the table of idempotency keys",
                idempotency::TABLE_HOLDERS
            );
        }
        shared.billing.flush(shared.now());
        wait_until(end.min(Instant::now() + LOG_TIMEOUT), || {
            shared.billing.unsettled() == 0
        });
        wait_until(end, || {
            shared.billing.unsettled() == 0 || shared.billing.is_safe_to_stop()
        });
        let records = match shared.billing.is_safe_to_stop() {
            true => 0,
            false => shared.billing.unsettled(),
        };
        self.shut_down();
        if requests == 0 && records == 0 {
            return StopOutcome::Complete;
        }
        StopOutcome::TimedOut { requests, records }
    }

    /// Stops the node immediately, as if its process had been killed: nothing is announced, handed over or
    /// appended. Running requests may still be answered, because threads cannot be terminated from outside.
    pub fn kill(self) {
        self.shared.killed.store(true, Ordering::SeqCst);
        self.shut_down();
    }

    fn shut_down(self) {
        self.shared.phase.advance(Phase::Stopped);
        // If the receiver is dropped, the server has already stopped.
        self.peer_server.send(()).ok();
        for thread in self.threads {
            if thread.join().is_err() {
                log::error!("a thread of host {} panicked", self.shared.settings.node.host);
            }
        }
        self.runtime.shutdown_background();
    }

    fn open_requests(&self) -> usize {
        self.shared.open_requests.load(Ordering::SeqCst)
    }

    /// Whether all entry answers with this node's address have expired, for a stop announced at `announced`.
    fn entry_answers_expired(&self, announced: Instant) -> bool {
        let lifetime = self.shared.settings.stop.entry_lifetime;
        // Other nodes may have advertised this one until the announcement reached them.
        if self.members() > 1 && announced.elapsed() < ANNOUNCEMENT_TIME + lifetime {
            return false;
        }
        let last_advertised_at = *self
            .shared
            .last_advertised_at
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        last_advertised_at.is_none_or(|it| it.elapsed() >= lifetime)
    }
}

fn spawn_thread(
    name: &str,
    shared: &Arc<Shared>,
    run: impl FnOnce(&Arc<Shared>) + Send + 'static,
) -> Result<JoinHandle<()>, Error> {
    let shared = Arc::clone(shared);
    let thread = std::thread::Builder::new().name(name.to_owned());
    Ok(thread.spawn(move || run(&shared))?)
}

fn wait_until(end: Instant, done: impl Fn() -> bool) {
    while !done() && Instant::now() < end {
        std::thread::sleep(POLL_INTERVAL);
    }
}
