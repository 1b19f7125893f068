//! Packets of the simulation as bytes, so that nodes can keep and return them.

use std::net::SocketAddrV4;

use woodladder_core::flow::identity::FlowKey;
use woodladder_core::flow::packet::{FlowPacket, PacketKind};

type Fields = (SocketAddrV4, SocketAddrV4, u8, u32, u32, u16);

const KINDS: [PacketKind; 5] = [
    PacketKind::Open,
    PacketKind::Accept,
    PacketKind::Reset,
    PacketKind::Finish,
    PacketKind::Data,
];

/// The bytes of a packet.
pub fn write(packet: &FlowPacket) -> Vec<u8> {
    let kind = KINDS.iter().position(|kind| *kind == packet.kind);
    let fields: Fields = (
        packet.key.caller,
        packet.key.service,
        kind.and_then(|index| u8::try_from(index).ok())
            .unwrap_or_default(),
        packet.sequence,
        packet.acknowledgement,
        packet.payload_length,
    );
    borsh::to_vec(&fields).expect("writing to memory does not fail")
}

/// The packet that was written as these bytes.
///
/// # Panics
/// When the bytes are not those of a packet: a node has changed them.
pub fn read(bytes: &[u8]) -> FlowPacket {
    let fields: Fields = borsh::from_slice(bytes).expect("nodes leave packets as they are");
    let (caller, service, kind, sequence, acknowledgement, payload_length) = fields;
    FlowPacket {
        key: FlowKey { caller, service },
        kind: KINDS[usize::from(kind)],
        sequence,
        acknowledgement,
        payload_length,
    }
}
