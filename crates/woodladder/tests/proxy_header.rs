//! Property tests of the PROXY header parser with arbitrary input.

use proptest::prelude::*;
use woodladder::balancer::parse_proxy_header;

const SIGNATURE: &[u8] = b"\r\n\r\n\0\r\nQUIT\n";
const VERSION_2_PROXY: u8 = 0x21;
const IPV4_DATAGRAM: u8 = 0x12;

proptest! {
    #[test]
    fn arbitrary_bytes_never_panic(bytes in prop::collection::vec(any::<u8>(), 0..256)) {
        let _ = parse_proxy_header(&bytes);
    }

    #[test]
    fn arbitrary_bytes_after_the_signature_never_panic(
        rest in prop::collection::vec(any::<u8>(), 0..256),
    ) {
        let bytes = [SIGNATURE, &rest].concat();
        if let Ok(inbound) = parse_proxy_header(&bytes) {
            prop_assert!(bytes.ends_with(inbound.datagram));
        }
    }

    #[test]
    fn the_datagram_is_what_follows_the_header(
        caller in any::<([u8; 4], u16)>(),
        service in any::<([u8; 4], u16)>(),
        options in prop::collection::vec(any::<u8>(), 0..32),
        datagram in prop::collection::vec(any::<u8>(), 0..64),
    ) {
        let length = u16::try_from(12 + options.len()).unwrap_or(u16::MAX);
        let mut bytes = SIGNATURE.to_vec();
        bytes.extend_from_slice(&[VERSION_2_PROXY, IPV4_DATAGRAM]);
        bytes.extend_from_slice(&length.to_be_bytes());
        bytes.extend_from_slice(&caller.0);
        bytes.extend_from_slice(&service.0);
        bytes.extend_from_slice(&caller.1.to_be_bytes());
        bytes.extend_from_slice(&service.1.to_be_bytes());
        bytes.extend_from_slice(&options);
        bytes.extend_from_slice(&datagram);
        let inbound = parse_proxy_header(&bytes);
        prop_assert!(inbound.is_ok());
        if let Ok(inbound) = inbound {
            prop_assert_eq!(inbound.caller, caller.into());
            prop_assert_eq!(inbound.service_address, service.into());
            prop_assert_eq!(inbound.datagram, &datagram[..]);
        }
    }
}
