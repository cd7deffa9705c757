//! Guards against expected times by which few responses have ended, or that outlive the responses they come from.

#![expect(clippy::unwrap_used, reason = "helpers of tests may panic")]

use std::time::Duration;

use forward::response_time::ResponseTimes;
use model::Name;

const BEGIN: Duration = Duration::from_millis(300);
const PER_TOKEN: Duration = Duration::from_millis(20);
const NOW: Duration = Duration::from_secs(100);

fn route(name: &str) -> Name {
    Name::from(name)
}

/// Responses with 10 to 200 tokens, each `slowdown` times as slow as the one before it.
fn times(count: u64, slowdown: f64) -> ResponseTimes {
    let mut times = ResponseTimes::default();
    for it in 0..count {
        let tokens = 10 + it * 7 % 190;
        let factor = slowdown.powi(i32::try_from(it).unwrap());
        let total = BEGIN + PER_TOKEN.mul_f64(tokens as f64 * factor);
        times.record(&route("draft"), BEGIN, total, tokens, NOW);
    }
    times
}

fn is_near(time: Option<Duration>, expected: Duration) -> bool {
    time.is_some_and(|it| it.abs_diff(expected) < Duration::from_millis(2))
}

#[test]
fn time_grows_with_the_tokens() {
    let times = times(20, 1.0);
    for tokens in [10, 100, 1000] {
        let expected = times.expected(&route("draft"), tokens, NOW);
        assert!(
            is_near(expected, BEGIN + PER_TOKEN * tokens as u32),
            "{expected:?}"
        );
    }
}

#[test]
fn most_responses_end_in_time() {
    let times = times(20, 1.05);
    let expected = times.expected(&route("draft"), 100, NOW).unwrap();
    let late = (0..20).filter(|it| BEGIN + PER_TOKEN.mul_f64(100.0 * 1.05_f64.powi(*it)) > expected);
    assert!(late.count() <= 2);
}

#[test]
fn few_responses_tell_nothing() {
    assert_eq!(times(7, 1.0).expected(&route("draft"), 100, NOW), None);
    assert_eq!(times(20, 1.0).expected(&route("other"), 100, NOW), None);
}

#[test]
fn old_responses_tell_nothing() {
    let later = NOW + Duration::from_secs(61);
    assert_eq!(times(20, 1.0).expected(&route("draft"), 100, later), None);
}

/// Guards against memory that grows with the number of responses, and with routes that are removed.
#[test]
fn memory_is_bounded() {
    let mut times = times(10_000 % 190, 1.0);
    for it in 0..10_000 {
        let now = NOW + Duration::from_secs(it);
        times.record(&route(&format!("route-{it}")), BEGIN, BEGIN, 1, now);
    }
    let text = format!("{times:?}");
    assert!(text.len() < 100_000, "{} bytes", text.len());
}

/// Guards against a panic for a number of tokens that a caller makes up.
#[test]
fn any_number_of_tokens_has_a_time() {
    let mut times = times(20, 1.0);
    times.record(&route("draft"), BEGIN, Duration::MAX, u64::MAX, NOW);
    for it in 0..20 {
        times.record(&route("slow"), BEGIN, Duration::from_secs(1 << 40), it, NOW);
    }
    for name in ["draft", "slow"] {
        let most = times.expected(&route(name), u64::MAX, NOW).unwrap();
        assert!(most > Duration::from_secs(1 << 40), "{most:?}");
    }
}
