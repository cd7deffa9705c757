//! Tests of the subset assignment.

use super::*;

const SIZE: usize = 40;

fn members(prefix: &str, count: usize, domains: usize) -> Vec<DomainMember> {
    let member = |idx: usize| DomainMember {
        name: format!("{prefix}{idx}").into(),
        domain: format!("d{}", idx % domains).into(),
    };
    (0..count).map(member).collect()
}

fn subsets(nodes: &[DomainMember], engines: &[DomainMember]) -> Vec<Vec<usize>> {
    let mut subsets: Vec<_> = nodes.iter().map(|it| subset(it, nodes, engines, SIZE)).collect();
    subsets.iter_mut().for_each(|it| it.sort_unstable());
    subsets
}

/// Guards against engines that few or no nodes use while others are used by many.
#[test]
fn subsets_cover_all_engines_evenly() {
    let nodes = members("n", 68, 13);
    let engines = members("e", 1360, 13);
    let mut use_counts = vec![0; engines.len()];
    for subset in subsets(&nodes, &engines) {
        assert_eq!(subset.len(), SIZE);
        subset.iter().for_each(|it| use_counts[*it] += 1);
    }
    let (least, most) = (use_counts.iter().min().copied(), use_counts.iter().max().copied());
    assert!(least >= Some(1) && most <= Some(3), "{least:?} to {most:?}");
}

/// Guards against a subset in one failure domain, and against one without engines of its own domain.
#[test]
fn subset_spreads_over_domains() {
    let nodes = members("n", 20, 13);
    let engines = members("e", 1360, 13);
    let domain = |it: &usize| engines[*it].domain.clone();
    for (node, subset) in nodes.iter().zip(subsets(&nodes, &engines)) {
        let own = subset.iter().filter(|it| domain(it) == node.domain).count();
        let domains: std::collections::HashSet<Domain> = subset.iter().map(domain).collect();
        assert_eq!((own, domains.len()), (SIZE / 2, 13));
    }
}

/// Guards against the loss of one node moving the subsets of all others, which would leave their caches
/// unused.
#[test]
fn loss_of_a_node_moves_few_assignments() {
    let nodes = members("n", 68, 13);
    let engines = members("e", 1360, 13);
    let before = subsets(&nodes, &engines);
    let after = subsets(&nodes[1..], &engines);
    let moved: usize = before[1..]
        .iter()
        .zip(&after)
        .map(|(before, after)| before.iter().filter(|it| !after.contains(it)).count())
        .sum();
    let share = moved as f64 / (67 * SIZE) as f64;
    assert!(share < 0.15, "{share}");
}

/// Guards against a pool smaller than the subset size in which some engines stay unused.
#[test]
fn small_pool_uses_all_engines() {
    let nodes = members("n", 8, 3);
    assert_eq!(subset(&nodes[0], &nodes, &members("e", 20, 3), SIZE).len(), 20);
}
