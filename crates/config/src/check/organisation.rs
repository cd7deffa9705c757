//! Rules for organisations.

use std::collections::HashMap;

use model::object::{Key, Kind, Organisation};
use model::{Name, Object};

use super::{Checker, Problem, WEIGHTS};
use crate::view::parse_key_hash;

pub fn check(checker: &mut Checker<'_>, key: &Key, organisation: &Organisation) {
    let lists = [
        (Kind::Model, &organisation.models),
        (Kind::Version, &organisation.versions),
        (Kind::Cascade, &organisation.cascades),
        (Kind::Service, &organisation.services),
    ];
    for (kind, names) in lists {
        for name in names {
            checker.require(key, kind, name);
        }
    }
    if !WEIGHTS.contains(&organisation.weight) {
        checker.report(key.clone(), Problem::Weight(organisation.weight));
    }
    if organisation.quality_permille > 1000 {
        checker.report(key.clone(), Problem::Quality(organisation.quality_permille));
    }
    for hash in &organisation.key_hashes {
        if parse_key_hash(hash).is_none() {
            checker.report(key.clone(), Problem::KeyHash(hash.clone()));
        }
    }
}

/// Reports bearer keys that two organisations use, at the later organisation by name.
pub fn check_shared_keys(checker: &mut Checker<'_>) {
    let mut owners = HashMap::<[u8; 32], Name>::new();
    let mut shared = Vec::new();
    for (key, object) in &checker.objects {
        let Object::Organisation(organisation) = object else {
            continue;
        };
        for hash in organisation.key_hashes.iter().filter_map(|it| parse_key_hash(it)) {
            let owner = owners.entry(hash).or_insert_with(|| organisation.name.clone());
            if *owner != organisation.name {
                shared.push((key.clone(), Problem::SharedKey(owner.clone())));
            }
        }
    }
    for (key, problem) in shared {
        checker.report(key, problem);
    }
}
