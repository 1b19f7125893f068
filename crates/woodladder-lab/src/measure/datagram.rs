//! Datagrams as the product's router reads them.

use woodladder_core::packets::quic_header::MINIMUM_INITIAL_DATAGRAM_LENGTH;
use woodladder_core::packets::token::TOKEN_LENGTH;

/// First byte and version of a first packet (RFC 9000, section 17.2.2).
const INITIAL_HEADER: [u8; 5] = [0xc0, 0, 0, 0, 1];
/// First byte of a packet of an established flow (section 17.3.1).
const SHORT_HEADER: u8 = 0x40;
/// Length of the connection identifier that a caller draws.
pub(crate) const CLIENT_ID_LENGTH: usize = 8;
const CLIENT_ID_START: usize = INITIAL_HEADER.len() + 1;

/// Writes datagrams into buffers of its own.
pub(crate) struct DatagramWriter {
    initial: Vec<u8>,
    short: Vec<u8>,
}

impl DatagramWriter {
    pub(crate) fn new(short_length: usize) -> Self {
        let mut initial = vec![0; MINIMUM_INITIAL_DATAGRAM_LENGTH];
        initial[..INITIAL_HEADER.len()].copy_from_slice(&INITIAL_HEADER);
        initial[INITIAL_HEADER.len()] = CLIENT_ID_LENGTH.to_be_bytes()[7];
        let mut short = vec![0; short_length.max(1 + TOKEN_LENGTH)];
        short[0] = SHORT_HEADER;
        Self { initial, short }
    }

    /// The first packet of a flow.
    pub(crate) fn initial(&mut self, client_id: [u8; CLIENT_ID_LENGTH]) -> &[u8] {
        let end = CLIENT_ID_START + CLIENT_ID_LENGTH;
        self.initial[CLIENT_ID_START..end].copy_from_slice(&client_id);
        &self.initial
    }

    /// A packet of an established flow.
    pub(crate) fn established(&mut self, token: &[u8; TOKEN_LENGTH]) -> &[u8] {
        self.short[1..=TOKEN_LENGTH].copy_from_slice(token);
        &self.short
    }
}
