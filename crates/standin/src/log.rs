//! Fake of the log service.

use std::collections::{HashMap, VecDeque};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, SystemTime};

use model::Offset;
use serde::{Deserialize, Serialize};
use serde_json::json;

use crate::Error;
use crate::control::{Control, lock};
use crate::server::{Call, Handler, Server};

/// A running log service.
#[derive(Debug)]
pub struct Log {
    server: Server,
    state: Arc<State>,
}

/// Settings of the fake.
#[derive(Debug, Clone)]
pub struct Options {
    /// Records that a stream keeps.
    pub retention: usize,
}

/// Faults of the fake.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Refuses every call without effect.
    pub outage: bool,
    /// Calls whose reply is withheld after they took effect, counted down.
    pub lose_replies: u32,
    /// Appends whose reply is withheld after they took effect, counted down.
    pub lose_appends: u32,
    /// Delay of every call in milliseconds, before it takes effect.
    pub delay_ms: u64,
    /// Records kept per stream if not zero; overrides the option.
    pub retention: usize,
}

#[derive(Debug)]
struct State {
    options: Options,
    control: Control<Faults>,
    streams: Mutex<HashMap<String, Stream>>,
}

#[derive(Debug, Default)]
struct Stream {
    first: Offset,
    records: VecDeque<Item>,
}

/// A payload stays in the encoded form in which it came.
#[derive(Debug, Clone, Serialize)]
struct Item {
    offset: Offset,
    time_ms: u64,
    payload: String,
}

#[derive(Deserialize)]
struct Append {
    payloads: Vec<String>,
}

impl Default for Options {
    fn default() -> Self {
        Self { retention: 1 << 20 }
    }
}

impl Log {
    /// Starts the fake; port 0 chooses a free port.
    ///
    /// # Errors
    /// [`Error::Bind`].
    pub fn bind(address: SocketAddr, options: Options) -> Result<Self, Error> {
        let state = Arc::new(State {
            options,
            control: Control::default(),
            streams: Mutex::default(),
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

    /// Offset that the next append to a stream gets.
    pub fn end(&self, stream: &str) -> Offset {
        lock(&self.state.streams).get(stream).map_or(0, Stream::end)
    }
}

impl Handler for State {
    type Faults = Faults;

    fn control(&self) -> &Control<Faults> {
        &self.control
    }

    fn handle(&self, call: Call) {
        if !call.sleep(Duration::from_millis(self.control.get().delay_ms)) {
            return;
        }
        if self.control.get().outage {
            return call.refuse(503, "outage");
        }
        let Some(stream) = call
            .path
            .strip_prefix("/streams/")
            .and_then(|it| it.strip_suffix("/records"))
        else {
            return call.reply(404, &json!({}));
        };
        let reply = match call.method.as_str() {
            "POST" => self.append(stream, &call.body),
            _ => Some(self.read(stream, &call)),
        };
        let Some(reply) = reply else {
            return call.refuse(400, "malformed");
        };
        if self.loses_reply(&call.method) {
            call.stay_silent(|| true);
            return;
        }
        call.reply(200, &reply);
    }
}

impl State {
    fn append(&self, stream: &str, body: &[u8]) -> Option<serde_json::Value> {
        let append: Append = serde_json::from_slice(body).ok()?;
        let retention = match self.control.get().retention {
            0 => self.options.retention,
            limit => limit,
        };
        let time_ms = unix_ms();
        let mut streams = lock(&self.streams);
        let stream = streams.entry(stream.to_owned()).or_default();
        let first = stream.end();
        for payload in append.payloads {
            let offset = stream.end();
            stream.records.push_back(Item {
                offset,
                time_ms,
                payload,
            });
        }
        while stream.records.len() > retention {
            stream.records.pop_front();
            stream.first += 1;
        }
        Some(json!({"first": first}))
    }

    fn read(&self, stream: &str, call: &Call) -> serde_json::Value {
        let from = call.query("from").unwrap_or(0);
        let limit = call
            .query("limit")
            .and_then(|it| it.try_into().ok())
            .unwrap_or(usize::MAX);
        let streams = lock(&self.streams);
        let empty = Stream::default();
        let stream = streams.get(stream).unwrap_or(&empty);
        let records: Vec<_> = stream
            .records
            .iter()
            .filter(|it| it.offset >= from)
            .take(limit)
            .collect();
        json!({"first": stream.first, "end": stream.end(), "records": records})
    }

    fn loses_reply(&self, method: &str) -> bool {
        let mut lost = false;
        self.control.update(|faults| {
            lost = take(&mut faults.lose_replies);
            if method == "POST" {
                lost |= take(&mut faults.lose_appends);
            }
        });
        lost
    }
}

impl Stream {
    fn end(&self) -> Offset {
        self.first + self.records.len() as Offset
    }
}

/// Counts down, and tells whether there was anything left.
fn take(count: &mut u32) -> bool {
    let left = *count > 0;
    *count = count.saturating_sub(1);
    left
}

fn unix_ms() -> u64 {
    let since = SystemTime::now()
        .duration_since(SystemTime::UNIX_EPOCH)
        .unwrap_or_default();
    u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
}
