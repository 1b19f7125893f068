//! Where a datagram goes: carrier, tokens, envelopes, hop lists, directory and router.

pub mod envelope;
pub mod hop_list;
pub mod keyed_tag;
pub mod quic_header;
pub mod router;
pub mod routing_table;
pub mod token;
