//! How the body of a stream ended.
//!
//! A body without framing ends with its connection, also if the engine fails. That shows if it ends inside an event or
//! has none. Otherwise it may be whole or not: the node may have left it unread until the engine cut it off.
//! Then an engine that is asked for the events that follow tells.

use forward::event_stream::Splitter;
use forward::retry::Failure;

use crate::attempt::EngineResponse;

/// End of a body that was read without an error.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum StreamEnd {
    /// The stream is complete.
    Complete,
    /// The stream may be complete; if it is not, this is the failure.
    Doubtful(Failure),
    /// Events are missing.
    Broken,
}

impl StreamEnd {
    /// The end of a response whose events were taken from `splitter`. `is_rest` says that a response before it may have
    /// been whole, and that this one added nothing.
    pub(crate) fn of(response: &EngineResponse, splitter: &Splitter, is_rest: bool) -> Self {
        if !splitter.partial_event().is_empty() {
            return Self::Broken;
        }
        if response.is_framed() || is_rest {
            return Self::Complete;
        }
        if !splitter.has_yielded() {
            return Self::Broken;
        }
        match response.may_be_cut_off() {
            true => Self::Doubtful(Failure::Unread),
            false => Self::Complete,
        }
    }
}
