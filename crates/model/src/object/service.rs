//! Plain services.

use serde::{Deserialize, Serialize};

use crate::Name;

/// Whether a call may be repeated.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Repeat {
    /// Repeating the call has no additional effect.
    Idempotent,
    /// Repeating the call repeats its effect.
    NonIdempotent,
}

/// A call offered by a service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Call {
    /// HTTP method in upper case.
    pub method: String,
    /// Path relative to the service, with a leading slash. Matches the path itself and everything below it.
    pub path: String,
    /// Whether the call may be repeated.
    pub repeat: Repeat,
}

/// A plain service with its calls. A request that matches no call is refused.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Unique name, which is part of the request path.
    pub name: Name,
    /// Pool of instances.
    pub pool: Name,
    /// Calls. Among those that match a request, the one with the longest path applies.
    pub calls: Vec<Call>,
}

impl Service {
    /// Finds the call that matches `method` and `path`.
    pub fn call(&self, method: &str, path: &str) -> Option<&Call> {
        self.calls
            .iter()
            .filter(|it| it.method == method && it.matches_path(path))
            .max_by_key(|it| it.path.len())
    }
}

impl Call {
    fn matches_path(&self, path: &str) -> bool {
        let prefix = self.path.trim_end_matches('/');
        let Some(rest) = path.strip_prefix(prefix) else {
            return false;
        };
        rest.is_empty() || rest.starts_with(['/', '?'])
    }
}
