//! Client of the platform's store.

use std::net::SocketAddr;
use std::time::Duration;

use forward::relay::Position;
use forward::release::ReleaseStatus;
use http_body_util::{BodyExt, Full, Limited};
use hyper::header::HOST;
use hyper::{Request, Response};
use tokio::time::timeout;

use crate::client::{self, Client};
use crate::protocol::{AppendOutcome, Page, StoreError, StoreReply, StoreRequest, Tail, Topic};
use crate::shared::Shared;

/// Timeout for connecting; the store is in the same region.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Maximum time for a response, in addition to the wait that the request asks for.
pub(crate) const RESPONSE_TIMEOUT: Duration = Duration::from_millis(1500);

/// Maximum body size of a response; the store sends about 1 MB at most.
const MAX_RESPONSE_BYTES: usize = 8 << 20;

/// Why a request has no usable response.
#[derive(Debug, thiserror::Error)]
pub(crate) enum Error {
    /// No response was received.
    #[error(transparent)]
    Client(#[from] client::Error),
    /// The response did not arrive in time.
    #[error("no response within the time limit")]
    TimedOut,
    /// The response body broke off or is too large.
    #[error("the response body was not received completely: {0}")]
    Body(String),
    /// The newest configuration cannot be decoded, so the one in force may be outdated.
    #[error("the configuration cannot be decoded: {0}")]
    Configuration(String),
    /// Another node does not have the records that this one lacks.
    #[error("the other node does not have the records")]
    RecordsUnknown,
    /// The topic goes on, but the response has no record.
    #[error("no records, although the topic ends at offset {0}")]
    NoRecords(u64),
    /// The store came back from an older copy between two pages of a topic.
    #[error("the history of the store changed while it was read")]
    HistoryChanged,
    /// The store rejected the request, or its response is malformed.
    #[error(transparent)]
    Store(#[from] StoreError),
}

/// Reads a page of the newest records of a topic, from the first key after `after`.
pub(crate) async fn newest(shared: &Shared, topic: Topic, after: Option<&str>) -> Result<Page, Error> {
    let request = shared.protocol.newest_request(topic, after);
    let reply = send(shared, topic, "newest", request, RESPONSE_TIMEOUT).await?;
    Ok(shared.protocol.parse_page(topic, &reply)?)
}

/// Reads records of a topic from a position on; waits up to `wait` if there are none, and for `timeout` beyond that. Returns
/// them with the response that has them.
pub(crate) async fn tail(
    shared: &Shared,
    topic: Topic,
    from: Position,
    wait: Duration,
    timeout: Duration,
) -> Result<(Tail, StoreReply), Error> {
    let request = shared.protocol.tail_request(topic, from, wait);
    let reply = send(shared, topic, "changes", request, wait + timeout).await?;
    Ok((parse_tail(shared, topic, from, &reply)?, reply))
}

/// Decodes the response to a read of a topic from a position on.
pub(crate) fn parse_tail(
    shared: &Shared,
    topic: Topic,
    from: Position,
    reply: &StoreReply,
) -> Result<Tail, Error> {
    Ok(match shared.protocol.parse_tail(topic, from, reply)? {
        // The offset belongs to another history, so the records may not follow on those that are known.
        Tail::Records { next, .. } if next.era != from.era => Tail::Expired,
        // Such a response neither leads to the end nor shows that nothing changed.
        Tail::Records { records, next, end } if records.is_empty() && next < end => {
            return Err(Error::NoRecords(end.offset));
        }
        tail => tail,
    })
}

/// Appends a release status if [`Topic::Status`] still ends at `end`.
pub(crate) async fn append_status(
    shared: &Shared,
    service: &str,
    status: &ReleaseStatus,
    end: Position,
) -> Result<AppendOutcome, Error> {
    let request = shared.protocol.append_status_request(service, status, end)?;
    let reply = send(shared, Topic::Status, "append", request, RESPONSE_TIMEOUT).await?;
    Ok(shared.protocol.parse_append(&reply)?)
}

async fn send(
    shared: &Shared,
    topic: Topic,
    call: &'static str,
    request: StoreRequest,
    limit: Duration,
) -> Result<StoreReply, Error> {
    let label = [("topic", topic.name()), ("call", call)];
    shared.metrics.store_calls.get_or_create(&label).inc();
    let address = shared.settings().store.address;
    let result = match timeout(limit, exchange(&shared.client, address, request)).await {
        Ok(result) => result,
        Err(_) => Err(Error::TimedOut),
    };
    if result.is_err() {
        shared.metrics.store_failures.inc();
    }
    result
}

/// Makes one call to the store, or to a node that passes on what the store has responded.
pub(crate) async fn exchange(
    client: &Client,
    address: SocketAddr,
    request: StoreRequest,
) -> Result<StoreReply, Error> {
    let http_request = Request::builder()
        .method(request.method)
        .uri(request.target)
        .header(HOST, address.to_string())
        .body(Full::new(request.body))
        .map_err(|err| Error::Body(err.to_string()))?;
    let connection = client.connect(address, CONNECT_TIMEOUT).await?;
    let (response, _connection) = connection.send(http_request).await?;
    let (head, body) = response.into_parts();
    let body = Limited::new(body, MAX_RESPONSE_BYTES).collect().await;
    let body = body.map_err(|err| Error::Body(err.to_string()))?.to_bytes();
    Ok(Response::from_parts(head, body))
}
