//! Load and slow start of a target.

mod support;

use std::time::Duration;

use proptest::prelude::*;
use woodladder_core::packets::hop_list::{FULL_LOAD, Load};
use woodladder_core::target::load::{DEFAULT_CONNECTION_WEIGHT, Usage};
use woodladder_core::target::slow_start::{EffectiveSlots, SlowStart, SlowStartOptions};

use support::at;

fn usage(busy_slots: u32, slots: u16, open_connections: u32) -> Usage {
    Usage {
        busy_slots,
        queued: 0,
        slots: EffectiveSlots::all(slots),
        open_connections,
        connection_limit: 2000,
    }
}

fn load(usage: Usage) -> Load {
    usage.load(0, DEFAULT_CONNECTION_WEIGHT)
}

proptest! {
    #[test]
    fn load_grows_with_work_and_never_overflows(
        busy: u32, queued: u32, pending: u32, open: u32, limit: u32, slots: u16,
    ) {
        let usage = Usage {
            busy_slots: busy,
            queued,
            slots: EffectiveSlots::all(slots),
            open_connections: open,
            connection_limit: limit,
        };
        let more = Usage { busy_slots: busy.saturating_add(1), ..usage };
        prop_assert!(usage.load(pending, 100) <= more.load(pending, 100));
    }

    #[test]
    fn the_ramp_never_shrinks_and_ends(
        samples in prop::collection::vec((1..5000_u64, 0..2000_u64), 0..40),
        slots in 1..500_u16,
    ) {
        let options = SlowStartOptions::default();
        let mut ramp = SlowStart::new(options, at(0));
        let mut now = at(0);
        let mut previous = ramp.effective_slots(slots, now);
        prop_assert!(previous.whole() >= 1);
        for (service_time, after) in samples {
            now = now + Duration::from_millis(after);
            ramp.record_service_time(Duration::from_millis(service_time), now);
            let next = ramp.effective_slots(slots, now);
            prop_assert!(next >= previous && next <= EffectiveSlots::all(slots));
            previous = next;
        }
        let longest_ramp = options.window * 1000 / options.minimum_speed_thousandths;
        let end = ramp.effective_slots(slots, now + longest_ramp);
        prop_assert_eq!(end, EffectiveSlots::all(slots));
        prop_assert!(ramp.is_complete());
    }
}

#[test]
fn all_slots_busy_is_a_full_load_and_connections_count_little() {
    assert_eq!(load(usage(7, 7, 0)), Load(FULL_LOAD));
    assert_eq!(load(usage(0, 7, 2000)), Load(DEFAULT_CONNECTION_WEIGHT));
    assert!(load(usage(0, 7, 2000)) < load(usage(1, 7, 0)));
}

#[test]
fn a_target_without_slots_has_the_greatest_load() {
    assert_eq!(load(usage(1, 0, 0)), Load(u32::MAX));
}

#[test]
fn slow_answers_slow_the_ramp() {
    let mut fast = SlowStart::new(SlowStartOptions::default(), at(0));
    let mut slow = fast.clone();
    for step in 1..=20 {
        let now = at(step * 100);
        fast.record_service_time(Duration::from_millis(10), now);
        slow.record_service_time(Duration::from_millis(10 * step), now);
    }
    let now = at(5000);
    assert!(slow.effective_slots(100, now) < fast.effective_slots(100, now));
}

#[test]
fn a_back_end_that_comes_back_restarts_the_ramp() {
    let mut ramp = SlowStart::new(SlowStartOptions::default(), at(0));
    assert_eq!(ramp.effective_slots(8, at(20_000)).whole(), 8);
    ramp.restart(at(20_000));
    assert_eq!(ramp.effective_slots(8, at(20_000)).whole(), 2);
}
