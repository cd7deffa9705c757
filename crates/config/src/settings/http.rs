//! Section `http`: limits of the caller API.

use std::time::Duration;

use super::reader::Reader;

const SECTION: &str = "http";

const KIB: usize = 1 << 10;
const GIB: usize = 1 << 30;

const DEFAULT_MAX_BODY_BYTES: usize = 4 << 20;
const DEFAULT_MAX_HEADER_BYTES: usize = 16 << 10;
const DEFAULT_MAX_OPEN_REQUESTS: usize = 2_000;
/// Twice the limit of open requests, so that idle connections do not prevent other callers from connecting.
const DEFAULT_MAX_CONNECTIONS: usize = 4_000;

/// Limits of the caller API.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Http {
    /// Maximum size of a request body in bytes.
    pub max_body_bytes: usize,
    /// Maximum total size of the headers in bytes.
    pub max_header_bytes: usize,
    /// Maximum number of requests in progress.
    pub max_open_requests: usize,
    /// Maximum number of open connections.
    pub max_connections: usize,
    /// Time limit for receiving the headers, and for the TLS handshake.
    pub header_timeout: Duration,
    /// Time limit for receiving the body.
    pub body_timeout: Duration,
    /// Time limit without progress while the caller does not read the response.
    pub write_timeout: Duration,
    /// Maximum idle time between two requests on a connection.
    pub idle_timeout: Duration,
}

pub(super) fn read(reader: &mut Reader<'_>) -> Option<Http> {
    let body = reader.count(SECTION, "max_body_bytes", KIB..=GIB, DEFAULT_MAX_BODY_BYTES);
    let header = reader.count(
        SECTION,
        "max_header_bytes",
        KIB..=1024 * KIB,
        DEFAULT_MAX_HEADER_BYTES,
    );
    let open = reader.count(
        SECTION,
        "max_open_requests",
        1..=100_000,
        DEFAULT_MAX_OPEN_REQUESTS,
    );
    let connections = reader.count(SECTION, "max_connections", 1..=100_000, DEFAULT_MAX_CONNECTIONS);
    let header_timeout = reader.millis(SECTION, "header_timeout_ms", 100..=600_000, 10_000);
    let body_timeout = reader.millis(SECTION, "body_timeout_ms", 100..=600_000, 10_000);
    let write_timeout = reader.millis(SECTION, "write_timeout_ms", 100..=600_000, 10_000);
    let idle_timeout = reader.millis(SECTION, "idle_timeout_ms", 100..=3_600_000, 60_000);
    Some(Http {
        max_body_bytes: body?,
        max_header_bytes: header?,
        max_open_requests: open?,
        max_connections: connections?,
        header_timeout: header_timeout?,
        body_timeout: body_timeout?,
        write_timeout: write_timeout?,
        idle_timeout: idle_timeout?,
    })
}
