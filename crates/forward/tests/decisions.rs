//! Guards against requests on wrong routes, herds on one engine, and answers dropped without gain.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use forward::belief::Belief;
use forward::catalog::{Configuration, Kind, Limits, Organisation, Route};
use forward::directory::Engine;
use forward::flow::Failure;
use forward::load::{Loads, Report};
use forward::placement::{self, Demand, Size};
use forward::quality::{self, Situation, Verdict};
use model::Domain;
use model::object::service::Repeat;
use rand::SeedableRng;
use rand::rngs::StdRng;

const SECOND: Duration = Duration::from_secs(1);

fn route(name: &str, prefix: &str, split: &[(&str, u32)]) -> Route {
    Route {
        name: name.into(),
        host: "Shop.example".into(),
        prefix: prefix.into(),
        kind: Kind::Call(Repeat::Idempotent),
        timeout: SECOND,
        goal: SECOND,
        pause: None,
        attempts: 1,
        priority: 0,
        public: false,
        models: vec![],
        split: split
            .iter()
            .map(|(name, share)| ((*name).into(), *share))
            .collect(),
    }
}

fn configuration() -> Configuration {
    let limits = Limits {
        head_bytes: 16_384,
        body_bytes: 1 << 20,
        head_timeout: SECOND,
        idle_timeout: SECOND * 15,
    };
    let organisation = Arc::new(Organisation {
        name: "press".into(),
        priority: Some(1),
    });
    let keys = HashMap::from([("secret".to_owned(), organisation)]);
    let routes = vec![
        route("short", "/a/", &[("x", 1)]),
        route("long", "/a/b/", &[("x", 1)]),
    ];
    Configuration::new(3, limits, vec![], routes, Some(keys))
}

macro_rules! routes {
    ($($name:ident: $host:literal $path:literal => $route:expr;)*) => {
        $(#[test]
        fn $name() {
            let configuration = configuration();
            let found = configuration.route($host, $path).map(|it| it.name.to_string());
            assert_eq!(found.as_deref(), $route);
        })*
    };
}

routes! {
    longest_prefix_wins: "shop.example" "/a/b/c" => Some("long");
    shorter_prefix_takes_the_rest: "shop.example" "/a/c" => Some("short");
    host_names_ignore_case: "SHOP.example" "/a/c" => Some("short");
    other_host_has_no_route: "other.example" "/a/c" => None;
    prefix_ends_at_a_slash: "shop.example" "/a" => None;
}

#[test]
fn split_follows_the_shares() {
    let route = route("split", "/", &[("x", 90), ("y", 10)]);
    let mut rng = StdRng::seed_from_u64(1);
    let drawn = (0..1000).filter(|_| route.service(&mut rng).is_some_and(|it| &**it == "y"));
    let count = drawn.count();
    assert!((70..130).contains(&count), "{count}");
}

#[test]
fn key_without_holder_is_unknown() {
    assert!(configuration().organisation("secret").is_some());
    assert!(configuration().organisation("guess").is_none());
}

#[test]
fn belief_ages_from_the_latest_confirmation() {
    let mut belief = Belief::unknown();
    assert_eq!(belief.age(SECOND), None);
    belief.replace(Arc::new(1));
    belief.confirm(SECOND * 5);
    belief.confirm(SECOND * 3);
    assert_eq!(belief.age(SECOND * 7), Some(SECOND * 2));
    assert!(!belief.is_fresh(SECOND * 7, SECOND * 2));
}

fn engine(id: &str, domain: &str, slots: u32) -> Arc<Engine> {
    Arc::new(Engine {
        id: id.into(),
        born: 1,
        service: "pool".into(),
        address: ([127, 0, 0, 1], 9000).into(),
        domain: domain.into(),
        version: "v1".into(),
        slots,
        draining: false,
    })
}

fn engines(count: usize) -> Vec<Arc<Engine>> {
    let domain = |it: usize| ["a", "b", "c"][it % 3];
    (0..count)
        .map(|it| engine(&format!("e{it}"), domain(it), 8))
        .collect()
}

fn choose(
    engines: &[Arc<Engine>],
    loads: &Loads,
    affinity: Option<u64>,
    tried: &[Arc<Engine>],
    rng: &mut StdRng,
) -> Option<Arc<Engine>> {
    let demand = Demand {
        domain: &Domain::from("a"),
        affinity,
        model: None,
        size: None,
        max_in_flight: u32::MAX,
        tried,
    };
    placement::choose(engines, loads, &demand, SECOND, rng)
}

#[test]
fn tried_engine_is_not_chosen_again() {
    let all = engines(2);
    let mut rng = StdRng::seed_from_u64(1);
    let second = choose(&all, &Loads::default(), None, &all[..1], &mut rng);
    assert_eq!(second.as_deref(), Some(&*all[1]));
    assert_eq!(choose(&all, &Loads::default(), None, &all, &mut rng), None);
}

#[test]
fn own_domain_is_preferred_while_it_has_room() {
    let all = engines(6);
    let mut loads = Loads::default();
    let mut rng = StdRng::seed_from_u64(1);
    let first = choose(&all, &loads, None, &[], &mut rng);
    assert_eq!(first.map(|it| it.domain.to_string()).as_deref(), Some("a"));
    for near in all.iter().filter(|it| &*it.domain == "a") {
        (0..8).for_each(|_| loads.sent(near, 0.0));
    }
    let next = choose(&all, &loads, None, &[], &mut rng);
    assert_ne!(next.map(|it| it.domain.to_string()).as_deref(), Some("a"));
}

#[test]
fn requests_spread_over_the_engines_of_a_domain() {
    let all: Vec<_> = (0..6).map(|it| engine(&format!("e{it}"), "a", 8)).collect();
    let mut loads = Loads::default();
    let mut rng = StdRng::seed_from_u64(1);
    for _ in 0..24 {
        let Some(it) = choose(&all, &loads, None, &[], &mut rng) else {
            continue;
        };
        loads.sent(&it, 0.0);
    }
    let counts: Vec<_> = all
        .iter()
        .map(|it| loads.get(it).map_or(0, |it| it.in_flight))
        .collect();
    assert_eq!(counts, [4; 6]);
}

#[test]
fn engine_that_reads_long_prompts_is_left_alone() {
    let all: Vec<_> = (0..2).map(|it| engine(&format!("e{it}"), "a", 64)).collect();
    let mut loads = Loads::default();
    loads.sent(&all[0], 900_000.0);
    loads.sent(&all[1], 1_000.0);
    loads.sent(&all[1], 1_000.0);
    let mut rng = StdRng::seed_from_u64(1);
    let size = Size {
        lane: 0.25,
        mean: 10_000.0,
    };
    let demand = Demand {
        domain: &Domain::from("a"),
        affinity: None,
        model: None,
        size: Some(size),
        max_in_flight: u32::MAX,
        tried: &[],
    };
    let chosen = placement::choose(&all, &loads, &demand, SECOND, &mut rng);
    assert_eq!(chosen.as_deref(), Some(&*all[1]));
    loads.begun(&all[0], 900_000.0);
    let chosen = placement::choose(&all, &loads, &demand, SECOND, &mut rng);
    assert_eq!(chosen.as_deref(), Some(&*all[0]));
}

#[test]
fn shared_part_finds_the_same_engines_on_every_node() {
    let all = engines(18);
    let mut chosen = std::collections::BTreeSet::new();
    for seed in 0..40 {
        let mut rng = StdRng::seed_from_u64(seed);
        chosen.extend(choose(&all, &Loads::default(), Some(0xfeed), &[], &mut rng).map(|it| it.id.clone()));
    }
    assert!(chosen.len() <= 2, "{chosen:?}");
}

#[test]
fn failed_engine_is_avoided_for_a_time() {
    let all = engines(2);
    let mut loads = Loads::default();
    loads.sent(&all[0], 0.0);
    loads.failed(&all[0], Failure::Unreachable, SECOND);
    let load = loads.get(&all[0]).cloned();
    assert!(load.as_ref().is_some_and(|it| it.is_avoided(SECOND)));
    assert!(load.is_some_and(|it| !it.is_avoided(SECOND * 4)));
}

/// Requests that fail, and picks of engines that fail all requests at once, of 200 requests; two of ten engines do.
fn black_holes(attempts: usize) -> (usize, usize) {
    const BETWEEN: Duration = Duration::from_millis(150);
    const TIME: Duration = Duration::from_millis(4500);
    let all: Vec<_> = (0..30).map(|it| engine(&format!("e{it}"), "a", 12)).collect();
    let fails = |it: &Engine| it.id.ends_with(['3', '7']);
    let mut loads = Loads::default();
    let mut rng = StdRng::seed_from_u64(1);
    let mut busy: Vec<(Duration, Arc<Engine>)> = vec![];
    let (mut failed, mut picks) = (0, 0);
    for request in 0..200 {
        let now = BETWEEN * request;
        busy.retain(|(end, engine)| {
            let ended = *end <= now;
            if ended {
                loads.ended(engine);
            }
            !ended
        });
        let mut tried = vec![];
        let served = (0..attempts).any(|_| {
            let demand = Demand {
                domain: &Domain::from("a"),
                affinity: None,
                model: None,
                size: None,
                max_in_flight: u32::MAX,
                tried: &tried,
            };
            let engine = placement::choose(&all, &loads, &demand, now, &mut rng).expect("some engine");
            loads.sent(&engine, 0.0);
            tried.push(engine.clone());
            if fails(&engine) {
                loads.failed(&engine, Failure::Failed, now);
                loads.ended(&engine);
                picks += 1;
                return false;
            }
            loads.answered(&engine, 1.0, now);
            busy.push((now + TIME, engine));
            true
        });
        failed += usize::from(!served);
    }
    (failed, picks)
}

/// Guards against engines that fail at once and so always look idle: they would get most of the traffic.
#[test]
fn engines_that_fail_at_once_do_not_attract_requests() {
    let (failed, picks) = black_holes(3);
    assert!(failed <= 2, "{failed} of 200 requests failed");
    assert!(picks <= 40, "{picks} attempts at failing engines");
}

#[test]
fn report_of_other_nodes_requests_counts_and_fades() {
    let all = engines(1);
    let mut loads = Loads::default();
    let report = Report {
        running: 6,
        waiting: 2,
        slots: 8,
    };
    loads.sent(&all[0], 0.0);
    loads.reported(&all[0], report, SECOND);
    let at = |now| loads.get(&all[0]).map_or(0.0, |it| it.requests(now));
    assert!((at(SECOND) - 8.0).abs() < 1e-9);
    assert!(at(SECOND * 10) < 1.5);
}

fn situation(confidence: u8, elapsed_ms: u64, expected_ms: u64) -> Situation {
    Situation {
        confidence: Some(confidence),
        elapsed: Duration::from_millis(elapsed_ms),
        goal: SECOND * 2,
        tokens: Some((628, 290)),
        expected: Some(Duration::from_millis(expected_ms)),
    }
}

macro_rules! verdicts {
    ($($name:ident: $confidence:literal, $elapsed:literal ms, $expected:literal ms => $verdict:ident;)*) => {
        $(#[test]
        fn $name() {
            let verdict = quality::judge(situation($confidence, $elapsed, $expected));
            assert_eq!(verdict, Verdict::$verdict);
        })*
    };
}

#[test]
fn answer_that_costs_much_of_its_worth_is_escalated_at_less_confidence() {
    let verdict = |tokens| {
        quality::judge(Situation {
            tokens: Some(tokens),
            ..situation(40, 50, 200)
        })
    };
    assert_eq!(verdict((628, 290)), Verdict::Escalate);
    assert_eq!(verdict((2368, 23)), Verdict::Accept);
}

verdicts! {
    doubtful_answer_is_escalated: 20, 50 ms, 200 ms => Escalate;
    confident_answer_is_passed_on: 90, 50 ms, 200 ms => Accept;
    late_answer_is_passed_on: 0, 1_500 ms, 200 ms => Accept;
    saturated_model_gets_no_more_work: 5, 50 ms, 1_600 ms => Accept;
    busy_model_gets_the_most_doubtful_answers: 5, 50 ms, 1_000 ms => Escalate;
    busy_model_does_not_get_the_others: 45, 50 ms, 1_000 ms => Accept;
}
