//! Reads the bodies of callers' requests within the limits of the configuration.

use std::time::Duration;

use bytes::Bytes;
use forward::configuration::Limits;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use tokio::time::timeout;

use crate::body;
use crate::response::Refusal;
use crate::shared::Shared;

/// Maximum body size until a configuration is known.
const DEFAULT_MAX_BODY_BYTES: usize = 4 << 20;

/// Maximum time for the body of a caller that states no deadline.
const DEFAULT_BODY_TIMEOUT: Duration = Duration::from_secs(60);

/// Bounds on what is read of a body after its refusal. A socket that is closed with unread bytes is reset, and
/// the caller could lose the refusal.
const MAX_DISCARDED_BYTES: usize = 1 << 20;
const DISCARD_TIMEOUT: Duration = Duration::from_secs(1);

/// Reads the body of a request. What is left of one that is refused is read for a short time.
pub(crate) async fn read(
    shared: &Shared,
    mut body: Incoming,
    limits: Option<Limits>,
    deadline: Option<Duration>,
) -> Result<Bytes, Refusal> {
    let max_bytes = limits.map_or(DEFAULT_MAX_BODY_BYTES, |it| it.max_body_bytes);
    let time_limit = deadline.unwrap_or(DEFAULT_BODY_TIMEOUT);
    let read = body::read(&mut body, max_bytes, &shared.request_memory);
    let refusal = match timeout(time_limit, read).await {
        Ok(Ok(it)) => return Ok(it),
        Ok(Err(body::Error::Broken(_))) => return Err(Refusal::BodyBroken),
        Ok(Err(body::Error::TooLong(_) | body::Error::TooManyFrames)) => Refusal::BodyTooLarge,
        Ok(Err(body::Error::NoMemory)) => Refusal::NoMemory,
        Err(_) => Refusal::BodyTooSlow,
    };
    discard_later(body);
    Err(refusal)
}

/// Reads what is left of the body of a refused request for a short time.
pub(crate) fn discard_later(body: Incoming) {
    tokio::spawn(timeout(DISCARD_TIMEOUT, discard(body)));
}

async fn discard(mut body: Incoming) {
    let mut discarded = 0;
    while discarded < MAX_DISCARDED_BYTES {
        let Some(Ok(frame)) = body.frame().await else {
            return;
        };
        discarded += frame.data_ref().map_or(0, Bytes::len);
    }
}
