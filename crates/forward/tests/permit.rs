//! Guards against permits that are issued faster than a limit allows or long after it has risen, and against those
//! that are lost, used twice or used late by the node that got them.

use std::time::Duration;

use forward::permit::{Decision, Fleet, Issuer, Permits};
use model::Upstream;

fn at(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// Start of the requests; the node and the limit are old by then.
const START: Duration = Duration::from_secs(100);
const OLD: Duration = Duration::from_secs(50);

fn granted(wait: u64) -> Decision {
    Decision::Granted(at(wait))
}

fn denied(wait: u64) -> Decision {
    Decision::Denied(at(wait))
}

/// Requests at times after [`START`] with a limit and a maximum wait, and the decisions about them.
fn check(since: Duration, started_at: Duration, requests: &[(u64, f64, u64, Decision)]) {
    let engine: Upstream = "e1".into();
    let mut issuer = Issuer::new(started_at);
    for (time, rate, max_wait, expected) in requests {
        let decision = issuer.request(&engine, *rate, since, at(*max_wait), START + at(*time));
        assert_eq!(decision, *expected, "at {time} ms");
    }
}

macro_rules! requests {
    ($($name:ident: $since:expr, $started:expr, [$($request:expr),* $(,)?];)*) => {
        $(#[test]
        fn $name() {
            check($since, $started, &[$($request),*]);
        })*
    };
}

requests! {
    permits_are_evenly_spaced: OLD, Duration::ZERO, [
        (0, 2.0, 0, denied(2500)),
        (2500, 2.0, 0, granted(0)),
        (2600, 2.0, 0, denied(400)),
        (3100, 2.0, 0, granted(0)),
        (3490, 2.0, 0, denied(10)),
        (3590, 2.0, 0, granted(0)),
    ];
    unused_permits_are_kept_for_one_interval: OLD, Duration::ZERO, [
        (0, 2.0, 0, denied(2500)),
        (9000, 2.0, 0, granted(0)),
        (9000, 2.0, 0, granted(0)),
        (9000, 2.0, 0, denied(500)),
    ];
    requests_that_wait_are_served_in_order: OLD, Duration::ZERO, [
        (1000, 2.0, 3000, granted(2500)),
        (1000, 2.0, 3000, granted(3000)),
        (1000, 2.0, 3000, denied(3500)),
        (1100, 2.0, 0, denied(3400)),
    ];
    limit_that_rises_takes_effect_at_once: OLD, Duration::ZERO, [
        (0, 0.0, 3000, granted(2500)),
        (3000, 0.0, 0, denied(9500)),
        (3000, 10.0, 0, granted(0)),
    ];
    limit_that_falls_takes_effect_at_once: OLD, Duration::ZERO, [
        (0, 10.0, 3000, granted(2500)),
        (2600, 1.0, 0, denied(900)),
    ];
    first_limit_of_an_engine_waits_until_all_nodes_know_it: at(50), Duration::ZERO, [
        (0, 2.0, 0, denied(200)),
        (200, 2.0, 0, granted(0)),
    ];
    node_that_started_waits_as_it_may_replace_an_issuer: at(50), START - at(3000), [
        (0, 2.0, 0, denied(2500)),
    ];
}

#[test]
fn engine_that_another_node_issued_for_is_taken_over_with_a_wait() {
    let engine: Upstream = "e1".into();
    let mut issuer = Issuer::new(Duration::ZERO);
    assert_eq!(issuer.request(&engine, 2.0, OLD, at(3000), START), granted(2500));
    issuer.retain(|_| false);
    let again = issuer.request(&engine, 2.0, OLD, at(0), START + at(9000));
    assert_eq!(again, denied(2500));
}

#[test]
fn share_of_the_fleet_counts_the_hosts_that_others_know() {
    let mut fleet = Fleet::default();
    assert_eq!(fleet.share(2, 2, START), 1.0);
    assert_eq!(fleet.share(2, 8, START), 0.25);
    fleet.record(8, START);
    fleet.record(4, START + at(1000));
    assert_eq!(fleet.share(2, 2, START + at(2000)), 0.25);
    assert_eq!(fleet.share(9, 9, START + at(2000)), 1.0);
    // The larger number is told no more.
    fleet.record(4, START + Fleet::LOST_RETENTION);
    assert_eq!(fleet.share(2, 2, START + Fleet::LOST_RETENTION), 0.5);
}

#[test]
fn permit_of_a_late_reply_is_used_once_by_a_later_request() {
    let mut permits = Permits::default();
    permits.record_silence(START);
    assert_eq!(permits.denied_for(START + at(60)), at(240));
    permits.record_grant(at(10), START, START + at(100));
    assert_eq!(permits.take(at(0), START + at(100)), None);
    assert_eq!(permits.denied_for(START + at(110)), at(0));
    assert_eq!(permits.take(at(20), START + at(100)), Some(at(10)));
    assert_eq!(permits.take(at(20), START + at(110)), None);
}

#[test]
fn permit_expires_by_the_time_of_its_query() {
    let mut permits = Permits::default();
    permits.record_grant(at(0), START, START + at(700));
    assert_eq!(permits.take(at(0), START + at(700)), None);
    permits.record_grant(at(0), START, START + at(300));
    permits.record_grant(at(0), START, START + at(300));
    assert_eq!(permits.take(at(0), START + at(499)), Some(at(0)));
    assert_eq!(permits.take(at(0), START + Permits::RETENTION), None);
}

#[test]
fn permits_are_used_in_the_order_of_their_times() {
    let mut permits = Permits::default();
    permits.record_grant(at(200), START, START);
    permits.record_grant(at(100), START, START);
    assert_eq!(permits.take(at(500), START), Some(at(100)));
    assert_eq!(permits.take(at(500), START), Some(at(200)));
}

#[test]
fn late_denial_replaces_the_wait_for_its_reply() {
    let mut permits = Permits::default();
    permits.record_silence(START);
    let hosts = 0;
    permits.record_denial(at(20), 2.0, hosts, START + at(60), &mut rand::rng());
    assert_eq!(permits.denied_for(START + at(60)), at(20));
}
