//! A running entry node.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use config::settings::entry::Settings;
use membership::{Addresses, Member, Readiness, State, Table, Version};
use model::Incarnation;
use rand::Rng;
use tokio::net::UdpSocket;
use tokio::runtime::{Builder, Runtime};
use tokio::time::sleep;

use crate::dialect::Dialect;
use crate::front::{self, Role};
use crate::shared::Shared;
use crate::{clock, follow, members, releases};

/// Time before the end of the grace in which the process must have ended.
const GRACE_MARGIN: Duration = Duration::from_millis(400);

/// Interval of the checks whether all requests have ended.
const STOP_POLL: Duration = Duration::from_millis(50);

/// Addresses in an entry answer; the platform's callers take up to 64.
const MAX_ENTRIES: usize = 64;

/// Time that a suspected node has to refute; a wrong suspicion costs capacity only, a late one callers' time-outs.
const SUSPICION: Duration = Duration::from_millis(1500);

/// Failure to start a node.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The runtime did not start.
    #[error("cannot start the runtime: {0}")]
    Runtime(io::Error),
    /// An address is not available.
    #[error("cannot listen on {address}: {cause}")]
    Bind {
        /// The address.
        address: SocketAddr,
        /// The failure.
        cause: io::Error,
    },
}

/// A running node; it ends with the process or by [`Handle::stop`].
#[derive(Debug)]
pub struct Handle {
    runtime: Runtime,
    shared: Arc<Shared>,
}

/// Starts a node.
///
/// # Errors
/// An address is not available, or the runtime does not start.
pub fn spawn(settings: Settings, dialect: Arc<dyn Dialect>) -> Result<Handle, Error> {
    let runtime = runtime(settings.node.cores).map_err(Error::Runtime)?;
    let incarnation = Incarnation::from_bits(rand::rng().random());
    let table = table(&settings, incarnation);
    let listen = settings.listen.clone();
    let shared = Arc::new(Shared::new(settings, dialect, table, incarnation));
    runtime.block_on(async {
        let socket = UdpSocket::bind(listen.gossip).await;
        let socket = Arc::new(socket.map_err(|cause| bind_error(listen.gossip, cause))?);
        tokio::spawn(members::run(shared.clone(), socket.clone()));
        tokio::spawn(follow::operators::run(shared.clone(), socket.clone()));
        tokio::spawn(follow::engines::run(shared.clone(), socket.clone()));
        tokio::spawn(releases::run(shared.clone(), socket));
        let sockets = [
            (listen.entry, Role::Entry),
            (listen.ready, Role::Control),
            (listen.directory, Role::Control),
            (listen.control, Role::Control),
        ];
        for (address, role) in sockets {
            let listener = front::listen(address).map_err(|cause| bind_error(address, cause))?;
            tokio::spawn(front::accept(shared.clone(), listener, role));
        }
        Ok(())
    })?;
    Ok(Handle { runtime, shared })
}

fn bind_error(address: SocketAddr, cause: io::Error) -> Error {
    Error::Bind { address, cause }
}

fn runtime(cores: usize) -> io::Result<Runtime> {
    let mut builder = match cores {
        // One thread needs no wake-ups between workers.
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
    };
    Table::new(bounds, local, clock::now(), &mut rand::rng())
}

impl Handle {
    /// Runs the node's tasks on this thread until `until` is done.
    pub fn run_until<T>(&self, until: impl Future<Output = T>) -> T {
        self.runtime.block_on(until)
    }

    /// Replaces the settings; addresses keep their values of the start.
    pub fn reload(&self, settings: Settings) {
        self.shared.reload(settings);
    }

    /// Stops the node: callers are sent elsewhere, and requests under way finish within the grace time.
    ///
    /// Returns the number of requests that were cut off.
    pub fn stop(self) -> usize {
        let cut = self.runtime.block_on(leave(&self.shared));
        self.runtime.shutdown_background();
        cut
    }
}

async fn leave(shared: &Shared) -> usize {
    let bounds = shared.settings().bounds.clone();
    let begin = clock::now();
    shared.leaving.send_replace(Some(begin));
    // An entry answer may have been given just now.
    let serve = bounds.entry_lifetime * Shared::LIFETIMES + Duration::from_millis(500);
    let most = bounds.grace.saturating_sub(GRACE_MARGIN);
    loop {
        let elapsed = clock::now().saturating_sub(begin);
        let active = shared.active.load(Ordering::SeqCst);
        if (elapsed >= serve && active == 0) || elapsed >= most {
            return active;
        }
        sleep(STOP_POLL).await;
    }
}
