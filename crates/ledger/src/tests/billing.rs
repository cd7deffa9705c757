//! Guards against requests that are billed twice, lost or kept in memory for ever.
//!
//! Such failures arise when messages are duplicated, lost or reordered, when nodes pause, die or have wrong
//! views of the members, or when the log is unavailable.

use std::time::Duration;

use proptest::collection::vec;
use proptest::prelude::*;

use super::billing_simulation::{Capacity, Simulation};
use super::{Events, Violation, check, expect_events, expect_violation};
use crate::fault::Fault;

const NODES: usize = 5;

#[derive(Debug, Clone)]
pub(super) enum Step {
    Record {
        node: usize,
        organisation: u8,
        key: Option<u8>,
    },
    Poll(usize),
    Advance(u16),
    Deliver(usize),
    Duplicate(usize),
    Drop(usize),
    Outage(bool),
    LoseReply,
    TimeOut(usize),
    Kill(usize),
    Replace(usize),
    Pause(usize),
    Resume(usize),
    /// Gives a node a view without the nodes in the bit mask, whether they are dead or not.
    View {
        node: usize,
        missing: u8,
    },
    SyncViews,
}

#[derive(Debug, Clone)]
pub(super) struct Schedule {
    capacity: Capacity,
    steps: Vec<Step>,
    /// Nodes to kill after a period with an outage of the log but no other faults.
    killed_nodes: [usize; 2],
}

fn step() -> impl Strategy<Value = Step> {
    let node = 0..NODES;
    prop_oneof![
        8 => (node.clone(), any::<u8>(), proptest::option::weighted(0.2, 0..3_u8))
            .prop_map(|(node, organisation, key)| Step::Record { node, organisation, key }),
        12 => node.clone().prop_map(Step::Poll),
        6 => (1..3000_u16).prop_map(Step::Advance),
        24 => any::<usize>().prop_map(Step::Deliver),
        3 => any::<usize>().prop_map(Step::Duplicate),
        3 => any::<usize>().prop_map(Step::Drop),
        1 => any::<bool>().prop_map(Step::Outage),
        2 => Just(Step::LoseReply),
        2 => node.clone().prop_map(Step::TimeOut),
        2 => node.clone().prop_map(Step::Kill),
        2 => node.clone().prop_map(Step::Replace),
        1 => node.clone().prop_map(Step::Pause),
        2 => node.clone().prop_map(Step::Resume),
        1 => (node, any::<u8>()).prop_map(|(node, missing)| Step::View { node, missing }),
        2 => Just(Step::SyncViews),
    ]
}

fn schedule() -> impl Strategy<Value = Schedule> {
    let capacity = prop_oneof![3 => Just(Capacity::Ample), 1 => Just(Capacity::Tight)];
    (capacity, vec(step(), 0..150), [0..NODES, 0..NODES]).prop_map(|(capacity, steps, killed_nodes)| {
        Schedule {
            capacity,
            steps,
            killed_nodes,
        }
    })
}

fn apply(simulation: &mut Simulation, step: &Step) -> Result<(), Violation> {
    match *step {
        Step::Record {
            node,
            organisation,
            key,
        } => simulation.record(node, organisation, key),
        Step::Poll(node) => simulation.poll(node)?,
        Step::Advance(ms) => simulation.now += Duration::from_millis(ms.into()),
        Step::Deliver(index) => {
            if let Some(index) = index.checked_rem(simulation.messages.len()) {
                let message = simulation.messages.swap_remove(index);
                simulation.deliver(message)?;
            }
        }
        Step::Duplicate(index) => {
            if let Some(index) = index.checked_rem(simulation.messages.len()) {
                simulation.messages.push(simulation.messages[index].clone());
            }
        }
        Step::Drop(index) => {
            if let Some(index) = index.checked_rem(simulation.messages.len()) {
                let message = simulation.messages.swap_remove(index);
                simulation.drop_message(&message);
            }
        }
        Step::Outage(outage) => simulation.outage = outage,
        Step::LoseReply => simulation.lose_replies += 1,
        Step::TimeOut(node) => simulation.time_out(node)?,
        Step::Kill(node) => simulation.kill(node),
        Step::Replace(node) => simulation.replace(node),
        Step::Pause(node) => simulation.nodes[node].paused = true,
        Step::Resume(node) => simulation.nodes[node].paused = false,
        Step::View { node, missing } => {
            let mut live = simulation.live_incarnations();
            let mut position = 0..;
            live.retain(|_| missing >> position.next().unwrap_or(0) & 1 == 0);
            simulation.set_view(node, &live);
        }
        Step::SyncViews => simulation.sync_views(),
    }
    Ok(())
}

/// Runs a schedule, then an outage of the log without other faults, kills two nodes, and runs without faults.
fn run(schedule: &Schedule) -> Result<Events, Violation> {
    let mut simulation = Simulation::new(NODES, schedule.capacity);
    for step in &schedule.steps {
        apply(&mut simulation, step)?;
        simulation.check()?;
    }
    simulation.outage = true;
    simulation.run_without_faults(8)?;
    simulation.check_replicated()?;
    for node in schedule.killed_nodes {
        simulation.kill(node);
    }
    simulation.outage = false;
    simulation.run_without_faults(150)?;
    simulation.check_settled()?;
    Ok(simulation.events())
}

#[test]
fn each_request_is_billed_once() {
    check(schedule(), |it| run(it).map(drop));
}

/// Guards against schedules that do not reach the cases in which the property can fail.
#[test]
fn schedules_reach_all_events() {
    let expected = [
        "append by a holder",
        "duplicate batch in the log",
        "billing key in two batches",
        "lost record",
        "origin full",
        "holder full",
        "released when replicated",
        "released when logged",
        "released underreplicated",
        "reply lost",
    ];
    expect_events(&expected, schedule(), run);
}

/// Checks that the property detects an injected fault, which guards against a property that always holds.
macro_rules! detects {
    ($name:ident, $fault:ident, $message:literal) => {
        #[test]
        fn $name() {
            expect_violation(Fault::$fault, $message, schedule(), |it| run(it).map(drop));
        }
    };
}

detects!(
    settled_unconfirmed_append_is_detected,
    SettleUnconfirmed,
    "record lost although its origin or a holder is alive"
);
detects!(
    early_release_is_detected,
    ReleaseEarly,
    "released without replication or append"
);
detects!(
    confirmation_without_holding_is_detected,
    ConfirmWithoutHolding,
    "record lost although its origin or a holder is alive"
);
detects!(
    unnotified_replaced_holder_is_detected,
    SettleCurrentHoldersOnly,
    "logged batches still in memory"
);
detects!(missing_takeover_is_detected, NoTakeover, "record not billed");
detects!(
    counted_duplicate_is_detected,
    CountDuplicates,
    "bills differ from the log"
);
detects!(kept_dead_holder_is_detected, KeepDeadHolder, "not replicated");
detects!(ignored_gap_is_detected, IgnoreGaps, "missing batches miscounted");
