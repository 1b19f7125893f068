//! Decoding and encoding of a platform's packets.

use std::net::Ipv4Addr;

use woodladder_core::flow::agent::AnswerKind;
use woodladder_core::flow::packet::{CallerReset, FlowPacket};

/// A packet that came from a target.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct TargetPacket {
    /// The packet; when the target returned a packet, the one that its caller sent.
    pub packet: FlowPacket,
    /// Balancer that a returned packet is marked with; `None` when the target did not
    /// return a packet but sent one of its own.
    pub returned_to: Option<Ipv4Addr>,
}

/// Why bytes cannot be decoded as a packet.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum PacketError {
    /// The bytes end inside the packet header.
    Truncated,
    /// The length in the header differs from the length of the payload, or is above
    /// the platform's maximum.
    WrongLength,
    /// The flags are a combination that is not allowed.
    WrongFlags,
    /// A port or an address is zero.
    WrongAddress,
}

impl PacketError {
    /// Returns the name of the error in metrics.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::Truncated => "truncated",
            Self::WrongLength => "wrong_length",
            Self::WrongFlags => "wrong_flags",
            Self::WrongAddress => "wrong_address",
        }
    }
}

/// Decodes and encodes packets of one platform.
pub trait PacketCodec {
    /// Decodes a packet from a caller.
    ///
    /// # Errors
    /// Returns [`PacketError`] when the bytes are not a valid packet.
    fn decode_from_caller(&self, bytes: &[u8]) -> Result<FlowPacket, PacketError>;

    /// Decodes a packet from a target.
    ///
    /// # Errors
    /// Returns [`PacketError`] when the bytes are not a valid packet.
    fn decode_from_target(&self, bytes: &[u8]) -> Result<TargetPacket, PacketError>;

    /// Marks a packet for the target, so that the target names `balancer` when it
    /// returns the packet.
    fn mark_for_target(&self, bytes: &mut [u8], balancer: Ipv4Addr);

    /// Removes all marks, which restores the packet that the sender wrote.
    fn clear_marks(&self, bytes: &mut [u8]);

    /// Encodes a reset for a caller.
    fn encode_reset(&self, reset: &CallerReset) -> Vec<u8>;

    /// Returns the kind of the answer that begins in this packet; `None` when no answer
    /// begins in it.
    fn answer_kind(&self, bytes: &[u8]) -> Option<AnswerKind>;

    /// Returns the identifier of the request in this packet; `None` when the packet
    /// does not contain one.
    fn request_id<'a>(&self, bytes: &'a [u8]) -> Option<&'a str>;
}
