//! Guards against requests that a stopping node accepts and cuts off at its exit.

use std::time::Duration;

use forward::drain::{Arrival, Drain};
use model::object::service::Repeat;
use proptest::prelude::*;

const ADDRESSES_EXPIRED: Duration = Duration::from_secs(3);
const EXIT: Duration = Duration::from_millis(7_600);

/// Time that a call may take.
const CALL: Duration = Duration::from_millis(1_200);

/// Time that a call of another route may take.
const LONG_CALL: Duration = Duration::from_millis(2_500);

/// Time that a stream may take.
const STREAM: Duration = Duration::from_secs(20);

/// A request that may be repeated and of which nothing is expected.
fn repeatable(time_left: Duration) -> Arrival {
    Arrival {
        repeat: Repeat::Idempotent,
        time_left,
        expected: None,
    }
}

macro_rules! arrivals {
    ($($name:ident: $time_left:expr, $elapsed:literal ms => $accepted:literal;)*) => {
        $(#[test]
        fn $name() {
            let drain = Drain::new(ADDRESSES_EXPIRED, EXIT);
            assert_eq!(drain.accepts(&repeatable($time_left), Duration::from_millis($elapsed)), $accepted);
        })*
    };
}

arrivals! {
    call_with_a_cached_address_is_served: CALL, 4_000 ms => true;
    call_that_ends_before_the_exit_is_served: CALL, 6_100 ms => true;
    call_that_may_outlast_the_stop_is_refused: CALL, 6_500 ms => false;
    long_call_that_may_outlast_the_stop_is_refused: LONG_CALL, 5_200 ms => false;
    call_just_before_the_exit_is_refused: CALL, 7_535 ms => false;
    call_without_time_just_before_the_exit_is_refused: Duration::ZERO, 7_535 ms => false;
    stream_with_a_cached_address_is_served: STREAM, 2_000 ms => true;
    stream_after_the_addresses_expired_is_refused: STREAM, 3_500 ms => false;
    stream_sent_after_the_addresses_expired_is_refused_though_the_signal_was_late: STREAM, 2_900 ms => false;
    stream_with_little_time_is_served: Duration::from_secs(2), 3_500 ms => true;
}

/// Guards against requests that are accepted after the final responses because addresses outlive the stop.
#[test]
fn nothing_is_accepted_after_the_final_responses() {
    let drain = Drain::new(Duration::from_secs(9), EXIT);
    assert!(!drain.accepts(&repeatable(Duration::from_millis(1)), drain.final_responses));
    assert!(drain.addresses_expired <= drain.final_responses && drain.final_responses < drain.exit);
}

/// Guards against a stream that is known to be too long, and against one that is refused though it is short.
#[test]
fn expected_time_decides_about_streams_with_a_cached_address() {
    let drain = Drain::new(ADDRESSES_EXPIRED, EXIT);
    let accepts = |seconds| {
        let expected = Some(Duration::from_secs(seconds));
        let arrival = Arrival {
            expected,
            ..repeatable(STREAM)
        };
        drain.accepts(&arrival, Duration::from_secs(2))
    };
    assert!(accepts(5));
    assert!(!accepts(6));
}

/// Guards against a panic for a time that a caller makes up.
#[test]
fn any_time_is_compared() {
    let drain = Drain::new(ADDRESSES_EXPIRED, EXIT);
    let arrival = Arrival {
        expected: Some(Duration::MAX),
        ..repeatable(Duration::MAX)
    };
    assert!(!drain.accepts(&arrival, Duration::from_secs(1)));
}

proptest! {
    /// Guards against LOST, for all settings: a request that may not be repeated, that is passed on and can't be answered
    /// before the exit.
    #[test]
    fn what_may_run_once_ends_before_the_final_responses(
        lifetime_ms in 1_000_u64..20_000,
        exit_ms in 3_000_u64..60_000,
        time_left_ms in 0_u64..30_000,
        expected_ms in prop::option::of(0_u64..30_000),
        elapsed_ms in 0_u64..60_000,
    ) {
        let drain = Drain::new(Duration::from_millis(3 * lifetime_ms), Duration::from_millis(exit_ms));
        let (time_left, elapsed) = (Duration::from_millis(time_left_ms), Duration::from_millis(elapsed_ms));
        let expected = expected_ms.map(Duration::from_millis);
        let arrival = Arrival { repeat: Repeat::NonIdempotent, time_left, expected };
        if drain.accepts(&arrival, elapsed) {
            prop_assert!(elapsed + time_left <= drain.final_responses);
        }
        let arrival = Arrival { repeat: Repeat::Idempotent, ..arrival };
        if drain.accepts(&arrival, elapsed) {
            let expected = expected.map_or(time_left, |it| it.min(time_left));
            let ends_in_time = elapsed + expected <= drain.final_responses;
            prop_assert!(ends_in_time || arrival.expected.is_none() && elapsed * 2 <= drain.final_responses);
        }
    }
}
