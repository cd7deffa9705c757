//! HTTP client of the log service.

use std::net::SocketAddr;
use std::time::{Duration, SystemTime};

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use model::Offset;
use serde::{Deserialize, Serialize};

use super::request::{self, Failure, Limits};
use crate::log::{Error, Log, Page, Record};

/// Client of the log service.
#[derive(Debug, Clone)]
pub struct Client {
    address: SocketAddr,
    limits: Limits,
}

#[derive(Serialize)]
struct AppendRequest {
    payloads: Vec<String>,
}

#[derive(Deserialize)]
struct AppendReply {
    first: Offset,
}

#[derive(Deserialize)]
struct ReadReply {
    first: Offset,
    end: Offset,
    records: Vec<RecordItem>,
}

#[derive(Deserialize)]
struct RecordItem {
    offset: Offset,
    time_ms: u64,
    payload: String,
}

impl Client {
    /// Creates a client with time-outs for establishing connections and for whole calls.
    pub fn new(address: SocketAddr, connect_timeout: Duration, timeout: Duration) -> Self {
        Self {
            address,
            limits: Limits::exchange(connect_timeout, timeout),
        }
    }
}

impl Log for Client {
    fn append(&self, stream: &str, payloads: &[Vec<u8>]) -> Result<Offset, Error> {
        let message = AppendRequest {
            payloads: payloads.iter().map(|it| STANDARD.encode(it)).collect(),
        };
        let path = format!("/streams/{stream}/records");
        let reply = request::post(self.address, &path, &message, self.limits).map_err(convert_failure)?;
        if request::is_not_executed(&reply) {
            return Err(Error::Unavailable);
        }
        if !reply.is_success() {
            return Err(Error::NoReply);
        }
        let appended: AppendReply = request::json(reply).map_err(convert_failure)?;
        Ok(appended.first)
    }

    fn read(&self, stream: &str, from: Offset, limit: usize) -> Result<Page, Error> {
        let path = format!("/streams/{stream}/records?from={from}&limit={limit}");
        let read: ReadReply = request::get(self.address, &path, self.limits).map_err(convert_failure)?;
        let records = read
            .records
            .into_iter()
            .map(RecordItem::into_record)
            .collect::<Result<_, _>>()?;
        Ok(Page {
            records,
            first: read.first,
            end: read.end,
        })
    }
}

impl RecordItem {
    fn into_record(self) -> Result<Record, Error> {
        Ok(Record {
            offset: self.offset,
            time: SystemTime::UNIX_EPOCH + Duration::from_millis(self.time_ms),
            payload: STANDARD.decode(self.payload).map_err(|_| Error::Malformed)?,
        })
    }
}

fn convert_failure(failure: Failure) -> Error {
    match failure {
        Failure::NotSent => Error::Unavailable,
        Failure::Timeout | Failure::Broken => Error::NoReply,
        Failure::Malformed => Error::Malformed,
    }
}
