//! Client interface of the model engines.

use std::fmt::Debug;
use std::net::SocketAddr;
use std::time::Duration;

use model::{Class, Name, Offset, Tokens, Usage};

/// A message of a conversation.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Message {
    /// Role of the author, such as `user` or `assistant`.
    pub role: String,
    /// Text of the message.
    pub content: String,
}

/// A request to one engine to generate an answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Request {
    /// Identifier of the caller's request; all attempts for it use the same one.
    pub id: String,
    /// Model version to run.
    pub version: Name,
    /// Conversation.
    pub messages: Vec<Message>,
    /// Maximum number of tokens in the answer; `None` applies the default of the engine.
    pub max_tokens: Option<Tokens>,
    /// Number of tokens that earlier attempts delivered; generation resumes after them.
    pub resume_after: Tokens,
    /// Priority class.
    pub class: Class,
    /// Time-out for establishing the connection.
    pub connect_timeout: Duration,
    /// Maximum wait for the next event.
    pub progress_timeout: Duration,
}

/// An event of a streamed answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Event {
    /// The next token of the answer.
    Token {
        /// Zero-based position of the token in the answer.
        index: Tokens,
        /// Text of the token.
        text: String,
    },
    /// The answer is complete.
    Done {
        /// Token counts of the whole answer, including the part that earlier attempts delivered.
        usage: Usage,
    },
}

/// Failure of an engine call.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// No connection was established; nothing was executed.
    #[error("cannot connect to the engine")]
    Connect,
    /// The engine refused the request without executing it.
    #[error("the engine refused the request ({0:?})")]
    Refused(Refusal),
    /// The engine sent no event or reply within the time-out.
    #[error("the engine did not respond within the time-out")]
    Timeout,
    /// The connection failed, or the engine reported an error without stating that nothing was executed.
    #[error("the connection to the engine failed or the engine reported an error")]
    Broken,
    /// The reply cannot be parsed.
    #[error("the engine sent a malformed reply")]
    Malformed,
}

/// Reason why an engine refused a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Refusal {
    /// The queue of the engine is full.
    Busy,
    /// The engine is shutting down.
    Leaving,
    /// The requested version is not loaded.
    NotLoaded,
    /// The fencing token is lower than one that the engine has seen.
    Fenced,
    /// Any other reason.
    Other,
}

/// Load of an engine as it was when the engine last updated its report.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LoadReport {
    /// Number of requests in the running batch.
    pub running: u32,
    /// Number of queued requests.
    pub waiting: u32,
    /// Time since the engine updated the report.
    pub age: Duration,
    /// Loaded model versions.
    pub versions: Vec<Name>,
    /// Whether the engine is shutting down.
    pub leaving: bool,
}

/// A change in the prefix cache of an engine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CacheEvent {
    /// Sequence number assigned by the engine; a gap means that events were lost.
    pub sequence: u64,
    /// Hash of the prefix block.
    pub block: u64,
    /// Kind of the change.
    pub change: CacheChange,
}

/// Kind of a change in the prefix cache.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CacheChange {
    /// The block was stored.
    Stored,
    /// The block was evicted.
    Evicted,
}

/// Set of versions that an engine should have loaded.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DesiredVersions {
    /// Fencing token, which is the offset of the lease record.
    pub fencing_token: Offset,
    /// Versions that the engine should have loaded.
    pub versions: Vec<Name>,
}

/// Events of a generation in progress; dropping the stream cancels the generation.
pub trait Stream: Debug + Send {
    /// Waits for the next event; [`Event::Done`] is the last one.
    ///
    /// # Errors
    /// [`Error::Timeout`] if no event arrives within the progress time-out, or any failure of the connection.
    fn next(&mut self) -> Result<Event, Error>;
}

/// Client of the engines.
pub trait Engines: Debug + Send + Sync {
    /// Starts a generation.
    ///
    /// # Errors
    /// Any [`Error`]; only [`Error::Connect`] and [`Error::Refused`] prove that nothing was executed.
    fn generate(&self, address: SocketAddr, req: &Request) -> Result<Box<dyn Stream>, Error>;

    /// Reads the load report.
    ///
    /// # Errors
    /// Any [`Error`].
    fn load_report(&self, address: SocketAddr) -> Result<LoadReport, Error>;

    /// Reads cache events with a sequence number of at least `from`.
    ///
    /// # Errors
    /// Any [`Error`].
    fn cache_events(&self, address: SocketAddr, from: u64) -> Result<Vec<CacheEvent>, Error>;

    /// Number of prompt tokens in one block of the prefix cache.
    fn block_tokens(&self) -> Tokens;

    /// Hashes of the complete blocks of a prompt, as in [`CacheEvent::block`]; each covers the prompt up to
    /// the end of its block.
    fn block_hashes(&self, version: &str, messages: &[Message]) -> Vec<u64>;

    /// Tells an engine which versions it should have loaded.
    ///
    /// # Errors
    /// [`Error::Refused`] with [`Refusal::Fenced`] if the engine has seen a higher fencing token.
    fn set_versions(&self, address: SocketAddr, desired: &DesiredVersions) -> Result<(), Error>;
}
