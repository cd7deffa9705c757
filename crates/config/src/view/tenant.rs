//! An organisation with its permissions.

use std::collections::{HashMap, HashSet};
use std::sync::Arc;

use model::Name;
use model::object::{Organisation, Version};

/// An organisation, prepared for lookups of its permissions.
#[derive(Debug)]
pub struct Tenant {
    /// The object.
    pub organisation: Organisation,
    /// One bit per version of the view.
    versions: Box<[u64]>,
    cascades: HashSet<Name>,
    services: HashSet<Name>,
}

/// Positions of the versions of each model.
pub(super) fn versions_by_model(versions: &[Arc<Version>]) -> HashMap<Name, Vec<usize>> {
    let mut by_model = HashMap::<_, Vec<_>>::new();
    for (index, version) in versions.iter().enumerate() {
        by_model.entry(version.model.clone()).or_default().push(index);
    }
    by_model
}

impl Tenant {
    pub(super) fn new(
        organisation: &Organisation,
        index: &HashMap<Name, usize>,
        by_model: &HashMap<Name, Vec<usize>>,
    ) -> Self {
        let mut bits = vec![0; index.len().div_ceil(64)].into_boxed_slice();
        let single = organisation
            .versions
            .iter()
            .filter_map(|it| index.get(it).copied());
        let models = organisation.models.iter().filter_map(|it| by_model.get(it));
        let whole = models.flatten().copied();
        for index in single.chain(whole) {
            bits[index / 64] |= 1_u64 << (index % 64);
        }
        Self {
            organisation: organisation.clone(),
            versions: bits,
            cascades: organisation.cascades.iter().cloned().collect(),
            services: organisation.services.iter().cloned().collect(),
        }
    }

    /// Name of the organisation.
    pub fn name(&self) -> &Name {
        &self.organisation.name
    }

    /// Whether the cascade may be requested; its versions need permission besides.
    pub fn allows_cascade(&self, name: &str) -> bool {
        self.cascades.contains(name)
    }

    /// Whether the service may be called.
    pub fn allows_service(&self, name: &str) -> bool {
        self.services.contains(name)
    }

    pub(super) fn allows_index(&self, index: usize) -> bool {
        self.versions
            .get(index / 64)
            .is_some_and(|it| it >> (index % 64) & 1 == 1)
    }
}
