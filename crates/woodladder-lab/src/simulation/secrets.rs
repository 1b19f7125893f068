//! Keys that all nodes of a world share, and the operators' keys.

use super::forgery::forger_key;
use super::mutation::Mutation;
use woodladder_core::packets::keyed_tag::TagKey;
use woodladder_core::packets::token::{TokenKey, TokenKeys};
use woodladder_core::signature::{OperatorKey, TrustedKeys};

/// Operators of a world.
pub const OPERATORS: u8 = 2;

/// Keys that nodes are given in their settings.
#[derive(Clone, Debug)]
pub struct Secrets {
    /// Keys of routing tokens.
    pub tokens: TokenKeys,
    /// Key of envelopes.
    pub envelope: TagKey,
    /// Key of control messages.
    pub control: TagKey,
    /// Operators whose signatures are accepted.
    pub trusted: TrustedKeys,
}

impl Secrets {
    /// The keys of a world.
    #[must_use]
    pub fn new(mutation: Option<Mutation>) -> Self {
        let current = TokenKey {
            number: 1,
            key: TagKey::new([1; 16]),
        };
        let operators = (0..OPERATORS).map(|number| operator_key(number).public());
        let stranger = (mutation == Some(Mutation::TrustStranger)).then(|| forger_key().public());
        Self {
            tokens: TokenKeys {
                current,
                previous: None,
            },
            envelope: TagKey::new([2; 16]),
            control: TagKey::new([3; 16]),
            trusted: TrustedKeys::new(operators.chain(stranger).collect()),
        }
    }
}

/// Secret key of an operator.
#[must_use]
pub fn operator_key(number: u8) -> OperatorKey {
    OperatorKey::from_bytes([100 + number; 32])
}
