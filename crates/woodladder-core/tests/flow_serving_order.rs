//! The order in which queued work is served, compared with other orders and with one that
//! knows all arrivals and service times in advance.

use std::time::Duration;

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use woodladder_core::clock::Instant;
use woodladder_core::flow::agent::{
    QueuedWork, ServiceTimes, ServingOrder, WorkGroup, expected_wait,
};

/// Duration of a load, in milliseconds.
const LENGTH_MS: u64 = 20_000;
/// Time between delivery and the first byte of the answer, without the service time, in
/// milliseconds.
const EXCHANGE_MS: u64 = 8;

/// A kind of request: requests per second for each slot, mean service time and aim in
/// milliseconds, value when in time and when late.
#[derive(Clone, Copy, Debug)]
struct Kind {
    rate: f64,
    work_ms: f64,
    aim_ms: u64,
    timeout_ms: u64,
    value: f64,
    late_value: f64,
    is_urgent: bool,
}

const ORDER: Kind = Kind {
    rate: 4.7,
    work_ms: 39.0,
    aim_ms: 300,
    timeout_ms: 4000,
    value: 2.0,
    late_value: 0.6,
    is_urgent: true,
};
const FEED: Kind = Kind {
    rate: 9.5,
    work_ms: 30.0,
    aim_ms: 250,
    timeout_ms: 3000,
    value: 1.0,
    late_value: 0.3,
    is_urgent: false,
};

#[derive(Clone, Copy, Debug)]
struct Arrival {
    /// When the caller sent the request and when it can be served first, in milliseconds.
    sent_ms: u64,
    ready_ms: u64,
    work_ms: u64,
    kind: Kind,
}

/// Arrivals, and the number of slots at each time in milliseconds.
struct Load {
    name: &'static str,
    arrivals: Vec<Arrival>,
    slots: fn(u64) -> u16,
}

/// Arrivals of Poisson processes, with factors on the kinds' rates by time. Requests that
/// are sent during the outage become ready at its end.
fn arrivals(
    slots: f64,
    factors: impl Fn(u64) -> (f64, f64),
    outage: std::ops::Range<u64>,
    seed: u64,
) -> Vec<Arrival> {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let mut all = Vec::new();
    for now in 0..LENGTH_MS {
        let (orders, feeds) = factors(now);
        for (kind, factor) in [(ORDER, orders), (FEED, feeds)] {
            if random.random::<f64>() >= kind.rate * factor * slots / 1000.0 {
                continue;
            }
            // The sum of three uniform random numbers: half the mean in either direction.
            let spread: f64 = (0..3).map(|_| random.random::<f64>()).sum::<f64>() / 1.5;
            let work = kind.work_ms * spread;
            all.push(Arrival {
                sent_ms: now,
                ready_ms: if outage.contains(&now) {
                    outage.end
                } else {
                    now
                },
                work_ms: (work as u64).max(1),
                kind,
            });
        }
    }
    all.sort_by_key(|arrival| arrival.ready_ms);
    all
}

fn loads() -> Vec<Load> {
    let middle = |now: u64| (7_000..13_000).contains(&now);
    vec![
        Load {
            name: "one class ten times",
            arrivals: arrivals(
                2.0,
                |now| if middle(now) { (1.0, 10.0) } else { (1.0, 1.0) },
                0..0,
                1,
            ),
            slots: |_| 2,
        },
        Load {
            name: "all 2.2 times",
            arrivals: arrivals(
                2.0,
                |now| if middle(now) { (2.2, 2.2) } else { (1.0, 1.0) },
                0..0,
                2,
            ),
            slots: |_| 2,
        },
        Load {
            name: "a quarter of the slots away",
            arrivals: arrivals(8.0, |_| (1.5, 1.5), 0..0, 3),
            slots: |now| if (7_000..13_000).contains(&now) { 6 } else { 8 },
        },
        Load {
            name: "return after 1.2 s away",
            arrivals: arrivals(2.0, |_| (1.0, 1.0), 7_000..8_200, 4),
            slots: |_| 2,
        },
    ]
}

fn instant(milliseconds: u64) -> Instant {
    Instant::from_origin(Duration::from_millis(milliseconds))
}

fn queued_work(arrival: &Arrival) -> QueuedWork {
    QueuedWork {
        first_sent: instant(arrival.sent_ms),
        aim: Duration::from_millis(arrival.kind.aim_ms),
        timeout: Duration::from_millis(arrival.kind.timeout_ms),
        expected_time: Duration::from_millis(arrival.kind.work_ms as u64 + EXCHANGE_MS),
        is_urgent: arrival.kind.is_urgent,
        is_eligible: true,
    }
}

#[derive(Clone, Copy, Debug, Default)]
struct Outcome {
    value: f64,
    urgent: u32,
    urgent_in_time: u32,
    others: u32,
    others_in_time: u32,
}

impl Outcome {
    fn count(&mut self, arrival: &Arrival, answered_ms: Option<u64>) {
        let kind = arrival.kind;
        let took = answered_ms.map(|at| at - arrival.sent_ms);
        let in_time = took.is_some_and(|took| took <= kind.aim_ms);
        self.value += match took {
            Some(took) if took <= kind.aim_ms => kind.value,
            Some(took) if took <= kind.timeout_ms => kind.late_value,
            _ => 0.0,
        };
        let could_be_in_time =
            arrival.ready_ms + arrival.work_ms + EXCHANGE_MS <= arrival.sent_ms + kind.aim_ms;
        if !could_be_in_time {
            return;
        }
        let (all, timely) = if kind.is_urgent {
            (&mut self.urgent, &mut self.urgent_in_time)
        } else {
            (&mut self.others, &mut self.others_in_time)
        };
        *all += 1;
        *timely += u32::from(in_time);
    }

    fn figures(&self, most: f64) -> String {
        let others = f64::from(self.others_in_time) / f64::from(self.others);
        let (reached, urgent) = (self.value / most, self.urgent_share());
        format!("value {reached:.3}, urgent in time {urgent:.3}, others {others:.3}")
    }

    fn urgent_share(&self) -> f64 {
        f64::from(self.urgent_in_time) / f64::from(self.urgent)
    }
}

/// Serves a load in the order that `choose` gives for the queued work.
fn serve(
    load: &Load,
    mut choose: impl FnMut(&[QueuedWork], &[Arrival], u16, Instant) -> Option<usize>,
) -> Outcome {
    let mut outcome = Outcome::default();
    let mut next = load.arrivals.iter().peekable();
    let mut queue: Vec<Arrival> = Vec::new();
    let mut busy_until: Vec<u64> = Vec::new();
    for now in 0..LENGTH_MS + 5_000 {
        while let Some(arrival) = next.next_if(|arrival| arrival.ready_ms <= now) {
            queue.push(*arrival);
        }
        queue.retain(|arrival| {
            let has_timed_out = now >= arrival.sent_ms + arrival.kind.timeout_ms;
            if has_timed_out {
                outcome.count(arrival, None);
            }
            !has_timed_out
        });
        busy_until.retain(|until| *until > now);
        let slots = (load.slots)(now);
        while busy_until.len() < usize::from(slots) {
            let work: Vec<QueuedWork> = queue.iter().map(queued_work).collect();
            let Some(chosen) = choose(&work, &queue, slots, instant(now)) else {
                break;
            };
            let arrival = queue.swap_remove(chosen);
            busy_until.push(now + arrival.work_ms);
            outcome.count(&arrival, Some(now + arrival.work_ms + EXCHANGE_MS));
        }
    }
    for arrival in queue {
        outcome.count(&arrival, None);
    }
    outcome
}

fn present_order(load: &Load) -> Outcome {
    let mut order = ServingOrder::default();
    serve(load, |work, _, slots, now| order.choose(work, slots, now))
}

/// Requests on open flows go first, the oldest first; then openings.
fn openings_only(load: &Load) -> Outcome {
    serve(load, |work, _, _, now| {
        let oldest = position(
            work,
            |it| !it.is_urgent,
            |it| std::cmp::Reverse(it.first_sent),
        );
        oldest.or_else(|| position(work, |_| true, |it| (it.group(now), it.first_sent)))
    })
}

/// Within each group, the earliest deadline goes first.
fn earliest_deadline(load: &Load) -> Outcome {
    serve(load, |work, _, _, now| {
        let deadline = |it: &QueuedWork| std::cmp::Reverse(it.first_sent + it.aim);
        position(work, |_| true, |it| (it.group(now), deadline(it)))
    })
}

/// Within each group, the newest goes first; no group has a share.
fn newest_by_group(load: &Load) -> Outcome {
    serve(load, |work, _, _, now| {
        position(work, |_| true, |it| (it.group(now), it.first_sent))
    })
}

fn position<K: Ord>(
    work: &[QueuedWork],
    is_meant: impl Fn(&QueuedWork) -> bool,
    key: impl Fn(&QueuedWork) -> K,
) -> Option<usize> {
    let meant = work.iter().enumerate().filter(|(_, it)| is_meant(it));
    meant.max_by_key(|(_, it)| key(it)).map(|(index, _)| index)
}

/// Upper bound on the value of any order: it knows all arrivals, but of each only the
/// mean service time of its kind. It may interrupt work, and gives time first to what has
/// the greatest value per millisecond, as late as its aim allows.
fn omniscient(load: &Load) -> f64 {
    let end = LENGTH_MS + 5_000;
    let mut free: Vec<u16> = (0..end).map(|now| (load.slots)(now)).collect();
    let mut by_density = load.arrivals.clone();
    let density = |it: &Arrival| it.kind.value / it.kind.work_ms;
    by_density.sort_by(|one, other| density(other).total_cmp(&density(one)));
    let mut value = 0.0;
    let mut late = Vec::new();
    for arrival in by_density {
        if take_slots(&mut free, &arrival, arrival.kind.aim_ms) {
            value += arrival.kind.value;
        } else {
            late.push(arrival);
        }
    }
    for arrival in late {
        if take_slots(&mut free, &arrival, arrival.kind.timeout_ms) {
            value += arrival.kind.late_value;
        }
    }
    value
}

/// Takes the latest free milliseconds before a limit for an arrival, if there are enough.
fn take_slots(free: &mut [u16], arrival: &Arrival, limit_ms: u64) -> bool {
    let until = (arrival.sent_ms + limit_ms).saturating_sub(EXCHANGE_MS);
    let range = arrival.ready_ms..until.min(free.len() as u64);
    let chosen: Vec<usize> = range
        .rev()
        .map(|at| at as usize)
        .filter(|at| free[*at] > 0)
        .take(arrival.kind.work_ms as usize)
        .collect();
    let fits = chosen.len() as u64 == arrival.kind.work_ms as u64;
    if fits {
        chosen.iter().for_each(|at| free[*at] -= 1);
    }
    fits
}

/// Prints, for each load and order, the share of the value that an order could reach that
/// knows all arrivals.
#[test]
fn the_order_reaches_nearly_the_value_of_one_that_knows_all_arrivals() {
    for load in loads() {
        let most = omniscient(&load);
        let all = [
            ("openings only", openings_only(&load)),
            ("earliest deadline", earliest_deadline(&load)),
            ("newest first", newest_by_group(&load)),
            ("present order", present_order(&load)),
        ];
        for (name, outcome) in &all {
            println!("{:<28} {name:<18} {}", load.name, outcome.figures(most));
        }
        let reached = present_order(&load).value / most;
        assert!(reached >= 0.97, "{}: {reached:.3} of the most", load.name);
    }
}

/// Urgent requests are in time while they alone need less than the capacity, except for
/// those that were sent during the target's outage and could not be in time.
#[test]
fn urgent_requests_are_in_time_while_they_alone_need_less_than_the_capacity() {
    for load in loads() {
        let share = present_order(&load).urgent_share();
        assert!(share >= 0.99, "{}: {share:.3}", load.name);
    }
}

fn random_work(random: &mut ChaCha8Rng, now: u64) -> QueuedWork {
    QueuedWork {
        first_sent: instant(now - random.random_range(0..400)),
        aim: Duration::from_millis(random.random_range(100..400)),
        timeout: Duration::from_millis(3000),
        expected_time: Duration::from_millis(random.random_range(5..60)),
        is_urgent: random.random_bool(0.4),
        is_eligible: random.random_bool(0.9),
    }
}

/// Some work is chosen whenever any may be, and work that goes before urgent work that
/// can be in time leaves enough time for that urgent work.
#[test]
fn less_urgent_work_makes_no_urgent_work_late_and_no_slot_stays_free() {
    let mut random = ChaCha8Rng::seed_from_u64(7);
    let mut shared = 0;
    for _ in 0..500 {
        let mut order = ServingOrder::default();
        let mut work: Vec<QueuedWork> = (0..30).map(|_| random_work(&mut random, 1000)).collect();
        for now in (1000..1200).step_by(5) {
            let chosen = order.choose(&work, 2, instant(now));
            let may_any = work.iter().any(|it| it.is_eligible);
            assert_eq!(chosen.is_some(), may_any);
            let Some(chosen) = chosen.map(|place| work.swap_remove(place)) else {
                break;
            };
            let after = chosen.expected_time;
            let urgent_in_time = |it: &&QueuedWork| {
                it.is_eligible && it.group(instant(now)) == WorkGroup::InTimeUrgent
            };
            if chosen.group(instant(now)) == WorkGroup::InTimeUrgent {
                continue;
            }
            for urgent in work.iter().filter(urgent_in_time) {
                shared += 1;
                let begins = instant(now) + after;
                let answered = begins + urgent.expected_time;
                assert!(answered <= urgent.first_sent + urgent.aim, "{urgent:?}");
            }
            work.push(random_work(&mut random, now));
        }
    }
    assert!(shared > 0, "the share is used");
}

#[test]
fn work_that_is_not_eligible_is_not_chosen() {
    let mut order = ServingOrder::default();
    let mut work = random_work(&mut ChaCha8Rng::seed_from_u64(1), 1000);
    work.is_eligible = false;
    assert_eq!(order.choose(&[work], 2, instant(1000)), None);
}

/// Only the work that would be served before counts.
#[test]
fn the_expected_wait_is_the_work_of_greater_groups_divided_by_the_slots() {
    let urgent = QueuedWork {
        first_sent: instant(1000),
        aim: Duration::from_millis(300),
        timeout: Duration::from_millis(3000),
        expected_time: Duration::from_millis(40),
        is_urgent: true,
        is_eligible: true,
    };
    let other = QueuedWork {
        is_urgent: false,
        ..urgent
    };
    let waiting = [urgent, urgent, urgent, other];
    let wait = |work| expected_wait(work, &waiting, 2, instant(1000));
    assert_eq!(wait(&other), Duration::from_millis(60));
    assert_eq!(wait(&urgent), Duration::ZERO);
}

#[test]
fn one_request_that_hangs_does_not_change_what_its_route_is_expected_to_take() {
    let mut times = ServiceTimes::default();
    let route = |number| std::net::SocketAddrV4::new([198, 18, 0, number].into(), 443);
    assert_eq!(times.expected_time(route(1)), None);
    for _ in 0..20 {
        times.add(route(1), Duration::from_millis(30));
        times.add(route(2), Duration::from_millis(90));
    }
    times.add(route(1), Duration::from_secs(10));
    let expected_time = times.expected_time(route(1)).expect("known");
    assert!(
        expected_time < Duration::from_millis(40),
        "{expected_time:?}"
    );
    let other = times.expected_time(route(2)).expect("known");
    assert!(other > Duration::from_millis(85), "{other:?}");
}

/// Late work goes to the caller that leaves first, too, so that none is queued until its
/// timeout while later arrivals are served.
#[test]
fn among_late_work_the_one_whose_caller_leaves_first_goes_first() {
    let late = |first_sent| QueuedWork {
        first_sent: instant(first_sent),
        aim: Duration::from_millis(250),
        timeout: Duration::from_millis(3000),
        expected_time: Duration::from_millis(40),
        is_urgent: false,
        is_eligible: true,
    };
    let choose = |work: &[QueuedWork]| ServingOrder::default().choose(work, 2, instant(10_000));
    assert_eq!(choose(&[late(9500), late(7500), late(9000)]), Some(1));
    assert_eq!(
        choose(&[late(9500), late(7010)]),
        Some(0),
        "too late for it"
    );
}
