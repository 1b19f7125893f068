//! Datagrams that leave over a full link: order, pace and bounds.

mod flow_support;

use std::collections::HashMap;
use std::time::Duration;

use flow_support::*;
use proptest::prelude::*;
use woodladder_core::clock::Instant;
use woodladder_core::flow::identity::FlowKey;
use woodladder_core::flow::link::DATAGRAM_HEADER_BYTES;
use woodladder_core::flow::link::scheduler::{
    DatagramInfo, LinkScheduler, MAXIMUM_SCHEDULER_QUEUE_TIME, TrafficClass,
};

/// Rate of a small machine's link, in kilobits per second.
const RATE_KBPS: u32 = 10_000;
/// Largest datagram, in bytes.
const LARGEST_DATAGRAM: usize = 1300;

fn bulk(port: u16) -> DatagramInfo {
    DatagramInfo {
        length_bytes: LARGEST_DATAGRAM,
        flow: Some(flow(port)),
        class: TrafficClass::Bulk,
    }
}

fn priority(port: u16) -> DatagramInfo {
    DatagramInfo {
        length_bytes: 90,
        flow: Some(flow(port)),
        class: TrafficClass::Priority,
    }
}

/// Time that a datagram takes on a link.
fn link_time(length: usize, rate: u32) -> Duration {
    let bits = u64::try_from((length + DATAGRAM_HEADER_BYTES) * 8).expect("small");
    Duration::from_nanos(bits * 1_000_000 / u64::from(rate))
}

/// Offers bulk datagrams until one is queued; returns how many were sent before.
fn fill(scheduler: &mut LinkScheduler<u32>, port: u16, now: Instant) -> u32 {
    for number in 0..1000 {
        if scheduler.offer(number, bulk(port), now).is_none() {
            return number;
        }
    }
    panic!("the link never fills");
}

#[test]
fn with_room_on_the_link_every_datagram_is_sent_at_once() {
    // Half of the link's rate, in full packets.
    let mut scheduler = LinkScheduler::new(RATE_KBPS);
    for number in 0..1000 {
        let now = at(2 * number);
        assert_eq!(scheduler.offer(number, bulk(1), now), Some(number));
    }
    assert_eq!(scheduler.next_release(), None);
    assert_eq!(scheduler.totals().queued, 0);
}

#[test]
fn a_priority_packet_is_queued_for_one_packets_time_behind_any_amount_of_bulk() {
    let mut scheduler = LinkScheduler::new(RATE_KBPS);
    let sent_count = fill(&mut scheduler, 1, at(0));
    for number in sent_count..sent_count + 50 {
        scheduler.offer(number, bulk(1), at(0));
    }
    assert_eq!(scheduler.offer(777, priority(2), at(0)), None);
    let due = scheduler.next_release().expect("something waits");
    assert!(due.since(at(0)) <= link_time(LARGEST_DATAGRAM, RATE_KBPS) * 11 / 10);
    assert_eq!(scheduler.release(due), Some(777));
}

#[test]
fn a_priority_packet_does_not_overtake_bulk_of_its_own_flow() {
    let mut scheduler = LinkScheduler::new(RATE_KBPS);
    let first = fill(&mut scheduler, 1, at(0));
    scheduler.offer(777, priority(1), at(0));
    assert_eq!(scheduler.release(at(20)), Some(first));
    assert_eq!(scheduler.release(at(20)), Some(777));
}

#[test]
fn a_full_queue_drops_the_newest_bulk_and_accepts_a_priority_packet() {
    let mut scheduler = LinkScheduler::new(RATE_KBPS);
    for number in 0..2000 {
        scheduler.offer(number, bulk(1), at(0));
    }
    let bound = link_time(LARGEST_DATAGRAM, RATE_KBPS).as_nanos();
    let limit = MAXIMUM_SCHEDULER_QUEUE_TIME.as_nanos() / bound * 11 / 10;
    assert!(scheduler.queued_bytes() as u128 <= limit * LARGEST_DATAGRAM as u128);
    let dropped = scheduler.totals().dropped_full;
    assert!(dropped > 1700, "{dropped}");
    assert_eq!(scheduler.offer(7777, priority(2), at(0)), None);
    assert_eq!(scheduler.release(at(20)), Some(7777));
}

#[test]
fn after_a_pause_datagrams_queued_for_too_long_are_not_sent() {
    let mut scheduler = LinkScheduler::new(RATE_KBPS);
    fill(&mut scheduler, 1, at(0));
    let late = at(0) + MAXIMUM_SCHEDULER_QUEUE_TIME;
    assert_eq!(scheduler.release(late), None);
    assert_eq!(scheduler.totals().dropped_late, 1);
    assert_eq!(scheduler.queued_bytes(), 0);
    assert_eq!(scheduler.next_release(), None);
    assert_eq!(scheduler.offer(5, bulk(1), late), Some(5));
}

#[derive(Clone, Debug)]
struct Arrival {
    after_us: u64,
    port: u16,
    length: usize,
    is_bulk: bool,
}

fn arrival() -> impl Strategy<Value = Arrival> {
    (
        0_u64..1500,
        1_u16..6,
        60_usize..LARGEST_DATAGRAM,
        any::<bool>(),
    )
        .prop_map(|(after_us, port, length, is_bulk)| Arrival {
            after_us,
            port,
            length,
            is_bulk,
        })
}

struct Sent {
    number: usize,
    length: usize,
    key: FlowKey,
    offered_at: Instant,
    sent_at: Instant,
}

/// Offers each datagram at its time, and releases datagrams when they are due.
fn run_scheduler(rate: u32, arrivals: &[Arrival]) -> Vec<Sent> {
    let mut scheduler = LinkScheduler::new(rate);
    let mut sent = Vec::new();
    let mut now = at(1000);
    let mut offered_at = Vec::new();
    let mut record = |number: usize, offered_at: Instant, now: Instant| {
        let arrival = &arrivals[number];
        sent.push(Sent {
            number,
            length: arrival.length,
            key: flow(arrival.port),
            offered_at,
            sent_at: now,
        });
    };
    for (number, arrival) in arrivals.iter().enumerate() {
        let next = now + Duration::from_micros(arrival.after_us);
        while let Some(due) = scheduler.next_release().filter(|due| *due <= next) {
            now = now.max(due);
            while let Some(released) = scheduler.release(now) {
                record(released, offered_at[released], now);
            }
        }
        now = next;
        offered_at.push(now);
        let placement = DatagramInfo {
            length_bytes: arrival.length,
            flow: Some(flow(arrival.port)),
            class: if arrival.is_bulk {
                TrafficClass::Bulk
            } else {
                TrafficClass::Priority
            },
        };
        if let Some(number) = scheduler.offer(number, placement, now) {
            record(number, now, now);
        }
    }
    while let Some(due) = scheduler.next_release() {
        now = now.max(due);
        while let Some(released) = scheduler.release(now) {
            record(released, offered_at[released], now);
        }
    }
    sent
}

proptest! {
    #[test]
    fn order_pace_and_queueing_times_are_bounded(
        rate in 2000_u32..50_000,
        arrivals in prop::collection::vec(arrival(), 1..1500),
    ) {
        let sent = run_scheduler(rate, &arrivals);
        let mut latest: HashMap<FlowKey, usize> = HashMap::new();
        for datagram in &sent {
            if let Some(before) = latest.insert(datagram.key, datagram.number) {
                prop_assert!(before < datagram.number, "a flow's packets changed places");
            }
            let waited = datagram.sent_at.since(datagram.offered_at);
            prop_assert!(waited < MAXIMUM_SCHEDULER_QUEUE_TIME);
        }
        let second = Duration::from_secs(1);
        for (index, first) in sent.iter().enumerate() {
            let bytes: usize = sent[index..]
                .iter()
                .take_while(|it| it.sent_at.since(first.sent_at) < second)
                .map(|it| it.length + DATAGRAM_HEADER_BYTES)
                .sum();
            prop_assert!(bytes as u64 * 8 <= u64::from(rate) * 1000);
        }
    }

    #[test]
    fn no_priority_packet_is_queued_behind_bulk_for_longer_than_one_packet(
        rate in 2000_u32..50_000,
        backlog in 0_u32..200,
        after_us in 0_u64..20_000,
    ) {
        let mut scheduler = LinkScheduler::new(rate);
        for number in 0..backlog {
            scheduler.offer(number, bulk(1), at(1000));
        }
        let mut now = at(1000);
        let comes_at = now + Duration::from_micros(after_us);
        while let Some(due) = scheduler.next_release().filter(|due| *due <= comes_at) {
            now = now.max(due);
            while scheduler.release(now).is_some() {}
        }
        if scheduler.offer(777, priority(2), comes_at).is_none() {
            let due = scheduler.next_release().expect("it waits");
            // The scheduler paces a few percent below the link's rate.
            let one_packet = link_time(LARGEST_DATAGRAM, rate) * 11 / 10;
            prop_assert!(due.since(comes_at) <= one_packet);
            prop_assert_eq!(scheduler.release(due.max(comes_at)), Some(777));
        }
    }

    #[test]
    fn nothing_is_dropped_below_the_rate(
        arrivals in prop::collection::vec(arrival(), 1..800),
    ) {
        // 1,400 bytes at most every 750 microseconds are 15 megabits per second.
        let sent = run_scheduler(20_000, &arrivals);
        let fits = arrivals.chunks(40).all(|part| {
            let bytes: usize = part.iter().map(|it| it.length + DATAGRAM_HEADER_BYTES).sum();
            let time: u64 = part.iter().map(|it| it.after_us).sum();
            bytes as u64 * 8 <= time * 19
        });
        if fits {
            prop_assert_eq!(sent.len(), arrivals.len());
        }
    }
}
