//! Complete responses and error bodies.

use std::time::Duration;

use model::Refusal;
use serde_json::{Value, json};

/// A response with a complete body.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Reply {
    pub status: u16,
    /// Headers except `Content-Length`.
    pub headers: Vec<(&'static str, String)>,
    pub body: Vec<u8>,
}

impl Reply {
    /// Creates a JSON response.
    pub(crate) fn json(status: u16, value: &Value) -> Self {
        Self::new(status, "application/json", value.to_string().into_bytes())
    }

    /// Creates a plain text response.
    pub(crate) fn text(status: u16, text: &str) -> Self {
        Self::new(status, "text/plain; charset=utf-8", text.as_bytes().to_vec())
    }

    /// Creates a response of any media type.
    pub(crate) fn new(status: u16, content_type: &str, body: Vec<u8>) -> Self {
        Self {
            status,
            headers: vec![("Content-Type", content_type.to_owned())],
            body,
        }
    }

    /// Creates the error response of a refusal.
    pub(crate) fn refusal(refusal: &Refusal) -> Self {
        let reply = Self::json(refusal.reason.status(), &error_body(refusal));
        match refusal.retry_after {
            Some(after) => reply.header("Retry-After", retry_after_seconds(after).to_string()),
            None => reply,
        }
    }

    /// Adds a header.
    pub(crate) fn header(mut self, name: &'static str, value: String) -> Self {
        self.headers.push((name, value));
        self
    }
}

/// JSON body of a refusal.
pub(crate) fn error_body(refusal: &Refusal) -> Value {
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

/// Value of `Retry-After` in whole seconds, rounded up because the header has no fractions.
fn retry_after_seconds(time: Duration) -> u64 {
    time.as_millis().div_ceil(1000).try_into().unwrap_or(u64::MAX)
}
