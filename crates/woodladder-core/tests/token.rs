//! Routing tokens: they name their target, and cannot be forged without a key.

mod support;

use proptest::prelude::*;
use woodladder_core::identifier::TargetId;
use woodladder_core::packets::token::{TOKEN_LENGTH, TOKEN_NONCE_LENGTH, TokenKeys};

use support::keys;

proptest! {
    #[test]
    fn a_token_names_its_target(target: u32, nonce: [u8; TOKEN_NONCE_LENGTH]) {
        let token = keys(3).issue(TargetId(target), nonce);
        prop_assert_eq!(keys(3).verify(&token), Some(TargetId(target)));
    }

    #[test]
    fn a_changed_token_is_rejected(
        target: u32,
        nonce: [u8; TOKEN_NONCE_LENGTH],
        position in 0..TOKEN_LENGTH,
        change in 1_u8..,
    ) {
        let mut token = keys(3).issue(TargetId(target), nonce);
        token[position] ^= change;
        prop_assert_eq!(keys(3).verify(&token), None);
    }

    #[test]
    fn arbitrary_bytes_are_no_token(bytes: Vec<u8>, body: [u8; TOKEN_LENGTH]) {
        prop_assert_eq!(keys(3).verify(&bytes), None);
        let mut body = body;
        body[0] = 0x13;
        prop_assert_eq!(keys(3).verify(&body), None);
    }

    #[test]
    fn another_key_of_the_same_number_does_not_verify(target: u32, secret: [u8; 16]) {
        let mut other = keys(3);
        other.current.key = woodladder_core::packets::keyed_tag::TagKey::new(secret);
        prop_assume!(other != keys(3));
        let token = other.issue(TargetId(target), [0; TOKEN_NONCE_LENGTH]);
        prop_assert_eq!(keys(3).verify(&token), None);
    }
}

#[test]
fn keys_are_replaced_with_overlap() {
    let old = keys(1);
    let overlapping = TokenKeys {
        previous: Some(old.current),
        ..keys(2)
    };
    let by_old = old.issue(TargetId(7), [9; TOKEN_NONCE_LENGTH]);
    let by_new = overlapping.issue(TargetId(7), [9; TOKEN_NONCE_LENGTH]);
    assert_eq!(overlapping.verify(&by_old), Some(TargetId(7)));
    assert_eq!(overlapping.verify(&by_new), Some(TargetId(7)));
    assert_eq!(old.verify(&by_new), None);
    assert_eq!(keys(2).verify(&by_old), None);
}
