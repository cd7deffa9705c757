//! Output as text or JSON.

use serde::Serialize;
use serde_json::{Value, json};

use crate::failure::Failure;

/// Output format.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Format {
    /// Plain text for people.
    Text,
    /// JSON for scripts, one document per line.
    Json,
}

/// Prints a value as JSON, or as the lines that `text` returns.
pub fn print<T: Serialize>(value: &T, format: Format, text: impl FnOnce(&T) -> Vec<String>) {
    match format {
        Format::Json => println!("{}", serde_json::to_string(value).unwrap_or_default()),
        Format::Text => text(value).iter().for_each(|it| println!("{it}")),
    }
}

/// Formats the fields of an object as `key=value`, strings without quotes.
pub fn fields(value: &Value) -> String {
    let plain = |value: &Value| value.as_str().map_or_else(|| value.to_string(), str::to_owned);
    match value {
        Value::Object(fields) => {
            let fields: Vec<_> = fields
                .iter()
                .map(|(key, it)| format!("{key}={}", plain(it)))
                .collect();
            fields.join(" ")
        }
        value => plain(value),
    }
}

/// Prints a failure to standard error.
pub fn failure(failure: &Failure, format: Format) {
    let details = failure.details();
    match format {
        Format::Json => {
            eprintln!("{}", json!({"error": failure.to_string(), "details": details}));
        }
        Format::Text => {
            eprintln!("{failure}");
            details.iter().for_each(|it| eprintln!("  {it}"));
        }
    }
}
