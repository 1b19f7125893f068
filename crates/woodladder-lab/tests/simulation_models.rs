//! The models that the simulation's judgement rests on.

use std::process::{Command, Output};
use std::time::Duration;

use proptest::prelude::*;
use woodladder_core::clock::Instant;
use woodladder_lab::simulation::channel::Channel;
use woodladder_lab::simulation::event_queue::EventQueue;
use woodladder_lab::simulation::frame::Frame;

fn simulate(arguments: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_woodladder-lab"))
        .arg("simulate")
        .args(arguments)
        .output()
        .expect("the command runs")
}

proptest! {
    #[test]
    fn events_come_by_time_then_by_order_of_scheduling(
        times in prop::collection::vec(0_u64..20, 1..60),
    ) {
        let mut queue = EventQueue::default();
        for (number, time) in times.iter().enumerate() {
            queue.at(Instant::from_origin(Duration::from_nanos(*time)), (*time, number));
        }
        let mut expected: Vec<(u64, usize)> = times.iter().copied().zip(0..).collect();
        expected.sort_unstable();
        let taken: Vec<(u64, usize)> = std::iter::from_fn(|| queue.pop()).collect();
        prop_assert_eq!(taken, expected);
    }

    /// Frames lost, duplicated and delayed arrive once and in order.
    #[test]
    fn channels_deliver_once_and_in_order(
        fates in prop::collection::vec(0_u8..4, 1..200),
        count in 1_u64..20,
    ) {
        let mut fates = fates.into_iter();
        let (mut sender, mut receiver) = (Channel::default(), Channel::default());
        let mut now = Instant::ORIGIN;
        let mut delivered = Vec::new();
        let mut delayed = Vec::new();
        let mut due: Vec<_> = (0..count)
            .map(|attempt| sender.send(Frame::Cancel { attempt }, now))
            .collect();
        while !sender.is_settled() {
            for datagram in due {
                let copies = match fates.next().unwrap_or(1) {
                    0 => 0,
                    3 => { delayed.push(datagram.clone()); 0 }
                    copies => copies,
                };
                for _ in 0..copies {
                    delivered.extend(receiver.receive(&datagram));
                }
            }
            sender.receive(&receiver.acknowledgement());
            now = now + Duration::from_secs(1);
            due = std::mem::take(&mut delayed);
            due.extend(sender.resend(now));
        }
        let expected: Vec<Frame> = (0..count).map(|attempt| Frame::Cancel { attempt }).collect();
        prop_assert_eq!(delivered, expected);
    }
}

#[test]
fn the_command_prints_the_same_bytes_on_each_run() {
    let arguments = ["--seeds", "3..5", "--scenario", "older-bundle", "--json"];
    let first = simulate(&arguments);
    assert!(first.status.success());
    assert_eq!(first.stdout, simulate(&arguments).stdout);
    let report: serde_json::Value =
        serde_json::from_slice(&first.stdout).expect("the report is JSON");
    assert_eq!(report["runs"], 2);
    assert_eq!(report["failed_runs"], 0);
}

#[test]
fn the_command_fails_at_a_violation_and_names_its_seed() {
    let output = simulate(&["--seeds", "0..1", "--mutation", "end-truncated"]);
    assert!(!output.status.success());
    let text = String::from_utf8_lossy(&output.stdout);
    assert!(text.contains("failure: --seeds 0..1 --scenario back-end-answers"));
}

#[test]
fn the_command_refuses_what_is_no_range() {
    for seeds in ["5", "5..5", "7..5", "a..b"] {
        assert!(!simulate(&["--seeds", seeds]).status.success());
    }
}
