//! State of one pool at the target's number of engines.

use std::time::Duration;

use policy::affinity::{Change, Event, PrefixIndex};
use policy::pool::{Host, HostState, Pool, Settings};
use policy::subsetting::DomainMember;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use super::measure::{bytes_per_unit, seconds_per_unit};
use super::{ENGINES, Line, NODES, Resource};

const MECHANISM: &str = "engine subset";
const DOMAINS: usize = 13;
const ROUNDS: usize = 3;

/// Odd factor that spreads numbers over all hashes.
const HASH_STEP: u64 = 0x9E37_79B9_7F4A_7C15;

/// Pools that a node uses.
const POOLS: usize = 10;

/// Engines and nodes that fail, leave or come in a day, each of which changes the lists: 58 and 360 nodes, and as
/// many in proportion of the engines' hosts.
const LIST_CHANGES_PER_SECOND: f64 = (58.0 + 360.0) * (1.0 + ENGINES as f64 / NODES as f64) / 86_400.0;

/// Memory of the host list.
pub fn list_memory() -> Line {
    Line::control(
        MECHANISM,
        Resource::Memory,
        bytes_per_unit(ENGINES, hosts),
        "engine in the host list",
        ENGINES as f64,
    )
}

/// Memory of the pool, which does not depend on the number of engines.
pub fn pool_memory() -> Line {
    let (engines, nodes) = (hosts(), places());
    let state = bytes_per_unit(POOLS, || {
        let filled = || {
            let pool = pool();
            pool.update_hosts(&engines, &nodes, Duration::ZERO, &mut SmallRng::seed_from_u64(1));
            pool
        };
        (0..POOLS).map(|_| filled()).collect::<Vec<_>>()
    });
    Line::control(
        MECHANISM,
        Resource::Memory,
        state,
        "pool of 40 engines",
        POOLS as f64,
    )
}

/// Memory of the index of cached prefixes, filled to the bound of the node.
pub fn index_memory() -> Line {
    let blocks = node::INDEX_BLOCKS;
    let memory = bytes_per_unit(blocks, || {
        let mut index = PrefixIndex::new(blocks);
        for sequence in 0..blocks as u64 {
            let block = sequence.wrapping_mul(HASH_STEP);
            index.apply(
                0,
                &[Event {
                    sequence,
                    block,
                    change: Change::Stored,
                }],
            );
        }
        index
    });
    Line::control(
        MECHANISM,
        Resource::Memory,
        memory,
        "prefix block indexed",
        blocks as f64,
    )
}

/// Time of a change of the lists.
pub fn time() -> Line {
    let (engines, nodes) = (hosts(), places());
    let change = seconds_per_unit(
        ROUNDS,
        || (pool(), SmallRng::seed_from_u64(1)),
        |(pool, rng)| {
            for round in 0..ROUNDS {
                pool.update_hosts(&engines, &nodes, Duration::from_secs(round as u64), rng);
            }
        },
    );
    Line::control(
        MECHANISM,
        Resource::Cpu,
        change,
        "change of the lists",
        LIST_CHANGES_PER_SECOND,
    )
}

fn pool() -> Pool {
    let node = DomainMember {
        name: "node-0".into(),
        domain: "domain-0".into(),
    };
    Pool::new(Settings::default(), node)
}

fn hosts() -> Vec<Host> {
    let host = |idx: usize| Host {
        name: format!("engine-{idx}").into(),
        domain: format!("domain-{}", idx % DOMAINS).into(),
        state: HostState::Live,
    };
    (0..ENGINES).map(host).collect()
}

fn places() -> Vec<DomainMember<model::Name>> {
    let place = |idx: usize| DomainMember {
        name: format!("node-{idx}").into(),
        domain: format!("domain-{}", idx % DOMAINS).into(),
    };
    (0..NODES).map(place).collect()
}
