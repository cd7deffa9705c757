//! Calls to the platform's store.

use std::time::Duration;

use forward::release::ReleaseStatus;
use http_body_util::{BodyExt, Full, Limited};
use hyper::header::HOST;
use hyper::{Request, Response};
use tokio::time::timeout;

use crate::client;
use crate::dialect::{Append, Call, Page, StoreFault, StoreReply, Tail, Topic};
use crate::shared::Shared;

/// Time to connect; the store is in the same region.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Time for an answer besides the wait that a call asks for.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(1500);

/// Greatest size of an answer in bytes; the store sends at most about 1 MB at a time.
const MAX_ANSWER: usize = 8 << 20;

/// Why a call has no usable answer.
#[derive(Debug, thiserror::Error)]
pub(crate) enum Error {
    /// No answer arrived.
    #[error(transparent)]
    Client(#[from] client::Error),
    /// The answer did not arrive in time.
    #[error("no answer in time")]
    TimedOut,
    /// The answer's body broke off or is too long.
    #[error("the answer broke off: {0}")]
    Body(String),
    /// The newest configuration cannot be read, so the one in force may not be the operators' any more.
    #[error("the configuration cannot be read: {0}")]
    Configuration(String),
    /// The store refused, or its answer is malformed.
    #[error(transparent)]
    Fault(#[from] StoreFault),
}

/// The newest records of a topic, a page from a key on.
pub(crate) async fn newest(shared: &Shared, topic: Topic, after: Option<&str>) -> Result<Page, Error> {
    let reply = call(shared, shared.dialect.newest(topic, after), Duration::ZERO).await?;
    Ok(shared.dialect.page(topic, &reply)?)
}

/// Records of a topic from an offset on; waits up to `wait` for one.
pub(crate) async fn tail(shared: &Shared, topic: Topic, from: u64, wait: Duration) -> Result<Tail, Error> {
    let reply = call(shared, shared.dialect.tail(topic, from, wait), wait).await?;
    Ok(shared.dialect.records(topic, from, &reply)?)
}

/// Records the state of a release if the topic of states still ends at `end`.
pub(crate) async fn record_status(
    shared: &Shared,
    service: &str,
    status: &ReleaseStatus,
    end: u64,
) -> Result<Append, Error> {
    let call_ = shared.dialect.record_status(service, status, end);
    let reply = call(shared, call_, Duration::ZERO).await?;
    Ok(shared.dialect.appended(&reply)?)
}

async fn call(shared: &Shared, call: Call, wait: Duration) -> Result<StoreReply, Error> {
    shared.metrics.store_calls.inc();
    let result = match timeout(wait + ANSWER_TIMEOUT, exchange(shared, call)).await {
        Ok(result) => result,
        Err(_) => Err(Error::TimedOut),
    };
    if result.is_err() {
        shared.metrics.store_failures.inc();
    }
    result
}

async fn exchange(shared: &Shared, call: Call) -> Result<StoreReply, Error> {
    let address = shared.settings().store.address;
    let request = Request::builder()
        .method(call.method)
        .uri(call.target)
        .header(HOST, address.to_string())
        .body(Full::new(call.body))
        .map_err(|err| Error::Body(err.to_string()))?;
    let ready = client::connect(address, CONNECT_TIMEOUT).await?;
    let (response, _connection) = ready.send(request).await?;
    let (head, body) = response.into_parts();
    let body = Limited::new(body, MAX_ANSWER).collect().await;
    let body = body.map_err(|err| Error::Body(err.to_string()))?.to_bytes();
    Ok(Response::from_parts(head, body))
}
