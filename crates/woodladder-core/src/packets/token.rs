//! Routing tokens: connection identifiers that name their target.
//!
//! An agent uses tokens as its QUIC connection identifiers, so that after its
//! first answer any balancer can route a packet without state about the flow.
//! The idea follows the IETF draft "QUIC-LB: Generating Routable QUIC
//! Connection IDs"; the layout is different and is authenticated, so that an
//! outsider cannot direct packets to a target of their choice.
//!
//! | bytes | content |
//! | --- | --- |
//! | 0 | layout version (high four bits) and key number (low four bits) |
//! | 1..5 | target identifier, big endian |
//! | 5..12 | nonce |
//! | 12..20 | SipHash-2-4 tag over bytes 0..12 |

use crate::identifier::TargetId;
use crate::packets::keyed_tag::TagKey;

/// Length of a token in bytes: the longest QUIC connection identifier
/// (RFC 9000, section 17.2).
pub const TOKEN_LENGTH: usize = 20;
/// Length of the nonce in a token in bytes.
pub const TOKEN_NONCE_LENGTH: usize = 7;
/// Greatest key number.
pub const MAXIMUM_KEY_NUMBER: u8 = 0x0f;

/// Layout version 1 in the high four bits of the first byte.
const LAYOUT_VERSION_BITS: u8 = 1 << 4;
/// Position in bytes of the target identifier in a token.
const TARGET_START: usize = 1;
/// Position in bytes of the nonce in a token.
const NONCE_START: usize = 5;
/// Position in bytes of the tag in a token.
const TAG_START: usize = 12;

/// A key for tokens, with the number by which tokens refer to it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct TokenKey {
    /// Number of the key, at most [`MAXIMUM_KEY_NUMBER`].
    pub number: u8,
    /// Secret of the key.
    pub key: TagKey,
}

/// The keys for tokens: one that new tokens are issued with, and the previous
/// one, which is still accepted while keys are replaced.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct TokenKeys {
    /// Key that issues and verifies tokens.
    pub current: TokenKey,
    /// Key that only verifies tokens.
    pub previous: Option<TokenKey>,
}

impl TokenKeys {
    /// Issues a token for a target.
    #[must_use]
    pub fn issue(&self, target: TargetId, nonce: [u8; TOKEN_NONCE_LENGTH]) -> [u8; TOKEN_LENGTH] {
        let mut token = [0; TOKEN_LENGTH];
        token[0] = LAYOUT_VERSION_BITS | (self.current.number & MAXIMUM_KEY_NUMBER);
        token[TARGET_START..NONCE_START].copy_from_slice(&target.0.to_be_bytes());
        token[NONCE_START..TAG_START].copy_from_slice(&nonce);
        let tag = self.current.key.tag(&token[..TAG_START], &[]);
        token[TAG_START..].copy_from_slice(&tag);
        token
    }

    /// The target that a token names, or `None` when the bytes are not a token
    /// issued under one of the keys.
    #[must_use]
    pub fn verify(&self, token: &[u8]) -> Option<TargetId> {
        let token: &[u8; TOKEN_LENGTH] = token.try_into().ok()?;
        let key = self.key_for(token[0])?;
        let expected = key.key.tag(&token[..TAG_START], &[]);
        if expected != token[TAG_START..] {
            return None;
        }
        let target = token[TARGET_START..NONCE_START].try_into().ok()?;
        Some(TargetId(u32::from_be_bytes(target)))
    }

    fn key_for(&self, first_byte: u8) -> Option<&TokenKey> {
        let is_named =
            |key: &&TokenKey| first_byte == LAYOUT_VERSION_BITS | (key.number & MAXIMUM_KEY_NUMBER);
        Some(&self.current)
            .filter(is_named)
            .or_else(|| self.previous.as_ref().filter(is_named))
    }
}
