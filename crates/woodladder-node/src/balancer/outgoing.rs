//! Outgoing datagrams of a balancer: sent at once, or, while the link is paced, queued
//! and sent by priority at a rate that the link can carry.

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
use crate::datagram_socket;
use crate::packet_codec::PacketCodec;

/// Minimum pause between two checks of the queue: the resolution of the timer.
const MINIMUM_PAUSE: Duration = Duration::from_millis(1);

#[derive(Clone, Copy, Debug)]
enum Destination {
    /// Another node.
    Peer(SocketAddrV4),
    /// A caller.
    Caller(SocketAddrV4),
}

#[derive(Clone, Debug)]
struct Datagram {
    destination: Destination,
    bytes: Vec<u8>,
}

/// Datagrams that wait to be sent over the paced link.
#[derive(Debug)]
pub(super) struct OutgoingQueue {
    scheduler: RefCell<LinkScheduler<Datagram>>,
    datagram_queued: Notify,
}

impl OutgoingQueue {
    /// Creates the queue of a link whose rate is given in kilobits per second.
    pub(super) fn new(link_rate_kbps: u32) -> Self {
        Self {
            scheduler: RefCell::new(LinkScheduler::new(link_rate_kbps)),
            datagram_queued: Notify::new(),
        }
    }

    /// Returns the size of all queued datagrams, in bytes.
    pub(super) fn queued_bytes(&self) -> usize {
        self.scheduler.borrow().queued_bytes()
    }

    /// Returns the counters since the start of the process.
    pub(super) fn totals(&self) -> SchedulerTotals {
        self.scheduler.borrow().totals()
    }
}

impl<C: PacketCodec + 'static> BalancerNode<C> {
    /// Sends a message without a packet.
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
        let traffic_class = self.traffic_class(message, packet);
        self.send(Destination::Peer(to), datagram, Some(packet), traffic_class);
    }

    /// Sends a reset to a caller.
    pub(super) fn send_reset(&self, reset: &CallerReset) {
        let to = SocketAddrV4::new(*reset.key.caller.ip(), self.config.caller_port);
        let bytes = self.codec.encode_reset(reset);
        self.send(Destination::Caller(to), bytes, None, TrafficClass::Priority);
    }

    fn traffic_class(&self, message: &PeerMessage, packet: &FlowPacket) -> TrafficClass {
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
        traffic_class: TrafficClass,
    ) {
        let datagram = Datagram { destination, bytes };
        let is_paced = self.core.borrow().paced_link().is_some();
        let Some(queue) = self.outgoing_queue.as_ref().filter(|_| is_paced) else {
            self.transmit(&datagram);
            return;
        };
        let datagram_info = DatagramInfo {
            length_bytes: datagram.bytes.len(),
            flow: packet.map(|packet| packet.key),
            class: traffic_class,
        };
        let now = self.clock.now();
        let immediate = queue
            .scheduler
            .borrow_mut()
            .offer(datagram, datagram_info, now);
        match immediate {
            Some(datagram) => self.transmit(&datagram),
            None => queue.datagram_queued.notify_one(),
        }
    }

    fn transmit(&self, datagram: &Datagram) {
        let now = self.clock.now();
        self.core
            .borrow_mut()
            .count_sent_datagram(datagram.bytes.len(), now);
        match datagram.destination {
            Destination::Peer(to) => self.peers.send_datagram(&datagram.bytes, to),
            Destination::Caller(to) => {
                datagram_socket::send(&self.caller_socket, &datagram.bytes, to)
            }
        }
    }

    /// Sends queued datagrams at the pace of the link until the process ends.
    pub(super) async fn send_queued(self: Rc<Self>) {
        let Some(queue) = &self.outgoing_queue else {
            return;
        };
        loop {
            let due_at = queue.scheduler.borrow().next_release();
            match due_at {
                None => queue.datagram_queued.notified().await,
                Some(due_at) => sleep(due_at.since(self.clock.now()).max(MINIMUM_PAUSE)).await,
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
