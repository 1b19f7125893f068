//! Parsing the version-independent QUIC header fields.

mod support;

use proptest::prelude::*;
use woodladder_core::packets::quic_header::{
    MINIMUM_INITIAL_DATAGRAM_LENGTH, QuicHeaderError, parse_header,
};
use woodladder_core::packets::token::TOKEN_LENGTH;

use support::{first_datagram, short_datagram};

const VERSION_2: [u8; 4] = [0x6b, 0x33, 0x43, 0xcf];

fn opens_flow(datagram: &[u8]) -> bool {
    parse_header(datagram, TOKEN_LENGTH).is_ok_and(|packet| packet.may_open_flow)
}

proptest! {
    #[test]
    fn arbitrary_datagrams_never_panic(datagram: Vec<u8>, token_length in 0..64_usize) {
        if let Ok(packet) = parse_header(&datagram, token_length) {
            prop_assert!(packet.destination_connection_id.len() <= datagram.len());
            prop_assert!(!packet.may_open_flow || datagram.len() >= MINIMUM_INITIAL_DATAGRAM_LENGTH);
        }
    }

    #[test]
    fn the_connection_identifier_is_found(id in prop::collection::vec(any::<u8>(), 8..=20)) {
        let datagram = first_datagram(&id);
        let packet = parse_header(&datagram, TOKEN_LENGTH).expect("a packet");
        prop_assert_eq!(packet.destination_connection_id, id.as_slice());
        prop_assert!(packet.may_open_flow);
    }

    #[test]
    fn a_short_header_opens_no_flow(token: [u8; TOKEN_LENGTH]) {
        let datagram = short_datagram(&token);
        let packet = parse_header(&datagram, TOKEN_LENGTH).expect("a packet");
        prop_assert_eq!(packet.destination_connection_id, token.as_slice());
        prop_assert!(!packet.may_open_flow);
    }

    #[test]
    fn an_identifier_of_more_than_twenty_bytes_is_an_error(length in 21_u8..) {
        let mut datagram = first_datagram(&[0; 20]);
        datagram[5] = length;
        let error = parse_header(&datagram, TOKEN_LENGTH);
        prop_assert_eq!(error, Err(QuicHeaderError::OversizedConnectionId));
    }
}

#[test]
fn only_an_initial_of_full_size_opens_a_flow() {
    let initial = first_datagram(&[1; 8]);
    assert!(opens_flow(&initial));
    assert!(!opens_flow(&initial[..MINIMUM_INITIAL_DATAGRAM_LENGTH - 1]));
    assert!(!opens_flow(&first_datagram(&[1; 7])));
    let handshake = [&[0xe0], &initial[1..]].concat();
    assert!(!opens_flow(&handshake));
    let negotiation = [&[0xc0, 0, 0, 0, 0], &initial[5..]].concat();
    assert!(!opens_flow(&negotiation));
    let unknown_version = [&[0xc0, 0xff, 0, 0, 0x1d], &initial[5..]].concat();
    assert!(opens_flow(&unknown_version));
}

#[test]
fn version_2_has_another_type_number_for_initial_packets() {
    let initial = first_datagram(&[1; 8]);
    let of_type = |first: u8| [&[first][..], &VERSION_2, &initial[5..]].concat();
    assert!(opens_flow(&of_type(0xd0)));
    assert!(!opens_flow(&of_type(0xc0)));
}
