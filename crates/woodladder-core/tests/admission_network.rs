//! Admission at several targets together: copies of a flow's first packet go
//! from target to target until each has a verdict.

mod support;

use std::collections::BTreeMap;

use proptest::prelude::*;
use woodladder_core::identifier::TargetId;
use woodladder_core::packets::hop_list::MAXIMUM_HOPS;
use woodladder_core::packets::router::DEFAULT_HOPS;
use woodladder_core::target::admission::{AdmissionOptions, Verdict};

use support::target_model::{TargetModel, first_envelope};
use support::{ORDERS, active, at, directory, first_datagram};

const TARGETS: u32 = 6;
/// Once along the list, and once along decisions on earlier copies, which
/// lengthen the list.
const MAXIMUM_HAND_OVERS: usize = 2 * MAXIMUM_HOPS;

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
        let known = directory(1, active(1..=TARGETS, ORDERS));
        let models = (1..).zip(targets).map(|(id, target)| {
            let options = AdmissionOptions::default();
            let mut model = TargetModel::new(id, &known, options).with_busy(target.busy);
            model.conditions.takes_new_flows = !target.leaving;
            (TargetId(id), model)
        });
        Self {
            models: models.collect(),
        }
    }

    /// The target that ends the walk of a copy, and its verdict; `None` when
    /// the copy is still under way after more hand-overs than there may be.
    fn walk(&mut self, hops: &[u32], datagram: &[u8]) -> Option<(TargetId, Verdict)> {
        let mut envelope = first_envelope(1, hops);
        for _ in 0..=MAXIMUM_HAND_OVERS {
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
    /// A copy ends with a verdict; a leaving target takes nothing, and a flow
    /// is declined only when no target of the service can take it.
    #[test]
    fn a_flow_ends_at_a_target_that_can_take_it(targets in targets(), hops in hop_list(MAXIMUM_HOPS)) {
        let mut network = Network::new(&targets);
        let end = network.walk(&hops, &first_datagram(&[1; 8]));
        let (at, verdict) = end.expect("the walk ends");
        let leaving = |id: TargetId| targets[id.0 as usize - 1].leaving;
        if verdict == Verdict::Accept {
            prop_assert!(!leaving(at));
        } else {
            prop_assert_eq!(verdict, Verdict::AcceptToDecline);
            let on_list_take = hops.iter().any(|id| !leaving(TargetId(*id)));
            prop_assert!(!on_list_take);
        }
    }

    /// Among targets that are not leaving, the least loaded on the list takes
    /// the flow, unless one before it has little load.
    #[test]
    fn the_least_loaded_takes_the_flow(targets in targets(), hops in hop_list(MAXIMUM_HOPS)) {
        let mut network = Network::new(&targets);
        let (at, verdict) = network.walk(&hops, &first_datagram(&[1; 8])).expect("an end");
        let busy = |id: u32| targets[id as usize - 1].busy;
        let takers = hops.iter().copied().filter(|id| !targets[*id as usize - 1].leaving);
        let least = takers.map(busy).min();
        if let (Verdict::Accept, Some(least)) = (verdict, least) {
            prop_assert!(busy(at.0) == least || busy(at.0) < 2);
        }
    }

    /// Copies by balancers with different bundles end, and the ones with the
    /// same list end at the same target.
    ///
    /// Up to three bundles and lists of the default length: the order along
    /// decisions on earlier copies names [`MAXIMUM_HOPS`] targets and then ends.
    #[test]
    fn copies_end_and_stay_with_their_target(
        targets in targets(),
        lists in prop::collection::vec(hop_list(DEFAULT_HOPS), 1..4),
        order in prop::collection::vec(any::<prop::sample::Index>(), 1..12),
    ) {
        let mut network = Network::new(&targets);
        let datagram = first_datagram(&[1; 8]);
        let mut ends = BTreeMap::new();
        for index in order {
            let list = &lists[index.index(lists.len())];
            let end = network.walk(list, &datagram).expect("the walk ends");
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
            prop_assert!(network.walk(&list, &datagram).is_some());
        }
    }
}
