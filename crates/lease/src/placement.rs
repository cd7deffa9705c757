//! Assignment of model versions to the engines of a pool.

use std::collections::{BTreeMap, BTreeSet};

use model::{Name, Upstream, hash};

/// A version to place.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Demand {
    /// Name of the version.
    pub version: Name,
    /// Number of engines that should have the version loaded; zero counts as one.
    pub replicas: usize,
}

/// Versions that each engine should have loaded.
pub type Placement = BTreeMap<Upstream, BTreeSet<Name>>;

/// Places each version on the engines with a free slot that rank highest by rendezvous hashing.
///
/// The result depends on the arguments only, so that successive holders order the same, and a change of one
/// engine or version moves few others. Earlier demands take precedence; a version without a free slot is not
/// placed.
pub fn place(engines: &BTreeSet<Upstream>, demands: &[Demand], slots: usize) -> Placement {
    let mut placement: Placement = engines.iter().map(|it| (it.clone(), BTreeSet::new())).collect();
    for demand in demands {
        let free = placement.iter().filter(|it| it.1.len() < slots).map(|it| &**it.0);
        let chosen: Vec<_> = hash::highest(&demand.version, free, demand.replicas.max(1))
            .into_iter()
            .map(Upstream::from)
            .collect();
        for engine in chosen {
            placement
                .entry(engine)
                .or_default()
                .insert(demand.version.clone());
        }
    }
    placement
}
