//! What a machine's link bears: its use, the order and pace of what leaves, and how
//! many flows that bring many bytes share it at a time.

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

/// Bytes that the network puts before each datagram.
pub const LINK_HEADER: usize = 28;
/// Bytes that a sender may have under way: 16 packets of 1,200 bytes.
pub const WINDOW: u64 = 16 * 1200;
/// Time for which packets may wait before the link without being lost or repeated.
const LINK_QUEUE: Duration = Duration::from_millis(35);
/// Least number of flows that share a link: one sends while another waits for
/// acknowledgements.
const LEAST_SHARING: u64 = 2;
/// Bits in a byte.
const BITS: u64 = 8;

/// Use of a link, and the flows of bulk routes that share it.
#[derive(Clone, Debug)]
pub struct LinkBudget {
    /// Kilobits a second in each direction.
    rate: u32,
    incoming: LinkUsage,
    outgoing: LinkUsage,
    routes: BulkRoutes,
    admission: BulkAdmission,
}

impl LinkBudget {
    /// The budget of a link of this rate, in kilobits a second.
    #[must_use]
    pub fn new(rate: u32) -> Self {
        Self {
            rate: rate.max(1),
            incoming: LinkUsage::default(),
            outgoing: LinkUsage::default(),
            routes: BulkRoutes::default(),
            admission: BulkAdmission::default(),
        }
    }

    /// Counts a datagram that has come.
    pub fn record_received(&mut self, length: usize, now: Instant) {
        self.incoming.add(length + LINK_HEADER, now);
    }

    /// Counts a datagram that has left.
    pub fn record_sent(&mut self, length: usize, now: Instant) {
        self.outgoing.add(length + LINK_HEADER, now);
    }

    /// Decides about a packet of a caller.
    pub fn admit_caller_packet(
        &mut self,
        packet: &FlowPacket,
        bytes: &[u8],
        terms: RouteTerms,
        now: Instant,
    ) -> BulkDecision {
        let is_bulk = self.routes.is_bulk(packet.key.service);
        if packet.kind != PacketKind::Open {
            self.routes.brought(&packet.key, packet.payload_length, now);
            if is_bulk {
                self.admission.packet(packet, now);
            }
            return BulkDecision::Admit;
        }
        let decision = if is_bulk {
            let terms = self.terms(packet.key.service, terms);
            let limit = self.most_sharing();
            self.admission.opening(packet, bytes, terms, limit, now)
        } else {
            BulkDecision::Admit
        };
        if decision == BulkDecision::Admit {
            self.routes.opened(packet.key, now);
        }
        decision
    }

    /// Forgets waiting openings of these flows.
    pub fn forget_waiting(&mut self, is_of: impl Fn(&FlowKey) -> bool) {
        self.admission.forget_waiting(is_of);
    }

    /// Openings whose wait ends now.
    pub fn release_waiting(&mut self, now: Instant) -> Vec<ReleasedOpening> {
        if self.admission.waiting() == 0 {
            return Vec::new();
        }
        let released = self.admission.release(self.most_sharing(), now);
        for opening in released.iter().filter(|opening| opening.is_admitted) {
            self.routes.opened(opening.packet.key, now);
        }
        released
    }

    /// Whether a waiting opening may go on.
    #[must_use]
    pub fn can_release_waiting(&self) -> bool {
        self.admission.has_room(self.most_sharing())
    }

    /// Whether a packet goes before others.
    #[must_use]
    pub fn traffic_class(&self, packet: &FlowPacket) -> TrafficClass {
        if packet.payload_length > 0 && self.routes.is_bulk(packet.key.service) {
            TrafficClass::Bulk
        } else {
            TrafficClass::Priority
        }
    }

    /// Mean rate in and out over the last second, in kilobits a second.
    #[must_use]
    pub fn used_kbps(&self, now: Instant) -> (u64, u64) {
        (self.incoming.rate(now), self.outgoing.rate(now))
    }

    /// Rate of the link, in kilobits a second.
    #[must_use]
    pub fn rate_kbps(&self) -> u32 {
        self.rate
    }

    /// Flows of bulk routes under way.
    #[must_use]
    pub fn active_bulk_flows(&self) -> usize {
        self.admission.under_way()
    }

    /// Openings that wait.
    #[must_use]
    pub fn openings_waiting(&self) -> usize {
        self.admission.waiting()
    }

    /// Most flows of bulk routes that are to be under way at a time: so many that
    /// their windows fit in what may wait before the link.
    #[must_use]
    pub fn most_sharing(&self) -> usize {
        let queue = u64::from(self.rate) * milliseconds(LINK_QUEUE) / BITS;
        usize::try_from((queue / WINDOW).max(LEAST_SHARING)).unwrap_or(usize::MAX)
    }

    /// Forgets routes that no longer exist.
    pub fn retain_routes(&mut self, exists: impl FnMut(SocketAddrV4) -> bool) {
        self.routes.retain(exists);
    }

    fn terms(&self, route: SocketAddrV4, terms: RouteTerms) -> BulkTerms {
        let transfer = self.routes.mean(route) * BITS / u64::from(self.rate);
        BulkTerms {
            aim: Duration::from_millis(terms.aim_ms.into()),
            timeout: Duration::from_millis(terms.timeout_ms.into()),
            transfer: Duration::from_millis(transfer),
        }
    }
}

fn milliseconds(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
