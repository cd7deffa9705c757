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

impl Tenant {
    pub(super) fn new(
        organisation: &Organisation,
        versions: &[Arc<Version>],
        index: &HashMap<Name, usize>,
    ) -> Self {
        let mut bits = vec![0; versions.len().div_ceil(64)].into_boxed_slice();
        let single = organisation
            .versions
            .iter()
            .filter_map(|it| index.get(it).copied());
        let models: HashSet<_> = organisation.models.iter().collect();
        let whole = (0..versions.len()).filter(|it| models.contains(&versions[*it].model));
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
