//! Fake of a plain service.
//!
//! Paths below `/repeatable` are idempotent calls, all others are not. An execution is counted per idempotency key,
//! or under the empty key if the call has none. The service does not look up keys: a repeated call runs again, and
//! the count shows it.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use serde::{Deserialize, Serialize};
use serde_json::json;

use crate::Error;
use crate::control::{Control, lock};
use crate::server::{Call, Handler, Server};

/// Path below which calls are idempotent.
pub const IDEMPOTENT_PATH: &str = "/repeatable";

/// A running plain service.
#[derive(Debug)]
pub struct Service {
    server: Server,
    state: Arc<State>,
}

/// Settings of the fake.
#[derive(Debug, Clone, Default)]
pub struct Options {
    /// Time that a call takes.
    pub duration: Duration,
}

/// Faults of the fake.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Refuses with the statement that the call was not run.
    pub refusing: bool,
    /// Answers with status 500 after the call ran.
    pub failing: bool,
    /// Does not run calls and never answers.
    pub silent: bool,
    /// Calls that run and whose reply never arrives, counted down.
    pub lose_replies: u32,
    /// Calls that run and whose connection then breaks, counted down.
    pub break_replies: u32,
    /// Delay in milliseconds before a call runs.
    pub delay_ms: u64,
}

#[derive(Debug)]
struct State {
    options: Options,
    control: Control<Faults>,
    executions: Mutex<Executions>,
}

#[derive(Debug, Default)]
struct Executions {
    once: HashMap<String, u64>,
    repeatable: u64,
}

impl Service {
    /// Starts the fake; port 0 chooses a free port.
    ///
    /// # Errors
    /// [`Error::Bind`].
    pub fn bind(address: SocketAddr, options: Options) -> Result<Self, Error> {
        let state = Arc::new(State {
            options,
            control: Control::default(),
            executions: Mutex::default(),
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

    /// Executions of non-idempotent calls under a key.
    pub fn executions(&self, key: &str) -> u64 {
        lock(&self.state.executions).once.get(key).copied().unwrap_or(0)
    }

    /// Executions of non-idempotent calls by key.
    pub fn executions_by_key(&self) -> HashMap<String, u64> {
        lock(&self.state.executions).once.clone()
    }

    /// Executions of idempotent calls.
    pub fn idempotent_executions(&self) -> u64 {
        lock(&self.state.executions).repeatable
    }
}

impl Handler for State {
    type Faults = Faults;

    fn control(&self) -> &Control<Faults> {
        &self.control
    }

    fn handle(&self, call: Call) {
        if call.path == "/executions" {
            let once = lock(&self.executions).once.clone();
            return call.reply(200, &json!(once));
        }
        let faults = self.control.get();
        if faults.refusing {
            return call.refuse(503, "refusing");
        }
        if !call.stay_silent(|| self.control.get().silent)
            || !call.sleep(Duration::from_millis(faults.delay_ms))
        {
            return;
        }
        let executions = self.execute(&call);
        if !call.sleep(self.options.duration) {
            return;
        }
        if self.count_down(|it| &mut it.lose_replies) {
            call.stay_silent(|| true);
            return;
        }
        if self.count_down(|it| &mut it.break_replies) {
            return call.abort();
        }
        if faults.failing {
            return call.reply(500, &json!({"error": "failing"}));
        }
        let reply = json!({"path": call.path, "executions": executions});
        call.reply(200, &reply);
    }
}

impl State {
    fn execute(&self, call: &Call) -> u64 {
        let mut executions = lock(&self.executions);
        let count = if call.path.starts_with(IDEMPOTENT_PATH) {
            &mut executions.repeatable
        } else {
            let key = call.header("Idempotency-Key").unwrap_or_default();
            executions.once.entry(key).or_default()
        };
        *count += 1;
        *count
    }

    fn count_down(&self, field: impl Fn(&mut Faults) -> &mut u32) -> bool {
        let mut applies = false;
        self.control.update(|faults| {
            let left = field(faults);
            applies = *left > 0;
            *left = left.saturating_sub(1);
        });
        applies
    }
}
