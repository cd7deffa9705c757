//! Fake of a model engine.
//!
//! Token `n` of an answer is the text `VERSION:n` followed by a space, so that tests can check which version
//! answered and whether a part is missing or repeated.

use std::net::SocketAddr;
use std::sync::atomic::AtomicBool;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use model::{Class, Tokens};
use ports::engine::Message;
use serde::{Deserialize, Serialize};
use serde_json::json;

use crate::Error;
use crate::faults::{SharedFaults, lock};
use crate::server::{Call, EventStream, Handler, Server, wait_while};

mod cache;
mod queue;
mod versions;

/// Number of characters counted as one prompt token.
const CHARS_PER_TOKEN: usize = 4;

/// A running fake of an engine.
#[derive(Debug)]
pub struct Engine {
    server: Server,
    state: Arc<State>,
}

/// Whether the engine checks the fencing token of a request that changes its versions.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fencing {
    /// Refuses a request whose token is lower than one received before.
    Checked,
    /// Applies every request.
    Ignored,
}

/// Configuration of the fake.
#[derive(Debug, Clone)]
pub struct Options {
    /// Versions that are loaded initially.
    pub versions: Vec<String>,
    /// Maximum number of requests that run at the same time.
    pub concurrency: usize,
    /// Maximum number of requests that wait; further ones are refused.
    pub queue_limit: usize,
    /// Time to the first token if the whole prompt is cached.
    pub time_to_first_token: Duration,
    /// Time added to `time_to_first_token` per prompt token that is not cached.
    pub prefill_per_token: Duration,
    /// Time between two tokens of an answer.
    pub token_interval: Duration,
    /// Length of an answer if the request sets no limit.
    pub answer_tokens: Tokens,
    /// Capacity of the prefix cache, in blocks of 16 prompt tokens.
    pub cache_blocks: usize,
    /// Delay before a cache event becomes visible.
    pub cache_event_delay: Duration,
    /// Every n-th cache event is lost; 0 loses none.
    pub cache_event_loss_interval: u64,
    /// Minimum interval between two updates of the load report.
    pub report_lag: Duration,
    /// Whether fencing tokens are checked.
    pub fencing: Fencing,
}

/// Faults to inject.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Factor by which all times are multiplied.
    pub slow: f64,
    /// Accepts requests and sends no reply; open streams send no further events.
    pub silent: bool,
    /// When this number is increased, streams that are open send no further events; new streams work.
    pub stalls: u64,
    /// Number of tokens after which the connection of each stream is closed; 0 closes none.
    pub break_after: Tokens,
    /// Refuses new requests.
    pub refusing: bool,
    /// Refuses new requests because the engine is shutting down.
    pub leaving: bool,
}

/// Numbers of generations since the fake was started.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Counts {
    /// Generations that were started.
    pub started: u64,
    /// Generations whose answer was sent completely.
    pub completed: u64,
    /// Generations that ended because the client disconnected.
    pub cancelled: u64,
}

#[derive(Debug)]
struct State {
    options: Options,
    faults: SharedFaults<Faults>,
    queue: queue::Queue,
    cache: Mutex<cache::Cache>,
    loaded: Mutex<versions::LoadedVersions>,
    report: Mutex<Option<(Instant, queue::Load)>>,
    counts: Mutex<Counts>,
}

#[derive(Deserialize)]
struct CompletionRequest {
    messages: Vec<Message>,
    max_tokens: Option<Tokens>,
    version: String,
    #[serde(default)]
    resume_after: Tokens,
    #[serde(default = "default_priority")]
    priority: Class,
}

/// Token counts of a prompt.
struct Prompt {
    tokens: Tokens,
    cached: Tokens,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            versions: vec!["alpha-1".to_owned()],
            concurrency: 8,
            queue_limit: 16,
            time_to_first_token: Duration::from_millis(20),
            prefill_per_token: Duration::from_micros(20),
            token_interval: Duration::from_millis(2),
            answer_tokens: 20,
            cache_blocks: 256,
            cache_event_delay: Duration::from_millis(50),
            cache_event_loss_interval: 0,
            report_lag: Duration::from_millis(200),
            fencing: Fencing::Checked,
        }
    }
}

impl Default for Faults {
    fn default() -> Self {
        Self {
            slow: 1.0,
            silent: false,
            stalls: 0,
            break_after: 0,
            refusing: false,
            leaving: false,
        }
    }
}

impl Engine {
    /// Starts the fake on `address`; port 0 selects a free port.
    ///
    /// # Errors
    /// [`Error::Bind`] if the address cannot be bound.
    pub fn bind(address: SocketAddr, options: Options) -> Result<Self, Error> {
        let state = Arc::new(State {
            faults: SharedFaults::default(),
            queue: queue::Queue::new(options.concurrency, options.queue_limit),
            cache: Mutex::new(cache::Cache::new(&options)),
            loaded: Mutex::new(versions::LoadedVersions::new(&options)),
            report: Mutex::default(),
            counts: Mutex::default(),
            options,
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

    /// Numbers of generations.
    pub fn counts(&self) -> Counts {
        *lock(&self.state.counts)
    }

    /// Versions that are loaded.
    pub fn versions(&self) -> Vec<String> {
        lock(&self.state.loaded).versions.clone()
    }
}

impl Handler for State {
    type Faults = Faults;

    fn faults(&self) -> &SharedFaults<Faults> {
        &self.faults
    }

    fn handle(&self, call: Call) {
        if !call.hold_open_while(|| self.faults.get().silent) {
            return;
        }
        match (call.method.as_str(), call.path.as_str()) {
            ("POST", "/v1/chat/completions") => self.complete(call),
            ("GET", "/load") => self.report(call),
            ("GET", "/cache/events") => self.cache_events(call),
            ("POST", "/orders") => self.set_versions(call),
            _ => call.reply(404, &json!({})),
        }
    }
}

impl State {
    fn complete(&self, call: Call) {
        let Ok(request) = serde_json::from_slice::<CompletionRequest>(&call.body) else {
            return call.refuse(400, "malformed");
        };
        let faults = self.faults.get();
        if faults.leaving {
            return call.refuse(503, "leaving");
        }
        if faults.refusing {
            return call.refuse(503, "refusing");
        }
        if !lock(&self.loaded).versions.contains(&request.version) {
            return call.refuse(409, "not_loaded");
        }
        let stopped = call.stopped();
        let Some(_slot) = self.queue.acquire(request.priority, &stopped) else {
            return call.refuse(503, "busy");
        };
        lock(&self.counts).started += 1;
        let prompt = self.prompt(&request);
        let prefill = self.options.prefill_per_token * (prompt.tokens - prompt.cached);
        if !call.sleep((self.options.time_to_first_token + prefill).mul_f64(faults.slow.max(0.0))) {
            return;
        }
        let Ok(mut events) = call.stream() else {
            return self.count_cancelled();
        };
        match self.generate(&mut events, &request, &prompt, faults.stalls, &stopped) {
            Ok(true) if events.finish().is_ok() => lock(&self.counts).completed += 1,
            Ok(false) => (),
            Ok(true) | Err(_) => self.count_cancelled(),
        }
    }

    /// Sends the tokens; returns false if a fault or the end of the fake interrupts the stream.
    fn generate(
        &self,
        events: &mut EventStream,
        request: &CompletionRequest,
        prompt: &Prompt,
        stalls: u64,
        stopped: &AtomicBool,
    ) -> std::io::Result<bool> {
        let total = request.max_tokens.unwrap_or(self.options.answer_tokens);
        for index in request.resume_after..total {
            let stalled = || {
                let faults = self.faults.get();
                faults.silent || faults.stalls > stalls
            };
            if !wait_while(stopped, stalled, None) {
                return Ok(false);
            }
            let faults = self.faults.get();
            if faults.break_after > 0 && index - request.resume_after >= faults.break_after {
                return Ok(false);
            }
            let text = format!("{}:{index} ", request.version);
            events.send(&json!({"index": index, "choices": [{"delta": {"content": text}}]}).to_string())?;
            std::thread::sleep(self.options.token_interval.mul_f64(faults.slow.max(0.0)));
        }
        let usage = json!({
            "prompt_tokens": prompt.tokens,
            "completion_tokens": total,
            "prompt_tokens_details": {"cached_tokens": prompt.cached},
        });
        events.send(&json!({"choices": [], "usage": usage}).to_string())?;
        events.send("[DONE]")?;
        Ok(true)
    }

    fn prompt(&self, request: &CompletionRequest) -> Prompt {
        let text: String = request.messages.iter().map(|it| it.content.as_str()).collect();
        let tokens = to_tokens(text.len().div_ceil(CHARS_PER_TOKEN));
        let cached = lock(&self.cache).insert(&request.version, text.as_bytes(), Instant::now());
        Prompt {
            tokens,
            cached: to_tokens(cached).min(tokens),
        }
    }

    fn count_cancelled(&self) {
        lock(&self.counts).cancelled += 1;
    }

    fn report(&self, call: Call) {
        let now = Instant::now();
        let (time, load) = {
            let mut report = lock(&self.report);
            let kept = report.filter(|it| now - it.0 < self.options.report_lag);
            *report.insert(kept.unwrap_or_else(|| (now, self.queue.load())))
        };
        let age_ms = u64::try_from((now - time).as_millis()).unwrap_or(u64::MAX);
        call.reply(
            200,
            &json!({
                "running": load.running,
                "waiting": load.waiting,
                "age_ms": age_ms,
                "versions": lock(&self.loaded).versions.clone(),
                "leaving": self.faults.get().leaving,
            }),
        );
    }

    fn cache_events(&self, call: Call) {
        let from = call.query("from").unwrap_or(0);
        let events = lock(&self.cache).visible(from, Instant::now());
        call.reply(200, &json!({"events": events}));
    }

    fn set_versions(&self, call: Call) {
        let Ok(request) = serde_json::from_slice::<versions::VersionsRequest>(&call.body) else {
            return call.refuse(400, "malformed");
        };
        if !lock(&self.loaded).apply(request) {
            return call.refuse(409, "fenced");
        }
        call.reply(200, &json!({}));
    }
}

fn to_tokens(number: usize) -> Tokens {
    number.try_into().unwrap_or(Tokens::MAX)
}

fn default_priority() -> Class {
    Class::Standard
}
