//! The answer to a chat request, streamed or whole.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use model::{Name, Refusal, Usage};
use serde_json::{Value, json};

use super::request::Delivery;
use crate::http::events::Events;
use crate::http::exchange::Exchange;
use crate::http::reply::{self, Reply};

/// The caller disconnected or does not read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Gone;

impl From<std::io::Error> for Gone {
    fn from(_: std::io::Error) -> Self {
        Self
    }
}

/// What every part of an answer repeats.
#[derive(Debug, Clone)]
pub(crate) struct Head {
    /// Request id.
    pub id: String,
    /// Version that answers.
    pub version: Name,
    /// Session token.
    pub session: String,
}

#[derive(Debug)]
enum State {
    /// Nothing was sent yet.
    Waiting(Exchange),
    /// Events were sent.
    Open(Events),
    /// The text so far of an answer that is sent whole.
    Collecting(Exchange, String),
    /// The caller is gone.
    Closed,
}

/// An answer in progress.
#[derive(Debug)]
pub(crate) struct Answer {
    head: Head,
    created: u64,
    received: Instant,
    first_token: Option<Duration>,
    state: State,
}

impl Answer {
    /// An answer of which nothing was sent.
    pub(crate) fn new(exchange: Exchange, head: Head, delivery: Delivery, received: Instant) -> Self {
        let state = match delivery {
            Delivery::Stream => State::Waiting(exchange),
            Delivery::Whole => State::Collecting(exchange, String::new()),
        };
        let created = SystemTime::now().duration_since(UNIX_EPOCH);
        Self {
            head,
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

    /// Names the version whose answer follows, and the session that starts on it.
    pub(crate) fn answer_with(&mut self, version: &Name, session: String) {
        self.head.version = version.clone();
        self.head.session = session;
    }

    /// Adds the next piece.
    ///
    /// # Errors
    /// The caller is gone.
    pub(crate) fn push(&mut self, text: &str) -> Result<(), Gone> {
        self.first_token.get_or_insert_with(|| self.received.elapsed());
        if let State::Collecting(exchange, answer) = &mut self.state {
            if exchange.is_abandoned() {
                return Err(Gone);
            }
            answer.push_str(text);
            return Ok(());
        }
        let chunk = self.chunk(&json!({ "content": text }), None);
        self.open()?.send(&chunk.to_string())?;
        Ok(())
    }

    /// Checks that the caller is still there.
    ///
    /// # Errors
    /// The caller is gone.
    pub(crate) fn keep_alive(&mut self) -> Result<(), Gone> {
        match &mut self.state {
            State::Open(events) => Ok(events.keep_alive()?),
            // Nothing can be sent before it is known whether the request fails.
            State::Waiting(exchange) | State::Collecting(exchange, _) if exchange.is_abandoned() => Err(Gone),
            State::Waiting(_) | State::Collecting(..) => Ok(()),
            State::Closed => Err(Gone),
        }
    }

    /// Sends the last part.
    ///
    /// # Errors
    /// The caller is gone.
    pub(crate) fn finish(mut self, usage: Usage) -> Result<(), Gone> {
        let usage = usage_json(usage);
        if let State::Collecting(..) = self.state {
            self.finish_whole(&usage);
            return Ok(());
        }
        let mut chunk = self.chunk(&json!({}), Some("stop"));
        chunk["usage"] = usage;
        self.open()?;
        let State::Open(mut events) = self.state else {
            return Err(Gone);
        };
        events.send(&chunk.to_string())?;
        events.send("[DONE]")?;
        Ok(events.finish()?)
    }

    /// Reports a failure; a stream that has begun ends with an error event and without `[DONE]`.
    pub(crate) fn fail(self, refusal: &Refusal) {
        match self.state {
            State::Waiting(exchange) | State::Collecting(exchange, _) => {
                exchange.respond(Reply::refusal(refusal));
            }
            State::Open(mut events) => {
                let sent = events.send(&reply::error(refusal).to_string());
                // A caller that is gone needs no report.
                sent.and_then(|()| events.finish()).ok();
            }
            State::Closed => {}
        }
    }

    /// The event stream, started if necessary.
    fn open(&mut self) -> Result<&mut Events, Gone> {
        if let State::Waiting(_) = self.state {
            let State::Waiting(exchange) = std::mem::replace(&mut self.state, State::Closed) else {
                return Err(Gone);
            };
            self.state = State::Open(exchange.stream(&self.headers())?);
        }
        match &mut self.state {
            State::Open(events) => Ok(events),
            State::Waiting(_) | State::Collecting(..) | State::Closed => Err(Gone),
        }
    }

    fn finish_whole(self, usage: &Value) {
        let headers = self.headers();
        let State::Collecting(exchange, text) = self.state else {
            return;
        };
        let body = json!({
            "id": self.head.id,
            "object": "chat.completion",
            "created": self.created,
            "model": &*self.head.version,
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
            ("X-Request-Id", self.head.id.clone()),
            ("X-Session", self.head.session.clone()),
        ]
    }

    fn chunk(&self, delta: &Value, finish_reason: Option<&str>) -> Value {
        json!({
            "id": self.head.id,
            "object": "chat.completion.chunk",
            "created": self.created,
            "model": &*self.head.version,
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
