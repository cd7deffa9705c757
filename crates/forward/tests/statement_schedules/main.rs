//! Random schedules of an engine that leaves, closes and restarts while nodes are replaced and datagrams are lost.
//!
//! Guards against nodes that send requests to an engine which does not take them, and against ones that do not return
//! to it. Deliberate faults show that the checks detect these violations.

mod simulation;

use proptest::prelude::*;

use simulation::{Fault, NODES, Simulation, Step, Violation};

/// Minimum number of schedules for each test.
const CASES: u32 = 400;

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        5 => (0..3000_u16).prop_map(Step::Wait),
        2 => Just(Step::Leave),
        1 => Just(Step::Restart),
        3 => (0..400_u16, 0..4000_u16).prop_map(|(time, stated)| Step::Close(time, stated)),
        2 => Just(Step::Renew),
        1 => (0..NODES).prop_map(Step::StartNode),
        1 => (0..NODES).prop_map(Step::Pause),
    ]
}

type Schedule = (u64, Vec<Step>);

fn schedules() -> impl Strategy<Value = Schedule> {
    (any::<u64>(), prop::collection::vec(step(), 1..24))
}

fn run(fault: Option<Fault>, (seed, steps): &Schedule) -> Result<(), Violation> {
    Simulation::new(fault, *seed).run(steps)
}

#[test]
fn nodes_send_what_an_engine_takes() {
    schedule::assert_rules_hold(CASES, &schedules(), |it| run(None, &it));
}

macro_rules! faults {
    ($($name:ident: $fault:ident => $violation:ident;)*) => {
        $(#[test]
        fn $name() {
            let expected = Violation::$violation;
            schedule::assert_fault_detected(CASES, &schedules(), &expected, |it| run(Some(Fault::$fault), &it));
        })*
    };
}

faults! {
    engine_that_returns_with_its_entry_is_detected: ReturnsWithEntry => Left;
    leaving_that_is_told_to_nobody_is_detected: TellsNobody => NotTold;
    success_that_opens_an_engine_is_detected: OpensAfterSuccess => Closed;
    time_that_shortens_an_earlier_one_is_detected: LastTimeCounts => Closed;
    statements_that_outlive_their_run_are_detected: IgnoresRuns => Abandoned;
}
