//! Bounded reading of request bodies.

use config::settings::Http;
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use model::Refusal;
use model::refusal::Reason;
use tokio::time::timeout;

use super::exchange::Exchange;

/// Reads the whole body.
///
/// # Errors
/// `body_too_large`, `slow_request`, or `bad_request` if the connection fails.
pub(crate) fn read(exchange: &mut Exchange, bounds: &Http) -> Result<Vec<u8>, Refusal> {
    let (body, runtime) = exchange.body();
    let declared = body.size_hint().lower();
    if usize::try_from(declared).map_or(true, |it| it > bounds.max_body_bytes) {
        return Err(Refusal::not_run(Reason::BodyTooLarge));
    }
    let collected = async { timeout(bounds.body_timeout, collect(body, bounds.max_body_bytes)).await };
    let collected = runtime.block_on(collected);
    collected.unwrap_or_else(|_| Err(Refusal::not_run(Reason::SlowRequest)))
}

async fn collect(body: &mut Incoming, max: usize) -> Result<Vec<u8>, Refusal> {
    let mut bytes = Vec::new();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_| Refusal::not_run(Reason::BadRequest))?;
        // Trailers have no meaning in this API and are ignored.
        let Ok(data) = frame.into_data() else { continue };
        if bytes.len() + data.len() > max {
            return Err(Refusal::not_run(Reason::BodyTooLarge));
        }
        bytes.extend_from_slice(&data);
    }
    Ok(bytes)
}
