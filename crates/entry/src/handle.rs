//! A running entry node.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use config::settings::entry::Settings;
use membership::{Addresses, Member, Readiness, State, Table, Version};
use model::Incarnation;
use rand::Rng;
use tokio::net::UdpSocket;
use tokio::runtime::{Builder, Runtime};
use tokio::time::sleep;

use crate::listener::{self, Role};
use crate::network::{Network, Tcp};
use crate::protocol::Protocol;
use crate::shared::{Shared, lock};
use crate::{admission, clock, datagrams, follow, load_exchange, releases, statement, warm_up};

/// Interval at which a stopping node checks whether all requests have ended.
const DRAIN_POLL: Duration = Duration::from_millis(50);

/// Interval at which a stopping node checks whether all responses are written.
const CLOSE_POLL: Duration = Duration::from_millis(5);

/// Maximum number of addresses in a response; the platform's callers accept up to 64.
const MAX_ENTRIES: usize = 64;

/// Time in which a suspected node can refute the suspicion. A false suspicion only costs capacity; a late one
/// causes time-outs for callers.
const SUSPICION: Duration = Duration::from_millis(1500);

/// Failure to start a node.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The runtime could not be started.
    #[error("cannot start the runtime: {0}")]
    Runtime(io::Error),
    /// An address could not be bound.
    #[error("cannot listen on {address}: {cause}")]
    Bind {
        /// Address that was to be bound.
        address: SocketAddr,
        /// Cause of the failure.
        cause: io::Error,
    },
}

/// A running node; it runs until [`Handle::stop`] or the end of the process.
#[derive(Debug)]
pub struct Handle {
    runtime: Runtime,
    shared: Arc<Shared>,
}

/// Starts a node.
///
/// # Errors
/// An address cannot be bound, or the runtime cannot be started.
pub fn spawn(settings: Settings, protocol: Arc<dyn Protocol>) -> Result<Handle, Error> {
    spawn_on(settings, protocol, Arc::new(Tcp))
}

/// Like [`spawn`], with the network on which the node makes its connections.
///
/// # Errors
/// As for [`spawn`].
pub fn spawn_on(
    settings: Settings,
    protocol: Arc<dyn Protocol>,
    network: Arc<dyn Network>,
) -> Result<Handle, Error> {
    let runtime = runtime(settings.node.cores).map_err(Error::Runtime)?;
    let incarnation = Incarnation::from_bits(rand::rng().random());
    let table = table(&settings, incarnation);
    let addresses = settings.listen.clone();
    let shared = runtime.block_on(async {
        let socket = UdpSocket::bind(addresses.gossip).await;
        let socket = socket.map_err(|cause| bind_error(addresses.gossip, cause))?;
        let shared = Arc::new(Shared::new(
            settings,
            protocol,
            network,
            table,
            incarnation,
            socket,
        ));
        tokio::spawn(datagrams::run(shared.clone()));
        tokio::spawn(follow::operators::run(shared.clone()));
        tokio::spawn(follow::engines::run(shared.clone()));
        tokio::spawn(releases::exchange(shared.clone()));
        tokio::spawn(releases::drive(shared.clone()));
        tokio::spawn(statement::run(shared.clone()));
        tokio::spawn(load_exchange::run(shared.clone()));
        tokio::spawn(admission::run(shared.clone()));
        let sockets = [
            (addresses.entry, Role::Entry),
            (addresses.ready, Role::Directory),
            (addresses.directory, Role::Directory),
            (addresses.control, Role::Control),
        ];
        for (address, role) in sockets {
            let listener = listener::listen(address).map_err(|cause| bind_error(address, cause))?;
            tokio::spawn(listener::accept(shared.clone(), listener, role));
        }
        Ok(shared)
    })?;
    Ok(Handle { runtime, shared })
}

fn bind_error(address: SocketAddr, cause: io::Error) -> Error {
    Error::Bind { address, cause }
}

fn runtime(cores: usize) -> io::Result<Runtime> {
    let mut builder = match cores {
        // A single thread needs no wake-ups between workers.
        1 => Builder::new_current_thread(),
        _ => Builder::new_multi_thread(),
    };
    if cores > 1 {
        builder.worker_threads(cores);
    }
    builder.enable_io().enable_time().build()
}

fn table(settings: &Settings, incarnation: Incarnation) -> Table {
    let bounds = membership::Settings {
        max_entries: MAX_ENTRIES,
        suspicion_timeout: SUSPICION,
        entry_lifetime: settings.bounds.entry_lifetime,
        ..membership::Settings::default()
    };
    let local = Member {
        host: settings.node.host.clone(),
        incarnation,
        version: Version::default(),
        state: State::Alive,
        domain: settings.node.failure_domain.clone(),
        addresses: Addresses {
            gossip: settings.listen.gossip,
            peer: settings.listen.control,
            entry: settings.listen.entry,
        },
        revision: 0,
        revision_age: Duration::MAX,
        load: 0,
        readiness: Readiness::NotReady,
        observed_hosts: 1,
    };
    Table::new(bounds, local, clock::now(), &mut rand::rng())
}

impl Handle {
    /// Runs the node's tasks on this thread until `until` completes.
    pub fn run_until<T>(&self, until: impl Future<Output = T>) -> T {
        self.runtime.block_on(until)
    }

    /// Replaces the settings, except for the addresses, which cannot change while the node runs.
    pub fn reload(&self, settings: Settings) {
        self.shared.reload(settings);
        let configuration = lock(&self.shared.configuration).value().cloned();
        if let Some(configuration) = configuration {
            warm_up::configure(&self.shared, &configuration);
        }
    }

    /// Stops the node: callers are directed to other nodes, and requests in progress may finish within the
    /// grace period.
    ///
    /// Returns the number of requests that were aborted, or whose response was not written to its end.
    pub fn stop(self) -> usize {
        let aborted = self.runtime.block_on(drain(&self.shared));
        self.runtime.shutdown_background();
        aborted
    }
}

async fn drain(shared: &Shared) -> usize {
    let began = clock::now();
    shared.leaving.send_replace(Some(began));
    let plan = shared.drain();
    let elapsed = || clock::now().saturating_sub(began);
    let open = &shared.open_requests;
    // A caller may have received this node's address just before the stop.
    let serve_time = plan.addresses_expired + Duration::from_millis(500);
    while elapsed() < plan.final_responses && (elapsed() < serve_time || open.len() > 0) {
        sleep(DRAIN_POLL).await;
    }
    // The listener closes when no connection waits, and a connection when its last response is written.
    shared.closing.send_replace(true);
    while elapsed() < plan.exit && open.sockets() > 0 {
        sleep(CLOSE_POLL).await;
    }
    open.log_cut();
    open.sockets()
}
