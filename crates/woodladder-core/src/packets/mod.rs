//! Where a datagram goes: carrier, tokens, envelopes, hop lists, directory and router.

pub mod carrier;
pub mod directory;
pub mod envelope;
pub mod hop_list;
pub mod keyed_tag;
pub mod router;
pub mod token;
