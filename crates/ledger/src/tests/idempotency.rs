//! Guards against a key that is executed twice, or although a caller was told that its call did not run.
//!
//! Such failures arise when messages are duplicated, lost or reordered, or when nodes stop, pause or die.

use std::time::Duration;

use proptest::collection::vec;
use proptest::prelude::*;

use super::idempotency_simulation::Simulation;
use super::{Events, Violation, check, expect_events, expect_violation};
use crate::fault::Fault;

const NODES: usize = 3;

#[derive(Debug, Clone)]
pub(super) enum Step {
    IssuePrefix(usize),
    Call {
        prefix: usize,
        epoch_offset: u32,
        caller_part: u8,
        digest: u64,
    },
    /// Delivers a message; `clock_lag` is in seconds.
    Deliver {
        message: usize,
        clock_lag: u16,
    },
    /// Duplicates a message if it is a call from a caller.
    Duplicate(usize),
    Drop(usize),
    Refuse(usize),
    UpstreamTimeout(usize),
    RefuseAtUpstream,
    /// Advances the time by seconds.
    Advance(u16),
    Stop(usize),
    /// Completes a planned stop and starts a new incarnation on the host.
    StopAndReplace(usize),
    HandOver(usize),
    Kill(usize),
    Replace(usize),
    Pause(usize, bool),
}

fn step() -> impl Strategy<Value = Step> {
    let node = 0..NODES;
    let seconds = prop_oneof![3 => 1..60_u16, 2 => 60..1800_u16, 1 => 1800..8000_u16];
    let clock_lag = prop_oneof![3 => Just(0), 1 => seconds.clone()];
    let epoch_offset = prop_oneof![9 => Just(0), 1 => 1..3_u32];
    let digest = prop_oneof![9 => Just(0), 1 => Just(1)];
    prop_oneof![
        4 => node.clone().prop_map(Step::IssuePrefix),
        12 => (any::<usize>(), epoch_offset, 0..3_u8, digest)
            .prop_map(|(prefix, epoch_offset, caller_part, digest)| Step::Call {
                prefix,
                epoch_offset,
                caller_part,
                digest,
            }),
        24 => (any::<usize>(), clock_lag)
            .prop_map(|(message, clock_lag)| Step::Deliver { message, clock_lag }),
        6 => any::<usize>().prop_map(Step::Duplicate),
        2 => any::<usize>().prop_map(Step::Drop),
        2 => any::<usize>().prop_map(Step::Refuse),
        2 => any::<usize>().prop_map(Step::UpstreamTimeout),
        2 => Just(Step::RefuseAtUpstream),
        4 => seconds.prop_map(Step::Advance),
        1 => node.clone().prop_map(Step::Stop),
        2 => node.clone().prop_map(Step::StopAndReplace),
        1 => node.clone().prop_map(Step::HandOver),
        1 => node.clone().prop_map(Step::Kill),
        1 => node.clone().prop_map(Step::Replace),
        1 => (node, any::<bool>()).prop_map(|(node, paused)| Step::Pause(node, paused)),
    ]
}

fn schedule() -> impl Strategy<Value = Vec<Step>> {
    vec(step(), 0..150)
}

fn apply(simulation: &mut Simulation, step: &Step) -> Result<(), Violation> {
    let count = simulation.messages.len();
    match *step {
        Step::IssuePrefix(node) => simulation.issue_prefix(node),
        Step::Call {
            prefix,
            epoch_offset,
            caller_part,
            digest,
        } => simulation.call(prefix, epoch_offset, caller_part, digest),
        Step::Deliver { message, clock_lag } => {
            if let Some(index) = message.checked_rem(count) {
                let message = simulation.messages.swap_remove(index);
                simulation.deliver(message, Duration::from_secs(clock_lag.into()))?;
            }
        }
        Step::Duplicate(message) => {
            if let Some(index) = message.checked_rem(count) {
                let copy = simulation.messages[index].clone();
                // Connections do not duplicate messages; only callers repeat their calls.
                if matches!(copy, super::idempotency_simulation::Message::Call { .. }) {
                    simulation.messages.push(copy);
                }
            }
        }
        Step::Drop(message) => {
            if let Some(index) = message.checked_rem(count) {
                simulation.messages.swap_remove(index);
            }
        }
        Step::Refuse(message) => {
            if let Some(index) = message.checked_rem(count) {
                let message = simulation.messages[index].clone();
                simulation.refuse(&message)?;
            }
        }
        Step::UpstreamTimeout(message) => {
            if let Some(index) = message.checked_rem(count) {
                let message = simulation.messages[index].clone();
                simulation.time_out_upstream(&message)?;
            }
        }
        Step::RefuseAtUpstream => simulation.refuse_next = true,
        Step::Advance(seconds) => simulation.now += Duration::from_secs(seconds.into()),
        Step::Stop(node) => simulation.stop(node),
        Step::StopAndReplace(node) => simulation.stop_and_replace(node)?,
        Step::HandOver(node) => simulation.hand_over(node),
        Step::Kill(node) => simulation.kill(node),
        Step::Replace(node) => simulation.replace(node),
        Step::Pause(node, paused) => simulation.pause(node, paused),
    }
    Ok(())
}

fn run(steps: &[Step]) -> Result<Events, Violation> {
    let mut simulation = Simulation::new(NODES);
    steps.iter().try_for_each(|it| apply(&mut simulation, it))?;
    Ok(simulation.events)
}

#[test]
fn each_key_executes_at_most_once() {
    check(schedule(), |it| run(it).map(drop));
}

/// Guards against schedules that do not reach the cases in which the property can fail.
#[test]
fn schedules_reach_all_events() {
    let expected = [
        "executed",
        "not run by the upstream",
        "replayed",
        "running",
        "ran: no",
        "ran: unknown",
        "closed",
        "expired",
        "future",
        "reused",
        "decided by an archived table",
    ];
    expect_events(&expected, schedule(), |it| run(it));
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

detects!(early_eviction_is_detected, EvictEarly, "executed");
detects!(accepted_earlier_time_is_detected, AcceptEarlierTime, "executed");
detects!(
    key_left_open_after_refusal_is_detected,
    SkipClosingKey,
    "answered ran: no"
);
detects!(
    future_key_refused_as_not_run_is_detected,
    RefuseFutureKeyAsNotRun,
    "answered ran: no"
);
detects!(
    unsealed_hand_over_is_detected,
    HandOverUnsealed,
    "answered ran: no"
);
