//! Plain services.

use serde::{Deserialize, Serialize};

use crate::Name;

/// Whether a call may be repeated.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Repeat {
    /// Repeating the call has no further effect.
    Idempotent,
    /// Repeating the call repeats its effect.
    NonIdempotent,
}

/// A call that a service offers.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Call {
    /// HTTP method in capitals.
    pub method: String,
    /// Path below the service's name, with a leading slash; matches itself and everything below it.
    pub path: String,
    /// Whether the call may be repeated.
    pub repeat: Repeat,
}

/// A plain service with its calls; a call that matches none is refused.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Unique name, part of the path that callers use.
    pub name: Name,
    /// Pool of instances.
    pub pool: Name,
    /// Calls; the longest matching path of the method applies.
    pub calls: Vec<Call>,
}

impl Service {
    /// The call that `method` and `path` denote.
    pub fn call(&self, method: &str, path: &str) -> Option<&Call> {
        self.calls
            .iter()
            .filter(|it| it.method == method && it.covers(path))
            .max_by_key(|it| it.path.len())
    }
}

impl Call {
    fn covers(&self, path: &str) -> bool {
        let prefix = self.path.trim_end_matches('/');
        let Some(rest) = path.strip_prefix(prefix) else {
            return false;
        };
        rest.is_empty() || rest.starts_with(['/', '?'])
    }
}
