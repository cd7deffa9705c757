//! Fake of a plain service.
//!
//! Calls to paths below `/repeatable` are idempotent, all others are not. Executions of non-idempotent calls
//! are counted per idempotency key, or under the empty key if the call has none. The service does not
//! deduplicate calls with the same key, so that a count above one shows a call that was executed more than
//! once.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use serde::{Deserialize, Serialize};
use serde_json::json;

use crate::Error;
use crate::faults::{SharedFaults, lock};
use crate::server::{Call, Handler, Server};

/// Path prefix of idempotent calls.
pub const IDEMPOTENT_PATH: &str = "/repeatable";

/// A running fake of a plain service.
#[derive(Debug)]
pub struct Service {
    server: Server,
    state: Arc<State>,
}

/// Configuration of the fake.
#[derive(Debug, Clone, Default)]
pub struct Options {
    /// Duration of a call.
    pub duration: Duration,
}

/// Faults to inject.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Refuses all calls with the header `X-Ran: no` and does not execute them.
    pub refusing: bool,
    /// Replies with status 500 after executing the call.
    pub failing: bool,
    /// Replies with this status after executing the call.
    pub fail_with: Option<u16>,
    /// Neither executes calls nor replies.
    pub silent: bool,
    /// Number of next calls that are executed and get no reply; decremented with each such call.
    pub lose_replies: u32,
    /// Number of next calls that are executed and whose connection is then closed; decremented with each such
    /// call.
    pub break_replies: u32,
    /// Delay before a call is executed, in milliseconds.
    pub delay_ms: u64,
}

#[derive(Debug)]
struct State {
    options: Options,
    faults: SharedFaults<Faults>,
    executions: Mutex<Executions>,
}

#[derive(Debug, Default)]
struct Executions {
    by_key: HashMap<String, u64>,
    idempotent: u64,
}

impl Service {
    /// Starts the fake on `address`; port 0 selects a free port.
    ///
    /// # Errors
    /// [`Error::Bind`] if the address cannot be bound.
    pub fn bind(address: SocketAddr, options: Options) -> Result<Self, Error> {
        let state = Arc::new(State {
            options,
            faults: SharedFaults::default(),
            executions: Mutex::default(),
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

    /// Number of executions of non-idempotent calls with an idempotency key.
    pub fn executions(&self, key: &str) -> u64 {
        lock(&self.state.executions).by_key.get(key).copied().unwrap_or(0)
    }

    /// Number of executions of non-idempotent calls per idempotency key.
    pub fn executions_by_key(&self) -> HashMap<String, u64> {
        lock(&self.state.executions).by_key.clone()
    }

    /// Number of executions of idempotent calls.
    pub fn idempotent_executions(&self) -> u64 {
        lock(&self.state.executions).idempotent
    }
}

impl Handler for State {
    type Faults = Faults;

    fn faults(&self) -> &SharedFaults<Faults> {
        &self.faults
    }

    fn handle(&self, call: Call) {
        if call.path == "/executions" {
            let by_key = lock(&self.executions).by_key.clone();
            return call.reply(200, &json!(by_key));
        }
        let faults = self.faults.get();
        if faults.refusing {
            return call.refuse(503, "refusing");
        }
        if !call.hold_open_while(|| self.faults.get().silent)
            || !call.sleep(Duration::from_millis(faults.delay_ms))
        {
            return;
        }
        let executions = self.execute(&call);
        if !call.sleep(self.options.duration) {
            return;
        }
        if self.count_down(|it| &mut it.lose_replies) {
            call.hold_open_while(|| true);
            return;
        }
        if self.count_down(|it| &mut it.break_replies) {
            return call.abort();
        }
        if let Some(status) = faults.fail_with.or(faults.failing.then_some(500)) {
            return call.reply(status, &json!({"error": "failing"}));
        }
        let reply = json!({"path": call.path, "executions": executions});
        call.reply(200, &reply);
    }
}

impl State {
    fn execute(&self, call: &Call) -> u64 {
        let mut executions = lock(&self.executions);
        let count = if call.path.starts_with(IDEMPOTENT_PATH) {
            &mut executions.idempotent
        } else {
            let key = call.header("Idempotency-Key").unwrap_or_default();
            executions.by_key.entry(key).or_default()
        };
        *count += 1;
        *count
    }

    fn count_down(&self, field: impl Fn(&mut Faults) -> &mut u32) -> bool {
        let mut applies = false;
        self.faults.update(|faults| {
            let left = field(faults);
            applies = *left > 0;
            *left = left.saturating_sub(1);
        });
        applies
    }
}
