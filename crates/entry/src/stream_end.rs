//! How the body of a stream ended.
//!
//! A body without framing ends with its connection, also if the engine fails. That shows if it ends inside an event or
//! has none. Otherwise it may be whole or not: the node may have left it unread until the engine cut it off, or the
//! engine's process has ended. Then an engine that is asked for the events that follow tells.

use forward::event_stream::Splitter;
use forward::retry::Failure;
use tokio::time::timeout;

use crate::attempt::EngineResponse;
use crate::engine_end;
use crate::request::RequestContext;

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
    /// The end of a response whose events were taken from `splitter`. `may_be_whole` says that the events
    /// before it may be all, and that this response added nothing.
    pub(crate) async fn of(
        context: &RequestContext,
        response: &EngineResponse,
        splitter: &Splitter,
        may_be_whole: bool,
    ) -> Self {
        if !splitter.partial_event().is_empty() {
            return Self::Broken;
        }
        if response.is_framed() || may_be_whole {
            return Self::Complete;
        }
        if !splitter.has_yielded() {
            return Self::Broken;
        }
        if response.may_be_cut_off() {
            return Self::Doubtful(Failure::Unread);
        }
        let engine = &response.in_flight.engine;
        let accepts = engine_end::accepts_connections(&context.shared, engine, response.is_direct);
        match timeout(context.remaining(), accepts).await {
            Ok(true) => Self::Complete,
            Ok(false) | Err(_) => Self::Doubtful(Failure::Lost),
        }
    }
}
