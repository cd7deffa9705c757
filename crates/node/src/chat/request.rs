//! Parsing of chat requests.

use model::refusal::Reason;
use model::{Name, Refusal, Tokens};
use ports::engine::Message;
use serde::Deserialize;

/// How the answer is sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Delivery {
    /// Server-sent events.
    Stream,
    /// One JSON object.
    Whole,
}

/// A chat request.
#[derive(Debug)]
pub(super) struct Request {
    /// Name of the requested model, version or cascade.
    pub model: Name,
    pub messages: Vec<Message>,
    pub max_tokens: Option<Tokens>,
    pub delivery: Delivery,
}

/// Fields of the body. Others are ignored, because callers send many that routing does not need.
#[derive(Deserialize)]
struct Body {
    model: Name,
    messages: Vec<Message>,
    #[serde(default)]
    max_tokens: Option<Tokens>,
    #[serde(default)]
    stream: Option<bool>,
}

impl Request {
    /// Parses the body of a request.
    ///
    /// # Errors
    /// `bad_request` if it is not a valid chat request.
    pub(super) fn parse(body: &[u8]) -> Result<Self, Refusal> {
        let bad = Refusal::not_run(Reason::BadRequest);
        let Ok(body) = serde_json::from_slice::<Body>(body) else {
            return Err(bad);
        };
        if body.messages.is_empty() || body.max_tokens == Some(0) {
            return Err(bad);
        }
        let delivery = match body.stream {
            Some(true) => Delivery::Stream,
            Some(false) | None => Delivery::Whole,
        };
        Ok(Self {
            model: body.model,
            messages: body.messages,
            max_tokens: body.max_tokens,
            delivery,
        })
    }
}
