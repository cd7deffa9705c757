//! Tests of the pool.

use model::object::service::Repeat;
use model::{Class, Domain, Usage};
use rand::SeedableRng;
use rand::rngs::SmallRng;

use super::*;

mod properties;

pub(super) const SECOND: Duration = Duration::from_secs(1);

pub(super) fn pool(engines: usize, concurrency: u32) -> (Pool, Vec<Host>, SmallRng) {
    let domain: Domain = "d0".into();
    let node = DomainMember {
        name: "node".into(),
        domain,
    };
    let settings = Settings {
        initial_concurrency: concurrency,
        ..Settings::default()
    };
    let pool = Pool::new(settings, node.clone());
    let hosts: Vec<Host> = (0..engines)
        .map(|it| Host {
            name: format!("e{it}").into(),
            domain: format!("d{}", it % 3).into(),
            state: HostState::Live,
        })
        .collect();
    let mut rng = SmallRng::seed_from_u64(1);
    pool.update_hosts(&hosts, &[node], Duration::ZERO, &mut rng);
    (pool, hosts, rng)
}

pub(super) fn request(ticket: Ticket) -> Request {
    Request {
        ticket,
        organisation: "org".into(),
        weight: 1,
        class: Class::Standard,
        deadline: SECOND * 30,
        repeat: Repeat::Idempotent,
        prompt: 100,
        output: 100,
        blocks: Vec::new(),
        session: None,
    }
}

/// Guards against a completion that does not free capacity for the next queued request.
#[test]
fn completion_dispatches_the_next_request() {
    let (pool, _, mut rng) = pool(1, 1);
    let first = pool.submit(request(1), SECOND, &mut rng);
    let [Action::Send { attempt, .. }] = first[..] else {
        panic!("{first:?}")
    };
    assert_eq!(pool.submit(request(2), SECOND, &mut rng), []);
    let usage = Usage {
        input: 100,
        cached: 0,
        output: 100,
    };
    let actions = pool.attempt_ended(attempt, Outcome::Done(usage), SECOND * 2, &mut rng);
    assert_eq!(actions[0], Action::Finish { attempt });
    assert!(matches!(actions[1], Action::Send { attempt, .. } if attempt.ticket == 2));
}

/// Guards against new requests for an engine after a leaving notice, also when an outdated host list still
/// lists it as live.
#[test]
fn leaving_engine_receives_no_requests() {
    let (pool, hosts, mut rng) = pool(1, 8);
    pool.mark_leaving(&hosts[0].name, SECOND);
    pool.update_hosts(&hosts, &[], SECOND * 2, &mut rng);
    let actions = pool.submit(request(1), SECOND * 3, &mut rng);
    assert!(matches!(&actions[..], [Action::Refuse { refusal, .. }] if refusal.ran == model::Ran::No));
}

/// Guards against an engine that stays excluded forever after it was replaced under the same name.
#[test]
fn leaving_notice_expires_when_the_list_says_live() {
    let (pool, hosts, mut rng) = pool(1, 8);
    pool.mark_leaving(&hosts[0].name, SECOND);
    pool.update_hosts(&hosts, &[], SECOND * 62, &mut rng);
    let request = Request {
        deadline: SECOND * 90,
        ..request(1)
    };
    let actions = pool.submit(request, SECOND * 63, &mut rng);
    assert!(matches!(&actions[..], [Action::Send { .. }]), "{actions:?}");
}

/// Guards against a new node that refuses requests because it has not earned any retry tokens yet.
#[test]
fn a_new_pool_retries() {
    let (pool, _, mut rng) = pool(2, 8);
    let actions = pool.submit(request(1), SECOND, &mut rng);
    let [Action::Send { attempt, .. }] = actions[..] else {
        panic!("{actions:?}")
    };
    let actions = pool.attempt_ended(attempt, Outcome::Failed, SECOND, &mut rng);
    assert!(matches!(
        actions[..],
        [Action::Send {
            kind: AttemptKind::Retry,
            ..
        }]
    ));
}

/// Guards against a request that waits until its deadline although it has already tried every engine.
#[test]
fn a_request_tried_on_every_engine_is_refused_at_once() {
    let (pool, _, mut rng) = pool(1, 8);
    let actions = pool.submit(request(1), SECOND, &mut rng);
    let [Action::Send { attempt, .. }] = actions[..] else {
        panic!("{actions:?}")
    };
    let outcome = Outcome::NotStarted(Cause::Connect);
    let actions = pool.attempt_ended(attempt, outcome, SECOND, &mut rng);
    assert!(matches!(&actions[..], [Action::Refuse { refusal, .. }] if refusal.ran == model::Ran::No));
}
