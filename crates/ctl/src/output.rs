//! Output as text or JSON.

use serde::Serialize;
use serde_json::json;

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
