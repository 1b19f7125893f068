//! The member table has a bounded size, and the machine list is only a hint.

mod control_simulation;

use std::time::Duration;

use control_simulation::network::{address, settings};
use proptest::prelude::*;
use rand::SeedableRng as _;
use rand_chacha::ChaCha8Rng;
use woodladder_core::clock::Instant;
use woodladder_core::control::membership::{
    HEARD_RECENTLY_PERIOD, ListedMachine, ListedState, Membership, Peer, UNANSWERED_BEFORE_SILENT,
};
use woodladder_core::control::replica::ReplicaTuning;

const OWN_INDEX: usize = 0;

fn peer(index: usize) -> Peer {
    settings(index, ReplicaTuning::default()).peer()
}

fn empty_table(capacity: usize) -> Membership {
    Membership::new(address(OWN_INDEX), peer(OWN_INDEX).locality, capacity)
}

fn machine_list(indices: impl IntoIterator<Item = usize>) -> Vec<ListedMachine> {
    let machine = |index| ListedMachine {
        control_address: address(index),
        state: ListedState::Live,
    };
    indices.into_iter().map(machine).collect()
}

fn leave_unanswered(members: &mut Membership, index: usize) {
    for _ in 0..UNANSWERED_BEFORE_SILENT {
        members.record_request_sent(address(index));
    }
}

#[test]
fn node_missing_from_the_list_is_a_member_once_heard_from() {
    let mut members = empty_table(100);
    members.apply_machine_list(&machine_list([1, 2]));
    members.record_message_from(peer(3), false, Instant::ORIGIN);
    members.apply_machine_list(&machine_list([1, 2]));
    assert!(
        members
            .iter()
            .any(|member| member.control_address == address(3))
    );
    assert_eq!(members.counts(Instant::ORIGIN).listed, 2);
}

#[test]
fn dead_node_in_the_list_is_contacted_rarely() {
    let mut random = ChaCha8Rng::seed_from_u64(1);
    let mut members = empty_table(100);
    members.apply_machine_list(&machine_list(1..=20));
    (1..=10).for_each(|index| leave_unanswered(&mut members, index));
    let asked: Vec<_> = (0..1000)
        .flat_map(|_| members.pick(1, &mut random))
        .collect();
    let dead = (1..=10).map(address).collect::<Vec<_>>();
    let to_dead = asked.iter().filter(|asked| dead.contains(asked)).count();
    assert!((1..100).contains(&to_dead), "{to_dead} of 1000");
}

#[test]
fn silent_node_missing_from_the_list_is_removed() {
    let mut members = empty_table(100);
    members.apply_machine_list(&machine_list(1..=30));
    members.record_message_from(peer(40), false, Instant::ORIGIN);
    leave_unanswered(&mut members, 40);
    leave_unanswered(&mut members, 1);
    assert_eq!(members.len(), 30);
    members.apply_machine_list(&machine_list(2..=30));
    assert_eq!(members.len(), 29);
}

#[test]
fn only_recently_heard_nodes_are_named_to_others() {
    let mut random = ChaCha8Rng::seed_from_u64(2);
    let mut members = empty_table(100);
    members.apply_machine_list(&machine_list(1..=3));
    members.record_message_from(peer(1), false, Instant::ORIGIN);
    let sample = members.sample(4, Instant::ORIGIN, &mut random);
    assert_eq!(sample, vec![peer(1)]);
    let later = Instant::ORIGIN + HEARD_RECENTLY_PERIOD + Duration::from_secs(1);
    assert!(members.sample(4, later, &mut random).is_empty());
}

proptest! {
    #[test]
    fn table_size_stays_bounded_and_picked_nodes_differ(
        steps in proptest::collection::vec((0..5_u8, 0..60_usize), 0..200),
        seed in any::<u64>(),
    ) {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let mut members = empty_table(25);
        for (kind, index) in steps {
            match kind {
                0 => members.record_message_from(peer(index), index % 7 == 0, Instant::ORIGIN),
                1 => members.record_named_peer(peer(index)),
                2 => members.record_request_sent(address(index)),
                3 => leave_unanswered(&mut members, index),
                _ => members.apply_machine_list(&machine_list(index..index + 10)),
            }
            prop_assert!(members.len() <= 25);
            let picked = members.pick(5, &mut random);
            prop_assert_eq!(picked.len(), members.len().min(5));
            let mut different = picked.clone();
            different.sort();
            different.dedup();
            prop_assert_eq!(different.len(), picked.len());
            prop_assert!(!picked.contains(&address(OWN_INDEX)));
        }
    }
}
