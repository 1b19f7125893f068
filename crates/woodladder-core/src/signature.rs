//! Operators' signatures (Ed25519, RFC 8032) and the public keys that nodes trust.

use std::fmt;

use borsh::{BorshDeserialize, BorshSerialize};
use ed25519_dalek::{Signature, Signer as _, SigningKey, VerifyingKey};

/// Length of a public or secret key in bytes.
pub const KEY_LENGTH: usize = 32;
/// Length of a signature in bytes.
pub const SIGNATURE_LENGTH: usize = 64;

/// What a signature is for. The purpose is part of the signed bytes, so that a
/// signature for one purpose is not valid for another.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Purpose {
    /// An operator approves a bundle.
    SignOff,
    /// An operator puts an approved bundle in force on all nodes.
    Roll,
}

impl Purpose {
    fn label(self) -> &'static [u8] {
        match self {
            Self::SignOff => b"woodladder/1 sign-off",
            Self::Roll => b"woodladder/1 roll",
        }
    }
}

/// Public key of an operator.
#[derive(BorshDeserialize, BorshSerialize, Clone, Copy, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct PublicKey(pub [u8; KEY_LENGTH]);

/// A signature with the public key that verifies it.
#[derive(BorshDeserialize, BorshSerialize, Clone, Copy, Debug, Eq, PartialEq)]
pub struct OperatorSignature {
    /// Public key of the operator who signed.
    pub key: PublicKey,
    /// Ed25519 signature over the label of the purpose, a zero byte and the
    /// message.
    pub signature: [u8; SIGNATURE_LENGTH],
}

/// Secret key of an operator.
pub struct OperatorKey {
    signing: SigningKey,
}

/// Why a signature was not accepted.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SignatureError {
    /// The public key is not trusted.
    UntrustedKey,
    /// The signature does not match the message.
    Mismatch,
}

/// Public keys whose signatures a node accepts.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct TrustedKeys {
    keys: Vec<PublicKey>,
}

impl OperatorKey {
    /// Creates the key from its secret bytes.
    #[must_use]
    pub fn from_bytes(secret: [u8; KEY_LENGTH]) -> Self {
        Self {
            signing: SigningKey::from_bytes(&secret),
        }
    }

    /// The matching public key.
    #[must_use]
    pub fn public(&self) -> PublicKey {
        PublicKey(self.signing.verifying_key().to_bytes())
    }

    /// Signs a message for one purpose.
    #[must_use]
    pub fn sign(&self, purpose: Purpose, message: &[u8]) -> OperatorSignature {
        let bytes = labelled_message(purpose, message);
        OperatorSignature {
            key: self.public(),
            signature: self.signing.sign(&bytes).to_bytes(),
        }
    }
}

impl TrustedKeys {
    /// A set of exactly these keys.
    #[must_use]
    pub fn new(keys: Vec<PublicKey>) -> Self {
        Self { keys }
    }

    /// Verifies a signature over a message.
    ///
    /// # Errors
    /// [`SignatureError`] when the key is not trusted or the signature does
    /// not match.
    pub fn verify(
        &self,
        purpose: Purpose,
        message: &[u8],
        signed: &OperatorSignature,
    ) -> Result<(), SignatureError> {
        if !self.keys.contains(&signed.key) {
            return Err(SignatureError::UntrustedKey);
        }
        let key = VerifyingKey::from_bytes(&signed.key.0).map_err(|_| SignatureError::Mismatch)?;
        let signature = Signature::from_bytes(&signed.signature);
        key.verify_strict(&labelled_message(purpose, message), &signature)
            .map_err(|_| SignatureError::Mismatch)
    }
}

fn labelled_message(purpose: Purpose, message: &[u8]) -> Vec<u8> {
    let label = purpose.label();
    let mut bytes = Vec::with_capacity(label.len() + 1 + message.len());
    bytes.extend_from_slice(label);
    bytes.push(0);
    bytes.extend_from_slice(message);
    bytes
}

impl fmt::Display for PublicKey {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        for byte in self.0 {
            write!(formatter, "{byte:02x}")?;
        }
        Ok(())
    }
}

impl fmt::Debug for PublicKey {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "PublicKey({self})")
    }
}

impl fmt::Display for SignatureError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Self::UntrustedKey => "the signing key is not trusted",
            Self::Mismatch => "the signature does not match",
        })
    }
}

impl std::error::Error for SignatureError {}
