//! The stand-in's own reading and writing of the packet head, apart from the
//! product's, so that an error in one shows in the other.

use std::net::{Ipv4Addr, SocketAddrV4};

/// Bytes of the head.
const LENGTH: usize = 32;

/// What a packet does.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Flags(pub u8);

impl Flags {
    pub const OPEN: Self = Self(32);
    pub const ACKNOWLEDGE: Self = Self(2);
    pub const CLOSE: Self = Self(128);
    pub const RESET: Self = Self(4);
    pub const RETURNED: Self = Self(64);

    /// Both sets.
    pub fn with(self, other: Self) -> Self {
        Self(self.0 | other.0)
    }

    /// Whether all of the other set are here.
    pub fn has(self, other: Self) -> bool {
        self.0 & other.0 == other.0
    }
}

/// One packet.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Packet {
    pub flags: Flags,
    pub from: SocketAddrV4,
    pub to: SocketAddrV4,
    pub echo: [u8; 4],
    pub sum: [u8; 4],
    pub sequence: u32,
    pub acknowledgement: u32,
    pub data: Vec<u8>,
}

impl Packet {
    /// A packet with the sum that its sender writes.
    pub fn new(
        flags: Flags,
        from: SocketAddrV4,
        to: SocketAddrV4,
        sequence: u32,
        acknowledgement: u32,
        data: &[u8],
    ) -> Self {
        let mut packet = Self {
            flags,
            from,
            to,
            echo: [0; 4],
            sum: [0; 4],
            sequence,
            acknowledgement,
            data: data.to_vec(),
        };
        packet.sum = packet.own_sum();
        packet
    }

    /// Whether the packet is as its sender wrote it.
    pub fn is_whole(&self) -> bool {
        self.sum == self.own_sum()
    }

    fn own_sum(&self) -> [u8; 4] {
        const PRIME: u32 = 0x0100_0193;
        let mut hash: u32 = 0x811c_9dc5;
        let flags = self.flags.0 & !Flags::RETURNED.0;
        let numbers = [self.sequence, self.acknowledgement];
        let ends = [self.from, self.to];
        let bytes = std::iter::once(flags)
            .chain(numbers.iter().flat_map(|number| number.to_be_bytes()))
            .chain(ends.iter().flat_map(|end| end.ip().octets()))
            .chain(ends.iter().flat_map(|end| end.port().to_be_bytes()))
            .chain(self.data.iter().copied());
        for byte in bytes {
            hash = (hash ^ u32::from(byte)).wrapping_mul(PRIME);
        }
        hash.to_be_bytes()
    }

    /// Reads a datagram; `None` when it is no packet.
    pub fn read(bytes: &[u8]) -> Option<Self> {
        let four = |at: usize| -> Option<[u8; 4]> { bytes.get(at..at + 4)?.try_into().ok() };
        let two = |at: usize| -> Option<u16> {
            Some(u16::from_be_bytes(bytes.get(at..at + 2)?.try_into().ok()?))
        };
        let data = bytes.get(LENGTH..)?;
        let packet = Self {
            flags: Flags(*bytes.first()?),
            to: SocketAddrV4::new(Ipv4Addr::from(four(2)?), two(8)?),
            from: SocketAddrV4::new(Ipv4Addr::from(four(10)?), two(6)?),
            echo: four(14)?,
            sum: four(18)?,
            sequence: u32::from_be_bytes(four(22)?),
            acknowledgement: u32::from_be_bytes(four(26)?),
            data: data.to_vec(),
        };
        (usize::from(two(30)?) == data.len()).then_some(packet)
    }

    /// The datagram.
    pub fn write(&self) -> Vec<u8> {
        let mut bytes = vec![0; LENGTH];
        bytes[0] = self.flags.0;
        bytes[2..6].copy_from_slice(&self.to.ip().octets());
        bytes[6..8].copy_from_slice(&self.from.port().to_be_bytes());
        bytes[8..10].copy_from_slice(&self.to.port().to_be_bytes());
        bytes[10..14].copy_from_slice(&self.from.ip().octets());
        bytes[14..18].copy_from_slice(&self.echo);
        bytes[18..22].copy_from_slice(&self.sum);
        bytes[22..26].copy_from_slice(&self.sequence.to_be_bytes());
        bytes[26..30].copy_from_slice(&self.acknowledgement.to_be_bytes());
        let length = u16::try_from(self.data.len()).unwrap_or(u16::MAX);
        bytes[30..32].copy_from_slice(&length.to_be_bytes());
        bytes.extend_from_slice(&self.data);
        bytes
    }
}
