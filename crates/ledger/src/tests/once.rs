//! Guards against keys that are executed twice, or executed after an answer that nothing ran.

use std::time::Duration;

use proptest::collection::vec;
use proptest::prelude::*;

use super::once_world::World;
use super::{Events, Violation, check, expect_events, expect_violation};
use crate::fault::Fault;

const NODES: usize = 3;

#[derive(Debug, Clone)]
pub(super) enum Step {
    Issue(usize),
    Call {
        prefix: usize,
        raise: u32,
        part: u8,
        digest: u64,
    },
    /// `lag` in seconds.
    Deliver {
        message: usize,
        lag: u16,
    },
    /// Copies a message; only calls of callers are copied.
    Duplicate(usize),
    Drop(usize),
    Refuse(usize),
    GiveUp(usize),
    UpstreamRefuses,
    /// Seconds.
    Advance(u16),
    Stop(usize),
    /// A stop that is carried out to its end, and a new incarnation on the host.
    Retire(usize),
    HandOver(usize),
    Kill(usize),
    Replace(usize),
    Pause(usize, bool),
}

fn step() -> impl Strategy<Value = Step> {
    let node = 0..NODES;
    let seconds = prop_oneof![3 => 1..60_u16, 2 => 60..1800_u16, 1 => 1800..8000_u16];
    let lag = prop_oneof![3 => Just(0), 1 => seconds.clone()];
    let raise = prop_oneof![9 => Just(0), 1 => 1..3_u32];
    let digest = prop_oneof![9 => Just(0), 1 => Just(1)];
    prop_oneof![
        4 => node.clone().prop_map(Step::Issue),
        12 => (any::<usize>(), raise, 0..3_u8, digest)
            .prop_map(|(prefix, raise, part, digest)| Step::Call { prefix, raise, part, digest }),
        24 => (any::<usize>(), lag).prop_map(|(message, lag)| Step::Deliver { message, lag }),
        6 => any::<usize>().prop_map(Step::Duplicate),
        2 => any::<usize>().prop_map(Step::Drop),
        2 => any::<usize>().prop_map(Step::Refuse),
        2 => any::<usize>().prop_map(Step::GiveUp),
        2 => Just(Step::UpstreamRefuses),
        4 => seconds.prop_map(Step::Advance),
        1 => node.clone().prop_map(Step::Stop),
        2 => node.clone().prop_map(Step::Retire),
        1 => node.clone().prop_map(Step::HandOver),
        1 => node.clone().prop_map(Step::Kill),
        1 => node.clone().prop_map(Step::Replace),
        1 => (node, any::<bool>()).prop_map(|(node, paused)| Step::Pause(node, paused)),
    ]
}

fn schedule() -> impl Strategy<Value = Vec<Step>> {
    vec(step(), 0..150)
}

fn apply(world: &mut World, step: &Step) -> Result<(), Violation> {
    let count = world.messages.len();
    match *step {
        Step::Issue(node) => world.issue(node),
        Step::Call {
            prefix,
            raise,
            part,
            digest,
        } => world.call(prefix, raise, part, digest),
        Step::Deliver { message, lag } => {
            if let Some(index) = message.checked_rem(count) {
                let message = world.messages.swap_remove(index);
                world.deliver(message, Duration::from_secs(lag.into()))?;
            }
        }
        Step::Duplicate(message) => {
            if let Some(index) = message.checked_rem(count) {
                let copy = world.messages[index].clone();
                // Connections do not duplicate; only callers repeat themselves.
                if matches!(copy, super::once_world::Message::Call { .. }) {
                    world.messages.push(copy);
                }
            }
        }
        Step::Drop(message) => {
            if let Some(index) = message.checked_rem(count) {
                world.messages.swap_remove(index);
            }
        }
        Step::Refuse(message) => {
            if let Some(index) = message.checked_rem(count) {
                let message = world.messages[index].clone();
                world.refuse(&message)?;
            }
        }
        Step::GiveUp(message) => {
            if let Some(index) = message.checked_rem(count) {
                let message = world.messages[index].clone();
                world.give_up(&message)?;
            }
        }
        Step::UpstreamRefuses => world.refuse_next = true,
        Step::Advance(seconds) => world.now += Duration::from_secs(seconds.into()),
        Step::Stop(node) => world.stop(node),
        Step::Retire(node) => world.retire(node)?,
        Step::HandOver(node) => world.hand_over(node),
        Step::Kill(node) => world.kill(node),
        Step::Replace(node) => world.replace(node),
        Step::Pause(node, paused) => world.pause(node, paused),
    }
    Ok(())
}

fn run(steps: &[Step]) -> Result<Events, Violation> {
    let mut world = World::new(NODES);
    steps.iter().try_for_each(|it| apply(&mut world, it))?;
    Ok(world.events)
}

#[test]
fn each_key_executes_at_most_once() {
    check(schedule(), |it| run(it).map(drop));
}

/// A property that never meets these events would prove little.
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
        "answered from a handed over table",
    ];
    expect_events(&expected, schedule(), |it| run(it));
}

/// Each deliberate fault must be found, or the property proves nothing.
macro_rules! found {
    ($name:ident, $fault:ident, $message:literal) => {
        #[test]
        fn $name() {
            expect_violation(Fault::$fault, $message, schedule(), |it| run(it).map(drop));
        }
    };
}

found!(forgotten_entry_is_found, ForgetEarly, "executed");
found!(earlier_time_is_found, TrustEarlierTime, "executed");
found!(open_key_after_refusal_is_found, LeaveOpen, "answered ran: no");
found!(proof_about_the_future_is_found, ProveFuture, "answered ran: no");
found!(unsealed_hand_over_is_found, HandOverUnsealed, "answered ran: no");
