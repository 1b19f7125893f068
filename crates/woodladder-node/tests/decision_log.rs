//! Rate limits of log lines: a burst is bounded, important lines have a higher limit, and
//! the number of lines left out is stated.

use std::time::Duration;

use woodladder_core::clock::Instant;
use woodladder_node::decision_log::{Importance, LogRateLimiter};

fn instant_at_ms(milliseconds: u64) -> Instant {
    Instant::from_origin(Duration::from_millis(milliseconds))
}

/// Number of lines that are written when `per_second` lines arrive each second, for
/// `seconds`.
fn lines_written(importance: Importance, per_second: u64, seconds: u64) -> u64 {
    let mut limiter = LogRateLimiter::default();
    let lines = (0..per_second * seconds).map(|line| instant_at_ms(line * 1000 / per_second));
    lines
        .filter(|now| limiter.allow("kind", importance, *now).is_some())
        .count()
        .try_into()
        .expect("small")
}

#[test]
fn an_ordinary_load_is_logged_completely() {
    assert_eq!(lines_written(Importance::Ordinary, 150, 20), 3000);
}

#[test]
fn a_burst_is_bounded_and_important_lines_have_a_higher_limit() {
    let ordinary = lines_written(Importance::Ordinary, 20_000, 10);
    let important = lines_written(Importance::Important, 20_000, 10);
    assert!(ordinary <= 10 * 200 + 4 * 200, "{ordinary}");
    assert!(important <= 10 * 400 + 4 * 400, "{important}");
    assert!(important > ordinary);
}

#[test]
fn the_next_line_states_how_many_were_left_out() {
    let mut limiter = LogRateLimiter::default();
    let lines_written = (0..1000)
        .filter(|_| {
            limiter
                .allow("kind", Importance::Ordinary, instant_at_ms(0))
                .is_some()
        })
        .count();
    let left_out = 1000 - u64::try_from(lines_written).expect("small");
    let next = limiter.allow("kind", Importance::Ordinary, instant_at_ms(1000));
    assert_eq!(next, Some(left_out));
    assert_eq!(
        limiter.allow("other", Importance::Ordinary, instant_at_ms(1000)),
        Some(0)
    );
}
