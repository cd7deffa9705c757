//! Guards the rules of the configuration against any interleaving of appends, lost replies, outages, delays,
//! repeated and reordered messages, pauses, kills and replacements, and conflicting publishers.

mod world;

use world::schedule::{Fault, Kind, Publication, Schedule, schedules};
use world::{Mutant, Violation};

/// Schedules of each test.
const CASES: u32 = 1000;

#[test]
fn rules_hold() {
    schedule::assert_rules_hold(CASES, &schedules(), |it| world::run(it, Mutant::None).map(drop));
}

macro_rules! regressions {
    ($($name:ident: $seed:literal, $nodes:literal, [$(($start:literal, $length:literal, $node:literal, $kind:ident)),*],
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
    // The resumed node caught up with a new process that had started from its own old state.
    paused_node_is_not_vouched_for_by_its_own_copy: 12144271215537672140, 2,
        [(27374, 6727, 0, Outage), (16949, 10352, 1, Pause), (19001, 8400, 0, Replace), (0, 500, 0, Outage)],
        [(17000, 0, 0, 0)];
    // A new node read an end of the log from before the only snapshot, and searched again only after 5 s.
    old_tail_without_its_snapshot: 5299957085158353057, 1,
        [(15201, 3700, 0, Outage), (15201, 500, 0, Retention), (21501, 11900, 0, Replace), (18666, 14835, 0, OldTail)],
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
    altered_records_are_noticed: AlteredRecords => SameState;
    lost_state_is_noticed: LostState => NeverReverts;
    last_wins_is_noticed: LastWins => FirstWins;
    counting_twice_is_noticed: CountTwice => CountsOnce;
    trusted_append_is_noticed: TrustedAppend => Verdict;
    deaf_node_is_noticed: DeafNode => InForce;
    missing_isolation_is_noticed: NoIsolation => Isolated;
    missing_pause_check_is_noticed: NoPause => Resumed;
    node_that_stays_stale_is_noticed: AlwaysStale => Settles;
}
