//! Decides what happens to a received datagram before the QUIC transport
//! processes the datagram.
//!
//! The core's admission makes the decision. This module counts the decision and
//! turns it into an action on the socket or the transport.

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
use super::admission_control::AdmissionControl;
use super::counters::{Counters, DatagramDropReason, increment};
use super::rejected_flows::{RejectedFlows, Rejection};

/// What the socket does with a received datagram.
#[derive(Debug, Eq, PartialEq)]
pub(super) enum IngressAction {
    /// Pass it to the transport, with the caller as its source.
    Deliver(Delivery),
    /// Send it to another agent.
    Forward(Forward),
    /// Drop it, and count it under this reason.
    Drop(DatagramDropReason),
}

/// Addresses of a datagram that the transport is given.
#[derive(Debug, Eq, PartialEq)]
pub(super) struct Delivery {
    /// Address of the caller.
    pub(super) caller: SocketAddr,
    /// Local address that stands for the service address; see [`AddressBook`].
    pub(super) local_address: IpAddr,
}

/// Decides on the datagrams that the agent's socket receives.
#[derive(Debug)]
pub(super) struct Ingress {
    admission_control: Arc<AdmissionControl>,
    addresses: Arc<AddressBook>,
    counters: Arc<Counters>,
    rejected_flows: Arc<RejectedFlows>,
    newest_sequence: AtomicU64,
}

impl Ingress {
    pub(super) fn new(admission_control: Arc<AdmissionControl>, counters: Arc<Counters>) -> Self {
        Self {
            admission_control,
            addresses: Arc::default(),
            counters,
            rejected_flows: Arc::default(),
            newest_sequence: AtomicU64::new(0),
        }
    }

    pub(super) fn addresses(&self) -> &AddressBook {
        &self.addresses
    }

    pub(super) fn rejected_flows(&self) -> &RejectedFlows {
        &self.rejected_flows
    }

    /// Greatest sequence of a roll seen in an envelope that is later than the
    /// sequence of this node's own roll; zero when there was none.
    pub(super) fn newest_sequence(&self) -> Sequence {
        Sequence(self.newest_sequence.load(Ordering::Relaxed))
    }

    /// Decides what happens to one datagram, and counts the decision.
    pub(super) fn decide(&self, envelope: Envelope, datagram: &[u8]) -> IngressAction {
        let Ok(packet) = quic_header::parse_header(datagram, TOKEN_LENGTH) else {
            return IngressAction::Drop(DatagramDropReason::MalformedPacket);
        };
        let caller = envelope.caller;
        let service_address = envelope.service_address;
        let Decision { verdict, hint } = self.admission_control.admit(envelope, &packet);
        if let Some(SequenceHint::AgentIsBehind(sequence)) = hint {
            self.newest_sequence
                .fetch_max(sequence.0, Ordering::Relaxed);
        }
        match verdict {
            Verdict::HandOn(forward) => {
                increment(&self.counters.handed_on);
                return IngressAction::Forward(forward);
            }
            Verdict::Relay(forward) => {
                increment(&self.counters.relayed_datagrams);
                return IngressAction::Forward(forward);
            }
            Verdict::Drop(reason) => return IngressAction::Drop(drop_reason(reason)),
            Verdict::Deliver => {}
            Verdict::Accept => increment(&self.counters.accepted),
            Verdict::AcceptToDecline => {
                increment(&self.counters.declined);
                self.rejected_flows
                    .insert(packet.destination_connection_id, Rejection::Decline);
            }
            Verdict::Refuse(_) => {
                increment(&self.counters.refused);
                self.rejected_flows
                    .insert(packet.destination_connection_id, Rejection::Refuse);
            }
        }
        self.deliver(caller, service_address)
    }

    fn deliver(&self, caller: SocketAddr, service_address: SocketAddr) -> IngressAction {
        match self.addresses.local_address(service_address) {
            Some(local_address) => IngressAction::Deliver(Delivery {
                caller,
                local_address,
            }),
            None => IngressAction::Drop(DatagramDropReason::AddressBookFull),
        }
    }
}

fn drop_reason(reason: AdmissionDropReason) -> DatagramDropReason {
    match reason {
        AdmissionDropReason::WrongService => DatagramDropReason::WrongService,
        AdmissionDropReason::WrongTarget => DatagramDropReason::WrongTarget,
        AdmissionDropReason::ForeignToken => DatagramDropReason::ForeignToken,
        AdmissionDropReason::InvalidToken => DatagramDropReason::InvalidToken,
        AdmissionDropReason::StaleSequence => DatagramDropReason::StaleSequence,
        AdmissionDropReason::UnknownRelayTarget => DatagramDropReason::UnknownRelayTarget,
    }
}
