//! State of an engine that is not warm.

/// State of an engine that is not warm.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Phase {
    /// It failed and may have restarted; nothing has shown since that it runs.
    Suspected,
    /// It is cold.
    Cold,
    /// It was cold, and its rate grows.
    Warming,
}

impl Phase {
    /// Name in logs, metrics and the node's state.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Suspected => "suspected",
            Self::Cold => "cold",
            Self::Warming => "warming",
        }
    }
}
