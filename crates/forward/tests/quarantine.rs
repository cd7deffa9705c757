//! Tests of what is blamed for engines that end, and of what is held back.

use std::slice;
use std::time::Duration;

use forward::BootTime;
use forward::crash::{Crashes, Culprit, Kind, Traits};
use forward::hold::{Admission, Holds};
use forward::quarantine::{Message, Quarantine};
use forward::statement::Run;
use rand::SeedableRng;
use rand::rngs::SmallRng;

const SYSTEM: u64 = 1;
const FATAL: u64 = 2;

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn run(number: u64) -> Run {
    Run {
        engine: format!("e{number}").into(),
        started_ms: 1,
    }
}

fn part(number: u64) -> u64 {
    Kind::PromptPart.fingerprint(number)
}

fn prompt(parts: &[u64]) -> Traits {
    let mut traits: Traits = parts.iter().copied().map(part).collect();
    traits.sort_unstable();
    traits
}

fn request(number: u64) -> Traits {
    vec![Kind::Request.fingerprint(number)]
}

/// Runs that broke off requests at some times, in milliseconds; others are served all the while.
fn crashes(broken: &[(u64, u64, &Traits)]) -> Crashes {
    let mut crashes = Crashes::default();
    for it in 0..100 {
        crashes.record_served(&run(1000), &prompt(&[900 + it]), ms(0), ms(1));
    }
    for (number, at, traits) in broken {
        crashes.record_broken(&run(*number), traits, ms(*at));
        crashes.record_served(&run(1000), &prompt(&[999]), ms(*at), ms(at + 1));
    }
    crashes
}

fn culprits(crashes: &Crashes) -> Vec<Traits> {
    signatures(crashes.culprits(std::iter::empty(), ms(5_000)))
}

fn signatures(culprits: Vec<Culprit>) -> Vec<Traits> {
    culprits.into_iter().map(|it| it.signature).collect()
}

/// A culprit whose first run ended at a time.
fn culprit(signature: &Traits, first_end: BootTime) -> Culprit {
    Culprit {
        signature: signature.clone(),
        first_end,
        was_served: false,
    }
}

/// Guards against a fatal part that hides behind the different other parts of its requests.
#[test]
fn part_that_all_broken_requests_have_is_blamed() {
    let broken: Vec<_> = (0..4).map(|it| prompt(&[SYSTEM, FATAL, 10 + it])).collect();
    let mut crashes = crashes(&[
        (1, 100, &broken[0]),
        (2, 300, &broken[1]),
        (3, 500, &broken[2]),
        (4, 700, &broken[3]),
    ]);
    assert_eq!(
        culprits(&crashes),
        [prompt(&[SYSTEM, FATAL])],
        "nothing tells them apart"
    );
    crashes.record_served(&run(9), &prompt(&[SYSTEM]), ms(0), ms(800));
    assert_eq!(culprits(&crashes), [prompt(&[FATAL])]);
}

/// Guards against one run that counts as often as nodes and requests saw it end.
#[test]
fn run_counts_once() {
    let [a, b] = [prompt(&[FATAL, 10]), prompt(&[FATAL, 11])];
    let crashes = crashes(&[
        (1, 100, &a),
        (1, 101, &b),
        (1, 300, &a),
        (2, 500, &b),
        (3, 700, &a),
    ]);
    assert!(culprits(&crashes).is_empty());
}

/// Guards against requests that are blamed for a loss of power.
#[test]
fn runs_that_end_together_are_not_blamed_on_what_they_share() {
    let shared = prompt(&[SYSTEM]);
    let together: Vec<_> = (0..18).map(|it| (it, 100 + it % 5, &shared)).collect();
    assert!(culprits(&crashes(&together)).is_empty());
}

/// Guards against parts that are blamed although requests with them are served between the ends.
#[test]
fn part_that_is_served_in_between_is_not_blamed() {
    let shared = prompt(&[SYSTEM, 10]);
    let mut crashes = crashes(&[(1, 100, &shared), (2, 300, &shared)]);
    crashes.record_served(&run(9), &shared, ms(200), ms(400));
    for (number, at) in [(3, 500), (4, 700)] {
        crashes.record_broken(&run(number), &shared, ms(at));
    }
    crashes.record_served(&run(1000), &prompt(&[999]), ms(0), ms(800));
    assert!(culprits(&crashes).is_empty());
}

/// Runs that end one after the other under the same requests, while nothing is served.
fn outage(runs: u64, traits: &Traits, was_served: bool) -> Vec<Traits> {
    let mut crashes = Crashes::default();
    if was_served {
        crashes.record_served(&run(1000), traits, ms(0), ms(1));
    }
    for it in 0..runs {
        crashes.record_broken(&run(it), traits, ms(100 + 200 * it));
    }
    culprits(&crashes)
}

/// Guards against parts that are blamed while nothing at all is served: the engines are at fault.
#[test]
fn part_of_sound_requests_is_not_blamed_while_nothing_is_served() {
    assert!(outage(20, &prompt(&[SYSTEM]), true).is_empty());
    assert!(outage(7, &prompt(&[SYSTEM]), false).is_empty());
}

/// Guards against fatal requests that are never found because they leave no engine to serve others.
#[test]
fn fatal_requests_are_found_although_nothing_is_served() {
    assert_eq!(outage(8, &prompt(&[FATAL]), false), [prompt(&[FATAL])]);
    assert_eq!(outage(6, &request(1), false), [request(1)]);
}

/// Guards against sound requests that are blamed because they shared engines with fatal ones.
#[test]
fn request_beside_a_fatal_one_is_not_blamed() {
    let [fatal, sound] = [request(1), request(2)];
    let mut broken = vec![];
    for it in 0..5 {
        broken.push((it, 100 + 200 * it, &fatal));
        if it < 4 {
            broken.push((it, 101 + 200 * it, &sound));
        }
    }
    assert_eq!(culprits(&crashes(&broken)), [fatal]);
}

/// Guards against a fatal part that is never found because each single request with it is held already.
#[test]
fn known_requests_do_not_hide_the_part_that_they_have() {
    let traits = |own: u64| {
        let mut traits = prompt(&[FATAL]);
        traits.extend(request(own));
        traits.sort_unstable();
        traits
    };
    let [a, b] = [traits(50), traits(51)];
    let crashes = crashes(&[(1, 100, &a), (2, 300, &a), (3, 500, &a), (4, 700, &b)]);
    let known = [request(50)];
    assert_eq!(
        signatures(crashes.culprits(known.iter(), ms(5_000))),
        [prompt(&[FATAL])]
    );
}

/// Guards against a connection that broke earlier and hides the end of its run.
#[test]
fn run_that_went_on_can_still_end() {
    let [fatal, sound] = [prompt(&[FATAL]), prompt(&[SYSTEM])];
    let mut crashes = crashes(&[(1, 100, &sound)]);
    assert!(
        crashes.record_served(&run(1), &sound, ms(50), ms(250)),
        "it has gone on"
    );
    for (number, at) in [(1, 300), (2, 500), (3, 700), (4, 900)] {
        crashes.record_broken(&run(number), &fatal, ms(at));
    }
    crashes.record_served(&run(1000), &prompt(&[999]), ms(0), ms(1000));
    assert_eq!(culprits(&crashes), [fatal]);
}

fn admit(holds: &mut Holds, traits: &Traits, may_probe: bool, now: BootTime) -> Admission {
    holds.admit(traits, |_| may_probe, now)
}

/// Guards against probes by each node, and against more than one probe at a time.
#[test]
fn one_node_lets_one_probe_through() {
    let fatal = prompt(&[FATAL]);
    let with_fatal = prompt(&[SYSTEM, FATAL]);
    let mut holds = Holds::default();
    assert!(holds.begin(&culprit(&fatal, ms(0)), ms(0)));
    assert_eq!(
        admit(&mut holds, &prompt(&[SYSTEM]), true, ms(1)),
        Admission::Open
    );
    assert_eq!(
        admit(&mut holds, &with_fatal, true, ms(1)),
        Admission::Held(ms(59_999))
    );
    assert_eq!(
        admit(&mut holds, &with_fatal, false, ms(60_000)),
        Admission::Held(ms(0))
    );
    assert_eq!(admit(&mut holds, &with_fatal, true, ms(60_000)), Admission::Probe);
    assert_eq!(
        admit(&mut holds, &with_fatal, true, ms(60_001)),
        Admission::Held(ms(119_999))
    );
}

/// Guards against holds on parts of sound requests that nobody tests for a minute.
#[test]
fn parts_that_were_served_before_are_probed_soon_and_then_seldom() {
    let shared = prompt(&[SYSTEM]);
    let mut holds = Holds::default();
    let culprit = Culprit {
        was_served: true,
        ..culprit(&shared, ms(0))
    };
    holds.begin(&culprit, ms(0));
    let mut probes = vec![];
    for second in 0..60 {
        if admit(&mut holds, &shared, true, ms(second * 1000)) == Admission::Probe {
            probes.push(second);
        }
    }
    assert_eq!(probes, [2, 10, 42]);
}

/// Guards against probes that are used up by requests that found no engine, as in an outage of all engines.
#[test]
fn probe_that_was_sent_to_no_engine_is_due_again() {
    let fatal = prompt(&[FATAL]);
    let mut holds = Holds::default();
    holds.begin(&culprit(&fatal, ms(0)), ms(0));
    assert_eq!(admit(&mut holds, &fatal, true, ms(60_000)), Admission::Probe);
    assert_ne!(admit(&mut holds, &fatal, true, ms(60_001)), Admission::Probe);
    holds.return_probe(&fatal, ms(60_002));
    assert_eq!(admit(&mut holds, &fatal, true, ms(60_003)), Admission::Probe);
    assert_eq!(
        admit(&mut holds, &fatal, true, ms(61_003)),
        Admission::Held(ms(119_000)),
        "it counts as the first one"
    );
}

/// Guards against messages whose content looks more recent than it is, as they reach some hundred nodes one after the
/// other.
#[test]
fn all_ages_of_a_message_grow_until_it_is_sent() {
    let mut node = Quarantine::default();
    node.record_broken(&run(1), &prompt(&[FATAL]), ms(1000));
    let due = node.due(2, ms(1100), &mut SmallRng::seed_from_u64(1));
    let [message] = &due.to_all[..] else {
        panic!("one message expected: {due:?}");
    };
    assert_eq!(message.crashes[0].age, ms(100));
    assert_eq!(message.aged(ms(500)).crashes[0].age, ms(600));
    let refuted = Message {
        refuted: vec![(run(1), ms(10))],
        served: vec![(part(SYSTEM), ms(20))],
        ..Message::default()
    };
    let aged = refuted.aged(ms(500));
    assert_eq!((aged.refuted[0].1, aged.served[0].1), (ms(510), ms(520)));
}

/// Guards against a hold that ends because a request was served that was sent before the part became fatal.
#[test]
fn request_from_before_the_first_end_lifts_nothing() {
    let fatal = prompt(&[FATAL]);
    let mut holds = Holds::default();
    holds.begin(&culprit(&fatal, ms(500)), ms(1000));
    assert!(holds.lift(&fatal, ms(400), ms(2000)).is_empty());
    assert_eq!(holds.lift(&fatal, ms(600), ms(2000)), slice::from_ref(&fatal));
}

/// Guards against a node that was cut off and brings back a hold that was lifted, or takes back a probe.
#[test]
fn newest_revision_of_a_hold_wins() {
    let fatal = prompt(&[FATAL]);
    let [mut here, mut there] = [Holds::default(), Holds::default()];
    here.begin(&culprit(&fatal, ms(0)), ms(0));
    let old = here.reports(ms(1));
    assert!(there.apply(&old[0], ms(1)));
    assert_eq!(here.lift(&fatal, ms(5), ms(10)), slice::from_ref(&fatal));
    assert!(!here.apply(&old[0], ms(20)), "it was lifted since");
    assert!(there.apply(&here.reports(ms(20))[0], ms(20)));
    assert!(!there.is_held(&fatal));
}

/// Guards against holds that last for ever.
#[test]
fn hold_without_requests_is_forgotten() {
    let fatal = prompt(&[FATAL]);
    let mut holds = Holds::default();
    holds.begin(&culprit(&fatal, ms(0)), ms(0));
    holds.expire(Duration::from_secs(600));
    assert!(holds.is_held(&fatal));
    holds.expire(Duration::from_secs(661));
    assert!(!holds.is_held(&fatal));
}

fn tell(from: &mut Quarantine, to: &mut Quarantine, now: BootTime) -> usize {
    let due = from.due(2, now, &mut SmallRng::seed_from_u64(1));
    let messages: Vec<Message> = due.to_all.into_iter().chain(due.to_some).collect();
    for it in &messages {
        to.apply(it, now);
    }
    messages.len()
}

/// Guards against nodes that each see too few ends of one cause.
#[test]
fn nodes_find_together_what_each_saw_too_seldom() {
    let [mut a, mut b] = [Quarantine::default(), Quarantine::default()];
    for it in 0..50 {
        for node in [&mut a, &mut b] {
            node.record_served(&run(1000), &prompt(&[900 + it]), ms(0), ms(1));
        }
    }
    for it in 0..4 {
        let now = ms(1000 + 200 * it);
        let node = if it % 2 == 0 { &mut a } else { &mut b };
        node.record_broken(&run(it), &prompt(&[FATAL, 10 + it]), now);
        a.record_served(&run(1000), &prompt(&[999]), now, now + ms(1));
        b.record_served(&run(1000), &prompt(&[999]), now, now + ms(1));
        tell(&mut a, &mut b, now + ms(50));
        tell(&mut b, &mut a, now + ms(50));
    }
    assert!(a.judge(ms(1700)).begun.is_empty(), "the last end has not settled");
    assert_eq!(a.judge(ms(2000)).begun, [prompt(&[FATAL])]);
    tell(&mut a, &mut b, ms(2050));
    assert!(b.is_held(&prompt(&[FATAL, 77])));
}

/// Guards against a flood of messages while many requests are broken off.
#[test]
fn what_is_told_is_bounded() {
    let [mut a, mut b] = [Quarantine::default(), Quarantine::default()];
    let mut messages = 0;
    for tick in 0..100 {
        let now = ms(1000 + 100 * tick);
        for it in 0..50 {
            a.record_broken(&run(50 * tick + it), &request(50 * tick + it), now);
        }
        messages += tell(&mut a, &mut b, now);
    }
    // 128 observations a second of each of two nodes, told twice, 8 in a message; and holds in each round.
    assert!(
        messages <= 10 * (2 * 128 / 8 + 2) + 100,
        "{messages} messages in 10 s"
    );
}
