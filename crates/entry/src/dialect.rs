//! The port to the platform's way of speaking.
//!
//! A [`Dialect`] knows the names of headers, fields and calls, and translates them from and to the types here. It
//! performs no I/O and decides nothing.

use std::fmt::Debug;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use forward::configuration::Configuration;
use forward::directory::Engine;
use forward::escalation::Confidence;
use forward::load::LoadReport;
use forward::release::{ReleaseOrder, ReleaseStatus};
use hyper::header::HeaderMap;
use hyper::http::{request, response};
use hyper::{Method, Response};
use model::{Name, Upstream};

/// What the head of a caller's request says.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Demand {
    /// Identity of the caller's attempt.
    pub id: Option<String>,
    /// Key of the caller's organisation.
    pub key: Option<String>,
    /// Time for which the caller waits.
    pub deadline: Option<Duration>,
    /// Last event that the caller has.
    pub last_event: Option<u64>,
    /// Session of the caller; its requests should stay on one version.
    pub session: Option<String>,
    /// Whether the system chooses the model.
    pub any_model: bool,
    /// Tokens of the prompt, and the expected number of generated ones.
    pub tokens: Option<(u64, u64)>,
    /// Parts of the prompt in their order.
    pub parts: Vec<u64>,
}

/// What the node adds to a request that it forwards.
#[derive(Debug, Clone)]
pub struct Forward<'a> {
    /// Engine that must take it.
    pub engine: &'a Engine,
    /// Time that is left.
    pub deadline: Duration,
    /// Organisation that the caller's key belongs to.
    pub organisation: Option<&'a str>,
    /// Model that the system chose.
    pub model: Option<&'a str>,
    /// Last event that was delivered.
    pub last_event: Option<u64>,
    /// Urgency among the engine's requests, from 0 (first) to 9; `None` for services without ranks.
    pub urgency: Option<u8>,
}

/// What the head of an engine's answer says.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Head {
    /// Identity of the caller's attempt that it answers.
    pub id: Option<String>,
    /// Whether the engine vouches for the answer.
    pub is_signed: bool,
    /// Whether the engine states that it did not run the request.
    pub not_run: bool,
    /// Load of the engine.
    pub report: Option<LoadReport>,
    /// The model's confidence in its answer.
    pub confidence: Option<Confidence>,
}

/// A topic of the platform's store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Topic {
    /// What operators write: configuration and orders of releases.
    Operators,
    /// Entries of engines.
    Engines,
    /// What the system reports to operators.
    Status,
}

/// A call to the platform's store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Call {
    /// Method.
    pub method: Method,
    /// Path and query.
    pub target: String,
    /// Body.
    pub body: Bytes,
}

/// What a record means.
#[derive(Debug, Clone)]
pub enum Fact {
    /// The whole configuration.
    Configuration(Arc<Configuration>),
    /// A configuration that cannot be read.
    UnreadableConfiguration {
        /// What is wrong.
        reason: String,
    },
    /// An order to bring in a version of a service.
    Release(ReleaseOrder),
    /// State of a release of a service.
    ReleaseStatus(Name, ReleaseStatus),
    /// An engine; `None` if it is gone or its entry cannot be used.
    Engine(Upstream, Option<Engine>),
    /// A record that does not concern the system, or that was dropped.
    Other,
    /// Another record that cannot be read.
    Unreadable {
        /// Its key.
        key: String,
        /// What is wrong.
        reason: String,
    },
}

/// The newest records of a topic.
#[derive(Debug, Clone)]
pub struct Page {
    /// Records in the order of their keys.
    pub facts: Vec<Fact>,
    /// Key after which the next page begins, if there is one.
    pub after: Option<String>,
    /// End of the topic when the page was read.
    pub end: u64,
}

/// Records behind an offset.
#[derive(Debug, Clone)]
pub enum Tail {
    /// Records in their order, and the offset behind them.
    Records {
        /// What they mean.
        facts: Vec<Fact>,
        /// Offset to read on from.
        next: u64,
    },
    /// Records were deleted before they were read.
    Expired,
}

/// Result of an append.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Append {
    /// The record stands.
    Done,
    /// The topic has grown since it was read; nothing was appended.
    Conflict,
}

/// An answer of the store that does not have the expected form.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum StoreFault {
    /// The store refused the call.
    #[error("the store answered with status {0}")]
    Status(u16),
    /// The body does not have the expected form.
    #[error("the store's answer is malformed: {0}")]
    Malformed(String),
}

/// An answer of the store.
pub type StoreReply = Response<Bytes>;

/// Names, formats and calls of a platform.
pub trait Dialect: Debug + Send + Sync {
    /// Reads the head of a caller's request; fields that do not parse are absent.
    fn demand(&self, head: &request::Parts) -> Demand;

    /// Headers of a request for an engine, made from the caller's without those of one connection.
    fn forwarded(&self, headers: HeaderMap, forward: &Forward<'_>) -> HeaderMap;

    /// Reads the head of an engine's answer.
    fn head(&self, head: &response::Parts) -> Head;

    /// Whether a request asks for the node's readiness.
    fn asks_readiness(&self, head: &request::Parts) -> bool;

    /// The caller's failure domain, if a request asks for entry addresses.
    fn asks_entries(&self, head: &request::Parts) -> Option<Name>;

    /// Body of an answer with entry addresses.
    fn entries(&self, addresses: &[SocketAddr], lifetime: Duration) -> Bytes;

    /// Call that reads the newest records of a topic from a key on.
    fn newest(&self, topic: Topic, after: Option<&str>) -> Call;

    /// Reads the answer to [`Dialect::newest`].
    ///
    /// # Errors
    /// The store refused, or the answer is malformed.
    fn page(&self, topic: Topic, reply: &StoreReply) -> Result<Page, StoreFault>;

    /// Call that reads records from an offset on and waits for one if there is none.
    fn tail(&self, topic: Topic, from: u64, wait: Duration) -> Call;

    /// Reads the answer to [`Dialect::tail`] from the offset `from`.
    ///
    /// # Errors
    /// The store refused, or the answer is malformed.
    fn records(&self, topic: Topic, from: u64, reply: &StoreReply) -> Result<Tail, StoreFault>;

    /// Call that records the state of a release if the topic of states still ends at `end`.
    fn record_status(&self, service: &str, status: &ReleaseStatus, end: u64) -> Call;

    /// Reads the answer to [`Dialect::record_status`].
    ///
    /// # Errors
    /// The store refused, or the answer is malformed.
    fn appended(&self, reply: &StoreReply) -> Result<Append, StoreFault>;
}
