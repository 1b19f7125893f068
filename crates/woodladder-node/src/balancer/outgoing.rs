//! What a balancer sends by datagram: at once, or in the order and at the pace that
//! its link bears.

use std::cell::RefCell;
use std::net::SocketAddrV4;
use std::rc::Rc;
use std::time::Duration;

use tokio::sync::Notify;
use tokio::time::sleep;
use woodladder_core::flow::link::scheduler::{
    DatagramInfo, LinkScheduler, SchedulerTotals, TrafficClass,
};
use woodladder_core::flow::message::{ForwardPurpose, PeerMessage};
use woodladder_core::flow::packet::{CallerReset, FlowPacket};

use super::BalancerNode;
use crate::carrier::Carrier;
use crate::peer_socket;

/// Least pause between two looks at the queue, as fine as timers are.
const LEAST_PAUSE: Duration = Duration::from_millis(1);

#[derive(Clone, Copy, Debug)]
enum Destination {
    /// A node.
    Peer(SocketAddrV4),
    /// A caller.
    Caller(SocketAddrV4),
}

#[derive(Clone, Debug)]
struct Datagram {
    destination: Destination,
    bytes: Vec<u8>,
}

/// Datagrams that wait to leave.
#[derive(Debug)]
pub(super) struct OutgoingQueue {
    scheduler: RefCell<LinkScheduler<Datagram>>,
    filled: Notify,
}

impl OutgoingQueue {
    /// A queue before a link of this rate, in kilobits a second.
    pub(super) fn new(link_rate: u32) -> Self {
        Self {
            scheduler: RefCell::new(LinkScheduler::new(link_rate)),
            filled: Notify::new(),
        }
    }

    /// Bytes that wait.
    pub(super) fn queued_bytes(&self) -> usize {
        self.scheduler.borrow().queued_bytes()
    }

    /// Running totals.
    pub(super) fn totals(&self) -> SchedulerTotals {
        self.scheduler.borrow().totals()
    }
}

impl<C: Carrier + 'static> BalancerNode<C> {
    /// Sends a message that carries no packet.
    pub(super) fn send_message(&self, message: &PeerMessage, to: SocketAddrV4) {
        let bytes = self.peers.encode(message, &[]);
        self.send(Destination::Peer(to), bytes, None, TrafficClass::Priority);
    }

    /// Sends a message with a caller's packet.
    pub(super) fn send_packet(
        &self,
        message: &PeerMessage,
        packet: &FlowPacket,
        bytes: &[u8],
        to: SocketAddrV4,
    ) {
        let datagram = self.peers.encode(message, bytes);
        let urgency = self.urgency(message, packet);
        self.send(Destination::Peer(to), datagram, Some(packet), urgency);
    }

    /// Sends a reset to a caller.
    pub(super) fn reset(&self, reset: &CallerReset) {
        let to = SocketAddrV4::new(*reset.key.caller.ip(), self.config.caller_port);
        let bytes = self.carrier.write_reset(reset);
        self.send(Destination::Caller(to), bytes, None, TrafficClass::Priority);
    }

    fn urgency(&self, message: &PeerMessage, packet: &FlowPacket) -> TrafficClass {
        if let PeerMessage::Forward(header) = message
            && header.purpose == ForwardPurpose::Search
        {
            return TrafficClass::Bulk;
        }
        self.core
            .borrow()
            .paced_link()
            .map_or(TrafficClass::Priority, |link| link.traffic_class(packet))
    }

    fn send(
        &self,
        destination: Destination,
        bytes: Vec<u8>,
        packet: Option<&FlowPacket>,
        class: TrafficClass,
    ) {
        let datagram = Datagram { destination, bytes };
        let is_paced = self.core.borrow().paced_link().is_some();
        let Some(queue) = self.outgoing.as_ref().filter(|_| is_paced) else {
            self.transmit(&datagram);
            return;
        };
        let placement = DatagramInfo {
            length_bytes: datagram.bytes.len(),
            flow: packet.map(|packet| packet.key),
            class,
        };
        let now = self.clock.now();
        let passed = queue.scheduler.borrow_mut().offer(datagram, placement, now);
        match passed {
            Some(datagram) => self.transmit(&datagram),
            None => queue.filled.notify_one(),
        }
    }

    fn transmit(&self, datagram: &Datagram) {
        let now = self.clock.now();
        self.core
            .borrow_mut()
            .count_sent_datagram(datagram.bytes.len(), now);
        match datagram.destination {
            Destination::Peer(to) => self.peers.send_datagram(&datagram.bytes, to),
            Destination::Caller(to) => peer_socket::send(&self.callers, &datagram.bytes, to),
        }
    }

    /// Sends what waits, as the link allows, until the process ends.
    pub(super) async fn send_queued(self: Rc<Self>) {
        let Some(queue) = &self.outgoing else {
            return;
        };
        loop {
            let due = queue.scheduler.borrow().next_release();
            match due {
                None => queue.filled.notified().await,
                Some(due) => sleep(due.since(self.clock.now()).max(LEAST_PAUSE)).await,
            }
            self.release_queued(queue);
        }
    }

    fn release_queued(&self, queue: &OutgoingQueue) {
        loop {
            let released = queue.scheduler.borrow_mut().release(self.clock.now());
            match released {
                Some(datagram) => self.transmit(&datagram),
                None => return,
            }
        }
    }
}
