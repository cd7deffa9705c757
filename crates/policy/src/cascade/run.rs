//! Execution of a plan.

use std::time::Duration;

use model::Cost;

use super::plan::{Gate, Plan};
use super::planner::Verdict;

/// What the caller of [`Run`] does next.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Action {
    /// Send the request to the version of this step.
    Start(usize),
    /// Hold the answer of this step back until its rating arrives or the time passes, then call [`Run::expired`].
    Await {
        /// Step whose answer is held back.
        step: usize,
        /// Time on the run's clock.
        until: Duration,
    },
    /// Deliver the answer of this step and cancel any other step.
    Deliver(usize),
    /// Nothing.
    Wait,
    /// Refuse the request: every step failed.
    Fail,
}

/// Costs of a run.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Spend {
    /// Cost of the delivered answer, which the caller pays.
    pub charged: Cost,
    /// Cost of all other steps, which the caller does not pay.
    pub rejected: Cost,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Held {
    Running,
    Waiting,
    Unrated,
    Rejected,
    Failed,
}

/// A plan under way. All times are on one monotonic clock of the node.
#[derive(Debug, Clone)]
pub struct Run {
    plan: Plan,
    due: Duration,
    held: Vec<Held>,
    costs: Vec<Cost>,
    delivered: Option<usize>,
}

impl Run {
    /// Starts a plan whose answer is due at `due`. The first action is `Start(0)`.
    pub fn new(plan: Plan, due: Duration) -> (Self, Action) {
        let run = Self {
            costs: vec![0; plan.steps.len()],
            plan,
            due,
            held: vec![Held::Running],
            delivered: None,
        };
        (run, Action::Start(0))
    }

    /// The plan.
    pub fn plan(&self) -> &Plan {
        &self.plan
    }

    /// The answer of `step` is complete and cost `cost`.
    pub fn answered(&mut self, step: usize, cost: Cost, now: Duration) -> Action {
        self.costs[step] = cost;
        if self.delivered.is_some() {
            return Action::Wait;
        }
        self.held[step] = Held::Waiting;
        match self.plan.steps[step].gate {
            Gate::Rated(timeout) if now < self.due => Action::Await {
                step,
                until: (now + timeout).min(self.due),
            },
            _ => self.deliver(step),
        }
    }

    /// The rating of `step` arrived, possibly after its time-out. An adequate answer whose rating was late is still
    /// delivered if a later step has not been.
    pub fn rated(&mut self, step: usize, verdict: Verdict, now: Duration) -> Action {
        if self.delivered.is_some() {
            return Action::Wait;
        }
        if verdict == Verdict::Adequate {
            return self.deliver(step);
        }
        let waiting = self.held[step] == Held::Waiting;
        self.held[step] = Held::Rejected;
        if waiting { self.escalate(now) } else { Action::Wait }
    }

    /// The rating of `step` did not arrive in time.
    pub fn expired(&mut self, step: usize, now: Duration) -> Action {
        if self.delivered.is_some() || self.held[step] != Held::Waiting {
            return Action::Wait;
        }
        self.held[step] = Held::Unrated;
        self.escalate(now)
    }

    /// `step` failed without an answer, at a cost of `cost`.
    pub fn failed(&mut self, step: usize, cost: Cost, now: Duration) -> Action {
        self.costs[step] = cost;
        if self.delivered.is_some() || self.held[step] != Held::Running {
            return Action::Wait;
        }
        self.held[step] = Held::Failed;
        self.escalate(now)
    }

    /// Records what a cancelled step cost.
    pub fn cancelled(&mut self, step: usize, cost: Cost) {
        self.costs[step] = cost;
    }

    /// Step whose answer was delivered.
    pub fn delivered(&self) -> Option<usize> {
        self.delivered
    }

    /// Costs so far.
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

    /// Starts the next step if it can answer in time, else delivers the best answer at hand.
    fn escalate(&mut self, now: Duration) -> Action {
        let next = self.held.len();
        if let Some(step) = self.plan.steps.get(next)
            && now + step.latency <= self.due
        {
            self.held.push(Held::Running);
            return Action::Start(next);
        }
        // The latest unrated answer is of the best version; a rejected one is still better than none.
        let find = |state| self.held.iter().rposition(|it| *it == state);
        match find(Held::Unrated).or(find(Held::Rejected)) {
            Some(step) => self.deliver(step),
            None => Action::Fail,
        }
    }
}
