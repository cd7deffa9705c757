//! Guards against requests that a stopping node accepts and cuts off at its exit.

use std::time::Duration;

use forward::drain::Drain;

const ADDRESSES_EXPIRED: Duration = Duration::from_secs(3);
const EXIT: Duration = Duration::from_millis(7_600);

/// Time that a call may take.
const CALL: Duration = Duration::from_millis(1_200);

/// Time that a call of another route may take.
const LONG_CALL: Duration = Duration::from_millis(2_500);

/// Time that a stream may take.
const STREAM: Duration = Duration::from_secs(20);

macro_rules! arrivals {
    ($($name:ident: $time_left:expr, $elapsed:literal ms => $accepted:literal;)*) => {
        $(#[test]
        fn $name() {
            let drain = Drain::new(ADDRESSES_EXPIRED, EXIT);
            assert_eq!(drain.accepts($time_left, Duration::from_millis($elapsed)), $accepted);
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
    assert!(!drain.accepts(Duration::from_millis(1), drain.final_responses));
    assert!(drain.addresses_expired <= drain.final_responses && drain.final_responses < drain.exit);
}
