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
use crate::control::Control;
use crate::server::{Call, Handler, Server};

/// A running rating service.
#[derive(Debug)]
pub struct Rating {
    server: Server,
    state: Arc<State>,
}

/// Settings of the fake.
#[derive(Debug, Clone, Default)]
pub struct Options {
    /// Share of adequate answers per version in thousandths; a version that is absent is always adequate.
    pub adequacy: BTreeMap<String, u32>,
    /// Changes which answers are adequate.
    pub seed: u64,
}

/// Faults of the fake.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Refuses every call.
    pub outage: bool,
    /// Delay of every rating in milliseconds.
    pub delay_ms: u64,
    /// Share of ratings in thousandths that never arrive.
    pub loss_permille: u32,
    /// Share of adequate answers per version in thousandths.
    pub adequacy: BTreeMap<String, u32>,
}

#[derive(Debug)]
struct State {
    seed: u64,
    control: Control<Faults>,
    ratings: AtomicU64,
}

#[derive(Deserialize)]
struct Rate {
    id: String,
    version: String,
}

impl Rating {
    /// Starts the fake; port 0 chooses a free port.
    ///
    /// # Errors
    /// [`Error::Bind`].
    pub fn bind(address: SocketAddr, options: Options) -> Result<Self, Error> {
        let control = Control::default();
        control.update(|faults: &mut Faults| faults.adequacy = options.adequacy);
        let state = Arc::new(State {
            seed: options.seed,
            control,
            ratings: AtomicU64::new(0),
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

    /// Ratings given.
    pub fn ratings(&self) -> u64 {
        self.state.ratings.load(Ordering::Relaxed)
    }
}

impl Handler for State {
    type Faults = Faults;

    fn control(&self) -> &Control<Faults> {
        &self.control
    }

    fn handle(&self, call: Call) {
        let faults = self.control.get();
        if faults.outage {
            return call.refuse(503, "outage");
        }
        let Ok(rate) = serde_json::from_slice::<Rate>(&call.body) else {
            return call.refuse(400, "malformed");
        };
        if self.draw("loss", &rate) < u64::from(faults.loss_permille) {
            call.stay_silent(|| true);
            return;
        }
        if !call.sleep(Duration::from_millis(faults.delay_ms)) {
            return;
        }
        let share = faults
            .adequacy
            .get(&rate.version)
            .map_or(1000, |it| u64::from(*it));
        let verdict = if self.draw("verdict", &rate) < share {
            "adequate"
        } else {
            "inadequate"
        };
        self.ratings.fetch_add(1, Ordering::Relaxed);
        call.reply(200, &json!({"verdict": verdict}));
    }
}

impl State {
    /// Number below 1,000, the same whenever the same answer is rated.
    fn draw(&self, purpose: &str, rate: &Rate) -> u64 {
        let text = format!("{}/{purpose}/{}/{}", self.seed, rate.version, rate.id);
        hash::stable(text.as_bytes()) % 1000
    }
}
