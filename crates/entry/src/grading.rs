//! Grades the responses to requests for the release of their service.

use std::sync::Arc;
use std::time::Duration;

use forward::BootTime;
use forward::pace::Pace;
use forward::release::{Arm, ResponseGrade, SLOW_RATIO};
use model::Name;

use crate::clock;
use crate::request::RequestContext;
use crate::shared::{Shared, lock};

/// How far the engine has got with its response.
#[derive(Debug)]
enum Progress {
    /// The request was sent, and no response has begun.
    Sent(BootTime),
    /// A stream has begun in time.
    Streaming(Pace),
    /// The response is graded, or does not count.
    Closed,
}

/// The grade of a response that an engine owes.
///
/// If it is dropped before the grade is known, because the caller or the node gave up, the response counts as
/// slow if it already was. Otherwise the slowest responses of a version would not count at all.
#[derive(Debug)]
pub(crate) struct Grading {
    shared: Arc<Shared>,
    service: Name,
    route: Name,
    model: Option<Name>,
    prompt_tokens: u64,
    arm: Arm,
    progress: Progress,
}

impl Grading {
    /// Begins when the request is sent.
    pub(crate) fn begin(context: &RequestContext, arm: Arm) -> Self {
        Self {
            shared: context.shared.clone(),
            service: context.service.clone(),
            route: context.route.name.clone(),
            model: context.model.clone(),
            prompt_tokens: context.prompt_tokens(),
            arm,
            progress: Progress::Sent(clock::now()),
        }
    }

    /// Records the first byte of a successful response after `elapsed`; the pace of a stream counts as well.
    ///
    /// Returns the ratio of this time to the usual one, if that is known.
    pub(crate) fn record_first_byte(&mut self, elapsed: Duration, is_stream: bool) -> Option<f64> {
        let ratio = self.first_byte_ratio(elapsed);
        match ratio {
            Some(ratio) if ratio > SLOW_RATIO => self.close(ResponseGrade::Slow),
            _ if is_stream => self.progress = Progress::Streaming(Pace::default()),
            Some(_) => self.close(ResponseGrade::Good),
            // Nothing is known to compare the time with.
            None => self.progress = Progress::Closed,
        }
        if self.arm == Arm::Old {
            let mut times = lock(&self.shared.first_byte_times);
            times.record(&self.route, self.model.as_ref(), self.prompt_tokens, elapsed);
        }
        ratio
    }

    /// Records events of a stream that arrived together.
    pub(crate) fn record_events(&mut self, events: u32) {
        let Progress::Streaming(pace) = &mut self.progress else {
            return;
        };
        pace.record(events, clock::now());
        let pace = *pace;
        if pace.is_known() {
            self.grade_pace(pace);
        } else if self.is_late(pace) {
            self.close(ResponseGrade::Slow);
        }
    }

    /// Records that a stream is complete.
    pub(crate) fn record_end(&mut self) {
        if let Progress::Streaming(pace) = self.progress {
            self.grade_pace(pace);
        }
    }

    /// Records that the engine ran the request and responded with a failure.
    ///
    /// It counts only if a success would: otherwise a node that has just started would count nothing but failures.
    pub(crate) fn record_failure(mut self) {
        match self.first_byte_ratio(Duration::ZERO) {
            Some(_) => self.close(ResponseGrade::Bad),
            None => self.progress = Progress::Closed,
        }
    }

    /// Ends without a grade: the engine refused the request or broke off, which says nothing about its version.
    pub(crate) fn discard(mut self) {
        self.progress = Progress::Closed;
    }

    fn grade_pace(&mut self, pace: Pace) {
        self.progress = Progress::Closed;
        let Some(gap) = pace.mean_gap() else {
            // A single event was in time.
            return self.close(ResponseGrade::Good);
        };
        let model = self.model.as_ref();
        let usual = lock(&self.shared.usual_gaps).get(&self.route, model);
        if self.arm == Arm::Old {
            lock(&self.shared.usual_gaps).record(&self.route, model, gap);
        }
        match usual {
            Some(usual) if gap > usual.mul_f64(SLOW_RATIO) => self.close(ResponseGrade::Slow),
            Some(_) => self.close(ResponseGrade::Good),
            None => {}
        }
    }

    /// Whether a stream is slow whatever follows.
    fn is_late(&self, pace: Pace) -> bool {
        let usual = lock(&self.shared.usual_gaps).get(&self.route, self.model.as_ref());
        let least = pace.least_gap(clock::now());
        usual
            .zip(least)
            .is_some_and(|(usual, least)| least > usual.mul_f64(SLOW_RATIO))
    }

    fn close(&mut self, grade: ResponseGrade) {
        self.progress = Progress::Closed;
        self.shared
            .record_response(&self.service, &self.route, self.arm, grade);
    }

    fn first_byte_ratio(&self, elapsed: Duration) -> Option<f64> {
        let times = lock(&self.shared.first_byte_times);
        let usual = times.expected(&self.route, self.model.as_ref(), self.prompt_tokens)?;
        Some(elapsed.as_secs_f64() / usual.as_secs_f64().max(0.001))
    }
}

impl Drop for Grading {
    fn drop(&mut self) {
        let is_slow = match self.progress {
            Progress::Sent(at) => {
                let elapsed = clock::now().saturating_sub(at);
                self.first_byte_ratio(elapsed).is_some_and(|it| it > SLOW_RATIO)
            }
            Progress::Streaming(pace) => self.is_late(pace),
            Progress::Closed => false,
        };
        if is_slow {
            self.close(ResponseGrade::Slow);
        }
    }
}
