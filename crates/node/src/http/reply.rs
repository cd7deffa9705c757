//! Complete responses and error bodies.

use std::time::Duration;

use model::Refusal;
use serde_json::{Value, json};

/// A response with a complete body.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Reply {
    /// HTTP status.
    pub status: u16,
    /// Headers besides the length.
    pub headers: Vec<(&'static str, String)>,
    /// Body.
    pub body: Vec<u8>,
}

impl Reply {
    /// A JSON response.
    pub(crate) fn json(status: u16, value: &Value) -> Self {
        Self::new(status, "application/json", value.to_string().into_bytes())
    }

    /// A plain text response.
    pub(crate) fn text(status: u16, text: &str) -> Self {
        Self::new(status, "text/plain; charset=utf-8", text.as_bytes().to_vec())
    }

    /// A response of any media type.
    pub(crate) fn new(status: u16, content_type: &str, body: Vec<u8>) -> Self {
        Self {
            status,
            headers: vec![("Content-Type", content_type.to_owned())],
            body,
        }
    }

    /// The error response of a refusal.
    pub(crate) fn refusal(refusal: &Refusal) -> Self {
        let reply = Self::json(refusal.reason.status(), &error(refusal));
        match refusal.retry_after {
            Some(after) => reply.header("Retry-After", seconds(after).to_string()),
            None => reply,
        }
    }

    /// Adds a header.
    pub(crate) fn header(mut self, name: &'static str, value: String) -> Self {
        self.headers.push((name, value));
        self
    }
}

/// The JSON error object of a refusal.
pub(crate) fn error(refusal: &Refusal) -> Value {
    let mut error = json!({
        "code": refusal.reason.code(),
        "message": refusal.to_string(),
        "ran": refusal.ran.as_str(),
    });
    if let Some(after) = refusal.retry_after {
        error["retry_after_ms"] = json!(u64::try_from(after.as_millis()).unwrap_or(u64::MAX));
    }
    json!({ "error": error })
}

/// Whole seconds, rounded up, because the header has no fractions.
fn seconds(time: Duration) -> u64 {
    time.as_millis().div_ceil(1000).try_into().unwrap_or(u64::MAX)
}
