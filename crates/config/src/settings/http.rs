//! Section `http`: bounds of the caller API.

use std::time::Duration;

use super::reader::Reader;

const SECTION: &str = "http";

const KIB: usize = 1 << 10;
const GIB: usize = 1 << 30;

const DEFAULT_MAX_BODY_BYTES: usize = 4 << 20;
const DEFAULT_MAX_HEADER_BYTES: usize = 16 << 10;
const DEFAULT_MAX_OPEN_REQUESTS: usize = 2_000;
/// Twice the open requests, so that callers which keep idle connections do not keep others out.
const DEFAULT_MAX_CONNECTIONS: usize = 4_000;

/// Bounds of the caller API.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Http {
    /// Greatest size of a request body in bytes.
    pub max_body_bytes: usize,
    /// Greatest size of all headers in bytes.
    pub max_header_bytes: usize,
    /// Greatest number of requests in progress.
    pub max_open_requests: usize,
    /// Greatest number of open connections.
    pub max_connections: usize,
    /// Greatest time for a caller to send its headers, and for the TLS handshake.
    pub header_timeout: Duration,
    /// Greatest time for a caller to send its body.
    pub body_timeout: Duration,
    /// Greatest time without progress for a caller that does not read its answer.
    pub write_timeout: Duration,
    /// Greatest time between two requests on a connection.
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
