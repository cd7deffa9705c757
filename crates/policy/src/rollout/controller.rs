//! Control of a roll-out on one node.

use std::time::Duration;

use model::object::rollout::State;
use model::object::{Rollout, version};
use model::{Host, Incarnation, Revision};
use rand::Rng;

use super::evidence::{Arm, Counter, Event, Evidence, Record, RolloutRevision};
use super::exposure;
use super::sequential::{SequentialTest, Tally};

/// Maximum probability that the ratings of a version that is not worse cross the bound at any time at one
/// revision of the roll-out. Errors and latency have [`ERROR_LATENCY_ALPHA`] each, so that the sum is 1%.
const RATING_ALPHA: f64 = 0.009;

/// Same as [`RATING_ALPHA`], for errors and for latency each.
const ERROR_LATENCY_ALPHA: f64 = 0.0005;

/// Shares of these probabilities for the first and the second evaluator. The evidence that they have differs,
/// so that the full probability for each would halt up to 2% of roll-outs between equal versions. The second
/// evaluator guards against a first one that is stuck.
const ALPHA_SHARES: [f64; exposure::EVALUATORS] = [0.95, 0.05];

/// Share of successes lost that has to be implausible before a stage advances.
const TOLERATED_LOSS: f64 = 0.1;

/// Likelihood ratio of [`TOLERATED_LOSS`] up to which a stage advances (lower bound of Wald's test, 1945). A
/// version with this loss advances with a probability of about 5%.
const MAX_ADVANCE_RATIO: f64 = 0.05;

/// Minimum number of rated answers of the new version before a stage advances.
const MIN_NEW_RATINGS: u64 = 30;

/// Minimum number of rated answers of the old version before trial traffic starts. Without them there is
/// nothing to compare the outcomes of the new version with.
const MIN_OLD_RATINGS: u64 = 100;

/// Alternative hypotheses of the tests: share of successes lost, and prior probability.
const RATING_LOSSES: [(f64, f64); 4] = [(0.1, 0.1), (0.2, 0.7), (0.4, 0.1), (0.95, 0.1)];
const ERROR_LATENCY_LOSSES: [(f64, f64); 4] = [(0.03, 0.2), (0.1, 0.2), (0.3, 0.2), (0.5, 0.4)];

/// Prior means of the old version's shares of adequate answers, successful requests and fast answers.
const OLD_PRIOR_MEANS: [f64; 3] = [0.9, 0.99, 0.95];

/// Identity of this node.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Node {
    /// Host, which stays the same over restarts.
    pub host: Host,
    /// Incarnation, which changes with each restart.
    pub incarnation: Incarnation,
}

/// Version that serves a new session or a sessionless request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Admission {
    /// The version that is being replaced.
    Old,
    /// The version that is being rolled out; [`Event::Started`] has been counted.
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
    /// The roll-out is not in the running state.
    NotRunning,
    /// There is not enough evidence.
    Evidence,
    /// There is enough evidence, but this node is the second evaluator and only the first one proposes.
    NotDriving,
    /// This node is not an evaluator.
    NotJudging,
}

/// State of the roll-out after an advance.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Next {
    /// Index of the next stage.
    Stage(u16),
    /// The new version becomes the default version.
    Finished,
}

/// Change of the roll-out that a node proposes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Decision {
    /// Propose the next stage.
    Advance {
        /// Revision of the roll-out that the proposal is based on.
        base: Revision,
        /// State after the advance.
        next: Next,
    },
    /// Propose nothing.
    Hold(Reason),
    /// Propose to halt. This node has already stopped its trial traffic.
    Halt {
        /// Revision of the roll-out that the proposal is based on.
        base: Revision,
        /// Comparison that crossed its bound.
        cause: Cause,
    },
}

/// State of one roll-out on one node.
#[derive(Debug, Clone)]
pub struct Controller {
    node: Node,
    rollout: Rollout,
    revision: Revision,
    version: version::State,
    evidence: Evidence,
    tests: [SequentialTest; 3],
    crossed_bound: Option<Cause>,
    live_hosts: Vec<Host>,
    role: Role,
    /// Earliest time of the next trial request.
    next_start: Option<Duration>,
}

/// Role of this node in the roll-out.
#[derive(Debug, Clone, Copy, Default)]
struct Role {
    /// Number of trial nodes.
    trial_nodes: usize,
    /// Share of this node's traffic that runs on the new version.
    trial_share: f64,
    /// Rank among the evaluators, if this node is one.
    evaluator_rank: Option<usize>,
}

impl Controller {
    /// Creates a controller for the roll-out at `revision`, given the state of its new version. The node
    /// takes no part in the roll-out until [`Controller::set_live_hosts`] is called.
    pub fn new(node: Node, rollout: Rollout, revision: Revision, version: version::State) -> Self {
        Self {
            node,
            rollout,
            revision,
            version,
            evidence: Evidence::default(),
            tests: new_tests(),
            crossed_bound: None,
            live_hosts: vec![],
            role: Role::default(),
            next_start: None,
        }
    }

    /// Applies a new configuration. A crossed bound is reset only if the roll-out was halted and runs again,
    /// which is an operator's decision. An advance that another node proposed meanwhile does not reset it.
    pub fn configure(&mut self, rollout: Rollout, revision: Revision, version: version::State) {
        self.version = version;
        if revision <= self.revision {
            return;
        }
        if self.rollout.state == State::Halted && rollout.state == State::Running {
            self.crossed_bound = None;
        }
        self.rollout = rollout;
        self.revision = revision;
        self.evidence = Evidence::default();
        self.tests = new_tests();
        let live_hosts = std::mem::take(&mut self.live_hosts);
        self.set_live_hosts(&live_hosts);
    }

    /// Identity of this node.
    pub fn node(&self) -> &Node {
        &self.node
    }

    /// The roll-out and revision that evidence is recorded for.
    pub fn rollout_revision(&self) -> RolloutRevision {
        RolloutRevision {
            name: self.rollout.name.clone(),
            revision: self.revision,
        }
    }

    /// Sets the live hosts; called when membership has changed. The rendezvous order is computed here and
    /// after a new configuration rather than for each request, since it takes 10 µs for 340 hosts.
    pub fn set_live_hosts(&mut self, hosts: &[Host]) {
        self.live_hosts = hosts.to_vec();
        let names = || hosts.iter().map(|it| &**it);
        let trial = exposure::trial_nodes(&self.rollout, names());
        let evaluators = exposure::evaluators(&self.rollout, names());
        let is_self = |it: &&str| **it == *self.node.host;
        self.role = Role {
            trial_nodes: trial.len(),
            trial_share: if trial.iter().any(is_self) {
                exposure::trial_share(&self.rollout, hosts.len(), trial.len())
            } else {
                0.0
            },
            evaluator_rank: evaluators.iter().position(is_self),
        };
    }

    /// Chooses the version that serves a new session or a sessionless request.
    /// `now` is the node's monotonic clock.
    pub fn admit(&mut self, now: Duration, rng: &mut impl Rng) -> Admission {
        let selected = self.trial_active() && rng.random_bool(self.role.trial_share);
        let available = self.available_starts();
        if !selected || available == 0 || self.next_start.is_some_and(|it| now < it) {
            return Admission::Old;
        }
        self.next_start = Some(now + exposure::start_interval(self.allowance()));
        self.record(Arm::New, Event::Started);
        Admission::New
    }

    /// Records the progress of a request that this node sent at the current revision. Requests of sessions
    /// that are pinned to the new version count as well.
    pub fn record(&mut self, arm: Arm, event: Event) {
        self.evidence.add(arm, self.node.incarnation, event);
    }

    /// Merges counters of other nodes. Those of other roll-outs or revisions are ignored.
    pub fn merge(&mut self, records: &[Record]) {
        let rollout = self.rollout_revision();
        for it in records.iter().filter(|it| it.rollout == rollout) {
            self.evidence.merge(it.arm, it.incarnation, &it.counter);
        }
    }

    /// All counters of the current revision.
    pub fn export(&self) -> Vec<Record> {
        let rollout = self.rollout_revision();
        let record = |(arm, incarnation, counter)| Record {
            rollout: rollout.clone(),
            arm,
            incarnation,
            counter,
        };
        self.evidence.iter().map(record).collect()
    }

    /// Comparison that crossed its bound, if any; sent to the other trial nodes.
    pub fn crossed_bound(&self) -> Option<Cause> {
        self.crossed_bound
    }

    /// Stops the trial traffic of `rollout` because another node found that a comparison crossed its bound.
    /// Takes effect at once, without waiting for the halt to pass through the configuration log.
    pub fn stop_trial(&mut self, rollout: &RolloutRevision, cause: Cause) {
        if *rollout == self.rollout_revision() && self.rollout.state == State::Running {
            self.crossed_bound.get_or_insert(cause);
        }
    }

    /// Evidence of the current revision.
    pub fn evidence(&self) -> &Evidence {
        &self.evidence
    }

    /// Evaluates the evidence. May be called at any time and any number of times.
    pub fn decide(&mut self, rng: &mut impl Rng) -> Decision {
        if self.rollout.state != State::Running {
            return Decision::Hold(Reason::NotRunning);
        }
        if let Some(rank) = self.role.evaluator_rank {
            self.evaluate(ALPHA_SHARES[rank], rng);
        }
        if let Some(cause) = self.crossed_bound {
            let base = self.revision;
            return Decision::Halt { base, cause };
        }
        match self.role.evaluator_rank {
            None => Decision::Hold(Reason::NotJudging),
            Some(_) if !self.evidence_suffices() => Decision::Hold(Reason::Evidence),
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

    /// Number of requests on the new version that this node may start now.
    pub fn available_starts(&self) -> u64 {
        let nodes = self.role.trial_nodes;
        let total = self.evidence.total(Arm::New);
        let local = self.evidence.counter(Arm::New, self.node.incarnation);
        let allowance = self.allowance().saturating_sub(local.unknown_outcomes());
        let budget = exposure::start_budget(&self.rollout, nodes, total.started - local.started);
        allowance.min(budget.saturating_sub(local.started))
    }

    fn allowance(&self) -> u64 {
        let new = self.evidence.total(Arm::New);
        // Good outcomes increase the allowance only while the evidence is not against the new version.
        let good = if self.not_worse(&new) { new.adequate } else { 0 };
        exposure::allowance(self.role.trial_nodes, good)
    }

    fn not_worse(&self, new: &Counter) -> bool {
        let old = tallies(&self.evidence.total(Arm::Old));
        let worse = |(old, new): (Tally, Tally)| {
            new.failures * old.total() > old.failures * new.total() + old.total()
        };
        let tests_pass = self.tests.iter().all(|it| it.e_value() <= 1.0);
        tests_pass && !old.into_iter().zip(tallies(new)).any(worse)
    }

    /// Whether trial traffic may run.
    fn trial_active(&self) -> bool {
        let old = self.evidence.total(Arm::Old);
        self.rollout.state == State::Running
            && self.version == version::State::Live
            && self.crossed_bound.is_none()
            && old.adequate + old.inadequate >= MIN_OLD_RATINGS
    }

    /// Updates the tests and checks their bounds, with `share` of the probabilities of a false crossing.
    fn evaluate(&mut self, share: f64, rng: &mut impl Rng) {
        let old = tallies(&self.evidence.total(Arm::Old));
        let new = tallies(&self.evidence.total(Arm::New));
        for ((test, old), new) in self.tests.iter_mut().zip(old).zip(new) {
            test.update(old, new, rng);
        }
        if self.crossed_bound.is_some() {
            return;
        }
        let alphas = [RATING_ALPHA, ERROR_LATENCY_ALPHA, ERROR_LATENCY_ALPHA];
        let causes = [Cause::Ratings, Cause::Errors, Cause::Latency];
        let crosses = |idx: &usize| self.tests[*idx].e_value() >= 1.0 / (share * alphas[*idx]);
        self.crossed_bound = (0..causes.len()).find(crosses).map(|it| causes[it]);
    }

    fn evidence_suffices(&self) -> bool {
        let new = self.evidence.total(Arm::New);
        let refuted = |it: &SequentialTest| it.likelihood_ratio(TOLERATED_LOSS) <= MAX_ADVANCE_RATIO;
        new.adequate + new.inadequate >= MIN_NEW_RATINGS && self.tests.iter().all(refuted)
    }
}

fn new_tests() -> [SequentialTest; 3] {
    [
        SequentialTest::new(&RATING_LOSSES, OLD_PRIOR_MEANS[0]),
        SequentialTest::new(&ERROR_LATENCY_LOSSES, OLD_PRIOR_MEANS[1]),
        SequentialTest::new(&ERROR_LATENCY_LOSSES, OLD_PRIOR_MEANS[2]),
    ]
}

/// Successes and failures for the tests of ratings, errors and latency.
fn tallies(counter: &Counter) -> [Tally; 3] {
    [
        Tally {
            successes: counter.adequate,
            failures: counter.inadequate,
        },
        // A request counts as a success when it starts, and a failure counts in addition. Failures are known
        // sooner than answers, so that in comparison with answers a version with rising traffic would seem to
        // fail more often.
        Tally {
            successes: counter.started,
            failures: counter.failed,
        },
        Tally {
            successes: counter.answered.saturating_sub(counter.slow),
            failures: counter.slow,
        },
    ]
}
