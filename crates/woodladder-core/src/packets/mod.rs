//! Decides where a datagram goes: QUIC headers, tokens, envelopes, hop lists, the
//! routing table and the router.

pub mod envelope;
pub mod hop_list;
pub mod keyed_tag;
pub mod quic_header;
pub mod router;
pub mod routing_table;
pub mod token;
