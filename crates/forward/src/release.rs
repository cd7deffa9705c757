//! How much traffic a new version of a service gets while it is brought in.
//!
//! The operators order a release; its stage is a record in the platform's store that only moves forward, so any node
//! may drive it. Nodes exchange counters of answers for each route and version. A version that fails or is slow on
//! one route gets no more traffic on any node that knows so, and the driver records that it was reverted.

use std::collections::HashMap;
use std::time::Duration;

use model::{Incarnation, Name, hash};

use crate::Moment;
use crate::evidence::Evidence;
pub use crate::evidence::{Counters, Grade, Tally};

/// An operators' order.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Order {
    /// Service.
    pub service: Name,
    /// Version to bring in.
    pub target: Name,
    /// Time in which it must be brought in or reverted.
    pub duration: Duration,
    /// Offset of the order in its log; a later order replaces an earlier one.
    pub offset: u64,
}

/// How far a release is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Stage {
    /// A share of the traffic by the index of the stage.
    Trial(u8),
    /// All traffic goes to the new version, and the old engines may stop.
    Complete,
    /// The new version gets no traffic.
    Reverted,
}

impl Stage {
    /// Number that stands for the stage between nodes.
    pub fn code(self) -> u8 {
        match self {
            Self::Trial(stage) => stage.min(Self::COMPLETE - 1),
            Self::Complete => Self::COMPLETE,
            Self::Reverted => Self::REVERTED,
        }
    }

    /// The stage that a number stands for.
    pub fn from_code(code: u8) -> Self {
        match code {
            Self::COMPLETE => Self::Complete,
            Self::REVERTED => Self::Reverted,
            stage => Self::Trial(stage),
        }
    }

    const COMPLETE: u8 = 254;
    const REVERTED: u8 = 255;
}

/// The recorded state of a release.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Status {
    /// Offset of the order.
    pub order: u64,
    /// Version to bring in.
    pub target: Name,
    /// Stage.
    pub stage: Stage,
    /// Time since the order when the record was written.
    pub elapsed: Duration,
    /// Time since the order from which all nodes act on the stage, so that they change together.
    pub effective: Duration,
}

/// Which version answered.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Arm {
    /// Any version but the target.
    Old,
    /// The target.
    New,
}

/// Answers of the new version before it may get more traffic.
const MIN_ANSWERS: u64 = 24;

/// A time to the first byte this many times as long as the old version's usual one is slow.
pub const SLOW: f64 = 4.0;

/// Stages: the part of the time after which each begins, and its share of the traffic.
///
/// The share stays small for most of the time, because a session must not change to the new version in the first
/// half, and a version that turns bad late may have got only a small part of all requests by then. The last stage
/// leaves time for the old engines' streams.
const STAGES: [(f64, f64); 3] = [(0.0, 0.09), (0.60, 0.45), (0.66, 1.0)];

/// Time that nodes need to tell each other of a stage, or of the sessions that they hold on the old version: three
/// rounds of the exchange.
const EXCHANGE: Duration = Duration::from_millis(1500);

/// Part of the time after which the old engines may stop.
const COMPLETE: f64 = 0.84;

/// What the driver of a release should record.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Decision {
    /// Nothing new.
    Hold,
    /// The stage.
    Record(Stage),
}

/// Place of a session among all places. It is drawn anew for each order, so that not the same sessions meet every new
/// version first.
pub type Place = u32;

/// Whether a session's place lies in a share of all places.
fn is_within(place: Place, share: f64) -> bool {
    f64::from(place) / f64::from(Place::MAX) < share
}

/// One release as a node knows it.
#[derive(Debug, Clone)]
pub struct Release {
    order: Order,
    began: Moment,
    stage: Stage,
    /// Stage that is in force until `effective`.
    previous: Stage,
    effective: Duration,
    recorded: bool,
    halted: bool,
    evidence: Evidence,
    /// Time within which requests of a session follow each other.
    session: Duration,
    /// Sessions that the first stage would move and that were seen on the old version, with the last time.
    held: HashMap<Place, Moment>,
    /// When a node that collects evidence was last heard.
    judge_heard: Option<Moment>,
}

impl Release {
    /// An order that was just read; requests of a session follow each other within `session`.
    pub fn new(order: Order, session: Duration, now: Moment) -> Self {
        Self {
            order,
            began: now,
            stage: Stage::Trial(0),
            previous: Stage::Trial(0),
            effective: Duration::ZERO,
            recorded: false,
            halted: false,
            evidence: Evidence::default(),
            session,
            held: HashMap::new(),
            judge_heard: None,
        }
    }

    /// The order.
    pub fn order(&self) -> &Order {
        &self.order
    }

    /// The stage that is in force.
    pub fn active_stage(&self, now: Moment) -> Stage {
        let waits = matches!(self.stage, Stage::Trial(_)) && self.elapsed(now) < self.effective;
        if waits { self.previous } else { self.stage }
    }

    /// The newest stage, which may not be in force yet.
    pub fn stage(&self) -> Stage {
        self.stage
    }

    /// Whether the release was recorded as complete or reverted.
    pub fn has_ended(&self) -> bool {
        self.recorded && self.stage >= Stage::Complete
    }

    /// Whether the new version was found to be bad.
    pub fn is_halted(&self) -> bool {
        self.halted
    }

    /// Time since the order.
    pub fn elapsed(&self, now: Moment) -> Duration {
        now.saturating_sub(self.began)
    }

    /// Takes over a recorded state; states of other orders and earlier stages have no effect.
    pub fn recorded(&mut self, status: &Status, now: Moment) {
        if status.order != self.order.offset || status.target != self.order.target {
            return;
        }
        self.recorded = true;
        self.began = self.began.min(now.saturating_sub(status.elapsed));
        // An end that was recorded is final; of two that were, the store keeps the first.
        if status.stage > self.stage {
            self.previous = self.active_stage(now);
            self.stage = status.stage;
            self.effective = status.effective;
        }
    }

    /// The record of a stage that is decided now.
    pub fn status(&self, stage: Stage, now: Moment) -> Status {
        let elapsed = self.elapsed(now);
        Status {
            order: self.order.offset,
            target: self.order.target.clone(),
            stage,
            elapsed,
            effective: elapsed + EXCHANGE,
        }
    }

    /// The newest record, as it is passed on between nodes; `None` if nothing is recorded.
    pub fn newest_status(&self, now: Moment) -> Option<Status> {
        let status = self.status(self.stage, now);
        let effective = self.effective;
        self.recorded.then_some(Status { effective, ..status })
    }

    /// Stops the traffic to the new version, because another node found it to be bad.
    pub fn halt(&mut self) {
        self.halted = true;
    }

    /// Which version a request should get; `session` is the same for requests that must stay on one version.
    ///
    /// In the first stage, sessions that began on the old version stay there. Which ones these are is found in a
    /// time without trials at the beginning, in which every live session sends a request through some node.
    pub fn arm(&mut self, session: &[u8], now: Moment) -> Arm {
        let stage = self.active_stage(now);
        let share = match stage {
            Stage::Complete => return Arm::New,
            Stage::Reverted => return Arm::Old,
            Stage::Trial(_) if self.halted => return Arm::Old,
            Stage::Trial(stage) => STAGES[usize::from(stage).min(STAGES.len() - 1)].1,
        };
        let place = self.place(session);
        if !is_within(place, share) {
            return Arm::Old;
        }
        let first = stage == Stage::Trial(0);
        if first && (self.elapsed(now) < self.session + EXCHANGE || self.is_held(place, now)) {
            self.held.insert(place, now);
            return Arm::Old;
        }
        Arm::New
    }

    /// Notes that the old version has finished a request; the session's next one may follow within the session's time
    /// from now on, however long this one took.
    pub fn ended(&mut self, session: &[u8], now: Moment) {
        let place = self.place(session);
        if self.active_stage(now) == Stage::Trial(0) && is_within(place, STAGES[0].1) {
            self.held.insert(place, now);
        }
    }

    fn place(&self, session: &[u8]) -> Place {
        let mut seeded = self.order.offset.to_be_bytes().to_vec();
        seeded.extend_from_slice(session);
        (hash::stable(&seeded) >> 32) as Place
    }

    /// Sessions that stay on the old version, with the time since their last request.
    pub fn held(&self, now: Moment) -> impl Iterator<Item = (Place, Duration)> {
        let age = move |(session, last): (&Place, &Moment)| (*session, now.saturating_sub(*last));
        self.held.iter().map(age).filter(|it| it.1 <= self.session)
    }

    /// Takes over a session that another node holds on the old version.
    pub fn hold(&mut self, session: Place, age: Duration, now: Moment) {
        let last = now.saturating_sub(age);
        let known = self.held.entry(session).or_insert(last);
        *known = last.max(*known);
    }

    fn is_held(&self, session: Place, now: Moment) -> bool {
        let last = self.held.get(&session);
        last.is_some_and(|it| now.saturating_sub(*it) <= self.session + EXCHANGE)
    }

    /// Notes that a node that collects evidence told of the release.
    pub fn note_judge(&mut self, now: Moment) {
        self.judge_heard = Some(now);
    }

    /// Whether such a node was heard less than `time` ago.
    pub fn has_news(&self, now: Moment, time: Duration) -> bool {
        self.judge_heard.is_some_and(|it| now.saturating_sub(it) < time)
    }

    /// Counts an answer of this process.
    pub fn answered(&mut self, own: Incarnation, route: &Name, arm: Arm, grade: Grade) {
        self.evidence.count(own, route, arm, grade);
        self.halted |= self.evidence.bad_route().is_some();
    }

    /// The counters of one process.
    pub fn counters(&self, of: Incarnation) -> Option<&Counters> {
        self.evidence.counters(of)
    }

    /// A route on which the new version is bad by the answers that are known here, with their counts.
    pub fn bad_route(&self) -> Option<(&Name, Tally)> {
        let route = self.evidence.bad_route()?;
        Some((route, self.evidence.total(route)))
    }

    /// Takes over another process's counters.
    pub fn merge(&mut self, of: Incarnation, counters: Counters) {
        self.evidence.merge(of, counters);
        self.halted |= self.evidence.bad_route().is_some();
    }

    /// What the driver should record now.
    pub fn decide(&self, now: Moment) -> Decision {
        if self.has_ended() {
            return Decision::Hold;
        }
        if self.halted {
            return Decision::Record(Stage::Reverted);
        }
        let Stage::Trial(stage) = self.stage else {
            return Decision::Hold;
        };
        if !self.recorded {
            return Decision::Record(Stage::Trial(0));
        }
        let part = self.elapsed(now).as_secs_f64() / self.order.duration.as_secs_f64().max(0.001);
        if self.evidence.answers() < MIN_ANSWERS {
            return Decision::Hold;
        }
        match STAGES.get(usize::from(stage) + 1) {
            Some((begin, _)) if part >= *begin => Decision::Record(Stage::Trial(stage + 1)),
            None if part >= COMPLETE => Decision::Record(Stage::Complete),
            _ => Decision::Hold,
        }
    }
}
