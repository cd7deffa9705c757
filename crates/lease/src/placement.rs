//! Which engine of a pool should have which versions loaded.

use std::collections::{BTreeMap, BTreeSet};

use model::{Name, Upstream, hash};

/// A version to place.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Demand {
    /// Version.
    pub version: Name,
    /// Number of engines that should have it, at least one.
    pub replicas: usize,
}

/// Wanted versions of each engine.
pub type Placement = BTreeMap<Upstream, BTreeSet<Name>>;

/// Places each version on the engines of highest rendezvous weight that have a free slot.
///
/// The result depends on the arguments only, so that successive holders order the same, and a change of one engine
/// or version moves little. Demands come first in the order given; a version that finds no free slot is left out.
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
