//! Validation of organisations.

use std::collections::HashMap;

use model::object::{Key, Kind, Organisation};
use model::{Name, Object};

use super::{Checker, Problem, WEIGHT_RANGE};
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
    if !WEIGHT_RANGE.contains(&organisation.weight) {
        checker.report(key.clone(), Problem::WeightOutOfRange(organisation.weight));
    }
    if organisation.quality_permille > 1000 {
        checker.report(
            key.clone(),
            Problem::QualityOutOfRange(organisation.quality_permille),
        );
    }
    for hash in &organisation.key_hashes {
        if parse_key_hash(hash).is_none() {
            checker.report(key.clone(), Problem::InvalidKeyHash(hash.clone()));
        }
    }
}

/// Reports bearer keys shared by organisations; the error is attached to every owner but the first by name.
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
