//! Fleets in which readers of a topic are cut off, or pass a long list of changes on to all nodes at once.
//!
//! Guards against nodes that learn of a change later than the bound allows, because the parts of its way are bounded one by
//! one: interval of the readers, age of replies, queries, their timeouts, and the store.

use std::collections::BTreeSet;
use std::time::Duration;

use forward::freshness::{Budget, Duty, Next, Round};
use proptest::prelude::*;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

const READERS: usize = 2;
const RANKED: usize = 4;

/// Time between a query and its reply.
const ROUND_TRIP: Duration = Duration::from_millis(4);

/// Pause of a node that did not reach the store.
const RETRY_PAUSE: Duration = Duration::from_millis(250);

/// End of a case, in bounds.
const END: u32 = 6;

/// Part of the bound that is left for a request from the choice of its engine to its arrival: 50 ms of two seconds.
const TRANSIT: f64 = 0.025;

/// How the first nodes by rank are disturbed, from some time on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Trouble {
    /// The others get no replies from them.
    Silent,
    /// They do not reach the store, and their knowledge becomes older.
    NoStore,
}

#[derive(Debug, Clone, Copy)]
struct Case {
    nodes: usize,
    bound: Duration,
    interval: Duration,
    /// Time that the store takes to respond, as a fraction of a call's timeout.
    store_delay: f64,
    disturbed: usize,
    trouble: Trouble,
    since: Duration,
    seed: u64,
}

/// When a node's knowledge was current, and since when it has it.
#[derive(Debug, Clone, Copy, Default)]
struct Knowledge {
    current_at: Duration,
    since: Duration,
    before: Duration,
}

impl Knowledge {
    fn current_at(self, now: Duration) -> Duration {
        if self.since <= now {
            self.current_at
        } else {
            self.before
        }
    }

    fn age(self, now: Duration) -> Duration {
        now.saturating_sub(self.current_at(now))
    }

    fn learn(&mut self, now: Duration, current_at: Duration) {
        if current_at > self.current_at {
            *self = Self {
                current_at,
                since: now,
                before: self.current_at,
            };
        }
    }
}

fn duty(index: usize) -> Duty {
    match index {
        _ if index < READERS => Duty::Reader,
        _ if index < RANKED => Duty::Deputy,
        _ => Duty::Other,
    }
}

/// The largest age of what an undisturbed node knows.
fn max_age(case: Case) -> Duration {
    let mut rng = SmallRng::seed_from_u64(case.seed);
    let budget = Budget::new(case.bound, case.interval);
    let mut nodes = vec![Knowledge::default(); case.nodes];
    let begin = |it| (case.interval.mul_f64(rng.random_range(0.0..1.0)), it);
    let mut wakes: BTreeSet<_> = (0..case.nodes).map(begin).collect();
    let mut max_age = Duration::ZERO;
    while let Some((mut now, index)) = wakes.pop_first()
        && now < case.bound * END
    {
        let is_disturbed = |it: usize, at: Duration| it < case.disturbed && at >= case.since;
        let due = budget.due_age(duty(index), rng.random_range(0.0..1.0));
        let before = nodes[index];
        let (mut silent, mut replied) = (0, 0);
        for asked in (0..RANKED).filter(|it| *it != index && duty(index) != Duty::Reader) {
            if nodes[index].age(now) >= due {
                break;
            }
            if case.trouble == Trouble::Silent && is_disturbed(asked, now) {
                now += budget.reply_timeout();
                silent += 1;
                continue;
            }
            now += ROUND_TRIP;
            replied += 1;
            let known = nodes[asked].current_at(now);
            nodes[index].learn(now, known);
            if now - known <= budget.max_reply_age() {
                break;
            }
        }
        let round = match silent > 0 && replied == 0 {
            true => Round::Silent,
            false => Round::Followed,
        };
        let mut pause = RETRY_PAUSE;
        match budget.after_round(round, nodes[index].age(now), due) {
            Next::Pause(it) => pause = it,
            Next::Read => {
                let requested_at = now;
                now += budget.call_timeout().mul_f64(case.store_delay);
                if !is_disturbed(index, now) {
                    nodes[index].learn(now, requested_at);
                    pause = budget.reader_wait(nodes[index].age(now));
                }
            }
        }
        if !is_disturbed(index, now) {
            max_age = max_age.max(before.age(now));
        }
        wakes.insert((now + pause, index));
    }
    max_age
}

fn check(case: Case) -> Result<(), Duration> {
    let age = max_age(case);
    match age <= case.bound.mul_f64(1.0 - TRANSIT) {
        true => Ok(()),
        false => Err(age),
    }
}

/// Bounds of a topic and the interval at which it is read, as in the settings.
fn topics() -> impl Strategy<Value = (Duration, Duration)> {
    let bounds = prop_oneof![Just(2_000_u64), Just(3_000), Just(4_000), 500..20_000_u64];
    let fraction = prop_oneof![Just(0.4), Just(0.55), 0.05..0.6_f64];
    (bounds, fraction).prop_map(|(bound, fraction)| {
        let bound = Duration::from_millis(bound);
        (bound, bound.mul_f64(fraction))
    })
}

fn cases(nodes: usize) -> impl Strategy<Value = Case> {
    let trouble = prop_oneof![Just(Trouble::Silent), Just(Trouble::NoStore)];
    (
        topics(),
        0.0..0.05_f64,
        0..=RANKED,
        trouble,
        1.0..3.0_f64,
        any::<u64>(),
    )
        .prop_map(
            move |((bound, interval), delay, disturbed, trouble, since, seed)| Case {
                nodes,
                bound,
                interval,
                store_delay: delay,
                disturbed,
                trouble,
                since: bound.mul_f64(since),
                seed,
            },
        )
}

macro_rules! fleets {
    ($($name:ident: $nodes:expr, $cases:expr;)*) => {
        $(#[test]
        fn $name() {
            schedule::assert_rules_hold($cases, &cases($nodes), check);
        })*
    };
}

fleets! {
    changes_are_known_in_time_by_8_nodes: 8, 2000;
    changes_are_known_in_time_by_88_nodes: 88, 400;
    changes_are_known_in_time_by_195_nodes: 195, 400;
}
