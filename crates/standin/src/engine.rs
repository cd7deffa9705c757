//! Fake of a model engine.
//!
//! Token `n` of an answer is the text `VERSION:n` and a space, so that a test can tell which version answered and
//! whether a part is missing or repeated.

use std::net::SocketAddr;
use std::sync::atomic::AtomicBool;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use model::{Class, Tokens};
use ports::engine::Message;
use serde::{Deserialize, Serialize};
use serde_json::json;

use crate::Error;
use crate::control::{Control, lock};
use crate::server::{Call, Chunks, Handler, Server, pause_while};

mod cache;
mod orders;
mod queue;

/// Characters that count as one token of a prompt.
const CHARS_PER_TOKEN: usize = 4;

/// A running engine.
#[derive(Debug)]
pub struct Engine {
    server: Server,
    state: Arc<State>,
}

/// Whether the engine checks the fencing token of an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fencing {
    /// Refuses an order whose token is lower than one seen before.
    Checked,
    /// Follows every order.
    Ignored,
}

/// Settings of the fake.
#[derive(Debug, Clone)]
pub struct Options {
    /// Versions loaded at the start.
    pub versions: Vec<String>,
    /// Requests that run at the same time.
    pub concurrency: usize,
    /// Requests that may wait; further ones are refused.
    pub queue_limit: usize,
    /// Time to the first token if the whole prompt is cached.
    pub time_to_first_token: Duration,
    /// Time per uncached prompt token, added to the time to the first token.
    pub prefill_per_token: Duration,
    /// Time between tokens.
    pub token_interval: Duration,
    /// Tokens of an answer whose request sets no limit.
    pub answer_tokens: Tokens,
    /// Blocks of 16 prompt tokens that the prefix cache holds.
    pub cache_blocks: usize,
    /// Time after which a cache event becomes visible.
    pub cache_event_delay: Duration,
    /// One cache event in so many is lost; 0 loses none.
    pub cache_event_loss_interval: u64,
    /// Time for which a load report stays the same.
    pub report_lag: Duration,
    /// Whether orders are checked.
    pub fencing: Fencing,
}

/// Faults of the fake.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Factor on all times.
    pub slow: f64,
    /// Accepts requests and sends nothing; open streams stop as well.
    pub silent: bool,
    /// Streams that are open when this number rises go silent for good, new ones work.
    pub stalls: u64,
    /// Breaks each stream after so many tokens; 0 breaks none.
    pub break_after: Tokens,
    /// Refuses new requests.
    pub refusing: bool,
    /// Refuses new requests because the engine is about to stop.
    pub leaving: bool,
}

/// Counts of generations since the start.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Counts {
    /// Generations that began to run.
    pub started: u64,
    /// Answers sent to the end.
    pub completed: u64,
    /// Generations stopped because the client had gone.
    pub cancelled: u64,
}

#[derive(Debug)]
struct State {
    options: Options,
    control: Control<Faults>,
    queue: queue::Queue,
    cache: Mutex<cache::Cache>,
    loaded: Mutex<orders::Loaded>,
    report: Mutex<Option<(Instant, queue::Load)>>,
    counts: Mutex<Counts>,
}

#[derive(Deserialize)]
struct Completion {
    messages: Vec<Message>,
    max_tokens: Option<Tokens>,
    version: String,
    #[serde(default)]
    resume_after: Tokens,
    #[serde(default = "standard")]
    priority: Class,
}

/// What a stream needs to know about its prompt.
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
    /// Starts the fake; port 0 chooses a free port.
    ///
    /// # Errors
    /// [`Error::Bind`].
    pub fn bind(address: SocketAddr, options: Options) -> Result<Self, Error> {
        let state = Arc::new(State {
            control: Control::default(),
            queue: queue::Queue::new(options.concurrency, options.queue_limit),
            cache: Mutex::new(cache::Cache::new(&options)),
            loaded: Mutex::new(orders::Loaded::new(&options)),
            report: Mutex::default(),
            counts: Mutex::default(),
            options,
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

    /// Counts of generations.
    pub fn counts(&self) -> Counts {
        *lock(&self.state.counts)
    }

    /// Versions loaded now.
    pub fn versions(&self) -> Vec<String> {
        lock(&self.state.loaded).versions.clone()
    }
}

impl Handler for State {
    type Faults = Faults;

    fn control(&self) -> &Control<Faults> {
        &self.control
    }

    fn handle(&self, call: Call) {
        if !call.stay_silent(|| self.control.get().silent) {
            return;
        }
        match (call.method.as_str(), call.path.as_str()) {
            ("POST", "/v1/chat/completions") => self.complete(call),
            ("GET", "/load") => self.report(call),
            ("GET", "/cache/events") => self.cache_events(call),
            ("POST", "/orders") => self.order(call),
            _ => call.reply(404, &json!({})),
        }
    }
}

impl State {
    fn complete(&self, call: Call) {
        let Ok(completion) = serde_json::from_slice::<Completion>(&call.body) else {
            return call.refuse(400, "malformed");
        };
        let faults = self.control.get();
        if faults.leaving {
            return call.refuse(503, "leaving");
        }
        if faults.refusing {
            return call.refuse(503, "refusing");
        }
        if !lock(&self.loaded).versions.contains(&completion.version) {
            return call.refuse(409, "not_loaded");
        }
        let stopped = call.stopped();
        let Some(_slot) = self.queue.enter(completion.priority, &stopped) else {
            return call.refuse(503, "busy");
        };
        lock(&self.counts).started += 1;
        let prompt = self.prompt(&completion);
        let prefill = self.options.prefill_per_token * (prompt.tokens - prompt.cached);
        if !call.sleep((self.options.time_to_first_token + prefill).mul_f64(faults.slow.max(0.0))) {
            return;
        }
        let Ok(mut chunks) = call.stream() else {
            return self.cancelled();
        };
        match self.generate(&mut chunks, &completion, &prompt, faults.stalls, &stopped) {
            Ok(true) if chunks.finish().is_ok() => lock(&self.counts).completed += 1,
            Ok(false) => (),
            Ok(true) | Err(_) => self.cancelled(),
        }
    }

    /// Sends the tokens; false if the stream was broken by a fault or by the end of the fake.
    fn generate(
        &self,
        chunks: &mut Chunks,
        completion: &Completion,
        prompt: &Prompt,
        stalls: u64,
        stopped: &AtomicBool,
    ) -> std::io::Result<bool> {
        let total = completion.max_tokens.unwrap_or(self.options.answer_tokens);
        for index in completion.resume_after..total {
            let stalled = || {
                let faults = self.control.get();
                faults.silent || faults.stalls > stalls
            };
            if !pause_while(stopped, stalled, None) {
                return Ok(false);
            }
            let faults = self.control.get();
            if faults.break_after > 0 && index - completion.resume_after >= faults.break_after {
                return Ok(false);
            }
            let text = format!("{}:{index} ", completion.version);
            chunks.send(&json!({"index": index, "choices": [{"delta": {"content": text}}]}).to_string())?;
            std::thread::sleep(self.options.token_interval.mul_f64(faults.slow.max(0.0)));
        }
        let usage = json!({
            "prompt_tokens": prompt.tokens,
            "completion_tokens": total,
            "prompt_tokens_details": {"cached_tokens": prompt.cached},
        });
        chunks.send(&json!({"choices": [], "usage": usage}).to_string())?;
        chunks.send("[DONE]")?;
        Ok(true)
    }

    fn prompt(&self, completion: &Completion) -> Prompt {
        let text: String = completion.messages.iter().map(|it| it.content.as_str()).collect();
        let tokens = count(text.len().div_ceil(CHARS_PER_TOKEN));
        let cached = lock(&self.cache).insert(&completion.version, text.as_bytes(), Instant::now());
        Prompt {
            tokens,
            cached: count(cached).min(tokens),
        }
    }

    fn cancelled(&self) {
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
                "leaving": self.control.get().leaving,
            }),
        );
    }

    fn cache_events(&self, call: Call) {
        let from = call.query("from").unwrap_or(0);
        let events = lock(&self.cache).visible(from, Instant::now());
        call.reply(200, &json!({"events": events}));
    }

    fn order(&self, call: Call) {
        let Ok(order) = serde_json::from_slice::<orders::Order>(&call.body) else {
            return call.refuse(400, "malformed");
        };
        if !lock(&self.loaded).follow(order) {
            return call.refuse(409, "fenced");
        }
        call.reply(200, &json!({}));
    }
}

fn count(number: usize) -> Tokens {
    number.try_into().unwrap_or(Tokens::MAX)
}

fn standard() -> Class {
    Class::Standard
}
