//! Deterministic subsetting: the engines that a node uses.
//!
//! Each node uses at most a fixed number of engines. All nodes compute the same assignment from the same
//! lists. Half of a node's subset comes from its own failure domain and the rest from the other domains in
//! turn. Within a domain a node is assigned the engines used by the fewest preceding nodes, with ties broken
//! by rendezvous hashing, so that all engines are covered evenly and a change of the lists moves few
//! assignments.

use model::{Domain, Name, Upstream, hash};

#[cfg(test)]
mod tests;

/// A node or an engine and the failure domain that it belongs to.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DomainMember<N = Upstream> {
    /// Name of the node or engine.
    pub name: N,
    /// Failure domain that contains it.
    pub domain: Domain,
}

/// Returns the indices in `engines` of the subset of `node`, or all engines if there are at most `size`.
///
/// `nodes` should contain `node`; otherwise it is assigned last. The time is proportional to nodes times
/// engines, so this runs only when the lists change and outside the pool's lock.
pub fn subset(
    node: &DomainMember<Name>,
    nodes: &[DomainMember<Name>],
    engines: &[DomainMember],
    size: usize,
) -> Vec<usize> {
    if engines.len() <= size {
        return (0..engines.len()).collect();
    }
    let mut order: Vec<&DomainMember<Name>> = nodes.iter().filter(|it| it.name != node.name).collect();
    order.push(node);
    order.sort_by_key(|it| (hash::stable(it.name.as_bytes()), it.name.clone()));
    let domains = domains(engines);
    let hashes: Vec<u64> = engines
        .iter()
        .map(|it| hash::stable(it.name.as_bytes()))
        .collect();
    let mut assignment = Assignment {
        domains: &domains,
        hashes: &hashes,
        use_counts: vec![0; engines.len()],
    };
    for (rank, it) in order.into_iter().enumerate() {
        let taken = assignment.assign(it, rank, size);
        if it.name == node.name {
            return taken;
        }
    }
    Vec::new()
}

struct Assignment<'a> {
    domains: &'a [(Domain, Vec<usize>)],
    hashes: &'a [u64],
    use_counts: Vec<u32>,
}

impl Assignment<'_> {
    fn assign(&mut self, node: &DomainMember<Name>, rank: usize, size: usize) -> Vec<usize> {
        let key = hash::stable(node.name.as_bytes());
        let mut taken = Vec::with_capacity(size);
        for (idx, quota) in self.quotas(node, rank, size).into_iter().enumerate() {
            self.assign_from_domain(idx, key, quota, &mut taken);
        }
        taken
    }

    /// Number of engines from each domain: half from the node's own domain, the rest from the other domains
    /// in turn. The starting domain differs between nodes.
    fn quotas(&self, node: &DomainMember<Name>, rank: usize, size: usize) -> Vec<usize> {
        let own = self.domains.iter().position(|it| it.0 == node.domain);
        let mut quotas = vec![0; self.domains.len()];
        let mut left = size;
        if let Some(own) = own {
            quotas[own] = self.domains[own].1.len().min(size / 2);
            left -= quotas[own];
        }
        let mut turn = rank;
        while left > 0 {
            let idx = turn % self.domains.len();
            turn += 1;
            let has_capacity = quotas[idx] < self.domains[idx].1.len();
            let is_own_of_many = Some(idx) == own && self.domains.len() > 1;
            let others_full =
                || (0..quotas.len()).all(|it| Some(it) == own || quotas[it] == self.domains[it].1.len());
            if has_capacity && (!is_own_of_many || others_full()) {
                quotas[idx] += 1;
                left -= 1;
            }
        }
        quotas
    }

    /// Assigns the engines used by the fewest nodes so far; ties are broken by the hash of node and engine.
    fn assign_from_domain(&mut self, domain: usize, key: u64, quota: usize, taken: &mut Vec<usize>) {
        let mut ranked: Vec<_> = self.domains[domain]
            .1
            .iter()
            .map(|idx| (self.use_counts[*idx], splitmix64(self.hashes[*idx] ^ key), *idx))
            .collect();
        if quota < ranked.len() {
            ranked.select_nth_unstable(quota);
            ranked.truncate(quota);
        }
        for (_, _, idx) in ranked {
            self.use_counts[idx] += 1;
            taken.push(idx);
        }
    }
}

fn domains(engines: &[DomainMember]) -> Vec<(Domain, Vec<usize>)> {
    let mut domains: std::collections::BTreeMap<Domain, Vec<usize>> = std::collections::BTreeMap::new();
    for (idx, it) in engines.iter().enumerate() {
        domains.entry(it.domain.clone()).or_default().push(idx);
    }
    domains.into_iter().collect()
}

/// Finaliser of SplitMix64, which distributes 64-bit values evenly.
pub(crate) fn splitmix64(value: u64) -> u64 {
    let value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}
