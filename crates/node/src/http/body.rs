//! Bounded reading of request bodies.

use std::io::ErrorKind;
use std::time::Instant;

use config::settings::Http;
use model::Refusal;
use model::refusal::Reason;

use super::exchange::Exchange;

/// Size of one read in bytes.
const READ: usize = 16 << 10;

/// Reads the whole body.
///
/// # Errors
/// `body_too_large`, `slow_request`, or `bad_request` if the caller went away.
pub(crate) fn read(exchange: &mut Exchange, bounds: &Http) -> Result<Vec<u8>, Refusal> {
    let request = exchange.request();
    if request.body_length().is_some_and(|it| it > bounds.max_body_bytes) {
        return Err(Refusal::not_run(Reason::BodyTooLarge));
    }
    let start = Instant::now();
    let mut body = Vec::new();
    let mut part = vec![0; READ];
    let reader = request.as_reader();
    loop {
        match reader.read(&mut part) {
            Ok(0) => return Ok(body),
            Ok(len) => body.extend_from_slice(&part[..len]),
            Err(err) if err.kind() == ErrorKind::Interrupted => {}
            Err(err) if matches!(err.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {
                return Err(Refusal::not_run(Reason::SlowRequest));
            }
            Err(_) => return Err(Refusal::not_run(Reason::BadRequest)),
        }
        if body.len() > bounds.max_body_bytes {
            return Err(Refusal::not_run(Reason::BodyTooLarge));
        }
        if start.elapsed() > bounds.body_timeout {
            return Err(Refusal::not_run(Reason::SlowRequest));
        }
    }
}
