//! Model engines.

use std::fmt::Debug;
use std::net::SocketAddr;
use std::time::Duration;

use model::{Class, Name, Offset, Tokens, Usage};

/// A message of a conversation.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Message {
    /// Who speaks, such as `user` or `assistant`.
    pub role: String,
    /// Text.
    pub content: String,
}

/// A generation request for one engine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Request {
    /// Identity of the caller's request, the same on every attempt.
    pub id: String,
    /// Version to run.
    pub version: Name,
    /// Conversation.
    pub messages: Vec<Message>,
    /// Greatest number of tokens to generate; `None` leaves it to the engine.
    pub max_tokens: Option<Tokens>,
    /// Number of tokens that an earlier attempt already delivered; the engine continues after them.
    pub resume_after: Tokens,
    /// Priority class.
    pub class: Class,
    /// Time-out for the connection.
    pub connect_timeout: Duration,
    /// Greatest wait for the next event.
    pub progress_timeout: Duration,
}

/// An event of a stream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Event {
    /// The next piece of the answer.
    Token {
        /// Position of the token in the answer, from zero.
        index: Tokens,
        /// Text.
        text: String,
    },
    /// The answer is complete.
    Done {
        /// Tokens of the whole answer, resumed parts included.
        usage: Usage,
    },
}

/// Failure of an engine call.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// No connection was made; nothing ran.
    #[error("the engine accepts no connection")]
    Connect,
    /// The engine refused before it started.
    #[error("the engine refused the request ({0:?})")]
    Refused(Refusal),
    /// The engine made no progress within the time-out.
    #[error("the engine made no progress")]
    Timeout,
    /// The connection broke.
    #[error("the connection to the engine broke")]
    Broken,
    /// The reply is malformed.
    #[error("the engine sent a malformed reply")]
    Malformed,
}

/// Why an engine refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Refusal {
    /// Its queue is full.
    Busy,
    /// It is about to stop.
    Leaving,
    /// It does not have the version loaded.
    NotLoaded,
    /// The order carries an old fencing token.
    Fenced,
    /// Any other refusal.
    Other,
}

/// Load that an engine reports, with a lag.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LoadReport {
    /// Requests in the batch.
    pub running: u32,
    /// Requests that wait.
    pub waiting: u32,
    /// Age of the report.
    pub age: Duration,
    /// Versions loaded.
    pub versions: Vec<Name>,
    /// Whether the engine is about to stop.
    pub leaving: bool,
}

/// Change of the prefix cache of an engine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CacheEvent {
    /// Position in the engine's sequence of events; a gap means lost events.
    pub sequence: u64,
    /// Hash of the prefix block.
    pub block: u64,
    /// What happened to the block.
    pub change: CacheChange,
}

/// What happened to a cached prefix block.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CacheChange {
    /// The block was stored.
    Stored,
    /// The block was evicted.
    Evicted,
}

/// Wanted end state of an engine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DesiredVersions {
    /// Fencing token: offset of the lease record.
    pub fencing_token: Offset,
    /// Versions that the engine should have loaded.
    pub versions: Vec<Name>,
}

/// A stream of events; dropping it cancels the generation.
pub trait Stream: Debug + Send {
    /// Waits for the next event; after [`Event::Done`] there is none.
    ///
    /// # Errors
    /// [`Error::Timeout`] when the progress time-out passes, or any failure of the connection.
    fn next(&mut self) -> Result<Event, Error>;
}

/// Client of the engines.
pub trait Engines: Debug + Send + Sync {
    /// Starts a generation.
    ///
    /// # Errors
    /// Any [`Error`]; after [`Error::Connect`] and [`Error::Refused`] nothing ran.
    fn generate(&self, address: SocketAddr, req: &Request) -> Result<Box<dyn Stream>, Error>;

    /// Reads the load report.
    ///
    /// # Errors
    /// Any [`Error`].
    fn load_report(&self, address: SocketAddr) -> Result<LoadReport, Error>;

    /// Reads cache events from `from` on.
    ///
    /// # Errors
    /// Any [`Error`].
    fn cache_events(&self, address: SocketAddr, from: u64) -> Result<Vec<CacheEvent>, Error>;

    /// Prompt tokens in a block of the prefix cache.
    fn block_tokens(&self) -> Tokens;

    /// Hashes of the whole blocks of a prompt, each over the prompt up to its end, as cache events name them.
    fn block_hashes(&self, version: &str, messages: &[Message]) -> Vec<u64>;

    /// Sends an order.
    ///
    /// # Errors
    /// [`Refusal::Fenced`] if the engine has seen a higher fencing token.
    fn set_versions(&self, address: SocketAddr, desired: &DesiredVersions) -> Result<(), Error>;
}
