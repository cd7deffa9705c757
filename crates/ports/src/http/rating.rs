//! Adapter of the rating service.

use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::request::{self, Failure, Limits};
use crate::engine::Message;
use crate::rating::{Error, Rating, Request, Verdict};

/// Client of the rating service.
#[derive(Debug, Clone)]
pub struct Client {
    address: SocketAddr,
    connect_timeout: Duration,
}

#[derive(Serialize)]
struct Rate<'a> {
    id: &'a str,
    version: &'a str,
    messages: &'a [Message],
    answer: &'a str,
}

#[derive(Deserialize)]
struct Rated {
    verdict: Judgement,
}

#[derive(Deserialize)]
#[serde(rename_all = "lowercase")]
enum Judgement {
    Adequate,
    Inadequate,
}

impl Client {
    /// A client with a time-out for the connection.
    pub fn new(address: SocketAddr, connect_timeout: Duration) -> Self {
        Self {
            address,
            connect_timeout,
        }
    }
}

impl Rating for Client {
    fn rate(&self, req: &Request, timeout: Duration) -> Result<Verdict, Error> {
        let message = Rate {
            id: &req.id,
            version: &req.version,
            messages: &req.messages,
            answer: &req.answer,
        };
        let limits = Limits::exchange(self.connect_timeout, timeout);
        let reply = request::post(self.address, "/ratings", &message, limits).map_err(error)?;
        if !reply.is_success() {
            return Err(Error::Unavailable);
        }
        let rated: Rated = request::json(reply).map_err(error)?;
        Ok(match rated.verdict {
            Judgement::Adequate => Verdict::Adequate,
            Judgement::Inadequate => Verdict::Inadequate,
        })
    }
}

fn error(failure: Failure) -> Error {
    match failure {
        Failure::NotSent | Failure::Broken => Error::Unavailable,
        Failure::Timeout => Error::Timeout,
        Failure::Malformed => Error::Malformed,
    }
}
