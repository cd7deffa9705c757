//! Progress of a plan that is being executed.

use std::time::Duration;

use model::Cost;

use super::plan::{Plan, RatingMode};
use super::planner::Verdict;

/// What the caller of [`PlanProgress`] has to do next.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Action {
    /// Send the request to the version of this step.
    Start(usize),
    /// Hold the answer of this step back until its rating arrives. If the time passes first, call
    /// [`PlanProgress::rating_timed_out`].
    AwaitRating {
        /// Step whose answer is held back.
        step: usize,
        /// Time on the clock of the caller, as `now` in the methods of [`PlanProgress`].
        until: Duration,
    },
    /// Deliver the answer of this step and cancel all other steps.
    Deliver(usize),
    /// Do nothing until the next event.
    Wait,
    /// Refuse the request, since every step failed.
    Fail,
}

/// Costs of a plan that is being executed.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Spend {
    /// Cost of the delivered answer, which is charged to the organisation.
    pub charged: Cost,
    /// Cost of all other steps, which is not charged to the organisation.
    pub rejected: Cost,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum StepState {
    Running,
    AwaitingRating,
    RatingTimedOut,
    Rejected,
    Failed,
}

/// Progress of a plan that is being executed. All times are on the node's monotonic clock.
#[derive(Debug, Clone)]
pub struct PlanProgress {
    plan: Plan,
    deadline: Duration,
    states: Vec<StepState>,
    costs: Vec<Cost>,
    delivered: Option<usize>,
}

impl PlanProgress {
    /// Starts a plan that has to deliver an answer by `deadline`. The first action is `Start(0)`.
    pub fn new(plan: Plan, deadline: Duration) -> (Self, Action) {
        let progress = Self {
            costs: vec![0; plan.steps.len()],
            plan,
            deadline,
            states: vec![StepState::Running],
            delivered: None,
        };
        (progress, Action::Start(0))
    }

    /// The plan that is executed.
    pub fn plan(&self) -> &Plan {
        &self.plan
    }

    /// Handles the complete answer of `step`, which cost `cost`.
    pub fn answered(&mut self, step: usize, cost: Cost, now: Duration) -> Action {
        self.costs[step] = cost;
        if self.delivered.is_some() {
            return Action::Wait;
        }
        self.states[step] = StepState::AwaitingRating;
        match self.plan.steps[step].rating_mode {
            RatingMode::BeforeDelivery(timeout) if now < self.deadline => Action::AwaitRating {
                step,
                until: (now + timeout).min(self.deadline),
            },
            _ => self.deliver(step),
        }
    }

    /// Handles the rating of `step`, which may arrive after its time-out. An answer whose rating is late and
    /// adequate is delivered unless a later step was.
    pub fn rated(&mut self, step: usize, verdict: Verdict, now: Duration) -> Action {
        if self.delivered.is_some() {
            return Action::Wait;
        }
        if verdict == Verdict::Adequate {
            return self.deliver(step);
        }
        let awaiting = self.states[step] == StepState::AwaitingRating;
        self.states[step] = StepState::Rejected;
        if awaiting {
            self.escalate(now)
        } else {
            Action::Wait
        }
    }

    /// Handles the time-out of the rating of `step`.
    pub fn rating_timed_out(&mut self, step: usize, now: Duration) -> Action {
        if self.delivered.is_some() || self.states[step] != StepState::AwaitingRating {
            return Action::Wait;
        }
        self.states[step] = StepState::RatingTimedOut;
        self.escalate(now)
    }

    /// Handles the failure of `step`, which gave no answer and cost `cost`.
    pub fn failed(&mut self, step: usize, cost: Cost, now: Duration) -> Action {
        self.costs[step] = cost;
        if self.delivered.is_some() || self.states[step] != StepState::Running {
            return Action::Wait;
        }
        self.states[step] = StepState::Failed;
        self.escalate(now)
    }

    /// Records the cost of a cancelled step.
    pub fn cancelled(&mut self, step: usize, cost: Cost) {
        self.costs[step] = cost;
    }

    /// Step whose answer was delivered, if any.
    pub fn delivered(&self) -> Option<usize> {
        self.delivered
    }

    /// Costs incurred so far.
    pub fn spend(&self) -> Spend {
        let total: Cost = self.costs.iter().sum();
        let charged = self.delivered.map_or(0, |it| self.costs[it]);
        Spend {
            charged,
            rejected: total - charged,
        }
    }

    fn deliver(&mut self, step: usize) -> Action {
        self.delivered = Some(step);
        Action::Deliver(step)
    }

    /// Starts the next step if it can answer before the deadline, else delivers the best available answer.
    fn escalate(&mut self, now: Duration) -> Action {
        let next = self.states.len();
        if let Some(step) = self.plan.steps.get(next)
            && now + step.latency <= self.deadline
        {
            self.states.push(StepState::Running);
            return Action::Start(next);
        }
        // Later steps use better versions, so the last answer whose rating timed out is preferred. A rejected
        // answer is still better than none.
        let last_in = |state| self.states.iter().rposition(|it| *it == state);
        match last_in(StepState::RatingTimedOut).or(last_in(StepState::Rejected)) {
            Some(step) => self.deliver(step),
            None => Action::Fail,
        }
    }
}
