//! An entry node's part in a release, as `entry` drives [`forward::release`]. All calls of that module are here.

use std::time::Duration;

use forward::BootTime;
use forward::first_byte::FirstByteTimes;
use forward::relay::Position;
pub(super) use forward::release::Stage;
use forward::release::{
    Arm, Counters, Decision, Release, ReleaseOrder, ReleaseStatus, ResponseGrade, SLOW_RATIO, SessionHash,
    Subject,
};
use model::{Incarnation, Name};

use super::simulation::{EXPOSURE, NODES, SESSION_TIMEOUT};
use super::traffic::{Request, Response};

/// Maximum age of a pinned session in a notice.
const MAX_PINNED_AGE: Duration = Duration::from_millis(2500);

/// State of one process.
#[derive(Debug)]
pub(super) struct Node {
    incarnation: Incarnation,
    routes: Vec<Name>,
    /// `None` until the order is read.
    release: Option<Release>,
    first_byte_times: FirstByteTimes,
}

/// Notice of a node to others.
#[derive(Debug, Clone)]
pub(super) struct Notice {
    sender: Incarnation,
    order: ReleaseOrder,
    elapsed: Duration,
    halted: bool,
    counters: Counters,
    pinned: Vec<(SessionHash, Duration)>,
    status: Option<ReleaseStatus>,
}

fn order(seed: u64, duration: Duration) -> ReleaseOrder {
    ReleaseOrder {
        service: "service".into(),
        target: "v2".into(),
        duration,
        position: Position { era: 0, offset: seed },
    }
}

impl Node {
    pub(super) fn new(incarnation: u128, routes: &[&str]) -> Self {
        Self {
            incarnation: Incarnation::from_bits(incarnation),
            routes: routes.iter().map(|it| (*it).into()).collect(),
            release: None,
            first_byte_times: FirstByteTimes::default(),
        }
    }

    /// Reads the order.
    pub(super) fn open(&mut self, seed: u64, duration: Duration, now: BootTime) {
        self.begin(order(seed, duration), now);
    }

    /// Begins the release unless it is known.
    fn begin(&mut self, order: ReleaseOrder, now: BootTime) {
        if self.release.is_some() {
            return;
        }
        let release = Release::new(order, SESSION_TIMEOUT, EXPOSURE, now);
        self.release = Some(release);
    }

    /// Assigns a version to a request; the old one until the order is read.
    pub(super) fn assign(&mut self, request: &Request, now: BootTime) -> Arm {
        let Some(release) = &mut self.release else {
            return Arm::Old;
        };
        let key = request.key();
        let subject = match request.session {
            Some(_) => Subject::Session(&key),
            None => Subject::Request(&key),
        };
        release.assign_arm(subject, now)
    }

    /// Records that a request is sent to an engine.
    pub(super) fn record_sent(&mut self, _request: &Request, _arm: Arm, _now: BootTime) {}

    /// Grades and records a response.
    pub(super) fn record_response(
        &mut self,
        request: &Request,
        arm: Arm,
        response: Response,
        now: BootTime,
    ) -> ResponseGrade {
        let route = &self.routes[request.route];
        let grade = if response.failed {
            ResponseGrade::Bad
        } else {
            let usual = self
                .first_byte_times
                .expected(route, None, request.prompt_tokens)
                .unwrap_or(response.time);
            if arm == Arm::Old {
                self.first_byte_times
                    .record(route, None, request.prompt_tokens, response.time);
            }
            let ratio = response.time.as_secs_f64() / usual.as_secs_f64().max(0.001);
            if ratio > SLOW_RATIO {
                ResponseGrade::Slow
            } else {
                ResponseGrade::Good
            }
        };
        if let Some(release) = &mut self.release {
            release.record_response(self.incarnation, route, arm, grade);
            if arm == Arm::Old && request.session.is_some() {
                release.record_request_end(&request.key(), now);
            }
        }
        grade
    }

    /// The notice of this round.
    pub(super) fn notice(&self, now: BootTime) -> Option<Notice> {
        let release = self.release.as_ref()?;
        let recent = release.pinned_sessions(now).filter(|it| it.1 <= MAX_PINNED_AGE);
        Some(Notice {
            sender: self.incarnation,
            order: release.order().clone(),
            elapsed: release.elapsed(now),
            halted: release.is_halted(),
            counters: release.counters(self.incarnation).cloned().unwrap_or_default(),
            pinned: recent.collect(),
            status: release.newest_status(now),
        })
    }

    /// Applies a notice of another node.
    pub(super) fn apply(&mut self, notice: &Notice, now: BootTime) {
        self.begin(notice.order.clone(), now);
        let Some(release) = &mut self.release else {
            return;
        };
        release.record_age(notice.elapsed, now);
        if notice.halted {
            release.halt();
        }
        release.merge_counters(notice.sender, notice.counters.clone());
        for (session, age) in &notice.pinned {
            release.pin_session(*session, *age, now);
        }
        if let Some(status) = &notice.status {
            release.apply_status(status, now);
        }
    }

    /// Begins a round.
    pub(super) fn tick(&mut self, now: BootTime) {
        if let Some(release) = &mut self.release {
            release.tick(NODES, now);
        }
    }

    /// The stage that the driver should record now.
    pub(super) fn due(&self, now: BootTime) -> Option<Stage> {
        match self.release.as_ref()?.decide(now) {
            Decision::Hold => None,
            Decision::Record(stage) => Some(stage),
        }
    }

    pub(super) fn status_for(&self, stage: Stage, now: BootTime) -> Option<ReleaseStatus> {
        Some(self.release.as_ref()?.status_for(stage, now))
    }

    /// Applies a status that was read from the store or written to it.
    pub(super) fn apply_status(&mut self, status: &ReleaseStatus, now: BootTime) {
        if let Some(release) = &mut self.release {
            release.apply_status(status, now);
        }
    }

    pub(super) fn is_halted(&self) -> bool {
        self.release.as_ref().is_some_and(Release::is_halted)
    }
}
