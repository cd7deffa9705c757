//! Typed refusals: the reason, what is known about execution, and when a retry makes sense.

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
    /// No object has the requested name, or it is not among those that the organisation may see.
    UnknownName,
    /// The path does not have this method.
    MethodNotAllowed,
    /// The version was withdrawn.
    VersionWithdrawn,
    /// The session token is malformed, forged or of another organisation.
    SessionInvalid,
    /// Queue or concurrency limits are reached.
    Overloaded,
    /// The request cannot finish by its deadline.
    DeadlineUnreachable,
    /// The deadline passed while the request waited.
    DeadlineExceeded,
    /// The node may have missed configuration changes.
    ConfigStale,
    /// There is no room for another unsettled billing record.
    BillingFull,
    /// The node is shutting down.
    Leaving,
    /// No upstream of the pool is available.
    NoUpstream,
    /// The retry budget of the pool is used up.
    RetryBudget,
    /// The upstream failed.
    UpstreamFailed,
    /// The upstream made no progress within its time-out.
    UpstreamSilent,
    /// The outcome of a non-idempotent call is not known.
    OutcomeUnknown,
    /// The idempotency key has no valid issued prefix.
    KeyInvalid,
    /// The idempotency key is older than its validity.
    KeyExpired,
    /// The idempotency key was refused before and cannot run again.
    KeyClosed,
    /// The idempotency key was used with another request.
    KeyReused,
}

impl Reason {
    /// All reasons, for metrics that start at zero.
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

    /// Stable code in error bodies and metric labels.
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

/// Final negative answer to a request.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("{} (ran: {})", reason.code(), ran.as_str())]
pub struct Refusal {
    /// Why.
    pub reason: Reason,
    /// What is known about execution.
    pub ran: Ran,
    /// Earliest time from now at which a retry makes sense; `None` where a retry does not help.
    pub retry_after: Option<Duration>,
}

impl Refusal {
    /// A refusal of a request of which nothing was or will be executed.
    pub fn not_run(reason: Reason) -> Self {
        Self {
            reason,
            ran: Ran::No,
            retry_after: None,
        }
    }

    /// A refusal of a request that may have been executed.
    pub fn unknown(reason: Reason) -> Self {
        Self {
            reason,
            ran: Ran::Unknown,
            retry_after: None,
        }
    }

    /// Adds the time after which a retry makes sense.
    pub fn retry_after(self, after: Duration) -> Self {
        Self {
            retry_after: Some(after),
            ..self
        }
    }
}
