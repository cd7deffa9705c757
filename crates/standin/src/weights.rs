//! Fake of the weight store.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};
use serde_json::json;

use crate::Error;
use crate::control::{Control, lock};
use crate::server::{Call, Handler, Server};

/// A running weight store.
#[derive(Debug)]
pub struct Weights {
    server: Server,
    state: Arc<State>,
}

/// Settings of the fake.
#[derive(Debug, Clone, Copy)]
pub struct Options {
    /// Least time between two reservations.
    pub interval: Duration,
}

/// Faults of the fake.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Refuses every call without a time for a retry.
    pub outage: bool,
    /// Delay of every call in milliseconds.
    pub delay_ms: u64,
}

#[derive(Debug)]
struct State {
    interval: Duration,
    control: Control<Faults>,
    next: Mutex<Instant>,
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
    /// Starts the fake; port 0 chooses a free port.
    ///
    /// # Errors
    /// [`Error::Bind`].
    pub fn bind(address: SocketAddr, options: Options) -> Result<Self, Error> {
        let state = Arc::new(State {
            interval: options.interval,
            control: Control::default(),
            next: Mutex::new(Instant::now()),
            reserved: AtomicU64::new(0),
        });
        let server = Server::bind(address, Arc::clone(&state))?;
        Ok(Self { server, state })
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Changes the faults.
    pub fn update(&self, change: impl FnOnce(&mut Faults)) {
        self.state.control.update(change);
    }

    /// Reservations granted.
    pub fn reserved(&self) -> u64 {
        self.state.reserved.load(Ordering::Relaxed)
    }
}

impl Handler for State {
    type Faults = Faults;

    fn control(&self) -> &Control<Faults> {
        &self.control
    }

    fn handle(&self, call: Call) {
        let faults = self.control.get();
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
        let mut next = lock(&self.next);
        if *next > now {
            return Err(*next - now);
        }
        *next = now + self.interval;
        self.reserved.fetch_add(1, Ordering::Relaxed);
        Ok(())
    }
}
