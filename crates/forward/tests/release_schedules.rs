//! Schedules of nodes that drive a release through a log with conditional appends.
//!
//! At most one end may be recorded, records never go back to an earlier stage, and neither does a node while it
//! lives. The checks are shown to catch deliberate faults.

use std::time::Duration;

use forward::Moment;
use forward::release::{Arm, Decision, Grade, Order, Release, Stage, Status};
use model::{Incarnation, Name};
use proptest::prelude::*;

const NODES: usize = 3;

/// Schedules of each test.
const CASES: u32 = 3000;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Fault {
    /// A record stands whatever was recorded meanwhile.
    NoCondition,
    /// A driver records what it decided without reading the records before.
    NoReading,
}

#[derive(Debug, PartialEq, Eq)]
enum Violation {
    /// More than one end is recorded.
    Ends,
    /// A record goes back to an earlier stage.
    Order,
    /// A node goes back to an earlier stage.
    Return,
}

#[derive(Debug, Clone)]
enum Step {
    Wait(u16),
    /// Answers of the new version at a node.
    Answers {
        node: usize,
        grade: bool,
    },
    Read(usize),
    /// A driver decides and reads the end of the log; its record follows later.
    Prepare(usize),
    Commit(usize),
    /// A node tells another one what it knows to be recorded.
    Tell {
        from: usize,
        to: usize,
    },
    Tally {
        from: usize,
        to: usize,
    },
    Restart(usize),
}

#[derive(Debug)]
struct Node {
    release: Release,
    own: Incarnation,
    prepared: Option<(Status, usize)>,
    highest: Stage,
}

#[derive(Debug)]
struct World {
    fault: Option<Fault>,
    now: Moment,
    records: Vec<Status>,
    nodes: Vec<Node>,
    starts: u128,
}

fn order() -> Order {
    Order {
        service: "pool".into(),
        target: "v2".into(),
        duration: Duration::from_secs(24),
        offset: 7,
    }
}

impl World {
    fn new(fault: Option<Fault>) -> Self {
        let mut world = Self {
            fault,
            now: Duration::from_secs(1),
            records: vec![],
            nodes: vec![],
            starts: 0,
        };
        for _ in 0..NODES {
            let node = world.start();
            world.nodes.push(node);
        }
        world
    }

    fn start(&mut self) -> Node {
        self.starts += 1;
        Node {
            release: Release::new(order(), Duration::from_secs(5), self.now),
            own: Incarnation::from_bits(self.starts),
            prepared: None,
            highest: Stage::Trial(0),
        }
    }

    fn step(&mut self, step: &Step) {
        let now = self.now;
        match *step {
            Step::Wait(millis) => self.now += Duration::from_millis(millis.into()),
            Step::Answers { node, grade } => {
                let Node { release, own, .. } = &mut self.nodes[node];
                let grade = if grade { Grade::Good } else { Grade::Bad };
                let route = Name::from("drafts");
                (0..12).for_each(|_| release.answered(*own, &route, Arm::New, grade));
            }
            Step::Read(node) => self.read(node),
            Step::Prepare(node) => self.prepare(node),
            Step::Commit(node) => self.commit(node),
            Step::Tell { from, to } => {
                if let Some(status) = self.nodes[from].release.newest_status(now) {
                    self.nodes[to].release.recorded(&status, now);
                }
            }
            Step::Tally { from, to } => {
                let Node { release, own, .. } = &self.nodes[from];
                if let Some(counters) = release.counters(*own).cloned() {
                    let own = *own;
                    self.nodes[to].release.merge(own, counters);
                }
            }
            Step::Restart(node) => self.nodes[node] = self.start(),
        }
    }

    fn read(&mut self, node: usize) {
        for status in &self.records {
            self.nodes[node].release.recorded(status, self.now);
        }
    }

    fn prepare(&mut self, node: usize) {
        let Decision::Record(stage) = self.nodes[node].release.decide(self.now) else {
            return;
        };
        if self.fault != Some(Fault::NoReading) {
            self.read(node);
        }
        let Node {
            release, prepared, ..
        } = &mut self.nodes[node];
        if !release.has_ended() && release.stage() <= stage {
            *prepared = Some((release.status(stage, self.now), self.records.len()));
        }
    }

    fn commit(&mut self, node: usize) {
        let Some((status, end)) = self.nodes[node].prepared.take() else {
            return;
        };
        if end == self.records.len() || self.fault == Some(Fault::NoCondition) {
            self.nodes[node].release.recorded(&status, self.now);
            self.records.push(status);
        }
    }

    fn check(&mut self) -> Result<(), Violation> {
        if self
            .records
            .iter()
            .filter(|it| it.stage >= Stage::Complete)
            .count()
            > 1
        {
            return Err(Violation::Ends);
        }
        if !self.records.is_sorted_by_key(|it| it.stage) {
            return Err(Violation::Order);
        }
        for node in &mut self.nodes {
            let stage = node.release.stage();
            if stage < node.highest {
                return Err(Violation::Return);
            }
            node.highest = stage;
        }
        Ok(())
    }
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let step = prop_oneof![
        3 => (1..4000_u16).prop_map(Step::Wait),
        3 => (0..NODES, prop::bool::weighted(0.8)).prop_map(|(node, grade)| Step::Answers { node, grade }),
        1 => (0..NODES).prop_map(Step::Read),
        5 => (0..NODES).prop_map(Step::Prepare),
        5 => (0..NODES).prop_map(Step::Commit),
        2 => (0..NODES, 0..NODES).prop_map(|(from, to)| Step::Tell { from, to }),
        2 => (0..NODES, 0..NODES).prop_map(|(from, to)| Step::Tally { from, to }),
        1 => (0..NODES).prop_map(Step::Restart),
    ];
    prop::collection::vec(step, 1..150)
}

fn run(steps: &[Step], fault: Option<Fault>) -> Result<(), Violation> {
    let mut world = World::new(fault);
    for step in steps {
        world.step(step);
        world.check()?;
    }
    Ok(())
}

#[test]
fn rules_hold() {
    schedule::assert_rules_hold(CASES, &steps(), |it| run(&it, None));
}

macro_rules! faults {
    ($($name:ident: $fault:ident => $violation:ident;)*) => {
        $(#[test]
        fn $name() {
            let run = |it: Vec<Step>| run(&it, Some(Fault::$fault));
            schedule::assert_fault_detected(CASES, &steps(), &Violation::$violation, run);
        })*
    };
}

faults! {
    record_without_a_condition_is_noticed: NoCondition => Ends;
    decision_on_old_records_is_noticed: NoReading => Order;
}
