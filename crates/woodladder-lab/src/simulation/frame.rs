//! What callers and agents say to each other inside the callers' transport.
//!
//! The transport itself is modelled: datagrams have the invariant header that
//! balancers and admission read, and carry numbered frames that are
//! acknowledged and sent again until they arrive.

use borsh::{BorshDeserialize, BorshSerialize};
use woodladder_core::identifier::ServiceId;
use woodladder_core::packets::quic_header::MINIMUM_INITIAL_DATAGRAM_LENGTH;
use woodladder_core::packets::token::TOKEN_LENGTH;

/// Length of the identifier that a caller draws for a new flow.
pub const FIRST_IDENTIFIER_LENGTH: usize = 12;

const FIRST_BYTE_LONG: u8 = 0xc0;
const FIRST_BYTE_SHORT: u8 = 0x40;
const VERSION: [u8; 4] = [0, 0, 0, 1];

/// Identifier that a caller draws for a new flow.
pub type FirstIdentifier = [u8; FIRST_IDENTIFIER_LENGTH];
/// A routing token.
pub type Token = [u8; TOKEN_LENGTH];

/// A request as a caller sends it.
#[derive(BorshDeserialize, BorshSerialize, Clone, Copy, Debug, Eq, PartialEq)]
pub struct RequestFrame {
    /// The attempt; names the stream.
    pub attempt: u64,
    /// The operation.
    pub operation: u64,
    /// Length of the answer asked for in bytes.
    pub answer_length: u32,
    /// Whether the answer is a feed that does not end.
    pub feed: bool,
    /// Whether the operation may be executed more than once.
    pub repeatable: bool,
    /// Time that the caller gives it, in milliseconds.
    pub deadline: Option<u32>,
}

/// What one end tells the other.
#[derive(BorshDeserialize, BorshSerialize, Clone, Copy, Debug, Eq, PartialEq)]
pub enum Frame {
    /// A request.
    Request(RequestFrame),
    /// The caller gives an attempt up.
    Cancel {
        /// The attempt.
        attempt: u64,
    },
    /// A part of an answer.
    Part {
        /// The attempt whose stream this is.
        attempt: u64,
        /// The attempt that the content was made for.
        made_for: u64,
        /// Length of the part in bytes.
        length: u32,
    },
    /// The answer has ended as a whole.
    End {
        /// The attempt.
        attempt: u64,
    },
    /// The answer is broken off.
    Reset {
        /// The attempt.
        attempt: u64,
    },
    /// The attempt was not run.
    NotRun {
        /// The attempt.
        attempt: u64,
        /// When the caller may ask again, in milliseconds from now.
        retry_after: u32,
    },
    /// The attempt failed, and it is not known whether it was run.
    Unknown {
        /// The attempt.
        attempt: u64,
    },
    /// No more requests may be sent on the flow.
    GoAway,
    /// Asks the other end for a sign of life.
    Ping,
    /// The flow ends. An agent names the greatest attempt that it took on the
    /// flow, as the last notice of HTTP/3 does: greater ones were not run.
    Close {
        /// The greatest attempt taken; zero from callers.
        last_taken: u64,
    },
}

/// Content of a datagram.
#[derive(BorshDeserialize, BorshSerialize, Clone, Debug, Eq, PartialEq)]
pub enum Content {
    /// Opens a flow.
    Open,
    /// The agent has accepted the flow.
    Welcome {
        /// Token for all later packets.
        token: Token,
    },
    /// The agent has refused the flow.
    Refused {
        /// When the caller may ask again, in milliseconds from now.
        retry_after: u32,
    },
    /// Frames and acknowledgements of an open flow.
    Frames(FrameDatagram),
}

/// Frames and acknowledgements of an open flow.
#[derive(BorshDeserialize, BorshSerialize, Clone, Debug, Default, Eq, PartialEq)]
pub struct FrameDatagram {
    /// Number of the first frame that has not arrived yet.
    pub acknowledged: u64,
    /// A frame with its number, unless this is only an acknowledgement.
    pub frame: Option<(u64, Frame)>,
}

/// A datagram's content with what the oracle wants to know of it.
#[derive(BorshDeserialize, BorshSerialize, Clone, Debug, Eq, PartialEq)]
pub struct Payload {
    /// Service that the sender belongs to or means.
    pub service: ServiceId,
    /// The flow's first identifier.
    pub flow: FirstIdentifier,
    /// The content.
    pub content: Content,
}

impl Payload {
    /// The datagram that opens a flow.
    #[must_use]
    pub fn first_datagram(&self) -> Vec<u8> {
        let mut datagram = vec![FIRST_BYTE_LONG];
        datagram.extend_from_slice(&VERSION);
        datagram.push(FIRST_IDENTIFIER_LENGTH as u8);
        datagram.extend_from_slice(&self.flow);
        self.append_to(&mut datagram);
        let padded = datagram.len().max(MINIMUM_INITIAL_DATAGRAM_LENGTH);
        datagram.resize(padded, 0);
        datagram
    }

    /// A datagram of an open flow.
    #[must_use]
    pub fn later_datagram(&self, token: &Token) -> Vec<u8> {
        let mut datagram = vec![FIRST_BYTE_SHORT];
        datagram.extend_from_slice(token);
        self.append_to(&mut datagram);
        datagram
    }

    /// Reads the content of a caller's datagram.
    #[must_use]
    pub fn read(datagram: &[u8]) -> Option<Self> {
        let header = match *datagram.first()? {
            FIRST_BYTE_LONG => 1 + VERSION.len() + 1 + FIRST_IDENTIFIER_LENGTH,
            _ => 1 + TOKEN_LENGTH,
        };
        let mut rest = datagram.get(header..)?;
        Self::deserialize(&mut rest).ok()
    }

    fn append_to(&self, datagram: &mut Vec<u8>) {
        datagram.extend(borsh::to_vec(self).unwrap_or_default());
    }
}
