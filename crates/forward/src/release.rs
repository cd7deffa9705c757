//! How much traffic a new version of a service gets during its rollout.
//!
//! The operators order a release; its stage is a record in the platform's store that only moves forward, so
//! any node may drive it. Nodes exchange counters of responses for each route and version.
//!
//! Evidence decides: a stage is left only if the responses since its begin show that the new version is as good
//! as the old one, never because time has passed. A version that fails or is slow on one route gets no more
//! traffic from any node that knows this, and the driver records that it was reverted. A release that is not
//! known to be good near the end of its time is reverted too. A recorded end is final: the old engines stop
//! when a release completes, so there is nothing to return to.

mod order;
mod stage;
mod trial;

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use model::{Incarnation, Name, hash};

use crate::BootTime;
use crate::evidence::Evidence;
pub use crate::evidence::{Counters, ResponseGrade, Tally};

pub use self::order::{Exposure, ReleaseOrder, ReleaseStatus};
pub use self::stage::Stage;
use self::trial::TRIALS;

/// Which version serves a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Arm {
    /// Any version but the target.
    Old,
    /// The target.
    New,
}

/// A response is slow if its time to the first byte exceeds the usual one of the old version by this factor.
pub const SLOW_RATIO: f64 = 3.0;

/// Least share of the requests without a session, in units of the permitted exposure. The first stage lasts for half of
/// the duration, and these requests need not wait until running sessions are known.
const FIRST_REQUEST_EXPOSURES: f64 = 0.8;

/// Maximum share of the traffic in the first stage, so that the old version is still measured beside the new one.
const MAX_FIRST_SHARE: f64 = 0.5;

/// Time after the order until the number of requests in its duration is estimated.
const VOLUME_TIME: Duration = Duration::from_secs(2);

/// Time for the sessions pinned to the old version to reach all nodes: three rounds of the exchange.
const PIN_TIME: Duration = Duration::from_millis(1500);

/// Time for a stage to reach all nodes: nodes are told at once and again in two rounds of the exchange.
const STAGE_NOTICE_TIME: Duration = Duration::from_millis(1200);

/// Fraction of the duration after which the release may complete and the old engines may stop.
const COMPLETION_FRACTION: f64 = 0.84;

/// Time before the end of the duration at which a release that is not known to be good is reverted: a round, and the time
/// of a call to the store.
const VERDICT_LEAD: Duration = Duration::from_millis(750);

/// What the version of a request depends on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Subject<'a> {
    /// Requests of a session should be served by one version.
    Session(&'a [u8]),
    /// A request that belongs to no session, by its id.
    Request(&'a [u8]),
}

/// What the driver of a release should do.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Decision {
    /// Record nothing.
    Hold,
    /// Record the stage.
    Record(Stage),
}

/// Hash of a session, which decides whether it gets the new version. It is seeded with the order, so that it
/// is not always the same sessions that get a new version first.
pub type SessionHash = u32;

/// Whether a session is in the given share of all sessions.
fn is_within(hash: SessionHash, share: f64) -> bool {
    f64::from(hash) / f64::from(SessionHash::MAX) < share
}

/// State of a release on this node.
#[derive(Debug, Clone)]
pub struct Release {
    order: ReleaseOrder,
    /// Offset at which the order was first read. It decides which sessions get the new version first, also after the
    /// order was written again elsewhere.
    seed: u64,
    exposure: Exposure,
    /// Number of hosts of the fleet.
    hosts: usize,
    started_at: BootTime,
    /// When this process learned of the order.
    known_since: BootTime,
    stage: Stage,
    /// Whether responses count as evidence of the stage.
    is_stage_begun: bool,
    /// Stage that is active until `effective_after`.
    previous_stage: Stage,
    effective_after: Duration,
    is_recorded: bool,
    /// When this node learned of the end.
    ended_at: Option<BootTime>,
    /// Whether the store came back from a copy that may lack the status.
    expects_rewrite: bool,
    halted: bool,
    evidence: Evidence,
    /// Maximum time between two requests of a session.
    session_timeout: Duration,
    /// Sessions on the old version that the first stage would move, with the time of their last request.
    pinned: HashMap<SessionHash, BootTime>,
    /// When a notice of an evaluator last arrived.
    evaluator_heard_at: Option<BootTime>,
}

impl Release {
    /// A release whose order was just read; a session ends after `session_timeout` without a request.
    pub fn new(order: ReleaseOrder, session_timeout: Duration, exposure: Exposure, now: BootTime) -> Self {
        Self {
            seed: order.position.offset,
            order,
            exposure,
            hosts: 1,
            started_at: now,
            known_since: now,
            stage: Stage::Trial(0),
            is_stage_begun: true,
            previous_stage: Stage::Trial(0),
            effective_after: Duration::ZERO,
            is_recorded: false,
            ended_at: None,
            expects_rewrite: false,
            halted: false,
            evidence: Evidence::default(),
            session_timeout,
            pinned: HashMap::new(),
            evaluator_heard_at: None,
        }
    }

    /// The order of the operators.
    pub fn order(&self) -> &ReleaseOrder {
        &self.order
    }

    /// The active stage.
    pub fn active_stage(&self, now: BootTime) -> Stage {
        let is_waiting = matches!(self.stage, Stage::Trial(_)) && self.elapsed(now) < self.effective_after;
        if is_waiting {
            self.previous_stage
        } else {
            self.stage
        }
    }

    /// The newest stage, which may not be active yet.
    pub fn stage(&self) -> Stage {
        self.stage
    }

    /// Whether the release was recorded as complete or reverted.
    pub fn has_ended(&self) -> bool {
        self.is_recorded && !self.expects_rewrite && self.stage >= Stage::Complete
    }

    /// Whether this node learned of the end less than `time` ago.
    pub fn has_ended_within(&self, now: BootTime, time: Duration) -> bool {
        self.ended_at.is_some_and(|it| now.saturating_sub(it) < time)
    }

    /// Begins the evidence of a stage that has become active, and takes the number of hosts of the fleet, whose requests
    /// are estimated from those that this node knows. To be called in each round.
    pub fn tick(&mut self, hosts: usize, now: BootTime) {
        self.hosts = hosts.max(1);
        if !self.is_stage_begun && self.active_stage(now) == self.stage {
            self.is_stage_begun = true;
            self.evidence.begin_stage();
        }
    }

    /// Records that the order is at least this old, as another node knows.
    pub fn record_age(&mut self, elapsed: Duration, now: BootTime) {
        self.started_at = self.started_at.min(now.saturating_sub(elapsed));
    }

    /// Whether the new version was detected to be bad.
    pub fn is_halted(&self) -> bool {
        self.halted
    }

    /// Time since the order.
    pub fn elapsed(&self, now: BootTime) -> Duration {
        now.saturating_sub(self.started_at)
    }

    /// Applies a recorded status; statuses of other orders and earlier stages have no effect.
    pub fn apply_status(&mut self, status: &ReleaseStatus, now: BootTime) {
        if status.order_offset != self.order.position.offset || status.target != self.order.target {
            return;
        }
        self.is_recorded = true;
        self.record_age(status.elapsed, now);
        // A recorded end is final; if two ends are written, the store keeps the first.
        if status.stage > self.stage {
            self.previous_stage = self.active_stage(now);
            self.stage = status.stage;
            self.effective_after = status.effective_after;
            self.is_stage_begun = false;
            if self.stage >= Stage::Complete {
                self.ended_at = Some(now);
            }
        }
    }

    /// Applies a status that was read from the store or written to it.
    pub fn apply_recorded_status(&mut self, status: &ReleaseStatus, now: BootTime) {
        self.apply_status(status, now);
        let is_own = status.order_offset == self.order.position.offset && status.target == self.order.target;
        self.expects_rewrite &= !(is_own && status.stage >= self.stage);
    }

    /// Records that the store came back from an older copy: the driver writes the status again unless the store still
    /// has it.
    pub fn expect_rewrite(&mut self) {
        self.expects_rewrite |= self.is_recorded;
    }

    /// Continues under the position of an order that was written again in a new era.
    pub fn follow_rewrite(&mut self, order: &ReleaseOrder) {
        let is_new_era = order.position.era > self.order.position.era;
        if is_new_era && order.target == self.order.target {
            self.order.position = order.position;
        }
    }

    /// Whether an order that was just read replaces this release. In a new era, an order for another version is newer
    /// only if its offset is: one with a lower offset is what the copy of the store still has.
    pub fn is_replaced_by(&self, order: &ReleaseOrder) -> bool {
        let known = self.order.position;
        order.position > known && order.position.offset > known.offset
    }

    /// The status to record for a stage that is decided now.
    pub fn status_for(&self, stage: Stage, now: BootTime) -> ReleaseStatus {
        let elapsed = self.elapsed(now);
        ReleaseStatus {
            order_offset: self.order.position.offset,
            target: self.order.target.clone(),
            stage,
            elapsed,
            effective_after: elapsed + STAGE_NOTICE_TIME,
        }
    }

    /// The newest status, as nodes pass it on; `None` if nothing is recorded.
    pub fn newest_status(&self, now: BootTime) -> Option<ReleaseStatus> {
        let status = self.status_for(self.stage, now);
        let effective_after = self.effective_after;
        self.is_recorded.then_some(ReleaseStatus {
            effective_after,
            ..status
        })
    }

    /// Stops the traffic to the new version, because another node detected that it is bad.
    pub fn halt(&mut self) {
        self.halted = true;
    }

    /// Assigns a version to a request.
    ///
    /// In the first stage, sessions that began on the old version stay there. To find them, no session gets
    /// the new version in an initial period in which every live session sends a request through some node.
    pub fn assign_arm(&mut self, subject: Subject<'_>, now: BootTime) -> Arm {
        let trial = match self.active_stage(now) {
            Stage::Complete => return Arm::New,
            Stage::Reverted => return Arm::Old,
            Stage::Trial(_) if self.halted => return Arm::Old,
            Stage::Trial(index) => usize::from(index).min(TRIALS.len() - 1),
        };
        let is_first = trial == 0;
        let (id, share) = match subject {
            Subject::Session(id) => (id, self.session_share(trial)),
            Subject::Request(id) => (id, self.request_share(trial, now)),
        };
        let hash = self.hash(id);
        if !is_within(hash, share) {
            return Arm::Old;
        }
        if is_first
            && matches!(subject, Subject::Session(_))
            && (self.elapsed(now) < self.session_timeout + PIN_TIME || self.is_pinned(hash, now))
        {
            self.pinned.insert(hash, now);
            return Arm::Old;
        }
        Arm::New
    }

    /// Share of the sessions that get the new version in a stage; the same on all nodes.
    fn session_share(&self, trial: usize) -> f64 {
        self.exposure.share * TRIALS[trial].exposures
    }

    /// Share of the requests without a session that get the new version in a stage.
    ///
    /// The fewer requests there are, the larger it is: the permitted number of requests beyond the share counts
    /// for more, and a decision needs a number of responses rather than a share.
    fn request_share(&self, trial: usize, now: BootTime) -> f64 {
        let least = self.session_share(trial);
        let elapsed = now.saturating_sub(self.known_since);
        let (responses, processes) = self.evidence.volume();
        if elapsed < VOLUME_TIME || responses == 0 {
            return least;
        }
        let of_fleet = responses as f64 * (self.hosts as f64 / processes as f64).max(1.0);
        let in_duration = of_fleet * self.order.duration.as_secs_f64() / elapsed.as_secs_f64();
        let permitted = self.exposure.share + self.exposure.slack / in_duration;
        (permitted * FIRST_REQUEST_EXPOSURES).clamp(least, MAX_FIRST_SHARE.max(least))
    }

    /// Records that the old version finished a request; the session timeout counts from now, however long the
    /// request took.
    pub fn record_request_end(&mut self, session: &[u8], now: BootTime) {
        let hash = self.hash(session);
        if self.active_stage(now) == Stage::Trial(0) && is_within(hash, self.session_share(0)) {
            self.pinned.insert(hash, now);
        }
    }

    fn hash(&self, session: &[u8]) -> SessionHash {
        let mut seeded = self.seed.to_be_bytes().to_vec();
        seeded.extend_from_slice(session);
        (hash::stable(&seeded) >> 32) as SessionHash
    }

    /// Sessions pinned to the old version, with the time since their last request.
    pub fn pinned_sessions(&self, now: BootTime) -> impl Iterator<Item = (SessionHash, Duration)> {
        let age = move |(session, last): (&SessionHash, &BootTime)| (*session, now.saturating_sub(*last));
        self.pinned
            .iter()
            .map(age)
            .filter(|it| it.1 <= self.session_timeout)
    }

    /// Pins a session that another node has pinned to the old version.
    pub fn pin_session(&mut self, session: SessionHash, age: Duration, now: BootTime) {
        let last = now.saturating_sub(age);
        let known = self.pinned.entry(session).or_insert(last);
        *known = last.max(*known);
    }

    fn is_pinned(&self, session: SessionHash, now: BootTime) -> bool {
        let last = self.pinned.get(&session);
        last.is_some_and(|it| now.saturating_sub(*it) <= self.session_timeout + PIN_TIME)
    }

    /// Records a notice of an evaluator.
    pub fn record_evaluator_notice(&mut self, now: BootTime) {
        self.evaluator_heard_at = Some(now);
    }

    /// Whether a notice of an evaluator arrived less than `time` ago.
    pub fn has_evaluator_notice_within(&self, now: BootTime, time: Duration) -> bool {
        self.evaluator_heard_at
            .is_some_and(|it| now.saturating_sub(it) < time)
    }

    /// Counts a response received by this process.
    pub fn record_response(&mut self, own: Incarnation, route: &Name, arm: Arm, grade: ResponseGrade) {
        self.evidence.count(own, route, arm, grade);
        self.halted |= self.evidence.bad_route().is_some();
    }

    /// The counters of one process.
    pub fn counters(&self, of: Incarnation) -> Option<&Counters> {
        self.evidence.counters(of)
    }

    /// A route on which the new version is bad according to the responses known to this node, with their
    /// counts.
    pub fn bad_route(&self) -> Option<(&Name, Tally)> {
        let route = self.evidence.bad_route()?;
        Some((route, self.evidence.total(route)))
    }

    /// All known responses by route.
    pub fn evidence(&self) -> BTreeMap<&Name, Tally> {
        self.evidence.totals()
    }

    /// Merges the counters of another process.
    pub fn merge_counters(&mut self, of: Incarnation, counters: Counters) {
        self.evidence.merge(of, counters);
        self.halted |= self.evidence.bad_route().is_some();
    }

    /// What the driver should do now.
    pub fn decide(&self, now: BootTime) -> Decision {
        if self.has_ended() {
            return Decision::Hold;
        }
        if self.expects_rewrite {
            return Decision::Record(self.stage);
        }
        if self.halted {
            return Decision::Record(Stage::Reverted);
        }
        let Stage::Trial(stage) = self.stage else {
            return Decision::Hold;
        };
        if !self.is_recorded {
            return Decision::Record(Stage::Trial(0));
        }
        let progress = self.elapsed(now).as_secs_f64() / self.order.duration.as_secs_f64().max(0.001);
        // In the first stage, routes with few requests yield too few responses in time; the next one yields more.
        let are_routes_assured = stage == 0 || self.evidence.are_routes_assured();
        if self.is_stage_begun && are_routes_assured && self.evidence.is_service_assured() {
            let (next, begin) = match TRIALS.get(usize::from(stage) + 1) {
                Some(it) => (Stage::Trial(stage + 1), it.begin),
                None => (Stage::Complete, COMPLETION_FRACTION),
            };
            if progress >= begin {
                return Decision::Record(next);
            }
        }
        match self.elapsed(now) + VERDICT_LEAD >= self.order.duration {
            true => Decision::Record(Stage::Reverted),
            false => Decision::Hold,
        }
    }
}
