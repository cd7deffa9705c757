//! Reads whole bodies within bounds.

use std::sync::Arc;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Body;

use crate::memory::{Budget, hold};

/// Maximum number of frames of a body. Each chunk and each read is a frame of its own; a body in chunks of a
/// byte would cost much more processor time than its size suggests.
const MAX_FRAMES: usize = 1 << 16;

/// First allocation for a body of unknown length.
const FIRST_ALLOCATION_BYTES: usize = 1 << 10;

/// Why a body was not received.
#[derive(Debug, thiserror::Error)]
pub(crate) enum Error {
    /// It exceeds the maximum size.
    #[error("the body is longer than {0} bytes")]
    TooLong(usize),
    /// It has more frames than allowed.
    #[error("the body has more than {MAX_FRAMES} parts")]
    TooManyFrames,
    /// The budget for bodies is used up.
    #[error("no memory is left for the body")]
    NoMemory,
    /// It broke off, or its framing is malformed.
    #[error("the body was not received completely: {0}")]
    Broken(#[from] hyper::Error),
}

/// Reads a body of up to `max_bytes` bytes.
///
/// The bytes are copied to one buffer: those of a frame would keep the whole buffer of the connection that they
/// were received in.
pub(crate) async fn read<B>(mut body: B, max_bytes: usize, budget: &Arc<Budget>) -> Result<Bytes, Error>
where
    B: Body<Data = Bytes, Error = hyper::Error> + Unpin,
{
    let announced = body.size_hint().lower();
    if announced > max_bytes as u64 {
        return Err(Error::TooLong(max_bytes));
    }
    let mut reservation = budget.reservation();
    let mut data = Vec::new();
    let mut frames = 0;
    while let Some(frame) = body.frame().await {
        let Ok(part) = frame?.into_data() else { continue };
        frames += 1;
        if frames > MAX_FRAMES {
            return Err(Error::TooManyFrames);
        }
        let length = data.len() + part.len();
        if length > max_bytes {
            return Err(Error::TooLong(max_bytes));
        }
        if length > data.capacity() {
            // The announced length is only a bound, as a peer may announce what it never sends.
            let limit = match body.size_hint().exact() {
                Some(rest) => length + rest as usize,
                None => max_bytes,
            };
            let capacity = (2 * data.capacity())
                .max(FIRST_ALLOCATION_BYTES)
                .min(limit)
                .max(length);
            if !reservation.try_resize(capacity) {
                return Err(Error::NoMemory);
            }
            data.reserve_exact(capacity - data.len());
        }
        data.extend_from_slice(&part);
    }
    Ok(hold(data, reservation))
}
