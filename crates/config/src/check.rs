//! Validation of a configuration as a whole.
//!
//! [`check()`] returns every error, so that an operator can correct all of them at once. All nodes must come
//! to the same result, so it depends on the objects only. If an object is deleted while others still refer to
//! it, each of those is reported with a missing reference.

use std::collections::{BTreeMap, HashMap};

use model::object::{Cascade, Key, Kind, Model, Organisation, Pool, Service, Version, pool};
use model::{Name, Object};

mod cycle;
mod error;
mod organisation;
mod rollout;
#[cfg(test)]
mod tests;

pub use error::{Problem, ValidationError};

/// Maximum length of a name in bytes.
pub const MAX_NAME_LEN: usize = 64;

/// Valid weights of an organisation.
pub const WEIGHT_RANGE: std::ops::RangeInclusive<u32> = 1..=1000;

/// Valid initial concurrency limits of a pool.
pub const CONCURRENCY_RANGE: std::ops::RangeInclusive<u32> = 1..=10_000;

/// Returns all errors of a configuration in a fixed order; an empty list means that it is valid.
pub fn check<'a>(objects: impl IntoIterator<Item = &'a Object>) -> Vec<ValidationError> {
    let mut checker = Checker::default();
    for object in objects {
        checker.add(object);
    }
    checker.run()
}

#[derive(Debug, Default)]
struct Checker<'a> {
    objects: BTreeMap<Key, &'a Object>,
    /// The same objects in a hash map, because every organisation needs many lookups.
    index: HashMap<(Kind, &'a str), &'a Object>,
    errors: Vec<ValidationError>,
}

impl<'a> Checker<'a> {
    fn add(&mut self, object: &'a Object) {
        let key = object.key();
        self.index.insert((key.kind, name(object)), object);
        if self.objects.insert(key.clone(), object).is_some() {
            self.report(key, Problem::Duplicate);
        }
    }

    fn run(mut self) -> Vec<ValidationError> {
        let objects: Vec<_> = self
            .objects
            .iter()
            .map(|(key, object)| (key.clone(), *object))
            .collect();
        for (key, object) in &objects {
            self.check_name(key);
            match object {
                Object::Organisation(it) => self.check_organisation(key, it),
                Object::Model(it) => self.check_model(key, it),
                Object::Version(it) => self.check_version(key, it),
                Object::Cascade(it) => self.check_cascade(key, it),
                Object::Rollout(it) => self.check_rollout(key, it),
                Object::Pool(it) => self.check_pool(key, it),
                Object::Service(it) => self.check_service(key, it),
            }
        }
        self.check_shared_keys();
        self.check_running_rollouts();
        self.check_cycles();
        self.errors
    }

    fn report(&mut self, object: Key, problem: Problem) {
        self.errors.push(ValidationError { object, problem });
    }

    fn find(&self, kind: Kind, name: &Name) -> Option<&'a Object> {
        self.index.get(&(kind, &**name)).copied()
    }

    fn version(&self, name: &Name) -> Option<&'a Version> {
        match self.find(Kind::Version, name) {
            Some(Object::Version(it)) => Some(it),
            _ => None,
        }
    }

    fn require(&mut self, object: &Key, kind: Kind, name: &Name) {
        if self.find(kind, name).is_none() {
            self.report(
                object.clone(),
                Problem::MissingReference(Key::new(kind, name.clone())),
            );
        }
    }

    /// Reports a version that is absent or belongs to another model.
    fn require_version(&mut self, object: &Key, name: &Name, model: &Name) {
        let Some(version) = self.version(name) else {
            self.report(
                object.clone(),
                Problem::MissingReference(Key::new(Kind::Version, name.clone())),
            );
            return;
        };
        if version.model != *model {
            self.report(object.clone(), Problem::WrongModel(name.clone()));
        }
    }

    fn check_name(&mut self, key: &Key) {
        if !is_name(&key.name) {
            self.report(key.clone(), Problem::InvalidName);
        }
        // Callers request models, versions and cascades by name only, so a name must be unique across these
        // kinds.
        let conflicting: &[Kind] = match key.kind {
            Kind::Version => &[Kind::Model],
            Kind::Cascade => &[Kind::Model, Kind::Version],
            _ => &[],
        };
        for kind in conflicting {
            if self.find(*kind, &key.name).is_some() {
                self.report(key.clone(), Problem::Ambiguous(*kind));
            }
        }
    }

    fn check_model(&mut self, key: &Key, model: &Model) {
        self.require_version(key, &model.default_version, &model.name);
        if self.version(&model.default_version).is_some_and(is_withdrawn) {
            self.report(key.clone(), Problem::Withdrawn(model.default_version.clone()));
        }
    }

    fn check_version(&mut self, key: &Key, version: &Version) {
        self.require(key, Kind::Model, &version.model);
        self.require_pool(key, &version.pool, pool::Role::Engine);
    }

    fn require_pool(&mut self, object: &Key, name: &Name, role: pool::Role) {
        match self.find(Kind::Pool, name) {
            Some(Object::Pool(it)) if it.role == role => {}
            Some(_) => self.report(object.clone(), Problem::WrongPoolRole(name.clone())),
            None => self.require(object, Kind::Pool, name),
        }
    }

    fn check_cascade(&mut self, key: &Key, cascade: &Cascade) {
        use model::object::cascade::Target;

        if cascade.steps.is_empty() {
            self.report(key.clone(), Problem::EmptyCascade);
        }
        for step in &cascade.steps {
            match step {
                Target::Model(name) => self.require(key, Kind::Model, name),
                Target::Version(name) => self.require(key, Kind::Version, name),
                Target::Cascade(name) => self.require(key, Kind::Cascade, name),
            }
        }
    }

    fn check_pool(&mut self, key: &Key, pool: &Pool) {
        if !CONCURRENCY_RANGE.contains(&pool.concurrency) {
            self.report(key.clone(), Problem::ConcurrencyOutOfRange(pool.concurrency));
        }
    }

    fn check_service(&mut self, key: &Key, service: &Service) {
        self.require_pool(key, &service.pool, pool::Role::Service);
        for (index, call) in service.calls.iter().enumerate() {
            let method = &call.method;
            if method.is_empty() || !method.bytes().all(|it| it.is_ascii_uppercase()) {
                self.report(key.clone(), Problem::InvalidMethod(method.clone()));
            }
            if !call.path.starts_with('/') {
                self.report(key.clone(), Problem::InvalidPath(call.path.clone()));
            }
            let same = |it: &model::object::service::Call| it.method == *method && it.path == call.path;
            if service.calls.iter().take(index).any(same) {
                self.report(
                    key.clone(),
                    Problem::DuplicateCall(format!("{method} {}", call.path)),
                );
            }
        }
    }

    fn check_organisation(&mut self, key: &Key, organisation: &Organisation) {
        organisation::check(self, key, organisation);
    }

    fn check_rollout(&mut self, key: &Key, rollout: &model::object::Rollout) {
        rollout::check(self, key, rollout);
    }

    fn check_shared_keys(&mut self) {
        organisation::check_shared_keys(self);
    }

    fn check_running_rollouts(&mut self) {
        rollout::check_single_running(self);
    }

    fn check_cycles(&mut self) {
        for key in cycle::find(&self.objects) {
            self.report(key, Problem::Cycle);
        }
    }
}

/// Whether `text` is a valid name: 1 to [`MAX_NAME_LEN`] ASCII letters, digits, `.`, `_` or `-`, starting
/// with a letter or digit.
pub fn is_name(text: &str) -> bool {
    let valid = |it: u8| it.is_ascii_alphanumeric() || matches!(it, b'.' | b'_' | b'-');
    text.len() <= MAX_NAME_LEN
        && text.bytes().all(valid)
        && text.bytes().next().is_some_and(|it| it.is_ascii_alphanumeric())
}

fn name(object: &Object) -> &Name {
    match object {
        Object::Organisation(it) => &it.name,
        Object::Model(it) => &it.name,
        Object::Version(it) => &it.name,
        Object::Cascade(it) => &it.name,
        Object::Rollout(it) => &it.name,
        Object::Pool(it) => &it.name,
        Object::Service(it) => &it.name,
    }
}

fn is_withdrawn(version: &Version) -> bool {
    version.state == model::object::version::State::Withdrawn
}
