//! One node: what it knows about the engines, and the permits that it issues.

use std::collections::HashMap;
use std::time::Duration;

use forward::BootTime;
use forward::directory::Engine;
use forward::permit::{Decision, Fleet, Issuer, Permits};
use forward::request_limit::Rate;
use forward::statement::{Access, Statements};
use forward::warm_up::{Allowance, Terms};

use super::simulation::{Limit, Trial};
use super::{COLD_RATE, COLD_TIME};

/// Time in which a node raises the share of an engine that it has just listed, with [`Limit::Ramp`].
const RAMP: Duration = Duration::from_secs(10);

#[derive(Debug)]
pub(super) struct Node {
    pub statements: Statements,
    /// Entry of each engine as this node read it, and when it first read this run.
    pub listed: HashMap<usize, (Engine, BootTime)>,
    issuer: Issuer,
}

/// The issuer's answer to a query.
#[derive(Debug, Clone, Copy)]
pub(super) struct Issued {
    pub decision: Decision,
    pub rate: Option<Rate>,
    pub is_over: bool,
}

impl Node {
    pub(super) fn new(limit: Limit) -> Self {
        let mut statements = Statements::default();
        let terms = Terms {
            cold_time: COLD_TIME,
            cold_rate: Some(COLD_RATE),
        };
        if limit == Limit::Product {
            statements.warm_ups.configure([("pool".into(), terms)].into());
        }
        Self {
            statements,
            listed: HashMap::new(),
            issuer: Issuer::new(BootTime::ZERO),
        }
    }

    /// Whether a request that may ask for a permit if `may_ask` can go to an engine.
    pub(super) fn is_usable(&self, engine: usize, may_ask: bool, now: BootTime) -> bool {
        let access = |it: &(Engine, BootTime)| self.statements.access(&it.0, now);
        match self.listed.get(&engine).map(access) {
            Some(Access::Open) => true,
            Some(Access::Limited(wait)) => may_ask && wait.is_zero(),
            _ => false,
        }
    }

    /// Share of its requests that an engine gets with [`Limit::Ramp`]; all if it has run from the beginning.
    pub(super) fn ramp(&self, engine: usize, now: BootTime) -> f64 {
        let since = self.listed.get(&engine).map(|it| it.1);
        match since.filter(|it| !it.is_zero()) {
            Some(since) => ((now - since).as_secs_f64() / RAMP.as_secs_f64()).min(1.0),
            None => 1.0,
        }
    }

    /// Begins the wait before the first permit of engines of which this node is the issuer.
    pub(super) fn prepare(&mut self, is_issuer: impl Fn(&str) -> bool, now: BootTime) {
        for report in self.statements.warm_ups.reports(now) {
            if is_issuer(&report.engine) {
                self.issuer.prepare(&report.engine, report.since, now);
            }
        }
    }

    /// Decides about a query for a permit, as `entry::permit` does.
    pub(super) fn issue(&mut self, engine: &str, max_wait: Duration, trial: &Trial, now: BootTime) -> Issued {
        let engines = self.listed.len().max(1);
        let share = trial.nodes as f64 / engines as f64;
        let warm_ups = &mut self.statements.warm_ups;
        let since = warm_ups.report(engine, now).map_or(Duration::ZERO, |it| it.since);
        let (decision, rate) = match warm_ups.allowance(engine, |own| own * share, now) {
            Some(Allowance::Rate(rate)) => {
                let rate = rate * Fleet::default().share(trial.nodes, trial.nodes, now);
                let decision = self.issuer.request(&engine.into(), rate, since, max_wait, now);
                (decision, Some(rate))
            }
            Some(Allowance::Over) => {
                return Issued {
                    decision: Decision::Granted(Duration::ZERO),
                    rate: None,
                    is_over: true,
                };
            }
            None => (Decision::Denied(Permits::NO_ISSUER_BACKOFF), None),
        };
        Issued {
            decision,
            rate,
            is_over: false,
        }
    }
}
