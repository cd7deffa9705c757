//! One node's part in a roll-out.

use std::time::Duration;

use model::object::rollout::State;
use model::object::{Rollout, version};
use model::{Host, Incarnation, Revision};
use rand::Rng;

use super::evidence::{Arm, Counter, Event, Evidence, Record, Run};
use super::exposure;
use super::sequential::{Process, Tally};

/// Probability with which the ratings of a version that is not worse ever cross the bound in a run. Errors and latency
/// have [`SIDE_ALPHA`] each, so that the sum is 1%.
const RATING_ALPHA: f64 = 0.009;

/// Like [`RATING_ALPHA`] for errors, and for latency.
const SIDE_ALPHA: f64 = 0.0005;

/// Shares of these probabilities for the first and the second judge. Their views differ, so that equal shares of the
/// whole would halt up to 2% of equal versions; the second judge guards against a first one that is stuck.
const JUDGE_SHARES: [f64; exposure::JUDGES] = [0.95, 0.05];

/// Loss of successes, as a share, that an advance has to make implausible.
const TOLERATED_LOSS: f64 = 0.1;

/// Likelihood ratio of the tolerated loss below which a stage advances (lower bound of Wald's test, 1945): a version
/// that loses this much advances with a probability of about 5%.
const ADVANCE_RATIO: f64 = 0.05;

/// Rated trial answers before an advance.
const ADVANCE_RATINGS: u64 = 30;

/// Rated answers of the old version before the trial starts; without them, trial outcomes compare with nothing.
const OLD_RATINGS: u64 = 100;

/// Alternatives as share of successes lost, with prior probabilities.
const RATING_LOSSES: [(f64, f64); 4] = [(0.1, 0.1), (0.2, 0.7), (0.4, 0.1), (0.95, 0.1)];
const SIDE_LOSSES: [(f64, f64); 4] = [(0.03, 0.2), (0.1, 0.2), (0.3, 0.2), (0.5, 0.4)];

/// Prior guesses of the old version's shares of adequate, successful and fast answers.
const GUESSES: [f64; 3] = [0.9, 0.99, 0.95];

/// Identity of this node.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Node {
    /// Host, stable over restarts.
    pub host: Host,
    /// Incarnation.
    pub incarnation: Incarnation,
}

/// Version for a new session or a sessionless request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Admission {
    /// The version before.
    Old,
    /// The version after; [`Event::Started`] has been counted.
    New,
}

/// Which comparison crossed its bound.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Cause {
    /// Answers are inadequate more often.
    Ratings,
    /// Requests fail more often.
    Errors,
    /// Answers are slow more often.
    Latency,
}

/// Why nothing is proposed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reason {
    /// The roll-out is not running.
    NotRunning,
    /// The evidence does not suffice.
    Evidence,
    /// The evidence suffices, and the first judge proposes.
    NotDriving,
    /// This node does not judge.
    NotJudging,
}

/// What an advance leads to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Next {
    /// Index of the next stage.
    Stage(u16),
    /// The new version becomes the default.
    Finished,
}

/// What a node proposes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Decision {
    /// Propose the next stage.
    Advance {
        /// Revision of the roll-out that the proposal is based on.
        base: Revision,
        /// Next stage.
        next: Next,
    },
    /// Propose nothing.
    Hold(Reason),
    /// Propose to halt; this node's trial traffic has stopped already.
    Halt {
        /// Revision of the roll-out that the proposal is based on.
        base: Revision,
        /// What is worse.
        cause: Cause,
    },
}

/// Part of one node in one roll-out.
#[derive(Debug, Clone)]
pub struct Controller {
    node: Node,
    rollout: Rollout,
    revision: Revision,
    version: version::State,
    evidence: Evidence,
    tests: [Process; 3],
    crossed: Option<Cause>,
    hosts: Vec<Host>,
    place: Place,
    next: Option<Duration>,
}

/// What this node does in the roll-out.
#[derive(Debug, Clone, Copy, Default)]
struct Place {
    /// Trial nodes.
    nodes: usize,
    /// Share of this node's traffic that tries the new version.
    share: f64,
    /// Rank among the judges.
    judge: Option<usize>,
}

impl Controller {
    /// Starts with the roll-out at `revision` and the state of its new version. Until [`Controller::place`] is called,
    /// the node has no part in it.
    pub fn new(node: Node, rollout: Rollout, revision: Revision, version: version::State) -> Self {
        Self {
            node,
            rollout,
            revision,
            version,
            evidence: Evidence::default(),
            tests: tests(),
            crossed: None,
            hosts: vec![],
            place: Place::default(),
            next: None,
        }
    }

    /// Takes in a configuration. A crossed bound is forgotten only if the roll-out was halted and runs again, which is
    /// an operator's decision; an advance that another node proposed at the same time does not undo it.
    pub fn configure(&mut self, rollout: Rollout, revision: Revision, version: version::State) {
        self.version = version;
        if revision <= self.revision {
            return;
        }
        if self.rollout.state == State::Halted && rollout.state == State::Running {
            self.crossed = None;
        }
        self.rollout = rollout;
        self.revision = revision;
        self.evidence = Evidence::default();
        self.tests = tests();
        let hosts = std::mem::take(&mut self.hosts);
        self.place(&hosts);
    }

    /// Identity of this node.
    pub fn node(&self) -> &Node {
        &self.node
    }

    /// The run that evidence is recorded for.
    pub fn run(&self) -> Run {
        Run {
            rollout: self.rollout.name.clone(),
            revision: self.revision,
        }
    }

    /// Takes in the live hosts; called when membership has changed. The rendezvous order is computed here and after a
    /// new configuration rather than for each request, since it takes 10 µs for 340 hosts.
    pub fn place(&mut self, hosts: &[Host]) {
        self.hosts = hosts.to_vec();
        let names = || hosts.iter().map(|it| &**it);
        let trial = exposure::trial_nodes(&self.rollout, names());
        let judges = exposure::judges(&self.rollout, names());
        let own = |it: &&str| **it == *self.node.host;
        self.place = Place {
            nodes: trial.len(),
            share: if trial.iter().any(own) {
                exposure::trial_share(&self.rollout, hosts.len(), trial.len())
            } else {
                0.0
            },
            judge: judges.iter().position(own),
        };
    }

    /// Chooses the version of a new session or a sessionless request.
    /// `now` is the node's monotonic clock.
    pub fn admit(&mut self, now: Duration, rng: &mut impl Rng) -> Admission {
        let tries = self.tries() && rng.random_bool(self.place.share);
        let room = self.room();
        if !tries || room == 0 || self.next.is_some_and(|it| now < it) {
            return Admission::Old;
        }
        self.next = Some(now + exposure::pace(self.allowance()));
        self.record(Arm::New, Event::Started);
        Admission::New
    }

    /// Records what happened to a request of the current run that this node sent. Requests of sessions pinned to the
    /// new version count as well.
    pub fn record(&mut self, arm: Arm, event: Event) {
        self.evidence.add(arm, self.node.incarnation, event);
    }

    /// Merges counters of other trial nodes; those of other runs are ignored.
    pub fn merge(&mut self, records: &[Record]) {
        let run = self.run();
        for it in records.iter().filter(|it| it.run == run) {
            self.evidence.merge(it.arm, it.incarnation, &it.counter);
        }
    }

    /// All counters of the current run.
    pub fn export(&self) -> Vec<Record> {
        let run = self.run();
        let record = |(arm, incarnation, counter)| Record {
            run: run.clone(),
            arm,
            incarnation,
            counter,
        };
        self.evidence.iter().map(record).collect()
    }

    /// Bound that was crossed, for the other trial nodes.
    pub fn crossed(&self) -> Option<Cause> {
        self.crossed
    }

    /// Another node saw the bound of `run` crossed: stops the trial traffic at once, without waiting for the halt to
    /// pass the configuration log.
    pub fn stop(&mut self, run: &Run, cause: Cause) {
        if *run == self.run() && self.rollout.state == State::Running {
            self.crossed.get_or_insert(cause);
        }
    }

    /// Evidence of the current run.
    pub fn evidence(&self) -> &Evidence {
        &self.evidence
    }

    /// Looks at the evidence; may be called at any time and any number of times.
    pub fn decide(&mut self, rng: &mut impl Rng) -> Decision {
        if self.rollout.state != State::Running {
            return Decision::Hold(Reason::NotRunning);
        }
        if let Some(rank) = self.place.judge {
            self.look(JUDGE_SHARES[rank], rng);
        }
        if let Some(cause) = self.crossed {
            let base = self.revision;
            return Decision::Halt { base, cause };
        }
        match self.place.judge {
            None => Decision::Hold(Reason::NotJudging),
            Some(_) if !self.suffices() => Decision::Hold(Reason::Evidence),
            Some(0) => self.advance(),
            Some(_) => Decision::Hold(Reason::NotDriving),
        }
    }

    fn advance(&self) -> Decision {
        let stage = self.rollout.stage + 1;
        let last = usize::from(stage) >= self.rollout.stages.len();
        Decision::Advance {
            base: self.revision,
            next: if last { Next::Finished } else { Next::Stage(stage) },
        }
    }

    /// Requests on the new version that this node may start now.
    pub fn room(&self) -> u64 {
        let nodes = self.place.nodes;
        let total = self.evidence.total(Arm::New);
        let own = self.evidence.of(Arm::New, self.node.incarnation);
        let allowance = self.allowance().saturating_sub(own.unknown());
        let budget = exposure::budget(&self.rollout, nodes, total.started - own.started);
        allowance.min(budget.saturating_sub(own.started))
    }

    fn allowance(&self) -> u64 {
        let new = self.evidence.total(Arm::New);
        // Outcomes widen the allowance only while they do not speak against the new version.
        let good = if self.favourable(&new) { new.adequate } else { 0 };
        exposure::allowance(self.place.nodes, good)
    }

    fn favourable(&self, new: &Counter) -> bool {
        let old = tallies(&self.evidence.total(Arm::Old));
        let worse = |(old, new): (Tally, Tally)| new.bad * old.total() > old.bad * new.total() + old.total();
        let tested = self.tests.iter().all(|it| it.e_value() <= 1.0);
        tested && !old.into_iter().zip(tallies(new)).any(worse)
    }

    /// Whether trial traffic runs at all.
    fn tries(&self) -> bool {
        let old = self.evidence.total(Arm::Old);
        self.rollout.state == State::Running
            && self.version == version::State::Live
            && self.crossed.is_none()
            && old.adequate + old.inadequate >= OLD_RATINGS
    }

    fn look(&mut self, share: f64, rng: &mut impl Rng) {
        let old = tallies(&self.evidence.total(Arm::Old));
        let new = tallies(&self.evidence.total(Arm::New));
        for ((test, old), new) in self.tests.iter_mut().zip(old).zip(new) {
            test.fold(old, new, rng);
        }
        if self.crossed.is_some() {
            return;
        }
        let alphas = [RATING_ALPHA, SIDE_ALPHA, SIDE_ALPHA];
        let causes = [Cause::Ratings, Cause::Errors, Cause::Latency];
        let crossed = |idx: &usize| self.tests[*idx].e_value() >= 1.0 / (share * alphas[*idx]);
        self.crossed = (0..causes.len()).find(crossed).map(|it| causes[it]);
    }

    fn suffices(&self) -> bool {
        let new = self.evidence.total(Arm::New);
        let refuted = |it: &Process| it.ratio(TOLERATED_LOSS) <= ADVANCE_RATIO;
        new.adequate + new.inadequate >= ADVANCE_RATINGS && self.tests.iter().all(refuted)
    }
}

fn tests() -> [Process; 3] {
    [
        Process::new(&RATING_LOSSES, GUESSES[0]),
        Process::new(&SIDE_LOSSES, GUESSES[1]),
        Process::new(&SIDE_LOSSES, GUESSES[2]),
    ]
}

/// Outcomes for the tests of ratings, errors and latency.
fn tallies(counter: &Counter) -> [Tally; 3] {
    [
        Tally {
            good: counter.adequate,
            bad: counter.inadequate,
        },
        // A request counts as good when it starts, and a failure counts besides. Failures are known sooner than answers;
        // compared with answers, a version with rising traffic would seem to fail more often.
        Tally {
            good: counter.started,
            bad: counter.failed,
        },
        Tally {
            good: counter.answered.saturating_sub(counter.slow),
            bad: counter.slow,
        },
    ]
}
