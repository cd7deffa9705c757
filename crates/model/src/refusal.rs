//! Refusals of requests: the reason, whether the request may have run, and when a retry makes sense.

use std::time::Duration;

use crate::Ran;

/// Reason why a request got no complete answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Reason {
    /// The request is malformed.
    BadRequest,
    /// The body exceeds the limit.
    BodyTooLarge,
    /// The headers exceed the limit.
    HeadersTooLarge,
    /// The caller sent the request too slowly.
    SlowRequest,
    /// The bearer key is missing or unknown.
    Unauthorised,
    /// The organisation does not allow this model, version, cascade or service.
    NotAllowed,
    /// No object has the requested name, or the organisation may not see it.
    UnknownName,
    /// The path does not support this method.
    MethodNotAllowed,
    /// The version was withdrawn.
    VersionWithdrawn,
    /// The session token is malformed, forged or belongs to another organisation.
    SessionInvalid,
    /// Queue or concurrency limits are reached.
    Overloaded,
    /// The request cannot finish by its deadline.
    DeadlineUnreachable,
    /// The deadline passed while the request waited.
    DeadlineExceeded,
    /// The node may have missed configuration changes.
    ConfigStale,
    /// The limit of unsettled billing records is reached.
    BillingFull,
    /// The node is shutting down.
    Leaving,
    /// No upstream of the pool is available.
    NoUpstream,
    /// The retry budget of the pool is exhausted.
    RetryBudget,
    /// The upstream failed.
    UpstreamFailed,
    /// The upstream made no progress within its time-out.
    UpstreamSilent,
    /// The outcome of a non-idempotent call is unknown.
    OutcomeUnknown,
    /// The idempotency key does not start with a valid issued prefix.
    KeyInvalid,
    /// The validity of the idempotency key has expired.
    KeyExpired,
    /// A request with this idempotency key was refused before, and the key cannot be used again.
    KeyClosed,
    /// The idempotency key was already used with a different request.
    KeyReused,
}

impl Reason {
    /// All reasons, so that the metric of each one can start at zero.
    pub const ALL: [Self; 25] = [
        Self::BadRequest,
        Self::BodyTooLarge,
        Self::HeadersTooLarge,
        Self::SlowRequest,
        Self::Unauthorised,
        Self::NotAllowed,
        Self::UnknownName,
        Self::MethodNotAllowed,
        Self::VersionWithdrawn,
        Self::SessionInvalid,
        Self::Overloaded,
        Self::DeadlineUnreachable,
        Self::DeadlineExceeded,
        Self::ConfigStale,
        Self::BillingFull,
        Self::Leaving,
        Self::NoUpstream,
        Self::RetryBudget,
        Self::UpstreamFailed,
        Self::UpstreamSilent,
        Self::OutcomeUnknown,
        Self::KeyInvalid,
        Self::KeyExpired,
        Self::KeyClosed,
        Self::KeyReused,
    ];

    /// Stable code used in error bodies and metric labels.
    pub fn code(self) -> &'static str {
        match self {
            Self::BadRequest => "bad_request",
            Self::BodyTooLarge => "body_too_large",
            Self::HeadersTooLarge => "headers_too_large",
            Self::SlowRequest => "slow_request",
            Self::Unauthorised => "unauthorised",
            Self::NotAllowed => "not_allowed",
            Self::UnknownName => "unknown_name",
            Self::MethodNotAllowed => "method_not_allowed",
            Self::VersionWithdrawn => "version_withdrawn",
            Self::SessionInvalid => "session_invalid",
            Self::Overloaded => "overloaded",
            Self::DeadlineUnreachable => "deadline_unreachable",
            Self::DeadlineExceeded => "deadline_exceeded",
            Self::ConfigStale => "config_stale",
            Self::BillingFull => "billing_full",
            Self::Leaving => "leaving",
            Self::NoUpstream => "no_upstream",
            Self::RetryBudget => "retry_budget",
            Self::UpstreamFailed => "upstream_failed",
            Self::UpstreamSilent => "upstream_silent",
            Self::OutcomeUnknown => "outcome_unknown",
            Self::KeyInvalid => "key_invalid",
            Self::KeyExpired => "key_expired",
            Self::KeyClosed => "key_closed",
            Self::KeyReused => "key_reused",
        }
    }

    /// HTTP status of the error response.
    pub fn status(self) -> u16 {
        match self {
            Self::BadRequest | Self::SessionInvalid | Self::KeyInvalid => 400,
            Self::Unauthorised => 401,
            Self::NotAllowed => 403,
            Self::UnknownName => 404,
            Self::MethodNotAllowed => 405,
            Self::SlowRequest => 408,
            Self::VersionWithdrawn | Self::KeyClosed | Self::KeyExpired | Self::OutcomeUnknown => 409,
            Self::BodyTooLarge => 413,
            Self::KeyReused => 422,
            Self::Overloaded | Self::RetryBudget => 429,
            Self::HeadersTooLarge => 431,
            Self::UpstreamFailed => 502,
            Self::DeadlineUnreachable
            | Self::ConfigStale
            | Self::BillingFull
            | Self::Leaving
            | Self::NoUpstream => 503,
            Self::DeadlineExceeded | Self::UpstreamSilent => 504,
        }
    }
}

/// Refusal of a request, returned to the caller.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("{} (ran: {})", reason.code(), ran.as_str())]
pub struct Refusal {
    /// Reason of the refusal.
    pub reason: Reason,
    /// Whether the request may have been executed.
    pub ran: Ran,
    /// Minimum delay before a retry makes sense; `None` if a retry does not help.
    pub retry_after: Option<Duration>,
}

impl Refusal {
    /// Refusal of a request that was not executed and will not be.
    pub fn not_run(reason: Reason) -> Self {
        Self {
            reason,
            ran: Ran::No,
            retry_after: None,
        }
    }

    /// Refusal of a request that may have been executed.
    pub fn unknown(reason: Reason) -> Self {
        Self {
            reason,
            ran: Ran::Unknown,
            retry_after: None,
        }
    }

    /// Sets the delay after which a retry makes sense.
    pub fn retry_after(self, after: Duration) -> Self {
        Self {
            retry_after: Some(after),
            ..self
        }
    }
}
