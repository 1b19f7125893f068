//! Hop lists: balancers choose the same ones, in proportion to weights.

mod support;

use proptest::prelude::*;
use woodladder_core::identifier::TargetId;
use woodladder_core::packets::hop_list::{Candidate, MAXIMUM_HOPS, choose_candidate, choose_hops};

use support::target_address;

fn candidate(id: u32, slots: u16) -> Candidate {
    Candidate::new(TargetId(id), target_address(TargetId(id)), slots)
}

fn candidates() -> impl Strategy<Value = Vec<Candidate>> {
    let slots = prop::collection::btree_map(0..500_u32, 1..50_u16, 1..40);
    slots.prop_map(|slots| {
        slots
            .into_iter()
            .map(|(id, slots)| candidate(id, slots))
            .collect()
    })
}

fn targets(candidates: &[Candidate], flow: u64, count: usize) -> Vec<TargetId> {
    let hops = choose_hops(candidates, flow, count);
    hops.iter().map(|hop| hop.target).collect()
}

proptest! {
    #[test]
    fn hops_are_distinct_candidates(list in candidates(), flow: u64, count in 0..9_usize) {
        let chosen = targets(&list, flow, count);
        prop_assert_eq!(chosen.len(), count.min(MAXIMUM_HOPS).min(list.len()));
        for (index, target) in chosen.iter().enumerate() {
            prop_assert!(!chosen[..index].contains(target));
            prop_assert!(list.iter().any(|candidate| candidate.target == *target));
        }
        let one = choose_candidate(&list, flow).map(|candidate| candidate.target);
        prop_assert!(count == 0 || chosen.first().copied() == one);
    }

    #[test]
    fn the_order_of_candidates_does_not_matter(list in candidates(), flow: u64) {
        let mut reversed = list.clone();
        reversed.reverse();
        prop_assert_eq!(targets(&list, flow, 4), targets(&reversed, flow, 4));
    }

    #[test]
    fn removing_a_target_keeps_the_others_in_order(
        list in candidates(),
        removed: prop::sample::Index,
        flow: u64,
    ) {
        let before = targets(&list, flow, MAXIMUM_HOPS);
        let mut fewer = list.clone();
        let removed_target = fewer.remove(removed.index(list.len())).target;
        let after = targets(&fewer, flow, MAXIMUM_HOPS);
        let kept: Vec<TargetId> = before.into_iter().filter(|target| *target != removed_target).collect();
        prop_assert_eq!(&after[..kept.len()], kept.as_slice());
    }
}

#[test]
fn targets_are_chosen_in_proportion_to_their_slots() {
    const FLOWS: u32 = 40_000;
    let list = [candidate(1, 10), candidate(2, 20), candidate(3, 50)];
    let mut drawn = [0_u32; 3];
    for flow in 0..FLOWS {
        let hash = woodladder_core::packets::hop_list::flow_hash(&flow.to_be_bytes());
        let target = choose_candidate(&list, hash).expect("a candidate").target;
        drawn[target.0 as usize - 1] += 1;
    }
    for (drawn, slots) in drawn.into_iter().zip([10, 20, 50]) {
        let expected = FLOWS * slots / 80;
        assert!(
            drawn.abs_diff(expected) < FLOWS / 100,
            "{drawn} not near {expected}"
        );
    }
}
