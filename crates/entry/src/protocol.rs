//! Interface to the protocol of a platform.
//!
//! A [`Protocol`] knows the platform's headers, fields and store requests, and converts them from and to the
//! types of this module. It does no I/O and makes no decisions.

use std::fmt::Debug;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use forward::brittle::Tolerance;
use forward::configuration::Configuration;
use forward::directory::Engine;
use forward::engine_memory::Footprint;
use forward::escalation::Confidence;
use forward::evacuation;
use forward::load::LoadReport;
use forward::relay::Position;
use forward::release::{ReleaseOrder, ReleaseStatus};
use forward::request_limit::Rate;
use forward::statement::Stated;
use hyper::header::HeaderMap;
use hyper::http::{request, response};
use hyper::{Method, Response};
use model::{Name, Upstream, hash};

/// Metadata in the head of a caller's request.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct RequestMetadata {
    /// Id of the caller's attempt.
    pub id: Option<String>,
    /// API key of the caller's organisation.
    pub key: Option<String>,
    /// Time within which the caller needs a response.
    pub deadline: Option<Duration>,
    /// Id of the last event that the caller has received.
    pub last_event_id: Option<u64>,
    /// Session of the caller, whose requests should be served by one version.
    pub session: Option<String>,
    /// Whether the node may choose the model.
    pub any_model: bool,
    /// Number of prompt tokens, and the expected number of output tokens.
    pub tokens: Option<(u64, u64)>,
    /// Hashes of the parts of the prompt, in order.
    pub prompt_parts: Vec<u64>,
    /// Tokens of each part.
    pub part_tokens: Vec<u64>,
    /// Tokens of the parts of the prompt that other requests may share: all but the last one.
    pub shared_tokens: u64,
}

impl RequestMetadata {
    /// Expected number of output tokens; 0 for plain services.
    pub(crate) fn output_tokens(&self) -> u64 {
        self.tokens.map_or(0, |(_, output)| output)
    }

    /// Tokens that the request holds at an engine; `None` for plain services. Each model has its own cache, so that
    /// requests share a part of their prompts only on the same model.
    pub(crate) fn footprint(&self, model: Option<&Name>) -> Option<Footprint> {
        let (prompt, output) = self.tokens?;
        let model = model.map_or("", |it| it);
        let key = |part: &u64| hash::stable(format!("{part:x}/{model}").as_bytes());
        // The last part belongs to the request or its session.
        let shared = self.prompt_parts.split_last().map_or(&[][..], |it| it.1);
        let parts = shared.iter().map(key).zip(self.part_tokens.iter().copied());
        Some(Footprint::new(prompt, output, parts))
    }

    /// The hashes of the prompt's parts for a log line.
    pub(crate) fn prompt_parts_text(&self) -> String {
        let parts: Vec<_> = self.prompt_parts.iter().map(|it| format!("{it:x}")).collect();
        parts.join(",")
    }
}

/// Metadata that the node adds to a forwarded request.
#[derive(Debug, Clone)]
pub struct ForwardMetadata<'a> {
    /// Engine that must process the request.
    pub engine: &'a Engine,
    /// Remaining time.
    pub deadline: Duration,
    /// Organisation that holds the caller's key.
    pub organisation: Option<&'a str>,
    /// Model that the node chose.
    pub model: Option<&'a str>,
    /// Id of the last event that was delivered.
    pub last_event_id: Option<u64>,
    /// Urgency among the engine's requests, from 0 (first) to 9; `None` for services without priorities.
    pub urgency: Option<u8>,
}

/// Metadata in the head of an engine's response.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct ResponseMetadata {
    /// Id of the caller's attempt to which the engine responds.
    pub id: Option<String>,
    /// Whether the response carries the engine's signature.
    pub is_signed: bool,
    /// Whether the engine states that it did not run the request.
    pub not_run: bool,
    /// Load that the engine reports.
    pub load_report: Option<LoadReport>,
    /// Rate to which the engine limits the requests of all nodes together, finite and not negative.
    pub request_limit: Stated<Rate>,
    /// Requests that the engine can turn away in a second without falling over, if it is brittle.
    pub brittle: Stated<Tolerance>,
    /// Whether the engine states that it leaves and takes no further requests.
    pub leaving: bool,
    /// Time for which the engine wants no requests of this node, if it turned the request away.
    pub retry_after: Stated<Duration>,
    /// Time for which the engine is still cold.
    pub cold_left: Stated<Duration>,
    /// Confidence of the model in its response.
    pub confidence: Option<Confidence>,
}

/// A topic of the platform's store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Topic {
    /// Records written by operators: the configuration, and orders of releases and evacuations.
    Operators,
    /// Registry entries of engines.
    Engines,
    /// Release statuses, which nodes record for the operators and for each other.
    Status,
}

impl Topic {
    /// Name in metrics and logs.
    pub(crate) fn name(self) -> &'static str {
        match self {
            Self::Operators => "operators",
            Self::Engines => "engines",
            Self::Status => "status",
        }
    }
}

/// A request to the platform's store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoreRequest {
    /// HTTP method.
    pub method: Method,
    /// Path and query.
    pub target: String,
    /// Body.
    pub body: Bytes,
}

/// A decoded record of the store.
#[derive(Debug, Clone)]
pub enum Record {
    /// A complete configuration.
    Configuration(Arc<Configuration>),
    /// A configuration that cannot be decoded.
    UnreadableConfiguration {
        /// Cause of the failure.
        reason: String,
    },
    /// An order to release a version of a service.
    Release(ReleaseOrder),
    /// An order to evacuate a failure domain, or its end.
    Evacuation(evacuation::Order),
    /// Status of the release of a service.
    ReleaseStatus(Name, ReleaseStatus),
    /// An engine; `None` if its entry was removed or is unusable.
    Engine(Upstream, Option<Engine>),
    /// A record that this node does not use, or a removed one.
    Other,
    /// Any other record that cannot be decoded.
    Unreadable {
        /// Key of the record.
        key: String,
        /// Cause of the failure.
        reason: String,
    },
}

/// A page of the newest record of each key of a topic.
#[derive(Debug, Clone)]
pub struct Page {
    /// Records in the order of their keys.
    pub records: Vec<Record>,
    /// Key after which the next page begins; `None` on the last page.
    pub after: Option<String>,
    /// End of the topic when the page was read.
    pub end: Position,
}

/// Result of reading a topic from an offset.
#[derive(Debug, Clone)]
pub enum Tail {
    /// The records from that offset on.
    Records {
        /// Records in the order of their offsets.
        records: Vec<Record>,
        /// Position at which the next read begins.
        next: Position,
        /// End of the topic, behind `next` if the response does not have all records.
        end: Position,
    },
    /// The store does not have the records from the position on: they were deleted, or belong to a history that it
    /// has lost.
    Expired,
}

/// Result of a conditional append.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AppendOutcome {
    /// The record was appended.
    Appended,
    /// The topic has grown since it was read; nothing was appended.
    Conflict,
}

/// A response of the store that cannot be used.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum StoreError {
    /// The store rejected the request.
    #[error("the store responded with status {0}")]
    Status(u16),
    /// The key of a record has more bytes than the store accepts.
    #[error("a key of {0} bytes is too long for the store")]
    KeyTooLong(usize),
    /// The body is malformed.
    #[error("malformed response of the store: {0}")]
    Malformed(String),
}

/// A response of the store.
pub type StoreReply = Response<Bytes>;

/// Protocol of a platform.
pub trait Protocol: Debug + Send + Sync {
    /// Decodes the head of a caller's request; fields that cannot be parsed are `None`.
    fn request_metadata(&self, head: &request::Parts) -> RequestMetadata;

    /// Headers of a request to an engine, made from the caller's end-to-end headers.
    fn forward_headers(&self, headers: HeaderMap, metadata: &ForwardMetadata<'_>) -> HeaderMap;

    /// Decodes the head of an engine's response.
    fn response_metadata(&self, head: &response::Parts) -> ResponseMetadata;

    /// Whether a request is a readiness probe.
    fn is_readiness_probe(&self, head: &request::Parts) -> bool;

    /// The failure domain of the caller if the request asks for entry addresses.
    fn entries_domain(&self, head: &request::Parts) -> Option<Name>;

    /// Body of the response with entry addresses.
    fn entries_body(&self, addresses: &[SocketAddr], lifetime: Duration) -> Bytes;

    /// Request for the newest records of a topic, from the first key after `after`.
    fn newest_request(&self, topic: Topic, after: Option<&str>) -> StoreRequest;

    /// Decodes the response to [`Protocol::newest_request`].
    ///
    /// # Errors
    /// The store rejected the request, or the response is malformed.
    fn parse_page(&self, topic: Topic, reply: &StoreReply) -> Result<Page, StoreError>;

    /// Request for the records of a topic from a position on; the store waits up to `wait` if there are none.
    fn tail_request(&self, topic: Topic, from: Position, wait: Duration) -> StoreRequest;

    /// Decodes the response to [`Protocol::tail_request`] with the position `from`.
    ///
    /// # Errors
    /// The store rejected the request, or the response is malformed.
    fn parse_tail(&self, topic: Topic, from: Position, reply: &StoreReply) -> Result<Tail, StoreError>;

    /// Request that appends a release status if [`Topic::Status`] still ends at `end`.
    ///
    /// # Errors
    /// The name of the service is too long for the key of a record.
    fn append_status_request(
        &self,
        service: &str,
        status: &ReleaseStatus,
        end: Position,
    ) -> Result<StoreRequest, StoreError>;

    /// Decodes the response to [`Protocol::append_status_request`].
    ///
    /// # Errors
    /// The store rejected the request, or the response is malformed.
    fn parse_append(&self, reply: &StoreReply) -> Result<AppendOutcome, StoreError>;
}
