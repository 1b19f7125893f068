//! Damaged or foreign input: datagrams and snapshots are decoded as a whole or rejected,
//! and one that decodes to wrong content by chance does no harm.

mod flow_support;

use flow_support::*;
use proptest::prelude::*;
use woodladder_core::flow::balancer::BalancerAction;
use woodladder_core::flow::message::{PeerMessage, Snapshot, SnapshotRequest};

fn encoded(message: &PeerMessage) -> Vec<u8> {
    message.encode(&[])
}

fn whole_snapshot() -> Vec<u8> {
    let snapshot = Snapshot {
        configuration: Some((*configuration(7)).clone()),
        balancers: vec![node(1), node(2)],
        agents: vec![node(3), node(4)],
        ..Snapshot::default()
    };
    borsh::to_vec(&snapshot).expect("a value")
}

/// A byte string in which one byte is changed, or whose end is cut off.
fn damaged(whole: Vec<u8>) -> impl Strategy<Value = Vec<u8>> {
    let length = whole.len();
    (0..length, any::<u8>(), any::<bool>()).prop_map(move |(at, value, is_truncated)| {
        let mut bytes = whole.clone();
        if is_truncated {
            bytes.truncate(at);
        } else {
            bytes[at] = value;
        }
        bytes
    })
}

proptest! {
    #[test]
    fn any_bytes_are_decoded_or_rejected(bytes in prop::collection::vec(any::<u8>(), 0..300)) {
        let _read = PeerMessage::decode(&bytes).is_ok();
        let _read = borsh::from_slice::<Snapshot>(&bytes).is_ok();
        let _read = borsh::from_slice::<SnapshotRequest>(&bytes).is_ok();
    }

    #[test]
    fn a_truncated_snapshot_is_rejected(end in 0..whole_snapshot().len()) {
        let bytes = &whole_snapshot()[..end];
        prop_assert!(borsh::from_slice::<Snapshot>(bytes).is_err());
    }

    #[test]
    fn a_damaged_report_resets_no_flow_of_another_agent(
        bytes in damaged(encoded(&PeerMessage::Report(report(2, 5)))),
    ) {
        let mut balancer = balancer(&[2, 3]);
        deliver_caller_packet(&mut balancer, &opening(flow(1), 0), at(10_010));
        let Ok((message, _)) = PeerMessage::decode(&bytes) else {
            return Ok(());
        };
        let actions = deliver_message(&mut balancer, 4, message, at(10_020));
        let resets = actions
            .iter()
            .filter(|action| matches!(action, BalancerAction::Reset(_)))
            .count();
        prop_assert_eq!(resets, 0);
    }

    #[test]
    fn a_damaged_snapshot_does_not_replace_a_newer_configuration(
        bytes in damaged(whole_snapshot()),
    ) {
        let mut agent = agent();
        let known = Snapshot {
            configuration: Some((*configuration(9)).clone()),
            ..Snapshot::default()
        };
        agent.apply_snapshot(node(1), known, at(10));
        if let Ok(snapshot) = borsh::from_slice::<Snapshot>(&bytes) {
            agent.apply_snapshot(node(1), snapshot, at(20));
        }
        prop_assert!(agent.configuration_version() >= 9);
    }
}
