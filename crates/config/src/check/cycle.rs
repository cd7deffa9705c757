//! Detection of cycles among cascades.

use std::collections::{BTreeMap, BTreeSet};

use model::object::cascade::Target;
use model::object::{Key, Kind};
use model::{Name, Object};

/// Keys of all cascades that are on a cycle or lead to one.
///
/// Removes cascades without unresolved steps until none is left (Kahn's algorithm). Recursion is avoided
/// because its depth would depend on an operator's input.
pub fn find(objects: &BTreeMap<Key, &Object>) -> Vec<Key> {
    let mut unresolved = BTreeMap::<&Name, BTreeSet<&Name>>::new();
    let mut users = BTreeMap::<&Name, Vec<&Name>>::new();
    for object in objects.values() {
        let Object::Cascade(cascade) = object else {
            continue;
        };
        let steps: BTreeSet<_> = cascade.steps.iter().filter_map(nested).collect();
        for step in &steps {
            users.entry(step).or_default().push(&cascade.name);
        }
        unresolved.insert(&cascade.name, steps);
    }
    let known: BTreeSet<_> = unresolved.keys().copied().collect();
    unresolved
        .values_mut()
        .for_each(|it| it.retain(|step| known.contains(step)));
    let mut ready: Vec<_> = unresolved
        .iter()
        .filter(|it| it.1.is_empty())
        .map(|it| *it.0)
        .collect();
    while let Some(name) = ready.pop() {
        unresolved.remove(name);
        for user in users.get(name).into_iter().flatten() {
            let Some(steps) = unresolved.get_mut(user) else {
                continue;
            };
            if steps.remove(name) && steps.is_empty() {
                ready.push(user);
            }
        }
    }
    unresolved
        .into_keys()
        .map(|it| Key::new(Kind::Cascade, it.clone()))
        .collect()
}

fn nested(step: &Target) -> Option<&Name> {
    match step {
        Target::Cascade(name) => Some(name),
        Target::Model(_) | Target::Version(_) => None,
    }
}
