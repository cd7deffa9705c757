//! Tests of the concurrency limit.

use super::*;

const LAG: Duration = Duration::from_secs(2);

fn at(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn busy(initial: u32) -> ConcurrencyLimit {
    let mut limit = ConcurrencyLimit::new(initial);
    while limit.has_capacity() {
        limit.request_sent(at(0));
    }
    limit
}

/// Guards against repeated reports of one state that accumulate and lower the limit to zero or by more than
/// the excess.
#[test]
fn repeated_reports_of_one_state_converge() {
    let mut limit = busy(20);
    let load = Load {
        running: 64,
        waiting: 96,
    };
    for idx in 0..100 {
        limit.apply_report(load, LAG, 8.0, at(3_000 + idx * 500));
    }
    assert!((8.0..=9.0).contains(&limit.get()), "{}", limit.get());
}

/// Guards against a limit that stays low although the engine's queue is empty.
#[test]
fn limit_grows_while_nothing_waits() {
    let mut limit = busy(2);
    let load = Load {
        running: 16,
        waiting: 0,
    };
    for idx in 0..200 {
        while limit.has_capacity() {
            limit.request_sent(at(3_000 + idx * 500));
        }
        limit.apply_report(load, LAG, 8.0, at(3_000 + idx * 500));
    }
    assert!(limit.get() > 6.0, "{}", limit.get());
}

/// Guards against a load estimate that omits what this node sent or completed since the report was taken.
#[test]
fn own_sends_correct_a_lagging_report() {
    let mut limit = busy(8);
    for _ in 0..8 {
        limit.request_ended(at(2_000));
    }
    let load = Load {
        running: 20,
        waiting: 0,
    };
    limit.apply_report(load, LAG, 8.0, at(3_000));
    assert_eq!(limit.load(), 12.0);
}

/// Guards against an older report that arrives after a newer one and replaces it.
#[test]
fn older_report_is_ignored() {
    let mut limit = busy(8);
    let report = |running| Load { running, waiting: 0 };
    limit.apply_report(report(30), LAG, 8.0, at(5_000));
    limit.apply_report(report(60), LAG * 2, 8.0, at(5_500));
    assert_eq!(limit.load(), 30.0);
}

/// Guards against a limit that grows without bound in an overloaded pool of services, which report no load.
#[test]
fn without_reports_inflated_latency_lowers_the_limit() {
    let run = |inflation| {
        let mut limit = busy(8);
        for idx in 1..40 {
            while limit.has_capacity() {
                limit.request_sent(at(idx * 500));
            }
            limit.apply_latency(1.0, inflation, at(idx * 500));
        }
        limit.get()
    };
    assert!(run(1.2) > 30.0, "{}", run(1.2));
    assert!(run(5.0) < 2.0, "{}", run(5.0));
}

/// Guards against limits that take half a minute to reach the capacity of idle engines.
#[test]
fn a_limit_grows_by_whole_requests_until_an_engine_reports_a_queue() {
    let mut limit = ConcurrencyLimit::new(1);
    let mut now = Duration::ZERO;
    for _ in 0..20 {
        now += Duration::from_secs(1);
        while limit.has_capacity() {
            limit.request_sent(now);
        }
        now += Duration::from_secs(1);
        let running = limit.inflight();
        limit.apply_report(Load { running, waiting: 0 }, Duration::ZERO, 1.0, now);
    }
    assert!(limit.get() >= 20.0, "{}", limit.get());
}
