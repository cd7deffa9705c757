//! Passes the operators' records on between nodes: responses of the store, as they are.
//!
//! They may be too large for a datagram, so a node that learns of new records gets them by a call to the control
//! address of the node that knows them.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use forward::relay::{Extent, Position};
use http_body_util::Full;
use hyper::header::HeaderName;
use hyper::{Method, Response, StatusCode};
use tokio::time::timeout;

use crate::protocol::{StoreReply, StoreRequest};
use crate::response::{ResponseBody, full_response, strip_connection_headers};
use crate::shared::{Shared, lock};
use crate::store::{self, Error};

/// Maximum size of the records that a node keeps for others.
const MAX_KEPT_BYTES: usize = 1 << 20;

/// Path of the control interface, before the era and the offset from which on records are wanted.
const PATH: &str = "/relay/operators/";

/// Header with the offset at which the records of a response begin.
const FIRST_OFFSET: HeaderName = HeaderName::from_static("bronzevale-first-offset");

/// Maximum time for a call to another node, which has the records in its memory.
const TIMEOUT: Duration = Duration::from_millis(400);

/// A read of the operators' topic that found records.
#[derive(Debug, Clone)]
pub(crate) struct OperatorsRead {
    /// Position at which it began.
    pub from: Position,
    /// Response of the store.
    pub reply: StoreReply,
}

/// Keeps a read for other nodes.
pub(crate) fn keep(shared: &Shared, mut read: OperatorsRead, extent: Extent) {
    strip_connection_headers(read.reply.headers_mut());
    let mut journal = lock(&shared.relay.operators);
    journal.extend(extent, vec![read]);
    journal.shrink(MAX_KEPT_BYTES, |it| it.reply.body().len());
}

/// Gets the first records from a position on from another node within `time_left`; the read may have begun before it.
///
/// # Errors
/// The node cannot be reached, or does not have the records.
pub(crate) async fn get(
    shared: &Shared,
    peer: SocketAddr,
    from: Position,
    time_left: Duration,
) -> Result<OperatorsRead, Error> {
    let request = StoreRequest {
        method: Method::GET,
        target: format!("{PATH}{}/{}", from.era, from.offset),
        body: Bytes::new(),
    };
    let reply = timeout(
        TIMEOUT.min(time_left),
        store::exchange(&shared.client, peer, request),
    )
    .await;
    let reply = reply.map_err(|_| Error::TimedOut)??;
    let first = reply.headers().get(FIRST_OFFSET);
    let offset = first.and_then(|it| it.to_str().ok()?.parse().ok());
    let offset = offset.ok_or(Error::RecordsUnknown)?;
    let from = Position { offset, ..from };
    Ok(OperatorsRead { from, reply })
}

/// The response to a call for records; `None` if the path is another one.
pub(crate) fn respond(shared: &Shared, path: &str) -> Option<Response<ResponseBody>> {
    let (era, offset) = path.strip_prefix(PATH)?.split_once('/')?;
    let from = Position {
        era: era.parse().ok()?,
        offset: offset.parse().ok()?,
    };
    let read = lock(&shared.relay.operators).first_after(from).cloned();
    let Some(OperatorsRead { from, reply }) = read else {
        let body = Bytes::from_static(b"{\"code\":\"records_unknown\"}");
        return Some(full_response(StatusCode::NOT_FOUND, "application/json", body));
    };
    let mut response = reply.map(|body| ResponseBody::Complete(Full::new(body)));
    response.headers_mut().insert(FIRST_OFFSET, from.offset.into());
    Some(response)
}
