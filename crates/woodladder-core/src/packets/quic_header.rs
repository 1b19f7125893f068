//! Parser of the QUIC header fields that routing needs: the destination connection
//! identifier, which is at the same place in all versions (RFC 8999), and whether
//! the packet may open a flow, which depends on the version, the packet type and
//! two lengths.
//!
//! Routing and admission use only the resulting [`Packet`], so for another
//! transport the parsing of headers changes only here. Tokens depend on QUIC as
//! well: their length is that of the longest QUIC connection identifier.
//!
//! Source: RFC 8999 (invariants), RFC 9000 sections 14.1 and 17.2, RFC 9369
//! section 3.2 (packet types of version 2).

/// Least length in bytes of a datagram that may open a flow (RFC 9000, section
/// 14.1).
pub const MINIMUM_INITIAL_DATAGRAM_LENGTH: usize = 1200;

const LONG_HEADER_BIT: u8 = 0x80;
const LONG_TYPE_MASK: u8 = 0x30;
const VERSION_1: u32 = 1;
const VERSION_2: u32 = 0x6b33_43cf;
const VERSION_1_INITIAL: u8 = 0x00;
const VERSION_2_INITIAL: u8 = 0x10;
const VERSION_END: usize = 5;
const MAXIMUM_CONNECTION_ID_LENGTH: usize = 20;
const MINIMUM_INITIAL_CONNECTION_ID_LENGTH: usize = 8;

/// Header fields of a datagram that routing needs.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Packet<'a> {
    /// Destination connection identifier. A short header does not state its
    /// length, so there these are the `token_length` bytes after the first byte.
    pub destination_connection_id: &'a [u8],
    /// Whether the packet may open a flow.
    pub may_open_flow: bool,
}

/// Why a datagram has no valid QUIC header.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum QuicHeaderError {
    /// The datagram ends inside its header.
    Truncated,
    /// A connection identifier is longer than QUIC allows.
    OversizedConnectionId,
}

/// Parses the header of a datagram; the connection identifier in a short header
/// has `token_length` bytes.
///
/// # Errors
/// [`QuicHeaderError`] when the datagram has no valid header.
pub fn parse_header(datagram: &[u8], token_length: usize) -> Result<Packet<'_>, QuicHeaderError> {
    let first_byte = *datagram.first().ok_or(QuicHeaderError::Truncated)?;
    if first_byte & LONG_HEADER_BIT == 0 {
        parse_short_header(datagram, token_length)
    } else {
        parse_long_header(datagram, first_byte)
    }
}

fn parse_short_header(datagram: &[u8], token_length: usize) -> Result<Packet<'_>, QuicHeaderError> {
    let destination_connection_id = datagram
        .get(1..=token_length)
        .ok_or(QuicHeaderError::Truncated)?;
    Ok(Packet {
        destination_connection_id,
        may_open_flow: false,
    })
}

fn parse_long_header(datagram: &[u8], first_byte: u8) -> Result<Packet<'_>, QuicHeaderError> {
    let version = datagram
        .get(1..VERSION_END)
        .and_then(|bytes| bytes.try_into().ok())
        .map(u32::from_be_bytes)
        .ok_or(QuicHeaderError::Truncated)?;
    let id_length = usize::from(
        *datagram
            .get(VERSION_END)
            .ok_or(QuicHeaderError::Truncated)?,
    );
    if id_length > MAXIMUM_CONNECTION_ID_LENGTH {
        return Err(QuicHeaderError::OversizedConnectionId);
    }
    let start = VERSION_END + 1;
    let destination_connection_id = datagram
        .get(start..start + id_length)
        .ok_or(QuicHeaderError::Truncated)?;
    let may_open_flow = may_open_flow_by_type(version, first_byte)
        && datagram.len() >= MINIMUM_INITIAL_DATAGRAM_LENGTH
        && id_length >= MINIMUM_INITIAL_CONNECTION_ID_LENGTH;
    Ok(Packet {
        destination_connection_id,
        may_open_flow,
    })
}

/// Whether a long header of this version and first byte may open a flow. A header
/// of an unknown version may, because the agent must receive it to answer with the
/// versions that it supports. Version zero is a Version Negotiation packet, which
/// only servers send.
fn may_open_flow_by_type(version: u32, first_byte: u8) -> bool {
    match version {
        0 => false,
        VERSION_1 => first_byte & LONG_TYPE_MASK == VERSION_1_INITIAL,
        VERSION_2 => first_byte & LONG_TYPE_MASK == VERSION_2_INITIAL,
        _ => true,
    }
}

impl std::fmt::Display for QuicHeaderError {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.write_str(match self {
            Self::Truncated => "the datagram ends inside its header",
            Self::OversizedConnectionId => "a connection identifier is too long",
        })
    }
}

impl std::error::Error for QuicHeaderError {}
