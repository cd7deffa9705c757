//! Start and planned stop of a node.

use std::net::SocketAddr;
use std::sync::{Arc, PoisonError};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use config::settings::Settings;
use tiny_http::{ListenAddr, Server};

use crate::http::{dispatch, listener};
use crate::phase::Phase;
use crate::ports::Ports;
use crate::secrets::Secrets;
use crate::shared::Shared;
use crate::{billing, config_log, hosts, polling, ratings, timer};

/// Interval of the checks during a planned stop.
const POLL: Duration = Duration::from_millis(20);

/// Failure to start.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The address for callers is not available.
    #[error("cannot listen on {address}: {cause}")]
    Bind {
        /// The address.
        address: SocketAddr,
        /// The failure.
        cause: std::io::Error,
    },
    /// The server did not start.
    #[error("cannot start the server: {0}")]
    Server(Box<dyn std::error::Error + Send + Sync>),
    /// A thread did not start.
    #[error("cannot start a thread: {0}")]
    Thread(#[from] std::io::Error),
    /// The settings ask for TLS, which this build does not offer.
    #[error("this build does not offer TLS towards callers")]
    Tls,
}

/// Whether a planned stop completed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Stopped {
    /// All requests finished and all bills are in the log.
    Complete,
    /// The bound passed first: so many requests were cut off, or so many billing records are not in the log.
    Bounded {
        /// Requests that were cut off.
        requests: usize,
        /// Billing records that the log does not have.
        records: usize,
    },
}

/// A running node. Dropping it without [`Handle::stop`] leaves its threads running.
#[derive(Debug)]
pub struct Handle {
    shared: Arc<Shared>,
    address: SocketAddr,
    threads: Vec<JoinHandle<()>>,
    biller: JoinHandle<()>,
}

/// Starts a node.
///
/// # Errors
/// Any [`Error`].
pub fn spawn(mut settings: Settings, secrets: Secrets, ports: Ports) -> Result<Handle, Error> {
    if settings.tls.is_some() {
        return Err(Error::Tls);
    }
    let bind = |cause| Error::Bind {
        address: settings.node.entry,
        cause,
    };
    let listener = listener::bind(settings.node.entry).map_err(bind)?;
    let server = Server::from_listener(listener, None).map_err(Error::Server)?;
    let address = match server.server_addr() {
        ListenAddr::IP(address) => address,
        ListenAddr::Unix(_) => settings.node.entry,
    };
    // With port 0 in the settings, entry answers name the port that was assigned.
    settings.node.entry = address;
    let shared = Arc::new(Shared::new(settings, secrets, ports));
    let threads = vec![
        thread("config-log", &shared, |it| config_log::run(it))?,
        thread("hosts", &shared, |it| hosts::run(it))?,
        thread("timer", &shared, |it| timer::run(it))?,
        thread("ratings", &shared, |it| ratings::run(it))?,
        thread("polling", &shared, |it| polling::run(it))?,
        thread("dispatch", &shared, move |it| dispatch::run(it, &server))?,
    ];
    let biller = thread("billing", &shared, |it| billing::run(it))?;
    log::info!("host {} serves callers on {address}", shared.settings.node.host);
    Ok(Handle {
        shared,
        address,
        threads,
        biller,
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

    /// Stops gracefully: waits until callers no longer hold this node's address, refuses new requests, lets the
    /// others finish and delivers the bills, all within the settings' `drain_timeout`.
    pub fn stop(self) -> Stopped {
        let end = Instant::now() + self.shared.settings.stop.drain_timeout;
        self.shared.phase.advance(Phase::Leaving);
        log::info!("host {} leaves", self.shared.settings.node.host);
        wait(end, || self.entry_answers_expired());
        self.shared.phase.advance(Phase::Sealed);
        wait(end, || self.open_requests() == 0);
        let requests = self.open_requests();
        wait(end, || self.shared.biller.unsettled() == 0);
        self.shared.phase.advance(Phase::Stopped);
        let records = self.shared.biller.unsettled();
        for thread in self.threads.into_iter().chain([self.biller]) {
            if thread.join().is_err() {
                log::error!("a thread of host {} had panicked", self.shared.settings.node.host);
            }
        }
        if requests == 0 && records == 0 {
            return Stopped::Complete;
        }
        Stopped::Bounded { requests, records }
    }

    fn open_requests(&self) -> usize {
        self.shared.open.load(std::sync::atomic::Ordering::SeqCst)
    }

    fn entry_answers_expired(&self) -> bool {
        let named_at = *self
            .shared
            .named_at
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        named_at.is_none_or(|it| it.elapsed() >= self.shared.settings.stop.entry_lifetime)
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
