//! One request with its attempts.
//!
//! [`RetryState`] records what happened to each attempt and decides what follows: another attempt, or the
//! final response. The final response is derived from [`Execution`] alone, so that a refusal that promises
//! "not run" cannot follow an attempt that may have run. The same holds for the responses of engines, see
//! [`RetryState::permits`].

use std::time::Duration;

use model::object::service::Repeat;

use crate::BootTime;

/// Status of an engine that is not the one that the request names. It has not run the request.
const MISDIRECTED: u16 = 421;

/// Statuses that promise a caller that its request has not run and never will.
const NOT_RUN_STATUSES: [u16; 4] = [408, MISDIRECTED, 429, 503];

/// Whether a request may have been executed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Execution {
    /// No engine has started it, and none will.
    NotRun,
    /// It was sent, and nothing proves that it did not run.
    MayHaveRun,
}

/// Why an attempt gave no successful response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Failure {
    /// No connection was established.
    Unreachable,
    /// The engine stated that it did not run the request, because it is full or for another reason.
    Refused,
    /// Another engine than the expected one listens at the address.
    Misdirected,
    /// The connection broke, or the received data is not a response to this request.
    Lost,
    /// The engine broke the response off because this node did not read it for a while, as its caller was slow.
    Unread,
    /// The response exceeded a limit on its size, as one without end does.
    Overlong,
    /// No response arrived in time.
    Silent,
    /// The engine ran the request and responded with a failure.
    Failed,
}

impl Failure {
    /// The failure that the status of an engine's response means; `None` for the result of a run.
    ///
    /// An engine that has run a request has no reason to promise that nothing ran, so such a status is a failure unless
    /// the engine also `states_not_run`.
    pub fn of_response(status: u16, states_not_run: bool) -> Option<Self> {
        match status {
            MISDIRECTED => Some(Self::Misdirected),
            _ if states_not_run => Some(Self::Refused),
            500.. => Some(Self::Failed),
            _ if NOT_RUN_STATUSES.contains(&status) => Some(Self::Failed),
            _ => None,
        }
    }

    /// Whether it proves that the engine neither ran nor will run the request.
    pub fn proves_not_run(self) -> bool {
        matches!(self, Self::Unreachable | Self::Refused | Self::Misdirected)
    }

    /// Name in logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Unreachable => "unreachable",
            Self::Refused => "refused",
            Self::Misdirected => "misdirected",
            Self::Lost => "lost",
            Self::Unread => "unread",
            Self::Overlong => "overlong",
            Self::Silent => "silent",
            Self::Failed => "failed",
        }
    }
}

/// What to do after a failed attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RetryDecision {
    /// Send the request to another engine if the retry budget permits, otherwise finish with the response.
    Retry(FinalResponse),
    /// Finish with the response.
    Finish(FinalResponse),
}

/// Final response to a request without a successful attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FinalResponse {
    /// The failure response of the engine, unchanged.
    Engine,
    /// The request has not run and will not run; the caller may send it again.
    NotRun,
    /// The request may have run, and no engine responded.
    Unknown,
    /// The request may have run, and its deadline has passed.
    TimedOut,
}

impl FinalResponse {
    /// HTTP status; `None` for the engine's own response.
    pub fn status(self) -> Option<u16> {
        match self {
            Self::Engine => None,
            Self::NotRun => Some(503),
            Self::Unknown => Some(502),
            Self::TimedOut => Some(504),
        }
    }
}

/// State of one request across its attempts.
#[derive(Debug, Clone)]
pub struct RetryState {
    repeat: Repeat,
    max_runs: u32,
    deadline: BootTime,
    /// Engines on which the request may have run, including the current one.
    runs: u32,
    /// Times that it was sent, also where it did not run.
    sends: u32,
    /// Whether the current attempt was sent; an attempt that reached no engine must not undo the count of an
    /// earlier one.
    sent: bool,
    /// Attempts that engines refused.
    rejections: u32,
    /// Attempts that reached no engine.
    unreached: u32,
}

impl RetryState {
    /// Rejections after which the request is refused: three engines that refuse show that the service is
    /// full, and further attempts would only add load.
    const MAX_REJECTIONS: u32 = 3;

    /// Attempts without a connection after which the request is refused. They add no load, and after the loss of half of a
    /// service's engines one request in eight meets three in a row that have ended.
    const MAX_UNREACHED: u32 = 8;

    /// Minimum remaining time for another attempt.
    const MIN_ATTEMPT_TIME: Duration = Duration::from_millis(20);

    /// A request that has not been sent; it may run on up to `max_runs` engines until `deadline`.
    pub fn new(repeat: Repeat, max_runs: u32, deadline: BootTime) -> Self {
        Self {
            repeat,
            max_runs: max_runs.max(1),
            deadline,
            runs: 0,
            sends: 0,
            sent: false,
            rejections: 0,
            unreached: 0,
        }
    }

    /// Begins an attempt that has not been sent.
    pub fn begin_attempt(&mut self) {
        self.sent = false;
    }

    /// Records that the request is about to be sent to an engine; called before the first byte.
    pub fn mark_sent(&mut self) {
        self.sent = true;
        self.sends += 1;
        self.runs += 1;
    }

    /// Records that the current attempt did not run; the count of earlier attempts is unchanged.
    fn record_rejection(&mut self, failure: Failure) {
        self.runs -= u32::from(self.sent);
        match failure {
            Failure::Unreachable => self.unreached += 1,
            _ => self.rejections += 1,
        }
    }

    /// Records the failure of the current attempt and decides what to do next.
    pub fn record_failure(&mut self, failure: Failure, now: BootTime) -> RetryDecision {
        if failure.proves_not_run() {
            self.record_rejection(failure);
        }
        let response = self.final_response(failure, now);
        let remaining = self.deadline.saturating_sub(now);
        let may_repeat = self.execution() == Execution::NotRun || self.repeat == Repeat::Idempotent;
        let below_limits = self.runs < self.max_runs
            && self.rejections < Self::MAX_REJECTIONS
            && self.unreached < Self::MAX_UNREACHED;
        if may_repeat && below_limits && remaining >= Self::MIN_ATTEMPT_TIME {
            RetryDecision::Retry(response)
        } else {
            RetryDecision::Finish(response)
        }
    }

    /// Whether a response may be dropped in favour of another run on another engine.
    pub fn may_run_again(&self, now: BootTime) -> bool {
        let has_time = self.deadline.saturating_sub(now) >= Self::MIN_ATTEMPT_TIME;
        self.repeat == Repeat::Idempotent && self.runs < self.max_runs && has_time
    }

    /// Times that the request was sent to an engine, also where it did not run.
    pub fn sends(&self) -> u32 {
        self.sends
    }

    /// Number of engines on which the request may have run.
    pub fn runs(&self) -> u32 {
        self.runs
    }

    /// Whether the request may have been executed.
    pub fn execution(&self) -> Execution {
        match self.runs {
            0 => Execution::NotRun,
            _ => Execution::MayHaveRun,
        }
    }

    /// Whether a response of an engine with this status may be sent to the caller.
    ///
    /// The caller of a request that must not run twice sends it again after a promise that it has not run, so such a
    /// promise must be true. An idempotent request gets the engine's own response.
    pub fn permits(&self, status: u16) -> bool {
        self.repeat == Repeat::Idempotent
            || self.execution() == Execution::NotRun
            || !NOT_RUN_STATUSES.contains(&status)
    }

    /// When the caller must have a response.
    pub fn deadline(&self) -> BootTime {
        self.deadline
    }

    /// The final response if there is no engine to try, or if the deadline has passed.
    pub fn response_without_engine(&self, now: BootTime) -> FinalResponse {
        match self.execution() {
            Execution::NotRun => FinalResponse::NotRun,
            Execution::MayHaveRun if now >= self.deadline => FinalResponse::TimedOut,
            Execution::MayHaveRun => FinalResponse::Unknown,
        }
    }

    fn final_response(&self, failure: Failure, now: BootTime) -> FinalResponse {
        if failure == Failure::Failed {
            return FinalResponse::Engine;
        }
        self.response_without_engine(now)
    }
}
