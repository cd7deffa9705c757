//! Checks that the head of a response is one head.
//!
//! A peer that stops in the middle of a head and sends another response on the same connection joins the two: the value or
//! the reason phrase that was cut goes on with the status line of the next response, whose headers and body follow. Any
//! header of the first one may be among them, so such a response says nothing about the request.
//!
//! HTTP has no status above 599. hyper accepts any number from 100 to 999, and rejects other ones itself.

use hyper::Response;
use hyper::ext::ReasonPhrase;
use hyper::header::{CONNECTION, CONTENT_LENGTH, HeaderMap, HeaderValue, TRANSFER_ENCODING};

/// Begin of a status line up to the minor version.
const VERSION: &[u8] = b"HTTP/1.";

/// Largest status that HTTP defines a class for.
const MAX_STATUS: u16 = 599;

/// Connection option of a response that a peer passes on in chunks, and whose body ended with the connection to the engine.
const UNFRAMED: &str = "unframed";

/// Why a response is invalid.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub(crate) enum Error {
    /// The head runs into the status line of another response.
    #[error("the head contains another status line")]
    Joined,
    /// No response follows a switch to another protocol.
    #[error("status {0} is not final")]
    Informational(u16),
    /// The status line has a number outside of the defined classes.
    #[error("invalid status {0}")]
    NoStatus(u16),
}

/// Checks the head of a response.
pub(crate) fn check<B>(response: &Response<B>) -> Result<(), Error> {
    let status = response.status();
    if status.is_informational() {
        return Err(Error::Informational(status.as_u16()));
    }
    if status.as_u16() > MAX_STATUS {
        return Err(Error::NoStatus(status.as_u16()));
    }
    let reason = response.extensions().get::<ReasonPhrase>();
    let values = response.headers().values().map(HeaderValue::as_bytes);
    let mut texts = values.chain(reason.map(ReasonPhrase::as_bytes));
    match texts.any(contains_status_line) {
        true => Err(Error::Joined),
        false => Ok(()),
    }
}

/// Whether the end of a body shows in its framing. One without framing ends with its connection, also if the engine fails.
pub(crate) fn is_framed(headers: &HeaderMap) -> bool {
    headers.contains_key(CONTENT_LENGTH) || headers.contains_key(TRANSFER_ENCODING)
}

/// Marks a response that is passed on in another framing than the engine's, which had none.
pub(crate) fn mark_unframed(headers: &mut HeaderMap) {
    headers.append(CONNECTION, HeaderValue::from_static(UNFRAMED));
}

/// Whether a peer has marked a response by [`mark_unframed`].
pub(crate) fn is_marked_unframed(headers: &HeaderMap) -> bool {
    let options = headers.get_all(CONNECTION).iter();
    let mut options = options
        .filter_map(|it| it.to_str().ok())
        .flat_map(|it| it.split(','));
    options.any(|it| it.trim().eq_ignore_ascii_case(UNFRAMED))
}

/// Whether the begin of a status line, such as `HTTP/1.1 200`, stands anywhere in a text.
fn contains_status_line(text: &[u8]) -> bool {
    text.windows(VERSION.len() + 5).any(|it| {
        let (version, rest) = it.split_at(VERSION.len());
        let [minor, space, code @ ..] = rest else {
            return false;
        };
        version == VERSION && minor.is_ascii_digit() && *space == b' ' && code.iter().all(u8::is_ascii_digit)
    })
}
