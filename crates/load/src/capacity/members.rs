//! Membership of a settled fleet in virtual time, with datagrams that arrive at once.

use std::collections::HashMap;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::time::{Duration, Instant};

use membership::{
    Action, Addresses, Datagram, Event, Member, Readiness, Seed, Settings, State, Status, Table, Version,
};
use model::Incarnation;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use super::measure::bytes_per_unit;
use super::{Line, NODES, Resource, Sample};
use crate::report::Series;

const MECHANISM: &str = "membership";
const SIZES: [usize; 4] = [8, 40, 120, NODES];
const DOMAINS: usize = 13;
const TICK: Duration = Duration::from_millis(100);

/// Time in which all nodes get to know one another.
const GROWTH: Duration = Duration::from_secs(90);

/// Time after which no datagram carries introductions any more. After 90 s a fleet of 340 nodes still sends more than
/// twice the bytes of a settled one.
const SETTLING: Duration = Duration::from_secs(240);

const MEASURED: Duration = Duration::from_secs(30);
const REPEATS: u64 = 3;

/// Headers of IPv4 and UDP.
const HEADER_BYTES: usize = 28;

/// Seeds of which the host list tells a new node.
const SEEDS: usize = 5;

/// Memory of the members that one node knows.
pub fn memory() -> Line {
    let memory = bytes_per_unit(NODES * NODES, || {
        let mut fleet = Fleet::new(NODES, 1);
        fleet.run(GROWTH);
        fleet
    });
    Line::control(MECHANISM, Resource::Memory, memory, "member known", NODES as f64)
}

/// Bytes sent and time of one node, both independent of the fleet's size.
pub fn rates() -> [Line; 2] {
    let runs: Vec<_> = (1..=REPEATS).map(|seed| cost(NODES, seed)).collect();
    let bytes = Sample::of(runs.iter().map(|it| it.bytes).collect());
    let cpu = Sample::of(runs.iter().map(|it| it.cpu).collect());
    [
        Line::control(
            MECHANISM,
            Resource::Bytes,
            bytes,
            "second of one of 340 nodes",
            1.0,
        ),
        Line::control(MECHANISM, Resource::Cpu, cpu, "second of one of 340 nodes", 1.0),
    ]
}

/// Bytes sent a second by one node against the number of nodes.
pub fn series() -> Series {
    let points = SIZES.iter().map(|it| (*it as f64, cost(*it, 1).bytes)).collect();
    Series {
        name: "membership: bytes/s against nodes".to_owned(),
        points,
    }
}

/// Cost of one node in one second.
struct Cost {
    bytes: f64,
    cpu: f64,
}

fn cost(nodes: usize, seed: u64) -> Cost {
    let mut fleet = Fleet::new(nodes, seed);
    fleet.run(SETTLING);
    fleet.bytes = 0;
    let start = Instant::now();
    fleet.run(MEASURED);
    let node_seconds = nodes as f64 * MEASURED.as_secs_f64();
    Cost {
        bytes: fleet.bytes as f64 / node_seconds,
        cpu: start.elapsed().as_secs_f64() / node_seconds,
    }
}

struct Fleet {
    now: Duration,
    tables: Vec<Table>,
    by_address: HashMap<SocketAddr, usize>,
    rng: SmallRng,
    bytes: usize,
}

impl Fleet {
    fn new(nodes: usize, seed: u64) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed);
        let seeds: Vec<_> = (0..SEEDS.min(nodes))
            .map(|it| Seed::from_address(address(it)))
            .collect();
        let mut tables: Vec<_> = (0..nodes)
            .map(|it| Table::new(Settings::default(), member(it), Duration::ZERO, &mut rng))
            .collect();
        for table in &mut tables {
            table.handle(Event::Hosts(seeds.clone()), Duration::ZERO, &mut rng);
        }
        let by_address = (0..nodes).map(|it| (address(it), it)).collect();
        Self {
            now: Duration::ZERO,
            tables,
            by_address,
            rng,
            bytes: 0,
        }
    }

    fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.now += TICK;
            for idx in 0..self.tables.len() {
                if self.now.subsec_millis() == 0 {
                    self.event(idx, Event::Status(status()));
                }
                self.event(idx, Event::Tick);
            }
        }
    }

    /// Handles an event, and delivers the datagrams that follow from it until there are none.
    fn event(&mut self, idx: usize, event: Event) {
        let mut pending = vec![(idx, event)];
        while let Some((idx, event)) = pending.pop() {
            let actions = self.tables[idx].handle(event, self.now, &mut self.rng);
            pending.extend(actions.into_iter().filter_map(|it| self.delivery(it)));
        }
    }

    fn delivery(&mut self, action: Action) -> Option<(usize, Event)> {
        let Action::Send { to, datagram } = action else {
            return None;
        };
        self.bytes += size(&datagram);
        let receiver = self.by_address.get(&to)?;
        Some((*receiver, Event::Received(Box::new(datagram))))
    }
}

fn size(datagram: &Datagram) -> usize {
    node::datagram_bytes(datagram) + HEADER_BYTES
}

fn member(idx: usize) -> Member {
    Member {
        host: format!("region-{}-entry-{idx}", idx % DOMAINS / 2).into(),
        incarnation: Incarnation::from_bits(u128::MAX - idx as u128),
        version: Version::default(),
        state: State::Alive,
        domain: format!("region-{}-zone-{}", idx % DOMAINS / 2, idx % DOMAINS).into(),
        addresses: Addresses {
            gossip: address(idx),
            peer: address(idx),
            entry: address(idx),
        },
        revision: 1_000_000,
        revision_age: Duration::ZERO,
        load: 500,
        readiness: Readiness::Ready,
        observed_hosts: 0,
    }
}

fn status() -> Status {
    Status {
        revision: 1_000_000,
        revision_age: Duration::from_millis(500),
        load: 500,
        readiness: Readiness::Ready,
        observed_hosts: 0,
    }
}

fn address(idx: usize) -> SocketAddr {
    let [.., high, low] = idx.to_be_bytes();
    SocketAddr::new(IpAddr::V4(Ipv4Addr::new(10, 20, high, low)), 6080)
}
