//! Authentication tags (SipHash-2-4) of tokens, envelopes and control messages
//! between the processes of a deployment.
//!
//! Source: Aumasson and Bernstein, "SipHash: a fast short-input PRF", 2012.

use std::hash::Hasher as _;

use siphasher::sip::SipHasher24;

/// Length of a tag in bytes.
pub const TAG_LENGTH: usize = 8;
/// Length of a tag key in bytes.
pub const TAG_KEY_LENGTH: usize = 16;

/// Secret key for tags; every node reads it from its settings.
#[derive(Clone, Copy, Eq, PartialEq)]
pub struct TagKey([u8; TAG_KEY_LENGTH]);

impl TagKey {
    /// The key with these secret bytes.
    #[must_use]
    pub fn new(secret: [u8; TAG_KEY_LENGTH]) -> Self {
        Self(secret)
    }

    /// Tag over the concatenation of two byte strings. The first must have a fixed
    /// length or contain its length: otherwise other splits of the same bytes
    /// would have the same tag.
    #[must_use]
    pub fn tag(&self, first: &[u8], second: &[u8]) -> [u8; TAG_LENGTH] {
        let mut hasher = SipHasher24::new_with_key(&self.0);
        hasher.write(first);
        hasher.write(second);
        hasher.finish().to_be_bytes()
    }

    /// Derives a key for another use, named by the label.
    #[must_use]
    pub fn derive(&self, label: &[u8]) -> Self {
        let mut secret = [0; TAG_KEY_LENGTH];
        secret[..TAG_LENGTH].copy_from_slice(&self.tag(label, &[1]));
        secret[TAG_LENGTH..].copy_from_slice(&self.tag(label, &[2]));
        Self(secret)
    }

    /// The secret bytes, for key derivation by other libraries.
    #[must_use]
    pub fn secret(&self) -> &[u8; TAG_KEY_LENGTH] {
        &self.0
    }
}

impl std::fmt::Debug for TagKey {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.write_str("TagKey(..)")
    }
}
