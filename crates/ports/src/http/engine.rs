//! HTTP client of the engines. Generations use the chat completions protocol with server-sent events and
//! extension fields; load reports, cache events and the desired versions have paths of their own.

use std::net::SocketAddr;
use std::time::Duration;

use attohttpc::Response;
use model::{Name, Offset, Tokens, Usage, hash};
use serde::{Deserialize, Serialize};

use super::events::EventReader;
use super::request::{self, Failure, Limits};
use crate::engine::{
    CacheChange, CacheEvent, DesiredVersions, Engines, Error, Event, LoadReport, Message, Refusal, Request,
    Stream,
};

/// Data of the last event of a stream.
const END_OF_STREAM: &str = "[DONE]";

/// Number of prompt tokens in one block of the prefix cache.
const BLOCK_TOKENS: Tokens = 16;

/// Number of prompt bytes in one block; the protocol counts four bytes as one token.
const BLOCK_BYTES: usize = 64;

/// Maximum number of blocks that are hashed; hashing a longer prefix takes time and changes no routing
/// decision.
const MAX_HASHED_BLOCKS: usize = 256;

/// Client of the engines.
#[derive(Debug, Clone)]
pub struct Client {
    limits: Limits,
}

/// A generation in progress.
#[derive(Debug)]
struct Generation {
    events: EventReader,
    usage: Option<Usage>,
    ended: bool,
}

#[derive(Serialize)]
struct CompletionRequest<'a> {
    model: &'a str,
    messages: &'a [Message],
    stream: bool,
    #[serde(skip_serializing_if = "Option::is_none")]
    max_tokens: Option<Tokens>,
    request_id: &'a str,
    version: &'a str,
    resume_after: Tokens,
    priority: &'static str,
}

#[derive(Deserialize)]
struct Chunk {
    index: Option<Tokens>,
    #[serde(default)]
    choices: Vec<Choice>,
    usage: Option<TokenCounts>,
    error: Option<serde_json::Value>,
}

#[derive(Deserialize)]
struct Choice {
    delta: Delta,
}

#[derive(Deserialize)]
struct Delta {
    content: String,
}

#[derive(Deserialize)]
struct TokenCounts {
    prompt_tokens: Tokens,
    completion_tokens: Tokens,
    #[serde(default)]
    prompt_tokens_details: PromptTokenDetails,
}

#[derive(Deserialize, Default)]
struct PromptTokenDetails {
    #[serde(default)]
    cached_tokens: Tokens,
}

#[derive(Deserialize)]
struct ErrorReply {
    error: ErrorDetails,
}

#[derive(Deserialize)]
struct ErrorDetails {
    code: String,
}

#[derive(Deserialize)]
struct LoadReply {
    running: u32,
    waiting: u32,
    age_ms: u64,
    versions: Vec<String>,
    leaving: bool,
}

#[derive(Deserialize)]
struct CacheEventsReply {
    events: Vec<CacheEventItem>,
}

#[derive(Deserialize)]
struct CacheEventItem {
    sequence: u64,
    block: u64,
    change: CacheEventChange,
}

#[derive(Deserialize)]
#[serde(rename_all = "lowercase")]
enum CacheEventChange {
    Stored,
    Evicted,
}

#[derive(Serialize)]
struct VersionsRequest<'a> {
    token: Offset,
    versions: Vec<&'a str>,
}

impl Client {
    /// Creates a client. The time-outs apply to all calls except generations, which have time-outs in their
    /// request.
    pub fn new(connect_timeout: Duration, timeout: Duration) -> Self {
        Self {
            limits: Limits::exchange(connect_timeout, timeout),
        }
    }
}

impl Engines for Client {
    fn generate(&self, address: SocketAddr, req: &Request) -> Result<Box<dyn Stream>, Error> {
        let message = CompletionRequest {
            model: &req.version,
            messages: &req.messages,
            stream: true,
            max_tokens: req.max_tokens,
            request_id: &req.id,
            version: &req.version,
            resume_after: req.resume_after,
            priority: req.class.as_str(),
        };
        let limits = Limits {
            connect: req.connect_timeout,
            read: req.progress_timeout,
            whole: None,
        };
        let reply = request::post_stream(address, "/v1/chat/completions", &message, limits)
            .map_err(convert_failure)?;
        let reply = check_accepted(reply)?;
        let (_, _, reader) = reply.split();
        Ok(Box::new(Generation {
            events: EventReader::new(reader, req.progress_timeout),
            usage: None,
            ended: false,
        }))
    }

    fn load_report(&self, address: SocketAddr) -> Result<LoadReport, Error> {
        let load: LoadReply = request::get(address, "/load", self.limits).map_err(convert_failure)?;
        Ok(LoadReport {
            running: load.running,
            waiting: load.waiting,
            age: Duration::from_millis(load.age_ms),
            versions: load.versions.into_iter().map(Name::from).collect(),
            leaving: load.leaving,
        })
    }

    fn cache_events(&self, address: SocketAddr, from: u64) -> Result<Vec<CacheEvent>, Error> {
        let path = format!("/cache/events?from={from}");
        let reply: CacheEventsReply = request::get(address, &path, self.limits).map_err(convert_failure)?;
        Ok(reply.events.into_iter().map(CacheEventItem::into_event).collect())
    }

    fn block_tokens(&self) -> Tokens {
        BLOCK_TOKENS
    }

    fn block_hashes(&self, version: &str, messages: &[Message]) -> Vec<u64> {
        let text: String = messages.iter().map(|it| it.content.as_str()).collect();
        let mut hash = hash::stable(version.as_bytes());
        let chunks = text.as_bytes().chunks_exact(BLOCK_BYTES).take(MAX_HASHED_BLOCKS);
        let chained = chunks.map(|chunk| {
            hash = hash::stable(&[&hash.to_be_bytes(), chunk].concat());
            hash
        });
        chained.collect()
    }

    fn set_versions(&self, address: SocketAddr, desired: &DesiredVersions) -> Result<(), Error> {
        let message = VersionsRequest {
            token: desired.fencing_token,
            versions: desired.versions.iter().map(AsRef::as_ref).collect(),
        };
        let reply = request::post(address, "/orders", &message, self.limits).map_err(convert_failure)?;
        check_accepted(reply).map(drop)
    }
}

impl Stream for Generation {
    fn next(&mut self) -> Result<Event, Error> {
        if self.ended {
            return Err(Error::Broken);
        }
        loop {
            let data = self.events.next().map_err(convert_failure)?;
            if data == END_OF_STREAM {
                self.ended = true;
                let usage = self.usage.ok_or(Error::Malformed)?;
                return Ok(Event::Done { usage });
            }
            let chunk: Chunk = serde_json::from_str(&data).map_err(|_| Error::Malformed)?;
            if let Some(event) = self.convert_chunk(chunk)? {
                return Ok(event);
            }
        }
    }
}

impl Generation {
    fn convert_chunk(&mut self, chunk: Chunk) -> Result<Option<Event>, Error> {
        if chunk.error.is_some() {
            return Err(Error::Broken);
        }
        if let Some(counts) = chunk.usage {
            self.usage = Some(Usage {
                input: counts.prompt_tokens,
                cached: counts.prompt_tokens_details.cached_tokens,
                output: counts.completion_tokens,
            });
        }
        let Some(choice) = chunk.choices.into_iter().next() else {
            return Ok(None);
        };
        Ok(Some(Event::Token {
            index: chunk.index.ok_or(Error::Malformed)?,
            text: choice.delta.content,
        }))
    }
}

impl CacheEventItem {
    fn into_event(self) -> CacheEvent {
        CacheEvent {
            sequence: self.sequence,
            block: self.block,
            change: match self.change {
                CacheEventChange::Stored => CacheChange::Stored,
                CacheEventChange::Evicted => CacheChange::Evicted,
            },
        }
    }
}

/// Returns a successful reply. An error reply counts as a refusal only if it says that nothing was executed.
fn check_accepted(reply: Response) -> Result<Response, Error> {
    if reply.is_success() {
        return Ok(reply);
    }
    if !request::is_not_executed(&reply) {
        return Err(Error::Broken);
    }
    let code = request::json::<ErrorReply>(reply).map(|it| it.error.code);
    Err(Error::Refused(match code.as_deref() {
        Ok("busy") => Refusal::Busy,
        Ok("leaving") => Refusal::Leaving,
        Ok("not_loaded") => Refusal::NotLoaded,
        Ok("fenced") => Refusal::Fenced,
        Ok(_) | Err(_) => Refusal::Other,
    }))
}

fn convert_failure(failure: Failure) -> Error {
    match failure {
        Failure::NotSent => Error::Connect,
        Failure::Timeout => Error::Timeout,
        Failure::Broken => Error::Broken,
        Failure::Malformed => Error::Malformed,
    }
}
