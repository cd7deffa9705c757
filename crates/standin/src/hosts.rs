//! Fake of the host list.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use ports::hosts::{Entry, State as HostState};
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};

use crate::Error;
use crate::faults::{SharedFaults, lock};
use crate::server::{Call, Handler, Server};

/// A running fake of the host list service.
#[derive(Debug)]
pub struct Hosts {
    server: Server,
    state: Arc<State>,
}

/// Configuration of the fake.
#[derive(Debug, Clone, Default)]
pub struct Options {
    /// Initial entries.
    pub entries: Vec<Entry>,
    /// Delay before a change of the entries becomes visible.
    pub lag: Duration,
}

/// Faults to inject.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Refuses all calls.
    pub outage: bool,
    /// Delay of each call, in milliseconds.
    pub delay_ms: u64,
    /// Hosts listed as leaving without delay, in addition to those marked with [`Hosts::mark_leaving`].
    pub leaving: Vec<String>,
    /// Hosts removed from the list without delay.
    pub removed: Vec<String>,
}

#[derive(Debug)]
struct State {
    lag: Duration,
    faults: SharedFaults<Faults>,
    /// Lists and the times from which they are visible, oldest first; never empty.
    versions: Mutex<VecDeque<(Instant, Vec<Entry>)>>,
}

impl Hosts {
    /// Starts the fake on `address`; port 0 selects a free port.
    ///
    /// # Errors
    /// [`Error::Bind`] if the address cannot be bound.
    pub fn bind(address: SocketAddr, options: Options) -> Result<Self, Error> {
        let state = Arc::new(State {
            lag: options.lag,
            faults: SharedFaults::default(),
            versions: Mutex::new(VecDeque::from([(Instant::now(), options.entries)])),
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

    /// Replaces the entries; the change becomes visible after [`Options::lag`].
    pub fn set_entries(&self, entries: Vec<Entry>) {
        lock(&self.state.versions).push_back((Instant::now() + self.state.lag, entries));
    }

    /// Marks a host as leaving; the change becomes visible after [`Options::lag`].
    pub fn mark_leaving(&self, name: &str) {
        let newest = lock(&self.state.versions).back().map(|it| it.1.clone());
        let mut entries = newest.unwrap_or_default();
        for entry in entries.iter_mut().filter(|it| &*it.name == name) {
            entry.state = HostState::Leaving;
        }
        self.set_entries(entries);
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
        if call.path != "/hosts" {
            return call.reply(404, &json!({}));
        }
        let hosts: Vec<Value> = self
            .visible()
            .iter()
            .filter(|it| !faults.removed.iter().any(|name| **name == *it.name))
            .map(|it| entry_json(it, &faults))
            .collect();
        call.reply(200, &json!({"hosts": hosts}));
    }
}

impl State {
    fn visible(&self) -> Vec<Entry> {
        let now = Instant::now();
        let mut versions = lock(&self.versions);
        while versions.get(1).is_some_and(|it| it.0 <= now) {
            versions.pop_front();
        }
        versions.front().map(|it| it.1.clone()).unwrap_or_default()
    }
}

fn entry_json(entry: &Entry, faults: &Faults) -> Value {
    let leaving = entry.state == HostState::Leaving || faults.leaving.iter().any(|it| **it == *entry.name);
    json!({
        "name": &*entry.name,
        "pool": &*entry.pool,
        "address": entry.address,
        "domain": &*entry.domain,
        "state": if leaving { "leaving" } else { "live" },
    })
}
