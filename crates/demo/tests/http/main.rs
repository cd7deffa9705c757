//! The caller API under faulty, slow, hostile and many callers.

#![allow(clippy::unwrap_used, reason = "a failed set-up ends the test")]

mod answers;
mod bytes;
mod connections;
mod limits;
mod raw;
mod slow;
mod tls;
