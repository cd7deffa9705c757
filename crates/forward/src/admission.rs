//! Which requests are refused at once because no engine can begin to answer them before their deadline.
//!
//! Under overload, such a request would wait at an engine until its deadline and then take a slot from one that could be
//! served. While a service is overloaded, an organisation that asks for more than its fair share of what is served is
//! refused before others. The decision acts for services whose loads nodes share, and concerns only requests that were not sent. It
//! rests on reports and measurements alone: what is not known counts in favour of the request.

use std::time::Duration;

use model::Name;
use rand::Rng;

use crate::BootTime;
use crate::first_byte::FirstByteTimes;
use crate::mean::Mean;
use crate::urgency::Urgency;
use crate::work::Work;

mod backlog;
mod decision;
mod demand;
mod urgencies;

pub use backlog::Queue;
pub use decision::{Decision, Refused};

use backlog::Backlog;
use demand::Demand;
use urgencies::Urgencies;

/// Share of the requests that would be refused which is admitted all the same, so that the behaviour of the engines
/// corrects the estimate.
const SAMPLED_SHARE: f64 = 0.05;

/// Retention of a mean with each request; about the last fifty count.
const RETENTION: f64 = 0.98;

/// Weight of the measured requests below which their mean is a guess; eight requests have it.
const MIN_WEIGHT: f64 = 7.4;

/// Expected wait relative to the latency goal below which an overload ends. Half of the wait at which it begins avoids
/// frequent changes.
const END_RATIO: f64 = 0.5;

/// A request that was not sent to any engine.
#[derive(Debug, Clone, Copy)]
pub struct Arrival<'a> {
    /// Its route.
    pub route: &'a Name,
    /// The smallest model that may answer it; `None` if the caller names the model.
    pub model: Option<&'a Name>,
    /// Prompt tokens.
    pub tokens: u64,
    /// Urgency with which it will be sent; `None` if engines do not order it.
    pub urgency: Option<Urgency>,
    /// Time to the deadline.
    pub left: Duration,
    /// Organisation that sends it, and the priority among its requests; `None` if it needs no key.
    pub sender: Option<(&'a Name, u8)>,
}

/// A change of whether a service is overloaded.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Change {
    /// Whether it is overloaded now.
    pub is_overloaded: bool,
    /// Expected wait of a median request.
    pub wait: Duration,
}

/// What a node knows about the queues of one service's engines and about its requests.
#[derive(Debug, Clone, Default)]
pub struct Admission {
    backlog: Option<Backlog>,
    urgencies: Urgencies,
    /// Times to the first byte of requests that were sent to engines without a queue.
    first_byte_times: FirstByteTimes,
    /// Seconds to the first byte of these requests.
    begin: Mean,
    /// Seconds from the first byte of a request to its end.
    rest: Mean,
    /// Seconds of the latency goals of the requests sent.
    goal: Mean,
    demand: Demand,
    is_overloaded: bool,
}

impl Admission {
    /// Records a request of an organisation, whether it is admitted or not.
    pub fn record_arrival(&mut self, organisation: &Name, priority: u8, work: Work, now: BootTime) {
        self.demand.record_arrival(organisation, priority, work, now);
    }

    /// Records that engines have begun to answer a request of an organisation.
    pub fn record_served(&mut self, work: Work, now: BootTime) {
        self.demand.record_served(work, now);
    }

    /// Records a request that is sent for the first time.
    pub fn record_sent(&mut self, urgency: Option<Urgency>, goal: Duration) {
        self.urgencies.record(urgency);
        self.goal.record(goal.as_secs_f64(), 1.0, RETENTION);
    }

    /// Records the time to the first byte of a request to an engine at which nothing waited.
    pub fn record_begin(&mut self, route: &Name, model: Option<&Name>, tokens: u64, time: Duration) {
        self.first_byte_times.record(route, model, tokens, time);
        self.begin.record(time.as_secs_f64(), 1.0, RETENTION);
    }

    /// Records the time from the first byte of a request to its end, whichever side ended it.
    pub fn record_rest(&mut self, time: Duration) {
        self.rest.record(time.as_secs_f64(), 1.0, RETENTION);
    }

    /// Takes over the queues of the engines that may serve requests; returns whether an overload begins or ends.
    pub fn follow(&mut self, queues: &[Queue], now: BootTime) -> Option<Change> {
        self.backlog = Backlog::of(queues, now);
        self.demand.refresh(now);
        let wait = self.median_wait(now).unwrap_or_default();
        let goal = self.goal.value().unwrap_or(f64::INFINITY);
        let bound = if self.is_overloaded {
            goal * END_RATIO
        } else {
            goal
        };
        let is_overloaded = wait.as_secs_f64() > bound;
        let is_changed = std::mem::replace(&mut self.is_overloaded, is_overloaded) != is_overloaded;
        is_changed.then_some(Change { is_overloaded, wait })
    }

    /// Whether a median request is expected to wait for longer than its latency goal.
    pub fn is_overloaded(&self) -> bool {
        self.is_overloaded
    }

    /// Whether requests may have to wait at the engines.
    pub fn has_queue(&self, now: BootTime) -> bool {
        self.backlog.is_some_and(|it| it.turns > 0.0 && it.is_recent(now))
    }

    /// Decides about a request that was not sent.
    pub fn decide(&self, arrival: &Arrival<'_>, now: BootTime, rng: &mut impl Rng) -> Decision {
        let missing = self.missing_time(arrival, now);
        let Some(missing) = missing.or_else(|| self.excess_time(arrival, now, rng)) else {
            return Decision::Admitted;
        };
        if rng.random_bool(SAMPLED_SHARE) {
            return Decision::Sampled;
        }
        Decision::Refused(Refused::new(missing, arrival.left, rng))
    }

    /// Time by which the deadline is too early for the first event of a request; `None` if it is not, or if that is not
    /// known.
    fn missing_time(&self, arrival: &Arrival<'_>, now: BootTime) -> Option<Duration> {
        let wait = self.expected_wait(arrival.urgency, now)?;
        if wait.is_zero() {
            return None;
        }
        let begin = self
            .first_byte_times
            .expected(arrival.route, arrival.model, arrival.tokens)?;
        let missing = wait.saturating_add(begin).checked_sub(arrival.left)?;
        (!missing.is_zero()).then_some(missing)
    }

    /// Time by which a median request is too late for its goal, if the organisation asks for more than its fair share and
    /// this request is drawn to be refused for that.
    fn excess_time(&self, arrival: &Arrival<'_>, now: BootTime, rng: &mut impl Rng) -> Option<Duration> {
        if !self.is_overloaded {
            return None;
        }
        let (organisation, priority) = arrival.sender?;
        let wait = self.median_wait(now)?;
        let share = self.demand.admitted_share(organisation, priority, now);
        if rng.random_bool(share) {
            return None;
        }
        let goal = Duration::try_from_secs_f64(self.goal.value()?).ok()?;
        Some(wait.saturating_sub(goal))
    }

    /// Time that a request waits at the engines with the shortest queues; `None` if it is not known.
    pub fn expected_wait(&self, urgency: Option<Urgency>, now: BootTime) -> Option<Duration> {
        let backlog = self.backlog.filter(|it| it.is_recent(now))?;
        if backlog.turns <= 0.0 {
            return Some(Duration::ZERO);
        }
        let share = self.urgencies.share_before(urgency)?;
        let seconds = backlog.turns * share * self.slot_time()?.as_secs_f64();
        Duration::try_from_secs_f64(seconds).ok()
    }

    /// Expected wait of a request of median urgency; `None` if it is not known.
    pub fn median_wait(&self, now: BootTime) -> Option<Duration> {
        self.expected_wait(self.urgencies.median(), now)
    }

    /// Mean time that a request occupies a slot; `None` if too few were measured.
    pub fn slot_time(&self) -> Option<Duration> {
        let mean = |it: Mean| it.value().filter(|_| it.weight() >= MIN_WEIGHT);
        Duration::try_from_secs_f64(mean(self.begin)? + mean(self.rest)?).ok()
    }
}
