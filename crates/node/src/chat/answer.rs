//! Response to a chat request, either streamed or sent as a whole.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use model::{Name, Refusal, Usage};
use serde_json::{Value, json};

use super::request::Delivery;
use crate::http::events::EventStream;
use crate::http::exchange::Exchange;
use crate::http::reply::{self, Reply};

/// The caller has disconnected or does not read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Disconnected;

impl From<std::io::Error> for Disconnected {
    fn from(_: std::io::Error) -> Self {
        Self
    }
}

/// Fields that every chunk of an answer repeats.
#[derive(Debug, Clone)]
pub(crate) struct Metadata {
    /// Request id.
    pub id: String,
    /// Version that generates the answer.
    pub version: Name,
    /// Session token.
    pub session: String,
}

#[derive(Debug)]
enum State {
    /// A stream of which nothing was sent yet.
    Waiting(Exchange),
    /// A stream that has begun.
    Streaming(EventStream),
    /// An answer that is sent as a whole, with its text so far.
    Buffering(Exchange, String),
    /// The stream could not be started, because the caller has disconnected.
    Closed,
}

/// An answer in progress.
#[derive(Debug)]
pub(crate) struct Answer {
    metadata: Metadata,
    created: u64,
    received: Instant,
    first_token: Option<Duration>,
    state: State,
}

impl Answer {
    /// Creates an answer of which nothing was sent.
    pub(crate) fn new(exchange: Exchange, metadata: Metadata, delivery: Delivery, received: Instant) -> Self {
        let state = match delivery {
            Delivery::Stream => State::Waiting(exchange),
            Delivery::Whole => State::Buffering(exchange, String::new()),
        };
        let created = SystemTime::now().duration_since(UNIX_EPOCH);
        Self {
            metadata,
            created: created.unwrap_or_default().as_secs(),
            received,
            first_token: None,
            state,
        }
    }

    /// Time from the receipt of the request to its first token.
    pub(crate) fn first_token(&self) -> Option<Duration> {
        self.first_token
    }

    /// Sets the version that generates the following text, and the token of the session that starts on it.
    pub(crate) fn set_version(&mut self, version: &Name, session: String) {
        self.metadata.version = version.clone();
        self.metadata.session = session;
    }

    /// Appends text.
    ///
    /// # Errors
    /// The caller has disconnected.
    pub(crate) fn push(&mut self, text: &str) -> Result<(), Disconnected> {
        self.first_token.get_or_insert_with(|| self.received.elapsed());
        if let State::Buffering(exchange, answer) = &mut self.state {
            if exchange.is_abandoned() {
                return Err(Disconnected);
            }
            answer.push_str(text);
            return Ok(());
        }
        let chunk = self.chunk(&json!({ "content": text }), None);
        self.event_stream()?.send(&chunk.to_string())?;
        Ok(())
    }

    /// Checks that the caller is still connected.
    ///
    /// # Errors
    /// The caller has disconnected.
    pub(crate) fn keep_alive(&mut self) -> Result<(), Disconnected> {
        match &mut self.state {
            State::Streaming(events) => Ok(events.keep_alive()?),
            // Nothing can be sent yet, because the status depends on whether the request fails.
            State::Waiting(exchange) | State::Buffering(exchange, _) if exchange.is_abandoned() => {
                Err(Disconnected)
            }
            State::Waiting(_) | State::Buffering(..) => Ok(()),
            State::Closed => Err(Disconnected),
        }
    }

    /// Sends the end of the answer.
    ///
    /// # Errors
    /// The caller has disconnected.
    pub(crate) fn finish(mut self, usage: Usage) -> Result<(), Disconnected> {
        let usage = usage_json(usage);
        if let State::Buffering(..) = self.state {
            self.respond_whole(&usage);
            return Ok(());
        }
        let mut chunk = self.chunk(&json!({}), Some("stop"));
        chunk["usage"] = usage;
        self.event_stream()?;
        let State::Streaming(mut events) = self.state else {
            return Err(Disconnected);
        };
        events.send(&chunk.to_string())?;
        events.send("[DONE]")?;
        Ok(events.finish()?)
    }

    /// Reports a failure. A stream that has begun ends with an error event and without `[DONE]`.
    pub(crate) fn fail(self, refusal: &Refusal) {
        match self.state {
            State::Waiting(exchange) | State::Buffering(exchange, _) => {
                exchange.respond(Reply::refusal(refusal));
            }
            State::Streaming(mut events) => {
                let sent = events.send(&reply::error_body(refusal).to_string());
                // Errors are ignored: they mean that the caller has disconnected.
                sent.and_then(|()| events.finish()).ok();
            }
            State::Closed => {}
        }
    }

    /// Returns the event stream, and starts it if necessary.
    fn event_stream(&mut self) -> Result<&mut EventStream, Disconnected> {
        if let State::Waiting(_) = self.state {
            let State::Waiting(exchange) = std::mem::replace(&mut self.state, State::Closed) else {
                return Err(Disconnected);
            };
            self.state = State::Streaming(exchange.stream(&self.headers())?);
        }
        match &mut self.state {
            State::Streaming(events) => Ok(events),
            State::Waiting(_) | State::Buffering(..) | State::Closed => Err(Disconnected),
        }
    }

    fn respond_whole(self, usage: &Value) {
        let headers = self.headers();
        let State::Buffering(exchange, text) = self.state else {
            return;
        };
        let body = json!({
            "id": self.metadata.id,
            "object": "chat.completion",
            "created": self.created,
            "model": &*self.metadata.version,
            "choices": [{
                "index": 0,
                "message": { "role": "assistant", "content": text },
                "finish_reason": "stop",
            }],
            "usage": usage,
        });
        let mut reply = Reply::json(200, &body);
        reply.headers.extend(headers);
        exchange.respond(reply);
    }

    fn headers(&self) -> Vec<(&'static str, String)> {
        vec![
            ("X-Request-Id", self.metadata.id.clone()),
            ("X-Session", self.metadata.session.clone()),
        ]
    }

    fn chunk(&self, delta: &Value, finish_reason: Option<&str>) -> Value {
        json!({
            "id": self.metadata.id,
            "object": "chat.completion.chunk",
            "created": self.created,
            "model": &*self.metadata.version,
            "choices": [{ "index": 0, "delta": delta, "finish_reason": finish_reason }],
        })
    }
}

fn usage_json(usage: Usage) -> Value {
    json!({
        "prompt_tokens": usage.input,
        "completion_tokens": usage.output,
        "total_tokens": usage.input.saturating_add(usage.output),
        "prompt_tokens_details": { "cached_tokens": usage.cached },
    })
}
