//! HTTP client of plain services.

use std::net::SocketAddr;

use super::request::{self, Failure, Limits, Request};
use crate::service::{Call, Error, Reply, Services};

/// Reply status that, with the header `X-Ran: no`, says that the instance did not execute the call.
const SERVICE_UNAVAILABLE: u16 = 503;

/// Client of plain services.
#[derive(Debug, Clone, Default)]
pub struct Client;

impl Services for Client {
    fn call(&self, address: SocketAddr, call: &Call) -> Result<Reply, Error> {
        let mut headers = Vec::new();
        if !call.content_type.is_empty() {
            headers.push(("Content-Type", call.content_type.as_str()));
        }
        if let Some(key) = &call.idempotency_key {
            headers.push(("Idempotency-Key", key.as_str()));
        }
        let reply = Request {
            method: &call.method,
            address,
            path: &call.path,
            headers,
            body: &call.body,
            limits: Limits::exchange(call.connect_timeout, call.timeout),
        }
        .send()
        .map_err(convert_failure)?;
        let status = reply.status().as_u16();
        if status == SERVICE_UNAVAILABLE && request::is_not_executed(&reply) {
            return Err(Error::NotRun);
        }
        let header = reply.headers().get("Content-Type");
        let content_type = header
            .and_then(|it| it.to_str().ok())
            .unwrap_or_default()
            .to_owned();
        let body = match call.method.as_str() {
            // `Content-Length` of a reply to HEAD is the length of a body that is not sent.
            "HEAD" => Vec::new(),
            _ => request::bytes(reply).map_err(convert_failure)?,
        };
        Ok(Reply {
            status,
            content_type,
            body,
        })
    }
}

fn convert_failure(failure: Failure) -> Error {
    match failure {
        Failure::NotSent => Error::Connect,
        Failure::Timeout | Failure::Broken | Failure::Malformed => Error::Unknown,
    }
}
