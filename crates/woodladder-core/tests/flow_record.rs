//! Flow records: their encoding and bounds, and when a balancer reads and writes them.

mod flow_support;

use std::time::Duration;

use flow_support::*;
use woodladder_core::flow::flow_record::record::{MAXIMUM_BYTES, MAXIMUM_FLOWS};
use woodladder_core::flow::flow_record::session::{MAXIMUM_WRITES_PER_SECOND, READ_TIMEOUT};
use woodladder_core::flow::flow_record::{
    FlowRecord, RecordError, RecordNeed, RecordSession, RecordStep, write_period,
};
use woodladder_core::flow::identity::{FlowKey, Incarnation, NodeAddress};
use woodladder_core::flow::store_session::StoreReply;

const PERIOD: Duration = Duration::from_secs(2);
const NEED: RecordNeed = RecordNeed::Write(PERIOD);

fn record(flows: &[(u16, u8, u32)]) -> FlowRecord {
    let flows = flows.iter().map(|(port, agent, acknowledged)| {
        let incarnation = Incarnation(u64::from(*agent));
        (flow(*port), node(*agent), incarnation, *acknowledged, 1)
    });
    FlowRecord::of(node(1), 1000, flows)
}

/// A session that has read an empty store entry.
fn session_without_record() -> RecordSession {
    let mut session = RecordSession::new(1, at(0));
    assert_eq!(session.next(NEED, at(0)), RecordStep::Read);
    let nothing = StoreReply::Record {
        value: None,
        revision: 0,
    };
    assert_eq!(session.reply(nothing, at(5)), None);
    session
}

/// When the session next has something to do; polled every ten milliseconds.
fn next_step(session: &mut RecordSession, from: u64, until: u64) -> Option<(u64, RecordStep)> {
    (from..until)
        .step_by(10)
        .map(|time| (time, session.next(NEED, at(time))))
        .find(|(_, step)| !matches!(step, RecordStep::At(_)))
}

#[test]
fn a_record_is_read_as_it_was_written() {
    let written = record(&[(1, 2, 77), (2, 2, 78), (3, 4, u32::MAX)]);
    assert_eq!(FlowRecord::decode(&written.encode()), Ok(written.clone()));
    assert_eq!((written.len(), written.holders.len()), (3, 2));
}

#[test]
fn bytes_that_are_not_a_record_are_rejected() {
    let mut cut = record(&[(1, 2, 77)]).encode();
    cut.pop();
    assert_eq!(FlowRecord::decode(&cut), Err(RecordError::Malformed));
    let mut longer = record(&[(1, 2, 77)]).encode();
    longer.push(0);
    assert_eq!(FlowRecord::decode(&longer), Err(RecordError::Malformed));
    let mut newer = record(&[(1, 2, 77)]).encode();
    newer[0] += 1;
    assert_eq!(FlowRecord::decode(&newer), Err(RecordError::UnknownLayout));
    assert_eq!(FlowRecord::decode(&[]), Err(RecordError::UnknownLayout));
    let long = vec![1; MAXIMUM_BYTES + 1];
    assert_eq!(FlowRecord::decode(&long), Err(RecordError::TooLong));
}

#[test]
fn a_record_is_limited_to_the_first_flows() {
    let flows = (0..100_000_u32).map(|number| {
        let port = u16::try_from(number % 60_000).unwrap_or(0);
        let agent = u8::try_from(number % 200).unwrap_or(0);
        let incarnation = Incarnation(u64::from(agent));
        (flow(port), node(agent), incarnation, number, 1)
    });
    let record = FlowRecord::of(node(1), 1000, flows);
    assert_eq!(record.len(), MAXIMUM_FLOWS);
    let last = u32::try_from(MAXIMUM_FLOWS).expect("small");
    let all = || record.holders.iter().flat_map(|group| &group.flows);
    assert!(all().all(|flow| flow.acknowledged < last));
    assert!(record.encode().len() <= MAXIMUM_BYTES);
}

#[test]
fn a_record_is_worth_writing_when_flows_or_holders_change_or_numbers_advance_far() {
    let base = record(&[(1, 2, 100), (2, 3, 100)]).fingerprint();
    let same = |flows: &[(u16, u8, u32)]| record(flows).fingerprint() == base;
    assert!(same(&[(2, 3, 100), (1, 2, 100)]), "another order");
    assert!(
        same(&[(1, 2, 5000), (2, 3, 100)]),
        "sequence numbers advanced a little"
    );
    assert!(
        !same(&[(1, 2, 50_000), (2, 3, 100)]),
        "sequence numbers advanced far"
    );
    assert!(!same(&[(1, 2, 100)]), "one flow less");
    assert!(!same(&[(1, 3, 100), (2, 3, 100)]), "another holder");
    assert!(!same(&[(1, 2, 100), (3, 3, 100)]), "another flow");
}

#[test]
fn the_write_rate_of_all_balancers_is_limited_and_too_many_balancers_write_nothing() {
    for balancers in 1..=30 {
        if let Some(period) = write_period(balancers) {
            let count = u32::try_from(balancers).expect("few");
            let a_second = f64::from(count) / period.as_secs_f64();
            assert!(
                a_second <= f64::from(MAXIMUM_WRITES_PER_SECOND) + 1e-9,
                "{balancers}"
            );
        }
    }
    assert!(write_period(12).is_some());
    assert_eq!(write_period(100), None);
    assert_eq!(write_period(720), None);
}

#[test]
fn no_store_call_is_made_while_the_record_is_not_needed() {
    let mut session = RecordSession::new(1, at(0));
    for time in (0..60_000).step_by(100) {
        let step = session.next(RecordNeed::Nothing, at(time));
        assert!(matches!(step, RecordStep::At(_)), "{step:?}");
    }
}

#[test]
fn an_unchanged_record_is_not_written_again() {
    let mut session = session_without_record();
    let (time, step) = next_step(&mut session, 10, 10_000).expect("a step");
    assert_eq!(step, RecordStep::Collect);
    assert_eq!(session.offer(7, false, at(time)), Some(0));
    assert_eq!(
        session.next(NEED, at(time + 5000)),
        RecordStep::At(at(time + 5500))
    );
    session.reply(StoreReply::RecordWritten { revision: 40 }, at(time + 5));
    let (second, _) = next_step(&mut session, time + 5, 20_000).expect("a step");
    assert!(second >= time + 2000, "{second}");
    assert_eq!(session.offer(7, false, at(second)), None);
    let (third, _) = next_step(&mut session, second, 20_000).expect("a step");
    assert!(third >= second + 2000, "{third}");
    assert_eq!(session.offer(8, false, at(third)), Some(40));
}

#[test]
fn a_balancer_without_flows_writes_nothing_at_first() {
    let mut session = session_without_record();
    let (time, _) = next_step(&mut session, 10, 10_000).expect("a step");
    assert_eq!(session.offer(7, true, at(time)), None);
}

#[test]
fn after_a_write_without_an_answer_that_took_effect_the_next_one_depends_on_its_revision() {
    let mut session = session_without_record();
    let (time, _) = next_step(&mut session, 10, 10_000).expect("a step");
    assert_eq!(session.offer(7, false, at(time)), Some(0));
    session.reply(StoreReply::NoAnswer, at(time + 100));
    // The unchanged record is written again, because the first write may not have taken
    // effect.
    let (second, _) = next_step(&mut session, time + 100, 20_000).expect("a step");
    assert!(second >= time + 2000, "{second}");
    assert_eq!(session.offer(7, false, at(second)), Some(0));
    session.reply(StoreReply::RecordChanged { revision: 41 }, at(second + 5));
    let (third, _) = next_step(&mut session, second + 5, 20_000).expect("a step");
    assert_eq!(session.offer(7, false, at(third)), Some(41));
}

#[test]
fn a_store_that_refuses_or_is_silent_is_called_no_more_often_than_one_that_answers() {
    for reply in [StoreReply::Refused, StoreReply::NoAnswer] {
        let mut session = session_without_record();
        let mut calls = 0;
        let mut time = 10;
        while let Some((due, step)) = next_step(&mut session, time, 60_000) {
            assert_eq!(step, RecordStep::Collect);
            assert!(session.offer(calls, false, at(due)).is_some());
            session.reply(reply.clone(), at(due));
            calls += 1;
            time = due;
        }
        assert!((10..=31).contains(&calls), "{calls}");
    }
}

#[test]
fn reading_ends_after_a_timeout_when_the_store_does_not_answer() {
    let mut session = RecordSession::new(1, at(0));
    let mut reads = 0;
    for time in (0..20_000).step_by(10) {
        match session.next(NEED, at(time)) {
            RecordStep::Read => {
                assert!(at(time).since(at(0)) < READ_TIMEOUT);
                reads += 1;
                assert_eq!(session.reply(StoreReply::NoAnswer, at(time)), None);
            }
            RecordStep::Collect => {
                assert!((3..=40).contains(&reads), "{reads}");
                return;
            }
            RecordStep::At(_) => {}
        }
    }
    panic!("the session never starts to write");
}

#[test]
fn a_record_is_read_once() {
    let mut session = RecordSession::new(1, at(0));
    assert_eq!(session.next(RecordNeed::ReadOnly, at(0)), RecordStep::Read);
    let found = StoreReply::Record {
        value: Some(vec![1]),
        revision: 9,
    };
    assert_eq!(session.reply(found, at(5)), Some(vec![1]));
    for time in (10..60_000).step_by(100) {
        let step = session.next(RecordNeed::ReadOnly, at(time));
        assert!(matches!(step, RecordStep::At(_)), "{step:?}");
    }
}

#[test]
fn a_planned_stop_writes_once_more_at_once_and_then_no_more() {
    let mut session = session_without_record();
    let (time, _) = next_step(&mut session, 10, 10_000).expect("a step");
    session.offer(7, false, at(time));
    session.reply(StoreReply::RecordWritten { revision: 40 }, at(time + 5));
    session.leave(at(time + 50));
    assert_eq!(session.next(NEED, at(time + 50)), RecordStep::Collect);
    assert_eq!(session.offer(8, false, at(time + 50)), Some(40));
    session.reply(StoreReply::NoAnswer, at(time + 60));
    assert_eq!(next_step(&mut session, time + 60, 60_000), None);
}

#[test]
fn a_planned_stop_during_a_write_writes_once_more() {
    let mut session = RecordSession::new(1, at(0));
    session.next(NEED, at(0));
    let read = StoreReply::Record {
        value: None,
        revision: 0,
    };
    session.reply(read, at(5));
    let (time, _) = next_step(&mut session, 10, 10_000).expect("a step");
    session.offer(7, false, at(time));
    session.leave(at(time + 2));
    session.reply(StoreReply::RecordWritten { revision: 40 }, at(time + 5));
    assert_eq!(session.next(NEED, at(time + 5)), RecordStep::Collect);
    assert_eq!(session.offer(8, false, at(time + 5)), Some(40));
    session.reply(StoreReply::RecordWritten { revision: 41 }, at(time + 9));
    assert_eq!(next_step(&mut session, time + 9, 60_000), None);
}

#[test]
fn a_planned_stop_before_the_record_was_read_writes_nothing() {
    let mut session = RecordSession::new(1, at(0));
    session.leave(at(10));
    assert_eq!(next_step(&mut session, 10, 60_000), None);
}

#[test]
fn a_recorded_flow_is_identified_by_both_of_its_ends() {
    let written = record(&[(1, 2, 77)]);
    let group = &written.holders[0];
    let key = FlowKey {
        caller: group.flows[0].caller,
        service: group.route,
    };
    let holder: NodeAddress = group.agent;
    assert_eq!((key, holder), (flow(1), node(2)));
}
