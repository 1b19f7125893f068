//! Envelopes: encoded ones decode to the same value, and all others are rejected.

use std::net::{IpAddr, SocketAddr};

use proptest::collection::vec;
use proptest::prelude::*;
use woodladder_core::identifier::{Sequence, ServiceId, TargetId};
use woodladder_core::packets::envelope::{
    ENVELOPE_VERSION, Envelope, EnvelopeError, MAXIMUM_HEADER_LENGTH, MAXIMUM_OVERHEAD_LENGTH,
    NewFlowRoute, Route,
};
use woodladder_core::packets::hop_list::{Hop, Load, MAXIMUM_HOPS};
use woodladder_core::packets::keyed_tag::TagKey;

const KEY: [u8; 16] = [5; 16];

fn address() -> impl Strategy<Value = SocketAddr> {
    any::<(IpAddr, u16)>().prop_map(SocketAddr::from)
}

fn hop() -> impl Strategy<Value = Hop> {
    let parts = (any::<u32>(), address(), any::<Option<u32>>());
    parts.prop_map(|(target, address, load)| Hop {
        target: TargetId(target),
        address,
        load: load.map(Load),
    })
}

fn new_flow_route(most: usize) -> impl Strategy<Value = NewFlowRoute> {
    let parts = (
        vec(hop(), 1..=most),
        any::<prop::sample::Index>(),
        any::<bool>(),
    );
    parts.prop_map(|(hops, index, must_decide)| NewFlowRoute {
        position: u8::try_from(index.index(hops.len())).expect("few hops"),
        hops,
        must_decide,
    })
}

fn route() -> impl Strategy<Value = Route> {
    prop_oneof![
        any::<u32>().prop_map(|target| Route::Established(TargetId(target))),
        any::<u32>().prop_map(|target| Route::Relay(TargetId(target))),
        new_flow_route(MAXIMUM_HOPS).prop_map(Route::NewFlow),
    ]
}

fn envelope() -> impl Strategy<Value = Envelope> {
    let parts = (any::<u32>(), any::<u64>(), address(), address(), route());
    parts.prop_map(
        |(service, sequence, caller, service_address, route)| Envelope {
            service: ServiceId(service),
            sequence: Sequence(sequence),
            caller,
            service_address,
            route,
        },
    )
}

fn encode(envelope: &Envelope, datagram: &[u8]) -> Vec<u8> {
    let mut buffer = vec![0xff; 3];
    envelope.encode_into(&TagKey::new(KEY), datagram, &mut buffer);
    buffer
}

/// Bytes of an envelope around any header, with a valid tag and this length.
fn bytes_with_valid_tag(version: u8, length: u16, header: &[u8]) -> Vec<u8> {
    let mut bytes = vec![version];
    bytes.extend_from_slice(&length.to_be_bytes());
    bytes.extend_from_slice(&TagKey::new(KEY).tag(header, &[]));
    bytes.extend_from_slice(header);
    bytes
}

proptest! {
    #[test]
    fn encoding_and_decoding_round_trips(envelope in envelope(), datagram: Vec<u8>) {
        let bytes = encode(&envelope, &datagram);
        prop_assert!(bytes.len() <= MAXIMUM_OVERHEAD_LENGTH + datagram.len());
        let decoded = Envelope::decode(&TagKey::new(KEY), &bytes);
        prop_assert_eq!(decoded, Ok((envelope, datagram.as_slice())));
    }

    #[test]
    fn a_changed_header_is_rejected(
        envelope in envelope(),
        position: prop::sample::Index,
        change in 1_u8..,
    ) {
        let mut bytes = encode(&envelope, &[]);
        let position = position.index(bytes.len());
        bytes[position] ^= change;
        prop_assert!(Envelope::decode(&TagKey::new(KEY), &bytes).is_err());
    }

    #[test]
    fn a_truncated_header_is_rejected(envelope in envelope(), position: prop::sample::Index) {
        let bytes = encode(&envelope, &[]);
        let cut = &bytes[..position.index(bytes.len())];
        let error = Envelope::decode(&TagKey::new(KEY), cut);
        prop_assert_eq!(error, Err(EnvelopeError::Truncated));
    }

    #[test]
    fn another_key_is_rejected(envelope in envelope(), key: [u8; 16]) {
        prop_assume!(key != KEY);
        let bytes = encode(&envelope, &[]);
        let error = Envelope::decode(&TagKey::new(key), &bytes);
        prop_assert_eq!(error, Err(EnvelopeError::Forged));
    }

    #[test]
    fn arbitrary_bytes_never_panic(bytes: Vec<u8>, header in vec(any::<u8>(), 0..300)) {
        prop_assert!(Envelope::decode(&TagKey::new(KEY), &bytes).is_err());
        let length = u16::try_from(header.len()).expect("a short header");
        let bytes = bytes_with_valid_tag(ENVELOPE_VERSION, length, &header);
        let decoded = Envelope::decode(&TagKey::new(KEY), &bytes);
        prop_assert!(header.len() <= MAXIMUM_HEADER_LENGTH || decoded == Err(EnvelopeError::Oversized));
    }

    #[test]
    fn a_position_beyond_the_hops_is_rejected(mut first in new_flow_route(MAXIMUM_HOPS), beyond: u8) {
        let count = u8::try_from(first.hops.len()).expect("few hops");
        first.position = count.saturating_add(beyond);
        let error = decode_new_flow(first);
        prop_assert_eq!(error, EnvelopeError::Malformed);
    }
}

#[test]
fn too_many_hops_are_rejected() {
    let hop = Hop {
        target: TargetId(1),
        address: SocketAddr::from(([192, 0, 2, 1], 1)),
        load: None,
    };
    let first = NewFlowRoute {
        hops: vec![hop; MAXIMUM_HOPS + 1],
        position: 0,
        must_decide: false,
    };
    assert_eq!(decode_new_flow(first), EnvelopeError::Malformed);
}

#[test]
fn an_unknown_version_is_named() {
    let bytes = bytes_with_valid_tag(ENVELOPE_VERSION + 1, 0, &[]);
    let error = Envelope::decode(&TagKey::new(KEY), &bytes);
    assert_eq!(error, Err(EnvelopeError::UnknownVersion));
}

fn decode_new_flow(first: NewFlowRoute) -> EnvelopeError {
    let address = SocketAddr::from(([192, 0, 2, 1], 1));
    let envelope = Envelope {
        service: ServiceId(1),
        sequence: Sequence(1),
        caller: address,
        service_address: address,
        route: Route::NewFlow(first),
    };
    let bytes = encode(&envelope, &[]);
    Envelope::decode(&TagKey::new(KEY), &bytes).expect_err("the parts contradict each other")
}
