//! Fake of the log service.

use std::collections::{HashMap, VecDeque};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, SystemTime};

use model::Offset;
use serde::{Deserialize, Serialize};
use serde_json::json;

use crate::Error;
use crate::faults::{SharedFaults, lock};
use crate::server::{Call, Handler, Server};

/// A running fake of the log service.
#[derive(Debug)]
pub struct Log {
    server: Server,
    state: Arc<State>,
}

/// Configuration of the fake.
#[derive(Debug, Clone)]
pub struct Options {
    /// Maximum number of records retained per stream.
    pub retention: usize,
}

/// Faults to inject.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Refuses all calls; they have no effect.
    pub outage: bool,
    /// Number of next calls that take effect and get no reply; decremented with each such call.
    pub lose_replies: u32,
    /// Number of next appends that take effect and get no reply; decremented with each such append.
    pub lose_appends: u32,
    /// Delay before each call takes effect, in milliseconds.
    pub delay_ms: u64,
    /// If not zero, maximum number of records retained per stream; overrides [`Options::retention`].
    pub retention: usize,
}

#[derive(Debug)]
struct State {
    options: Options,
    faults: SharedFaults<Faults>,
    streams: Mutex<HashMap<String, Stream>>,
}

#[derive(Debug, Default)]
struct Stream {
    first: Offset,
    records: VecDeque<StoredRecord>,
}

/// A record with its payload in Base64, as it was received.
#[derive(Debug, Clone, Serialize)]
struct StoredRecord {
    offset: Offset,
    time_ms: u64,
    payload: String,
}

#[derive(Deserialize)]
struct AppendRequest {
    payloads: Vec<String>,
}

impl Default for Options {
    fn default() -> Self {
        Self { retention: 1 << 20 }
    }
}

impl Log {
    /// Starts the fake on `address`; port 0 selects a free port.
    ///
    /// # Errors
    /// [`Error::Bind`] if the address cannot be bound.
    pub fn bind(address: SocketAddr, options: Options) -> Result<Self, Error> {
        let state = Arc::new(State {
            options,
            faults: SharedFaults::default(),
            streams: Mutex::default(),
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

    /// Offset that the next record appended to a stream gets.
    pub fn end(&self, stream: &str) -> Offset {
        lock(&self.state.streams).get(stream).map_or(0, Stream::end)
    }
}

impl Handler for State {
    type Faults = Faults;

    fn faults(&self) -> &SharedFaults<Faults> {
        &self.faults
    }

    fn handle(&self, call: Call) {
        if !call.sleep(Duration::from_millis(self.faults.get().delay_ms)) {
            return;
        }
        if self.faults.get().outage {
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
        if self.withholds_reply(&call.method) {
            call.hold_open_while(|| true);
            return;
        }
        call.reply(200, &reply);
    }
}

impl State {
    fn append(&self, stream: &str, body: &[u8]) -> Option<serde_json::Value> {
        let request: AppendRequest = serde_json::from_slice(body).ok()?;
        let retention = match self.faults.get().retention {
            0 => self.options.retention,
            limit => limit,
        };
        let time_ms = unix_ms();
        let mut streams = lock(&self.streams);
        let stream = streams.entry(stream.to_owned()).or_default();
        let first = stream.end();
        for payload in request.payloads {
            let offset = stream.end();
            stream.records.push_back(StoredRecord {
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

    fn withholds_reply(&self, method: &str) -> bool {
        let mut withheld = false;
        self.faults.update(|faults| {
            withheld = count_down(&mut faults.lose_replies);
            if method == "POST" {
                withheld |= count_down(&mut faults.lose_appends);
            }
        });
        withheld
    }
}

impl Stream {
    fn end(&self) -> Offset {
        self.first + self.records.len() as Offset
    }
}

/// Decrements a counter that is not zero, and returns whether it was decremented.
fn count_down(count: &mut u32) -> bool {
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
