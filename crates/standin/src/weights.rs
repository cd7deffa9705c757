//! Fake of the weight store.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};
use serde_json::json;

use crate::Error;
use crate::faults::{SharedFaults, lock};
use crate::server::{Call, Handler, Server};

/// A running fake of the weight store.
#[derive(Debug)]
pub struct Weights {
    server: Server,
    state: Arc<State>,
}

/// Configuration of the fake.
#[derive(Debug, Clone, Copy)]
pub struct Options {
    /// Minimum time between two reservations.
    pub interval: Duration,
}

/// Faults to inject.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Refuses all calls, without a `Retry-After-Ms` header.
    pub outage: bool,
    /// Delay of each call, in milliseconds.
    pub delay_ms: u64,
}

#[derive(Debug)]
struct State {
    interval: Duration,
    faults: SharedFaults<Faults>,
    next_free: Mutex<Instant>,
    reserved: AtomicU64,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            interval: Duration::from_secs(1),
        }
    }
}

impl Weights {
    /// Starts the fake on `address`; port 0 selects a free port.
    ///
    /// # Errors
    /// [`Error::Bind`] if the address cannot be bound.
    pub fn bind(address: SocketAddr, options: Options) -> Result<Self, Error> {
        let state = Arc::new(State {
            interval: options.interval,
            faults: SharedFaults::default(),
            next_free: Mutex::new(Instant::now()),
            reserved: AtomicU64::new(0),
        });
        let server = Server::bind(address, Arc::clone(&state))?;
        Ok(Self { server, state })
    }

    /// Address on which the fake listens.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Changes the injected faults.
    pub fn update(&self, change: impl FnOnce(&mut Faults)) {
        self.state.faults.update(change);
    }

    /// Number of reservations granted.
    pub fn reserved(&self) -> u64 {
        self.state.reserved.load(Ordering::Relaxed)
    }
}

impl Handler for State {
    type Faults = Faults;

    fn faults(&self) -> &SharedFaults<Faults> {
        &self.faults
    }

    fn handle(&self, call: Call) {
        let faults = self.faults.get();
        if !call.sleep(Duration::from_millis(faults.delay_ms)) {
            return;
        }
        if faults.outage {
            return call.refuse(503, "outage");
        }
        let Err(wait) = self.reserve() else {
            return call.reply(200, &json!({}));
        };
        let wait_ms = (wait.as_millis() + 1).to_string();
        call.reply_with(429, &json!({}), &[("Retry-After-Ms", &wait_ms)]);
    }
}

impl State {
    fn reserve(&self) -> Result<(), Duration> {
        let now = Instant::now();
        let mut next_free = lock(&self.next_free);
        if *next_free > now {
            return Err(*next_free - now);
        }
        *next_free = now + self.interval;
        self.reserved.fetch_add(1, Ordering::Relaxed);
        Ok(())
    }
}
