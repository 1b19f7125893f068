//! How packets look on a platform.

use std::net::Ipv4Addr;

use woodladder_core::flow::agent::AnswerKind;
use woodladder_core::flow::packet::{CallerReset, FlowPacket};

/// A packet that a target sent.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct TargetPacket {
    /// The packet; for one that the target gave back, as its caller sent it.
    pub packet: FlowPacket,
    /// Address of the balancer that the packet was marked with, when the
    /// target gave it back.
    pub returned_to: Option<Ipv4Addr>,
}

/// Why bytes are not a packet.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum PacketError {
    /// They end inside the head.
    Truncated,
    /// The stated length is not that of the data.
    WrongLength,
    /// The flags contradict each other.
    WrongFlags,
    /// A port or an address is zero.
    WrongAddress,
}

impl PacketError {
    /// The error's name in metrics.
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

/// Reads and writes packets of one layout.
pub trait Carrier {
    /// Reads a packet that a caller sent.
    ///
    /// # Errors
    /// [`PacketError`] when it is not one.
    fn read_from_caller(&self, bytes: &[u8]) -> Result<FlowPacket, PacketError>;

    /// Reads a packet that a target sent.
    ///
    /// # Errors
    /// [`PacketError`] when it is not one.
    fn read_from_target(&self, bytes: &[u8]) -> Result<TargetPacket, PacketError>;

    /// Marks a packet so that the target's return of it names the balancer.
    fn mark(&self, bytes: &mut [u8], balancer: Ipv4Addr);

    /// Takes all marks off, so that the packet is as its sender wrote it.
    fn clear_marks(&self, bytes: &mut [u8]);

    /// Writes a reset.
    fn write_reset(&self, reset: &CallerReset) -> Vec<u8>;

    /// How an answer begins, where the packet's data shows it.
    fn answer_kind(&self, bytes: &[u8]) -> Option<AnswerKind>;

    /// The request's identifier, where the packet's data shows it.
    fn request_id<'a>(&self, bytes: &'a [u8]) -> Option<&'a str>;
}
