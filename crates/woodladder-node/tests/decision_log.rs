//! Budgets of log lines: bounded under a burst, important lines kept longer,
//! and what is left out is stated.

use std::time::Duration;

use woodladder_core::clock::Instant;
use woodladder_node::decision_log::{Importance, LineBudget};

fn at(milliseconds: u64) -> Instant {
    Instant::from_origin(Duration::from_millis(milliseconds))
}

/// Lines written out of so many a second, for so many seconds.
fn written(importance: Importance, per_second: u64, seconds: u64) -> u64 {
    let mut budget = LineBudget::default();
    let lines = (0..per_second * seconds).map(|line| at(line * 1000 / per_second));
    lines
        .filter(|now| budget.allow("kind", importance, *now).is_some())
        .count()
        .try_into()
        .expect("small")
}

#[test]
fn an_ordinary_load_is_written_whole() {
    assert_eq!(written(Importance::Ordinary, 150, 20), 3000);
}

#[test]
fn a_burst_is_bounded_and_important_lines_are_kept_longer() {
    let ordinary = written(Importance::Ordinary, 20_000, 10);
    let important = written(Importance::Important, 20_000, 10);
    assert!(ordinary <= 10 * 200 + 4 * 200, "{ordinary}");
    assert!(important <= 10 * 400 + 4 * 400, "{important}");
    assert!(important > ordinary);
}

#[test]
fn the_next_line_states_how_many_were_left_out() {
    let mut budget = LineBudget::default();
    let written = (0..1000)
        .filter(|_| budget.allow("kind", Importance::Ordinary, at(0)).is_some())
        .count();
    let left_out = 1000 - u64::try_from(written).expect("small");
    let next = budget.allow("kind", Importance::Ordinary, at(1000));
    assert_eq!(next, Some(left_out));
    assert_eq!(
        budget.allow("other", Importance::Ordinary, at(1000)),
        Some(0)
    );
}
