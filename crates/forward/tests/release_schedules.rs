//! Random schedules of nodes that drive a release through a log with conditional appends.
//!
//! Guards against more than one recorded end, and against records or running nodes that return to an earlier
//! stage. Deliberate faults show that the checks detect these violations.

use std::time::Duration;

use forward::BootTime;
use forward::relay::Position;
use forward::release::{Arm, Decision, Exposure, Release, ReleaseOrder, ReleaseStatus, ResponseGrade, Stage};
use model::{Incarnation, Name};
use proptest::prelude::*;

const NODES: usize = 3;

const EXPOSURE: Exposure = Exposure {
    share: 0.15,
    slack: 30.0,
};

/// Minimum number of schedules for each test.
const CASES: u32 = 3000;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Fault {
    /// A record is appended even if others were recorded since the log was read.
    UnconditionalAppend,
    /// A driver records its decision without reading the records first.
    DecisionWithoutRead,
}

#[derive(Debug, PartialEq, Eq)]
enum Violation {
    /// More than one end is recorded.
    MultipleEnds,
    /// A record returns to an earlier stage.
    RecordOrder,
    /// A node returns to an earlier stage.
    NodeStage,
}

#[derive(Debug, Clone)]
enum Step {
    Wait(u16),
    /// A node receives responses of the new version.
    Responses {
        node: usize,
        good: bool,
    },
    Read(usize),
    /// A driver decides and reads the end of the log; the record is appended by a later `Commit`.
    Prepare(usize),
    Commit(usize),
    /// A node sends the newest recorded status to another one.
    SendStatus {
        from: usize,
        to: usize,
    },
    /// A node sends its counters to another one.
    SendCounters {
        from: usize,
        to: usize,
    },
    Restart(usize),
}

#[derive(Debug)]
struct Node {
    release: Release,
    own: Incarnation,
    /// Status to record, and the end of the log when it was decided.
    prepared: Option<(ReleaseStatus, usize)>,
    latest_stage: Stage,
}

#[derive(Debug)]
struct Simulation {
    fault: Option<Fault>,
    now: BootTime,
    records: Vec<ReleaseStatus>,
    nodes: Vec<Node>,
    node_starts: u128,
}

fn order() -> ReleaseOrder {
    ReleaseOrder {
        service: "pool".into(),
        target: "v2".into(),
        duration: Duration::from_secs(24),
        position: Position { era: 0, offset: 7 },
    }
}

impl Simulation {
    fn new(fault: Option<Fault>) -> Self {
        let mut simulation = Self {
            fault,
            now: Duration::from_secs(1),
            records: vec![],
            nodes: vec![],
            node_starts: 0,
        };
        for _ in 0..NODES {
            let node = simulation.start();
            simulation.nodes.push(node);
        }
        simulation
    }

    fn start(&mut self) -> Node {
        self.node_starts += 1;
        Node {
            release: Release::new(order(), Duration::from_secs(5), EXPOSURE, self.now),
            own: Incarnation::from_bits(self.node_starts),
            prepared: None,
            latest_stage: Stage::Trial(0),
        }
    }

    fn step(&mut self, step: &Step) {
        let now = self.now;
        match *step {
            Step::Wait(millis) => self.now += Duration::from_millis(millis.into()),
            Step::Responses { node, good } => {
                let Node { release, own, .. } = &mut self.nodes[node];
                let grade = if good {
                    ResponseGrade::Good
                } else {
                    ResponseGrade::Bad
                };
                let route = Name::from("drafts");
                (0..12).for_each(|_| release.record_response(*own, &route, Arm::New, grade));
            }
            Step::Read(node) => self.read(node),
            Step::Prepare(node) => self.prepare(node),
            Step::Commit(node) => self.commit(node),
            Step::SendStatus { from, to } => {
                if let Some(status) = self.nodes[from].release.newest_status(now) {
                    self.nodes[to].release.apply_status(&status, now);
                }
            }
            Step::SendCounters { from, to } => {
                let Node { release, own, .. } = &self.nodes[from];
                if let Some(counters) = release.counters(*own).cloned() {
                    let own = *own;
                    self.nodes[to].release.merge_counters(own, counters);
                }
            }
            Step::Restart(node) => self.nodes[node] = self.start(),
        }
    }

    fn read(&mut self, node: usize) {
        for status in &self.records {
            self.nodes[node].release.apply_status(status, self.now);
        }
    }

    fn prepare(&mut self, node: usize) {
        let Decision::Record(stage) = self.nodes[node].release.decide(self.now) else {
            return;
        };
        if self.fault != Some(Fault::DecisionWithoutRead) {
            self.read(node);
        }
        let Node {
            release, prepared, ..
        } = &mut self.nodes[node];
        if !release.has_ended() && release.stage() <= stage {
            *prepared = Some((release.status_for(stage, self.now), self.records.len()));
        }
    }

    fn commit(&mut self, node: usize) {
        let Some((status, end)) = self.nodes[node].prepared.take() else {
            return;
        };
        if end == self.records.len() || self.fault == Some(Fault::UnconditionalAppend) {
            self.nodes[node].release.apply_status(&status, self.now);
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
            return Err(Violation::MultipleEnds);
        }
        if !self.records.is_sorted_by_key(|it| it.stage) {
            return Err(Violation::RecordOrder);
        }
        for node in &mut self.nodes {
            let stage = node.release.stage();
            if stage < node.latest_stage {
                return Err(Violation::NodeStage);
            }
            node.latest_stage = stage;
        }
        Ok(())
    }
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let step = prop_oneof![
        3 => (1..4000_u16).prop_map(Step::Wait),
        3 => (0..NODES, prop::bool::weighted(0.8)).prop_map(|(node, good)| Step::Responses { node, good }),
        1 => (0..NODES).prop_map(Step::Read),
        5 => (0..NODES).prop_map(Step::Prepare),
        5 => (0..NODES).prop_map(Step::Commit),
        2 => (0..NODES, 0..NODES).prop_map(|(from, to)| Step::SendStatus { from, to }),
        2 => (0..NODES, 0..NODES).prop_map(|(from, to)| Step::SendCounters { from, to }),
        1 => (0..NODES).prop_map(Step::Restart),
    ];
    prop::collection::vec(step, 1..150)
}

fn run(steps: &[Step], fault: Option<Fault>) -> Result<(), Violation> {
    let mut simulation = Simulation::new(fault);
    for step in steps {
        simulation.step(step);
        simulation.check()?;
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
    unconditional_append_is_detected: UnconditionalAppend => MultipleEnds;
    decision_on_outdated_records_is_detected: DecisionWithoutRead => RecordOrder;
}
