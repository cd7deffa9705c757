//! Tests of plans, counters and posteriors.

use std::time::Duration;

use model::object::version::State;
use model::object::{Organisation, Version};
use model::{Class, Incarnation, Name};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use super::*;

mod progress;

fn config() -> ProptestConfig {
    ProptestConfig {
        rng_seed: RngSeed::Fixed(1),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

fn organisation(quality_permille: u16) -> Organisation {
    Organisation {
        name: "org".into(),
        key_hashes: vec![],
        models: vec!["open".into()],
        versions: vec!["single".into()],
        cascades: vec![],
        services: vec![],
        weight: 1,
        quality_permille,
    }
}

fn version(model: &str, name: &str, state: State) -> Version {
    Version {
        name: name.into(),
        model: model.into(),
        pool: "pool".into(),
        state,
        input_price: 1,
        output_price: 1,
    }
}

fn request(organisation: &Organisation, class: Class, deadline_ms: u64) -> Request<'_> {
    Request {
        organisation,
        class,
        deadline: Duration::from_millis(deadline_ms),
        rating_timeout: Duration::from_millis(200),
        rating_cost: 1,
    }
}

fn observation(version: &Name, adequate: bool) -> Observation<'_> {
    let verdict = if adequate {
        Verdict::Adequate
    } else {
        Verdict::Inadequate
    };
    Observation {
        class: Class::Batch,
        version,
        position: Position::First,
        outcome: RatingOutcome::InTime(verdict),
    }
}

fn any_counter() -> impl Strategy<Value = Counter> {
    (0..9u64, 0..9u64, 0..9u64, 0..9u64).prop_map(|it| Counter {
        adequate: it.0,
        inadequate: it.1,
        escalated_adequate: it.2,
        escalated_inadequate: it.3,
    })
}

fn any_record() -> impl Strategy<Value = Record> {
    (0..3u128, 0..2usize, 0..2usize, any_counter()).prop_map(|(node, class, version, counter)| Record {
        organisation: "org".into(),
        class: Class::ALL[class],
        version: ["a", "b"][version].into(),
        incarnation: Incarnation::from_bits(node),
        counter,
    })
}

fn merged(records: &[Record]) -> Vec<Record> {
    let planner = Planner::new(Incarnation::from_bits(99));
    planner.merge(records, Duration::ZERO);
    let mut all = planner.export(Duration::ZERO);
    all.retain(|it| it.counter != Counter::default());
    all.sort_by_key(|it| (it.class, it.version.clone(), it.incarnation));
    all
}

proptest! {
    #![proptest_config(config())]

    // Guards against requests to versions that are withdrawn or not allowed (I1, I2), interactive answers
    // that are held back for a rating, and plans that cannot finish within the deadline.
    #[test]
    fn plans_respect_permissions_class_and_deadline(
        shape in prop::collection::vec((0..3usize, any::<bool>(), 1..50u64, 1..900u64), 1..6),
        class in 0..4usize,
        quality in 0..=1000u16,
        deadline in 1..3000u64,
        ratings in prop::collection::vec((0..6usize, any::<bool>()), 0..60),
        seed in any::<u64>(),
    ) {
        let organisation = organisation(quality);
        let versions: Vec<_> = shape
            .iter()
            .enumerate()
            .map(|(idx, &(model, live, ..))| {
                let name = if model == 2 && idx == 0 { "single".into() } else { format!("v{idx}") };
                let state = if live { State::Live } else { State::Withdrawn };
                version(["open", "closed", "other"][model], &name, state)
            })
            .collect();
        let candidates: Vec<_> = versions
            .iter()
            .zip(&shape)
            .map(|(version, it)| Candidate { version, cost: it.2, latency: Duration::from_millis(it.3) })
            .collect();
        let planner = Planner::new(Incarnation::from_bits(1));
        for (idx, adequate) in ratings {
            let name = Name::from(format!("v{idx}"));
            let mut observation = observation(&name, adequate);
            observation.class = Class::ALL[class];
            planner.observe(&organisation.name, &observation, Duration::ZERO);
        }
        let req = request(&organisation, Class::ALL[class], deadline);
        let mut rng = SmallRng::seed_from_u64(seed);
        for _ in 0..20 {
            let Ok(plan) = planner.plan(&req, &candidates, &mut rng) else {
                let in_time = |it: &Candidate<'_>| req.permits(it.version) && it.latency <= req.deadline;
                let usable = candidates.iter().any(in_time);
                prop_assert!(!usable);
                continue;
            };
            let mut elapsed = Duration::ZERO;
            let (last, rated_first) = plan.steps.split_last().expect("a plan has a step");
            for step in &plan.steps {
                let idx = versions.iter().position(|it| it.name == step.version).expect("a candidate");
                let allowed = shape[idx].0 == 0 || &*step.version == "single";
                prop_assert!(allowed && shape[idx].1);
                elapsed += step.latency;
            }
            elapsed += req.rating_timeout * rated_first.len() as u32;
            prop_assert!(elapsed <= req.deadline);
            prop_assert!(!matches!(last.rating_mode, RatingMode::BeforeDelivery(_)));
            prop_assert!(rated_first.is_empty() || matches!(req.class, Class::Standard | Class::Batch));
        }
    }

    // Guards against counters that depend on the order, grouping or repetition of gossip messages.
    #[test]
    fn merge_is_commutative_associative_and_idempotent(
        a in prop::collection::vec(any_record(), 0..8),
        b in prop::collection::vec(any_record(), 0..8),
    ) {
        let ab = merged(&[a.clone(), b.clone()].concat());
        prop_assert_eq!(&ab, &merged(&[b.clone(), a.clone()].concat()));
        prop_assert_eq!(&ab, &merged(&[a.clone(), b.clone(), a.clone()].concat()));
        prop_assert_eq!(&ab, &merged(&[merged(&a), merged(&b)].concat()));
        prop_assert_eq!(&ab, &merged(&[a, ab.clone(), b].concat()));
    }

    // Guards against unlimited exploration, for instance while the rating service is down and no rating
    // arrives.
    #[test]
    fn exploration_stays_within_its_limit(seed in any::<u64>(), count in 1..3000u64) {
        let organisation = organisation(900);
        let versions = [version("open", "a", State::Live), version("open", "b", State::Live)];
        let candidates = versions.each_ref().map(|version| Candidate {
            version,
            cost: 1,
            latency: Duration::from_millis(1),
        });
        let planner = Planner::new(Incarnation::from_bits(1));
        let req = request(&organisation, Class::Interactive, 1000);
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut explored = 0;
        for _ in 0..count {
            let plan = planner.plan(&req, &candidates, &mut rng).expect("two candidates");
            explored += u64::from(plan.purpose == Purpose::Exploration);
        }
        prop_assert_eq!(explored, planner.stats(&organisation.name, Class::Interactive).explored);
        prop_assert!(explored as f64 <= 60.0 + 0.02 * count as f64, "{} of {}", explored, count);
    }
}

// Guards against a posterior that still reflects old ratings after the adequacy of a version has changed.
#[test]
fn posterior_follows_a_change_within_60_ratings() {
    let mut posterior = Posterior::default();
    for idx in 0..2000u64 {
        posterior.update(u64::from(idx % 10 != 0), u64::from(idx % 10 == 0));
    }
    assert!((posterior.estimate(0.5, 2.0).0 - 0.9).abs() < 0.02);
    for idx in 0..60u64 {
        posterior.update(u64::from(idx % 2 == 0), u64::from(idx % 2 != 0));
    }
    assert!((posterior.estimate(0.5, 2.0).0 - 0.5).abs() < 0.15);
}

// Guards against a missing rating that counts as adequate or inadequate.
#[test]
fn missing_rating_does_not_change_counters() {
    let planner = Planner::new(Incarnation::from_bits(1));
    let name = Name::from("a");
    let missing = Observation {
        outcome: RatingOutcome::Missing,
        ..observation(&name, true)
    };
    planner.observe(&"org".into(), &missing, Duration::ZERO);
    assert!(planner.export(Duration::ZERO).is_empty());
}

// Guards against a node that ignores the ratings received by other nodes.
#[test]
fn merged_ratings_change_the_plan() {
    let organisation = organisation(800);
    let versions = [
        version("open", "cheap", State::Live),
        version("open", "dear", State::Live),
    ];
    let candidates = [(0, 1), (1, 9)].map(|(idx, cost)| Candidate {
        version: &versions[idx],
        cost,
        latency: Duration::from_millis(1),
    });
    let planner = Planner::new(Incarnation::from_bits(1));
    let record = |version: &str, adequate| Record {
        organisation: "org".into(),
        class: Class::Interactive,
        version: version.into(),
        incarnation: Incarnation::from_bits(2),
        counter: Counter {
            adequate,
            inadequate: 100 - adequate,
            ..Counter::default()
        },
    };
    let req = request(&organisation, Class::Interactive, 1000);
    let mut rng = SmallRng::seed_from_u64(1);
    let mut first = |planner: &Planner| loop {
        let plan = planner.plan(&req, &candidates, &mut rng).expect("two candidates");
        if plan.purpose != Purpose::Exploration {
            return plan.steps[0].version.clone();
        }
    };
    planner.merge(&[record("cheap", 50), record("dear", 95)], Duration::ZERO);
    assert_eq!(&*first(&planner), "dear");
    let better = Record {
        incarnation: Incarnation::from_bits(3),
        ..record("cheap", 99)
    };
    for _ in 0..3 {
        planner.merge(std::slice::from_ref(&better), Duration::ZERO);
    }
    planner.merge(
        &[Record {
            counter: Counter {
                adequate: 990,
                inadequate: 10,
                ..better.counter
            },
            ..better
        }],
        Duration::ZERO,
    );
    assert_eq!(&*first(&planner), "cheap");
}
