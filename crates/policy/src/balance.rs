//! Subset of engines for a node.
//!
//! Each node uses at most a fixed number of engines. All nodes compute the same assignment from the same lists: half
//! of a node's places go to engines of its own failure domain and the rest to the other domains in turn. Within a
//! domain a node takes the engines that the fewest nodes before it took, by rendezvous weight among equals, so that all
//! engines are covered evenly and a change of the lists moves few places.

use model::{Domain, Name, Upstream, hash};

#[cfg(test)]
mod tests;

/// A node or an engine with its failure domain.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Place<N = Upstream> {
    /// Name.
    pub name: N,
    /// Failure domain.
    pub domain: Domain,
}

/// Positions in `engines` of the subset of `node`; all engines if they fit into `size`.
///
/// `nodes` should contain `node`; otherwise it is served last. Takes time proportional to nodes times engines, so it
/// runs on list changes only and outside of the pool's lock.
pub fn subset(node: &Place<Name>, nodes: &[Place<Name>], engines: &[Place], size: usize) -> Vec<usize> {
    if engines.len() <= size {
        return (0..engines.len()).collect();
    }
    let mut order: Vec<&Place<Name>> = nodes.iter().filter(|it| it.name != node.name).collect();
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
        cover: vec![0; engines.len()],
    };
    for (rank, it) in order.into_iter().enumerate() {
        let taken = assignment.take(it, rank, size);
        if it.name == node.name {
            return taken;
        }
    }
    Vec::new()
}

struct Assignment<'a> {
    domains: &'a [(Domain, Vec<usize>)],
    hashes: &'a [u64],
    cover: Vec<u32>,
}

impl Assignment<'_> {
    fn take(&mut self, node: &Place<Name>, rank: usize, size: usize) -> Vec<usize> {
        let key = hash::stable(node.name.as_bytes());
        let mut taken = Vec::with_capacity(size);
        for (idx, quota) in self.quotas(node, rank, size).into_iter().enumerate() {
            self.take_from(idx, key, quota, &mut taken);
        }
        taken
    }

    /// Places for each domain: half for the own one, the rest in turn from a start that differs between nodes.
    fn quotas(&self, node: &Place<Name>, rank: usize, size: usize) -> Vec<usize> {
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
            let room = quotas[idx] < self.domains[idx].1.len();
            let is_own_of_many = Some(idx) == own && self.domains.len() > 1;
            let others_full =
                || (0..quotas.len()).all(|it| Some(it) == own || quotas[it] == self.domains[it].1.len());
            if room && (!is_own_of_many || others_full()) {
                quotas[idx] += 1;
                left -= 1;
            }
        }
        quotas
    }

    /// Takes the engines used by the fewest nodes so far, and among them those of highest weight.
    fn take_from(&mut self, domain: usize, key: u64, quota: usize, taken: &mut Vec<usize>) {
        let mut ranked: Vec<_> = self.domains[domain]
            .1
            .iter()
            .map(|idx| (self.cover[*idx], mix(self.hashes[*idx] ^ key), *idx))
            .collect();
        if quota < ranked.len() {
            ranked.select_nth_unstable(quota);
            ranked.truncate(quota);
        }
        for (_, _, idx) in ranked {
            self.cover[idx] += 1;
            taken.push(idx);
        }
    }
}

fn domains(engines: &[Place]) -> Vec<(Domain, Vec<usize>)> {
    let mut domains: std::collections::BTreeMap<Domain, Vec<usize>> = std::collections::BTreeMap::new();
    for (idx, it) in engines.iter().enumerate() {
        domains.entry(it.domain.clone()).or_default().push(idx);
    }
    domains.into_iter().collect()
}

/// Finaliser of SplitMix64: spreads a 64-bit value evenly.
pub(crate) fn mix(value: u64) -> u64 {
    let value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}
