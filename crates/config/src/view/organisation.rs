//! Permissions of an organisation.

use std::collections::{HashMap, HashSet};
use std::sync::Arc;

use model::Name;
use model::object::{Organisation, Version};

/// An organisation with an index of its permissions.
#[derive(Debug)]
pub struct OrganisationView {
    /// The configuration object.
    pub organisation: Organisation,
    /// Bit set of the allowed versions, by index in the view.
    versions: Box<[u64]>,
    cascades: HashSet<Name>,
    services: HashSet<Name>,
}

/// Indices of the versions of each model.
pub(super) fn versions_by_model(versions: &[Arc<Version>]) -> HashMap<Name, Vec<usize>> {
    let mut by_model = HashMap::<_, Vec<_>>::new();
    for (index, version) in versions.iter().enumerate() {
        by_model.entry(version.model.clone()).or_default().push(index);
    }
    by_model
}

impl OrganisationView {
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
        let of_models = models.flatten().copied();
        for index in single.chain(of_models) {
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

    /// Whether the cascade may be requested. Each of its versions needs permission as well.
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
