//! Admission at several targets together: copies of a flow's first packet are
//! handed from target to target until each copy has a final verdict.

mod support;

use std::collections::BTreeMap;

use proptest::prelude::*;
use woodladder_core::identifier::TargetId;
use woodladder_core::packets::hop_list::MAXIMUM_HOPS;
use woodladder_core::packets::router::DEFAULT_HOPS;
use woodladder_core::target::admission::{AdmissionOptions, Verdict};

use support::target_model::{TargetModel, first_envelope};
use support::{ORDERS, active, at, first_datagram, routing_table};

const TARGETS: u32 = 6;
/// Most times that a copy may be handed on: once along the list, and once along
/// the decisions on earlier copies, which lengthen the list.
const MAXIMUM_HAND_ONS: usize = 2 * MAXIMUM_HOPS;

#[derive(Clone, Debug)]
struct Target {
    busy: u32,
    leaving: bool,
}

fn targets() -> impl Strategy<Value = Vec<Target>> {
    let one = (0..30_u32, prop::bool::weighted(0.25))
        .prop_map(|(busy, leaving)| Target { busy, leaving });
    prop::collection::vec(one, TARGETS as usize)
}

fn hop_list(most: usize) -> impl Strategy<Value = Vec<u32>> {
    let ids: Vec<u32> = (1..=TARGETS).collect();
    prop::sample::subsequence(ids, 1..=most).prop_shuffle()
}

struct Network {
    models: BTreeMap<TargetId, TargetModel>,
}

impl Network {
    fn new(targets: &[Target]) -> Self {
        let table = routing_table(1, active(1..=TARGETS, ORDERS));
        let models = (1..).zip(targets).map(|(id, target)| {
            let options = AdmissionOptions::default();
            let mut model = TargetModel::new(id, &table, options).with_busy(target.busy);
            model.conditions.takes_new_flows = !target.leaving;
            (TargetId(id), model)
        });
        Self {
            models: models.collect(),
        }
    }

    /// Hands a copy on until a target does not: returns that target and its
    /// verdict, or `None` when the copy is handed on more often than allowed.
    fn follow(&mut self, hops: &[u32], datagram: &[u8]) -> Option<(TargetId, Verdict)> {
        let mut envelope = first_envelope(1, hops);
        for _ in 0..=MAXIMUM_HAND_ONS {
            let target = envelope.target()?;
            let model = self.models.get_mut(&target)?;
            match model.handle(envelope, datagram, at(0)).verdict {
                Verdict::HandOn(forward) => envelope = forward.envelope,
                verdict => return Some((target, verdict)),
            }
        }
        None
    }
}

proptest! {
    /// A copy ends with a verdict; a leaving target accepts nothing, and a flow
    /// is declined only when no target of the service can accept it.
    #[test]
    fn a_flow_ends_at_a_target_that_can_accept_it(targets in targets(), hops in hop_list(MAXIMUM_HOPS)) {
        let mut network = Network::new(&targets);
        let end = network.follow(&hops, &first_datagram(&[1; 8]));
        let (at, verdict) = end.expect("a final verdict");
        let leaving = |id: TargetId| targets[id.0 as usize - 1].leaving;
        if verdict == Verdict::Accept {
            prop_assert!(!leaving(at));
        } else {
            prop_assert_eq!(verdict, Verdict::AcceptToDecline);
            let any_listed_can_accept = hops.iter().any(|id| !leaving(TargetId(*id)));
            prop_assert!(!any_listed_can_accept);
        }
    }

    /// Among targets that are not leaving, the least loaded on the list accepts
    /// the flow, unless an earlier one has little load.
    #[test]
    fn the_least_loaded_target_accepts_the_flow(targets in targets(), hops in hop_list(MAXIMUM_HOPS)) {
        let mut network = Network::new(&targets);
        let (at, verdict) = network.follow(&hops, &first_datagram(&[1; 8])).expect("a final verdict");
        let busy = |id: u32| targets[id as usize - 1].busy;
        let accepting = hops.iter().copied().filter(|id| !targets[*id as usize - 1].leaving);
        let least = accepting.map(busy).min();
        if let (Verdict::Accept, Some(least)) = (verdict, least) {
            prop_assert!(busy(at.0) == least || busy(at.0) < 2);
        }
    }

    /// Copies from balancers with different bundles come to an end, and those
    /// with the same list end at the same target.
    ///
    /// Holds for up to three bundles and lists of the default length: handing on
    /// along the decisions on earlier copies ends once [`MAXIMUM_HOPS`] targets
    /// are on the list.
    #[test]
    fn copies_with_one_list_end_at_one_target(
        targets in targets(),
        lists in prop::collection::vec(hop_list(DEFAULT_HOPS), 1..4),
        order in prop::collection::vec(any::<prop::sample::Index>(), 1..12),
    ) {
        let mut network = Network::new(&targets);
        let datagram = first_datagram(&[1; 8]);
        let mut ends = BTreeMap::new();
        for index in order {
            let list = &lists[index.index(lists.len())];
            let end = network.follow(list, &datagram).expect("a final verdict");
            if end.1 == Verdict::Accept {
                let first = ends.entry(list.clone()).or_insert(end.0);
                prop_assert_eq!(*first, end.0);
            }
        }
    }

    /// Copies with any lists come to an end.
    #[test]
    fn copies_with_any_lists_end(
        targets in targets(),
        lists in prop::collection::vec(hop_list(MAXIMUM_HOPS), 1..12),
    ) {
        let mut network = Network::new(&targets);
        let datagram = first_datagram(&[1; 8]);
        for list in lists {
            prop_assert!(network.follow(&list, &datagram).is_some());
        }
    }
}
