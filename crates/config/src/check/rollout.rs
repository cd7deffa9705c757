//! Validation of roll-outs.
//!
//! Only a running roll-out must start from the default version and lead to a live one, so that a halted
//! roll-out may stay in the configuration after its target is withdrawn.

use std::collections::BTreeMap;

use model::object::rollout::State;
use model::object::{Key, Kind, Rollout};
use model::{Name, Object};

use super::{Checker, Problem, is_withdrawn};

pub fn check(checker: &mut Checker<'_>, key: &Key, rollout: &Rollout) {
    checker.require(key, Kind::Model, &rollout.model);
    checker.require_version(key, &rollout.from, &rollout.model);
    checker.require_version(key, &rollout.to, &rollout.model);
    if rollout.from == rollout.to {
        checker.report(key.clone(), Problem::SameVersion);
    }
    if !are_valid_stages(&rollout.stages) {
        checker.report(key.clone(), Problem::InvalidStages);
    }
    if usize::from(rollout.stage) >= rollout.stages.len() {
        checker.report(key.clone(), Problem::StageOutOfRange(rollout.stage));
    }
    if rollout.exposure_budget == 0 {
        checker.report(key.clone(), Problem::ExposureBudget);
    }
    if rollout.state == State::Running {
        check_running(checker, key, rollout);
    }
}

/// Reports every running roll-out of a model other than the first one by name.
pub fn check_single_running(checker: &mut Checker<'_>) {
    let mut running = BTreeMap::<&Name, &Name>::new();
    let mut errors = Vec::new();
    for (key, object) in &checker.objects {
        let Object::Rollout(rollout) = object else {
            continue;
        };
        if rollout.state != State::Running {
            continue;
        }
        let first = running.entry(&rollout.model).or_insert(&rollout.name);
        if **first != rollout.name {
            errors.push((key.clone(), Problem::SecondRollout((*first).clone())));
        }
    }
    for (key, problem) in errors {
        checker.report(key, problem);
    }
}

fn are_valid_stages(stages: &[u16]) -> bool {
    let first = stages.first().is_some_and(|it| *it > 0);
    first && stages.is_sorted_by(|a, b| a < b) && stages.last() == Some(&1000)
}

fn check_running(checker: &mut Checker<'_>, key: &Key, rollout: &Rollout) {
    if checker.version(&rollout.to).is_some_and(is_withdrawn) {
        checker.report(key.clone(), Problem::Withdrawn(rollout.to.clone()));
    }
    let Some(Object::Model(model)) = checker.find(Kind::Model, &rollout.model) else {
        return;
    };
    if model.default_version != rollout.from {
        checker.report(key.clone(), Problem::NotDefault(rollout.from.clone()));
    }
}
