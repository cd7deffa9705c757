//! Guards against requests that a stopping node accepts and cuts off at its exit.

use std::time::Duration;

use forward::configuration::RouteKind;
use forward::drain::Drain;
use model::object::service::Repeat;

const DRAIN: Drain = Drain {
    addresses_expired: Duration::from_secs(3),
    exit: Duration::from_millis(7_600),
};

const CALL: RouteKind = RouteKind::Call(Repeat::Idempotent);

const STREAM: RouteKind = RouteKind::Stream { resumable: true };

macro_rules! arrivals {
    ($($name:ident: $kind:expr, $elapsed:literal ms => $accepted:literal;)*) => {
        $(#[test]
        fn $name() {
            assert_eq!(DRAIN.accepts($kind, Duration::from_millis($elapsed)), $accepted);
        })*
    };
}

arrivals! {
    call_with_a_cached_address_is_served: CALL, 4_000 ms => true;
    call_just_before_the_exit_is_refused: CALL, 7_535 ms => false;
    stream_with_a_cached_address_is_served: STREAM, 2_000 ms => true;
    stream_after_the_addresses_expired_is_refused: STREAM, 3_500 ms => false;
}
