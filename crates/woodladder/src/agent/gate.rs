//! What happens to an envelope before the transport sees its datagram.
//!
//! The core's admission decides; this module carries its verdict over to the
//! transport's terms and counts it.

use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use woodladder_core::identifier::Sequence;
use woodladder_core::packets::envelope::Envelope;
use woodladder_core::packets::quic_header;
use woodladder_core::packets::router::Forward;
use woodladder_core::packets::token::TOKEN_LENGTH;
use woodladder_core::target::admission::{AdmissionDropReason, Decision, SequenceHint, Verdict};

use super::address_book::AddressBook;
use super::control::Control;
use super::counters::{Counters, DatagramDrop, increment};
use super::marked_flows::{Mark, MarkedFlows};

/// What becomes of a datagram.
#[derive(Debug, Eq, PartialEq)]
pub(super) enum Passage {
    /// The transport gets it, as if it had come from the caller.
    Deliver(Delivery),
    /// It goes to another agent.
    Forward(Forward),
    /// It goes nowhere.
    Drop(DatagramDrop),
}

/// How the transport sees a datagram.
#[derive(Debug, Eq, PartialEq)]
pub(super) struct Delivery {
    /// Address of the caller.
    pub(super) caller: SocketAddr,
    /// Stands for the service address; see [`AddressBook`].
    pub(super) local_address: IpAddr,
}

/// Judges datagrams in their envelopes.
#[derive(Debug)]
pub(super) struct Gate {
    control: Arc<Control>,
    addresses: Arc<AddressBook>,
    counters: Arc<Counters>,
    marks: Arc<MarkedFlows>,
    newest_sequence: AtomicU64,
}

impl Gate {
    pub(super) fn new(control: Arc<Control>, counters: Arc<Counters>) -> Self {
        Self {
            control,
            addresses: Arc::default(),
            counters,
            marks: Arc::default(),
            newest_sequence: AtomicU64::new(0),
        }
    }

    pub(super) fn addresses(&self) -> &AddressBook {
        &self.addresses
    }

    pub(super) fn marks(&self) -> &MarkedFlows {
        &self.marks
    }

    /// Greatest sequence that a balancer had and this node does not.
    pub(super) fn newest_sequence(&self) -> Sequence {
        Sequence(self.newest_sequence.load(Ordering::Relaxed))
    }

    /// Judges one datagram in its envelope.
    pub(super) fn judge(&self, envelope: Envelope, datagram: &[u8]) -> Passage {
        let Ok(packet) = quic_header::parse_header(datagram, TOKEN_LENGTH) else {
            return Passage::Drop(DatagramDrop::MalformedPacket);
        };
        let caller = envelope.caller;
        let service_address = envelope.service_address;
        let Decision { verdict, hint } = self.control.admit(envelope, &packet);
        if let Some(SequenceHint::AgentIsBehind(sequence)) = hint {
            self.newest_sequence
                .fetch_max(sequence.0, Ordering::Relaxed);
        }
        match verdict {
            Verdict::HandOn(forward) => {
                increment(&self.counters.handed_on);
                return Passage::Forward(forward);
            }
            Verdict::Relay(forward) => {
                increment(&self.counters.relayed);
                return Passage::Forward(forward);
            }
            Verdict::Drop(reason) => return Passage::Drop(drop_reason(reason)),
            Verdict::Deliver => {}
            Verdict::Accept => increment(&self.counters.accepted),
            Verdict::AcceptToDecline => {
                increment(&self.counters.declined);
                self.marks
                    .set(packet.destination_connection_id, Mark::Decline);
            }
            Verdict::Refuse(_) => {
                increment(&self.counters.refused);
                self.marks
                    .set(packet.destination_connection_id, Mark::Refuse);
            }
        }
        self.deliver(caller, service_address)
    }

    fn deliver(&self, caller: SocketAddr, service_address: SocketAddr) -> Passage {
        match self.addresses.local_address(service_address) {
            Some(local_address) => Passage::Deliver(Delivery {
                caller,
                local_address,
            }),
            None => Passage::Drop(DatagramDrop::AddressBookFull),
        }
    }
}

fn drop_reason(reason: AdmissionDropReason) -> DatagramDrop {
    match reason {
        AdmissionDropReason::WrongService => DatagramDrop::WrongService,
        AdmissionDropReason::WrongTarget => DatagramDrop::WrongTarget,
        AdmissionDropReason::ForeignToken => DatagramDrop::ForeignToken,
        AdmissionDropReason::InvalidToken => DatagramDrop::InvalidToken,
        AdmissionDropReason::StaleSequence => DatagramDrop::StaleSequence,
        AdmissionDropReason::UnknownRelayTarget => DatagramDrop::UnknownRelayTarget,
    }
}
