//! Expansion of nested cascades.

use std::collections::{HashMap, HashSet};

use model::Name;
use model::object::cascade::Target;

use super::{Step, View};

/// Steps of every cascade in depth-first order; of duplicate steps the first one is kept.
///
/// Each expansion visits a cascade at most once, which bounds the work and guarantees termination on cycles.
pub fn expand(view: &View) -> HashMap<Name, Vec<Step>> {
    view.cascades
        .keys()
        .map(|it| (it.clone(), steps(view, it)))
        .collect()
}

fn steps(view: &View, name: &Name) -> Vec<Step> {
    let mut steps = Vec::new();
    let mut seen_steps = HashSet::new();
    let mut seen_cascades = HashSet::from([name]);
    let mut stack: Vec<&Target> = targets(view, name).rev().collect();
    while let Some(target) = stack.pop() {
        let step = match target {
            Target::Cascade(nested) => {
                if seen_cascades.insert(nested) {
                    stack.extend(targets(view, nested).rev());
                }
                continue;
            }
            Target::Model(model) => view.models.get(model).map(|it| &it.default_version),
            Target::Version(version) => Some(version),
        };
        let Some(index) = step.and_then(|it| view.version_index.get(it).copied()) else {
            continue;
        };
        let step = match target {
            Target::Model(_) => Step::Model(index),
            _ => Step::Version(index),
        };
        if seen_steps.insert(index) {
            steps.push(step);
        }
    }
    steps
}

fn targets<'a>(view: &'a View, name: &Name) -> impl DoubleEndedIterator<Item = &'a Target> {
    view.cascades.get(name).into_iter().flat_map(|it| &it.steps)
}
