//! Control of the load on a machine's link: measuring its use, ordering and pacing the
//! outgoing datagrams, and limiting the number of bulk flows that share it.

pub mod bulk_admission;
pub mod bulk_routes;
pub mod scheduler;
pub mod usage;

use std::net::SocketAddrV4;
use std::time::Duration;

use self::bulk_admission::{BulkAdmission, BulkDecision, BulkTerms, ReleasedOpening};
use self::bulk_routes::BulkRoutes;
use self::scheduler::TrafficClass;
use self::usage::LinkUsage;
use super::configuration::RouteTerms;
use super::identity::FlowKey;
use super::packet::{FlowPacket, PacketKind};
use crate::clock::Instant;

/// Bytes that the network adds to each datagram: the headers of IP and UDP.
pub const DATAGRAM_HEADER_BYTES: usize = 28;
/// Bytes that a sender may have in flight: 16 packets of 1,200 bytes.
pub const SEND_WINDOW_BYTES: u64 = 16 * 1200;
/// Longest time for which packets may be queued by the network in front of the link
/// without being lost or retransmitted.
const MAXIMUM_NETWORK_QUEUE_TIME: Duration = Duration::from_millis(35);
/// Lower bound of the limit on active bulk flows, also on a slow link: one flow sends
/// while another waits for acknowledgements.
const MINIMUM_ACTIVE_BULK_FLOWS: u64 = 2;
/// Bits in a byte.
const BITS_PER_BYTE: u64 = 8;

/// Use of a link, and admission of the flows of bulk routes that share it.
#[derive(Clone, Debug)]
pub struct LinkLoadControl {
    /// Rate in each direction, in kilobits per second.
    rate_kbps: u32,
    incoming: LinkUsage,
    outgoing: LinkUsage,
    bulk_routes: BulkRoutes,
    bulk_admission: BulkAdmission,
}

impl LinkLoadControl {
    /// The load control of an unused link of this rate, in kilobits per second.
    #[must_use]
    pub fn new(rate_kbps: u32) -> Self {
        Self {
            rate_kbps: rate_kbps.max(1),
            incoming: LinkUsage::default(),
            outgoing: LinkUsage::default(),
            bulk_routes: BulkRoutes::default(),
            bulk_admission: BulkAdmission::default(),
        }
    }

    /// Counts a received datagram.
    pub fn record_received(&mut self, length: usize, now: Instant) {
        self.incoming.add(length + DATAGRAM_HEADER_BYTES, now);
    }

    /// Counts a sent datagram.
    pub fn record_sent(&mut self, length: usize, now: Instant) {
        self.outgoing.add(length + DATAGRAM_HEADER_BYTES, now);
    }

    /// Decides about a caller's packet.
    pub fn admit_caller_packet(
        &mut self,
        packet: &FlowPacket,
        bytes: &[u8],
        terms: RouteTerms,
        now: Instant,
    ) -> BulkDecision {
        let is_bulk = self.bulk_routes.is_bulk(packet.key.service);
        if packet.kind != PacketKind::Open {
            self.bulk_routes
                .count_bytes(&packet.key, packet.payload_length, now);
            if is_bulk {
                self.bulk_admission.handle_packet(packet, now);
            }
            return BulkDecision::Admit;
        }
        let decision = if is_bulk {
            let terms = self.bulk_terms(packet.key.service, terms);
            let limit = self.max_active_bulk_flows();
            self.bulk_admission
                .admit_opening(packet, bytes, terms, limit, now)
        } else {
            BulkDecision::Admit
        };
        if decision == BulkDecision::Admit {
            self.bulk_routes.observe(packet.key, now);
        }
        decision
    }

    /// Removes the queued openings of the flows for which `is_obsolete` holds.
    pub fn remove_queued_openings(&mut self, is_obsolete: impl Fn(&FlowKey) -> bool) {
        self.bulk_admission.remove_queued(is_obsolete);
    }

    /// Openings that leave the queue now.
    pub fn release_openings(&mut self, now: Instant) -> Vec<ReleasedOpening> {
        if self.bulk_admission.queued() == 0 {
            return Vec::new();
        }
        let released = self
            .bulk_admission
            .release(self.max_active_bulk_flows(), now);
        for opening in released.iter().filter(|opening| opening.is_admitted) {
            self.bulk_routes.observe(opening.packet.key, now);
        }
        released
    }

    /// Whether a queued opening may be forwarded now.
    #[must_use]
    pub fn can_release_opening(&self) -> bool {
        self.bulk_admission.has_room(self.max_active_bulk_flows())
    }

    /// Class of a packet: bulk for data of bulk routes.
    #[must_use]
    pub fn traffic_class(&self, packet: &FlowPacket) -> TrafficClass {
        if packet.payload_length > 0 && self.bulk_routes.is_bulk(packet.key.service) {
            TrafficClass::Bulk
        } else {
            TrafficClass::Priority
        }
    }

    /// Mean rates of received and of sent bytes over the last second, in kilobits per
    /// second.
    #[must_use]
    pub fn used_kbps(&self, now: Instant) -> (u64, u64) {
        (self.incoming.rate_kbps(now), self.outgoing.rate_kbps(now))
    }

    /// Rate of the link, in kilobits per second.
    #[must_use]
    pub fn rate_kbps(&self) -> u32 {
        self.rate_kbps
    }

    /// Number of active flows of bulk routes.
    #[must_use]
    pub fn active_bulk_flows(&self) -> usize {
        self.bulk_admission.active()
    }

    /// Number of queued openings.
    #[must_use]
    pub fn queued_openings(&self) -> usize {
        self.bulk_admission.queued()
    }

    /// Maximum number of flows of bulk routes that are to be active at the same time: the
    /// number of send windows of [`SEND_WINDOW_BYTES`] that fit into the network's queue
    /// in front of the link, but at least [`MINIMUM_ACTIVE_BULK_FLOWS`].
    #[must_use]
    pub fn max_active_bulk_flows(&self) -> usize {
        let queue_bytes =
            u64::from(self.rate_kbps) * milliseconds(MAXIMUM_NETWORK_QUEUE_TIME) / BITS_PER_BYTE;
        usize::try_from((queue_bytes / SEND_WINDOW_BYTES).max(MINIMUM_ACTIVE_BULK_FLOWS))
            .unwrap_or(usize::MAX)
    }

    /// Removes routes that no longer exist.
    pub fn retain_routes(&mut self, exists: impl FnMut(SocketAddrV4) -> bool) {
        self.bulk_routes.retain(exists);
    }

    fn bulk_terms(&self, route: SocketAddrV4, terms: RouteTerms) -> BulkTerms {
        let transfer_ms =
            self.bulk_routes.mean_bytes(route) * BITS_PER_BYTE / u64::from(self.rate_kbps);
        BulkTerms {
            aim: Duration::from_millis(terms.aim_ms.into()),
            timeout: Duration::from_millis(terms.timeout_ms.into()),
            transfer_time: Duration::from_millis(transfer_ms),
        }
    }
}

fn milliseconds(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
