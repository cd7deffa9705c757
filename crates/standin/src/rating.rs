//! Fake of the rating service.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use model::hash;
use serde::{Deserialize, Serialize};
use serde_json::json;

use crate::Error;
use crate::faults::SharedFaults;
use crate::server::{Call, Handler, Server};

/// A running fake of the rating service.
#[derive(Debug)]
pub struct Rating {
    server: Server,
    state: Arc<State>,
}

/// Configuration of the fake.
#[derive(Debug, Clone, Default)]
pub struct Options {
    /// Share of adequate answers per version, in thousandths; all answers of a missing version are adequate.
    pub adequacy: BTreeMap<String, u32>,
    /// Seed that determines which answers are adequate.
    pub seed: u64,
}

/// Faults to inject.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Refuses all calls.
    pub outage: bool,
    /// Delay of each rating, in milliseconds.
    pub delay_ms: u64,
    /// Share of rating calls that get no reply, in thousandths.
    pub loss_permille: u32,
    /// Share of adequate answers per version, in thousandths; overrides the options.
    pub adequacy: BTreeMap<String, u32>,
}

#[derive(Debug)]
struct State {
    seed: u64,
    faults: SharedFaults<Faults>,
    ratings: AtomicU64,
}

#[derive(Deserialize)]
struct RateRequest {
    id: String,
    version: String,
}

impl Rating {
    /// Starts the fake on `address`; port 0 selects a free port.
    ///
    /// # Errors
    /// [`Error::Bind`] if the address cannot be bound.
    pub fn bind(address: SocketAddr, options: Options) -> Result<Self, Error> {
        let shared = SharedFaults::default();
        shared.update(|faults: &mut Faults| faults.adequacy = options.adequacy);
        let state = Arc::new(State {
            seed: options.seed,
            faults: shared,
            ratings: AtomicU64::new(0),
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

    /// Number of ratings returned.
    pub fn ratings(&self) -> u64 {
        self.state.ratings.load(Ordering::Relaxed)
    }
}

impl Handler for State {
    type Faults = Faults;

    fn faults(&self) -> &SharedFaults<Faults> {
        &self.faults
    }

    fn handle(&self, call: Call) {
        let faults = self.faults.get();
        if faults.outage {
            return call.refuse(503, "outage");
        }
        let Ok(request) = serde_json::from_slice::<RateRequest>(&call.body) else {
            return call.refuse(400, "malformed");
        };
        if self.sample_permille("loss", &request) < u64::from(faults.loss_permille) {
            call.hold_open_while(|| true);
            return;
        }
        if !call.sleep(Duration::from_millis(faults.delay_ms)) {
            return;
        }
        let share = faults
            .adequacy
            .get(&request.version)
            .map_or(1000, |it| u64::from(*it));
        let verdict = if self.sample_permille("verdict", &request) < share {
            "adequate"
        } else {
            "inadequate"
        };
        self.ratings.fetch_add(1, Ordering::Relaxed);
        call.reply(200, &json!({"verdict": verdict}));
    }
}

impl State {
    /// Pseudo-random number below 1000 that is the same each time the same answer is rated.
    fn sample_permille(&self, purpose: &str, request: &RateRequest) -> u64 {
        let text = format!("{}/{purpose}/{}/{}", self.seed, request.version, request.id);
        hash::stable(text.as_bytes()) % 1000
    }
}
