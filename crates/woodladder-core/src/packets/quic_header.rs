//! What the core knows of the callers' transport: QUIC's invariants.
//!
//! Everything else sees flows, first packets and packets with a routing token,
//! so another transport can be fitted here without touching a decision.
//!
//! Source: RFC 8999 (invariants), RFC 9000 sections 14.1 and 17.2, RFC 9369
//! section 3.2 (packet types of version 2).

/// Least length of a datagram that may open a flow (RFC 9000, section 14.1).
pub const MINIMUM_INITIAL_DATAGRAM_LENGTH: usize = 1200;

const LONG_HEADER_BIT: u8 = 0x80;
const LONG_TYPE_MASK: u8 = 0x30;
const VERSION_1: u32 = 1;
const VERSION_2: u32 = 0x6b33_43cf;
const VERSION_1_INITIAL: u8 = 0x00;
const VERSION_2_INITIAL: u8 = 0x10;
const VERSION_END: usize = 5;
const MAXIMUM_CONNECTION_ID: usize = 20;
const MINIMUM_FIRST_CONNECTION_ID: usize = 8;

/// A datagram as far as routing needs it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Packet<'a> {
    /// Destination connection identifier. For a short header these are the
    /// bytes at its place, of the length asked for.
    pub destination_connection_id: &'a [u8],
    /// Whether the packet may open a flow.
    pub may_open_flow: bool,
}

/// Why a datagram is not a packet of the transport.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CarrierError {
    /// The datagram ends inside its header.
    Truncated,
    /// A connection identifier is longer than the transport allows.
    OversizedConnectionId,
}

/// Reads the header of a datagram; a short header's connection identifier has
/// `token_length` bytes.
///
/// # Errors
/// [`CarrierError`] when the datagram is not a packet of the transport.
pub fn parse_header(datagram: &[u8], token_length: usize) -> Result<Packet<'_>, CarrierError> {
    let first = *datagram.first().ok_or(CarrierError::Truncated)?;
    if first & LONG_HEADER_BIT == 0 {
        short_header(datagram, token_length)
    } else {
        long_header(datagram, first)
    }
}

fn short_header(datagram: &[u8], token_length: usize) -> Result<Packet<'_>, CarrierError> {
    let destination_connection_id = datagram
        .get(1..=token_length)
        .ok_or(CarrierError::Truncated)?;
    Ok(Packet {
        destination_connection_id,
        may_open_flow: false,
    })
}

fn long_header(datagram: &[u8], first: u8) -> Result<Packet<'_>, CarrierError> {
    let version = datagram
        .get(1..VERSION_END)
        .and_then(|bytes| bytes.try_into().ok())
        .map(u32::from_be_bytes)
        .ok_or(CarrierError::Truncated)?;
    let length = usize::from(*datagram.get(VERSION_END).ok_or(CarrierError::Truncated)?);
    if length > MAXIMUM_CONNECTION_ID {
        return Err(CarrierError::OversizedConnectionId);
    }
    let start = VERSION_END + 1;
    let destination_connection_id = datagram
        .get(start..start + length)
        .ok_or(CarrierError::Truncated)?;
    let may_open_flow = opens_flow(version, first)
        && datagram.len() >= MINIMUM_INITIAL_DATAGRAM_LENGTH
        && length >= MINIMUM_FIRST_CONNECTION_ID;
    Ok(Packet {
        destination_connection_id,
        may_open_flow,
    })
}

/// Whether a long header of this version and first byte may open a flow. A
/// version that is not known may: the agent answers it with the versions that
/// it speaks. Zero is a version negotiation, which only servers send.
fn opens_flow(version: u32, first: u8) -> bool {
    match version {
        0 => false,
        VERSION_1 => first & LONG_TYPE_MASK == VERSION_1_INITIAL,
        VERSION_2 => first & LONG_TYPE_MASK == VERSION_2_INITIAL,
        _ => true,
    }
}

impl std::fmt::Display for CarrierError {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.write_str(match self {
            Self::Truncated => "the datagram ends inside its header",
            Self::OversizedConnectionId => "a connection identifier is too long",
        })
    }
}

impl std::error::Error for CarrierError {}
