//! HTTP client of the rating service.

use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::request::{self, Failure, Limits};
use crate::engine::Message;
use crate::rating::{Error, Rating, Request, Verdict};

/// Client of one rating service.
#[derive(Debug, Clone)]
pub struct Client {
    address: SocketAddr,
    connect_timeout: Duration,
}

#[derive(Serialize)]
struct RateRequest<'a> {
    id: &'a str,
    version: &'a str,
    messages: &'a [Message],
    answer: &'a str,
}

#[derive(Deserialize)]
struct RateReply {
    verdict: ReplyVerdict,
}

#[derive(Deserialize)]
#[serde(rename_all = "lowercase")]
enum ReplyVerdict {
    Adequate,
    Inadequate,
}

impl Client {
    /// Creates a client with a time-out for establishing connections.
    pub fn new(address: SocketAddr, connect_timeout: Duration) -> Self {
        Self {
            address,
            connect_timeout,
        }
    }
}

impl Rating for Client {
    fn rate(&self, req: &Request, timeout: Duration) -> Result<Verdict, Error> {
        let body = RateRequest {
            id: &req.id,
            version: &req.version,
            messages: &req.messages,
            answer: &req.answer,
        };
        let limits = Limits::exchange(self.connect_timeout, timeout);
        let reply = request::post(self.address, "/ratings", &body, limits).map_err(convert_failure)?;
        if !reply.is_success() {
            return Err(Error::Unavailable);
        }
        let rated: RateReply = request::json(reply).map_err(convert_failure)?;
        Ok(match rated.verdict {
            ReplyVerdict::Adequate => Verdict::Adequate,
            ReplyVerdict::Inadequate => Verdict::Inadequate,
        })
    }
}

fn convert_failure(failure: Failure) -> Error {
    match failure {
        Failure::NotSent | Failure::Broken => Error::Unavailable,
        Failure::Timeout => Error::Timeout,
        Failure::Malformed => Error::Malformed,
    }
}
