//! Guards against violations of the configuration's invariants under random schedules of appends, lost
//! replies, outages, delays, duplicate and reordered messages, pauses, replaced processes and conflicting
//! publishers.

mod world;

use world::schedule::{Fault, Kind, Publication, Schedule, schedules};
use world::{Mutant, Violation};

/// Number of schedules per test.
const CASES: u32 = 1000;

#[test]
fn invariants_hold() {
    schedule::assert_rules_hold(CASES, &schedules(), |it| world::run(it, Mutant::None).map(drop));
}

macro_rules! regressions {
    ($($name:ident: $seed:literal, $nodes:literal,
        [$(($start:literal, $length:literal, $node:literal, $kind:ident)),*],
        [$(($at:literal, $publisher:literal, $pool:literal, $concurrency:literal)),*];)*) => {
        $(#[test]
        fn $name() {
            let faults = vec![$(Fault { start: $start, length: $length, node: $node, kind: Kind::$kind }),*];
            let publications = vec![$(Publication {
                start: $at, node: $publisher, pool: $pool, concurrency: $concurrency }),*];
            let schedule = Schedule { seed: $seed, nodes: $nodes, faults, publications };
            assert_eq!(world::run(schedule, Mutant::None).err(), None);
        })*
    };
}

regressions! {
    // A resumed node was confirmed by a new process that had itself started from the node's old state.
    paused_node_is_not_confirmed_by_its_own_copy: 12144271215537672140, 2,
        [(27374, 6727, 0, LogOutage), (16949, 10352, 1, Pause), (19001, 8400, 0, Replace),
        (0, 500, 0, LogOutage)],
        [(17000, 0, 0, 0)];
    // A new node read an end of the log from before the only snapshot, and scanned the log again only after 5
    // s.
    stale_read_without_the_snapshot: 5299957085158353057, 1,
        [(15201, 3700, 0, LogOutage), (15201, 500, 0, Truncation), (21501, 11900, 0, Replace),
        (18666, 14835, 0, StaleReads)],
        [(500, 0, 0, 0), (500, 0, 0, 0), (500, 0, 0, 0), (500, 0, 0, 0), (0, 0, 0, 0), (500, 0, 0, 0),
        (500, 0, 0, 0), (500, 0, 0, 0), (500, 0, 0, 0)];
}

macro_rules! mutants {
    ($($name:ident: $mutant:ident => $violation:ident;)*) => {
        $(#[test]
        fn $name() {
            schedule::assert_fault_detected(CASES, &schedules(), &Violation::$violation, |it| {
                world::run(it, Mutant::$mutant).map(drop)
            });
        })*
    };
}

mutants! {
    altered_records_are_detected: AlteredRecords => StateDiverged;
    lost_state_is_detected: LostState => RevisionDecreased;
    ignored_bases_are_detected: IgnoredBases => WrongResult;
    ignored_ids_are_detected: IgnoredIds => AppliedTwice;
    trusted_reply_is_detected: TrustedReply => WrongOutcomeReported;
    ignored_messages_are_detected: IgnoredMessages => NotInForce;
    undetected_isolation_is_detected: UndetectedIsolation => IsolatedNodeServed;
    undetected_pause_is_detected: UndetectedPause => ServedBeforeCatchUp;
    permanent_staleness_is_detected: AlwaysStale => NotSettled;
}
