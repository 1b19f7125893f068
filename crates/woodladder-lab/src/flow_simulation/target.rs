//! A target as a model: which flows it holds and what it answers.

use std::collections::BTreeMap;

use woodladder_core::flow::identity::{FlowKey, Incarnation, ServiceKey};
use woodladder_core::flow::packet::{FlowPacket, PacketKind};

/// First number of a target's side of a flow; differs between incarnations.
const FIRST_SEQUENCE: u32 = 100_000;

/// One flow at a target.
#[derive(Clone, Copy, Debug)]
pub struct HeldFlow {
    first: u32,
    pub sent: u32,
    pub awaited: u32,
    pub is_open: bool,
    pub is_closed: bool,
}

/// What a target does with a packet.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Reaction {
    /// It gives the packet back.
    GiveBack,
    /// It sends a packet.
    Send(FlowPacket),
    /// A request begins.
    Begin,
    /// Nothing.
    Nothing,
}

/// A target.
#[derive(Clone, Debug)]
pub struct Target {
    pub service: ServiceKey,
    pub incarnation: Incarnation,
    pub runs: bool,
    pub leaving: bool,
    pub leaving_acknowledged: bool,
    pub beats: u64,
    pub flows: BTreeMap<(u32, u16), HeldFlow>,
}

/// The caller's end of a flow, as the key of a map.
pub fn flow_number(key: &FlowKey) -> (u32, u16) {
    ((*key.caller.ip()).into(), key.caller.port())
}

impl Target {
    /// A target that has just started.
    pub fn new(service: ServiceKey, incarnation: u64) -> Self {
        Self {
            service,
            incarnation: Incarnation(incarnation),
            runs: true,
            leaving: false,
            leaving_acknowledged: false,
            beats: 0,
            flows: BTreeMap::new(),
        }
    }

    /// Whether a flow is open here.
    pub fn holds(&self, key: &FlowKey) -> bool {
        self.runs
            && self
                .flows
                .get(&flow_number(key))
                .is_some_and(|flow| flow.is_open && !flow.is_closed)
    }

    /// Takes a packet; says whether the flow has just opened, and what follows.
    pub fn receive(&mut self, packet: &FlowPacket) -> (bool, Reaction) {
        if packet.kind == PacketKind::Open {
            return (false, Reaction::Send(self.accept(packet)));
        }
        let Some(flow) = self.flows.get_mut(&flow_number(&packet.key)) else {
            return (false, Reaction::GiveBack);
        };
        let mut opens = false;
        if !flow.is_open {
            if packet.acknowledgement != flow.first + 1 {
                return (false, Reaction::GiveBack);
            }
            flow.is_open = true;
            opens = true;
        }
        let reaction = match packet.kind {
            PacketKind::Reset | PacketKind::Finish => {
                flow.is_closed = true;
                Reaction::Nothing
            }
            _ if packet.payload_length > 0 && packet.sequence == flow.awaited => {
                flow.awaited += u32::from(packet.payload_length);
                Reaction::Begin
            }
            _ => Reaction::Nothing,
        };
        (opens, reaction)
    }

    fn accept(&mut self, packet: &FlowPacket) -> FlowPacket {
        let salt = u32::try_from(self.incarnation.0 % 50).unwrap_or(0) * 1_000_000;
        let first = FIRST_SEQUENCE + salt;
        let flow = self
            .flows
            .entry(flow_number(&packet.key))
            .or_insert(HeldFlow {
                first,
                sent: first + 1,
                awaited: packet.sequence + 1,
                is_open: false,
                is_closed: false,
            });
        FlowPacket {
            key: packet.key,
            kind: PacketKind::Accept,
            sequence: flow.first,
            acknowledgement: flow.awaited,
            payload_length: 0,
        }
    }

    /// The answer of a request, when the flow is still open.
    pub fn answer(&mut self, key: &FlowKey) -> Option<FlowPacket> {
        const LENGTH: u16 = 200;
        let flow = self.flows.get_mut(&flow_number(key))?;
        if !self.runs || flow.is_closed {
            return None;
        }
        let packet = FlowPacket {
            key: *key,
            kind: PacketKind::Data,
            sequence: flow.sent,
            acknowledgement: flow.awaited,
            payload_length: LENGTH,
        };
        flow.sent += u32::from(LENGTH);
        Some(packet)
    }
}
