//! A caller as a model: one flow with requests, opened again after a loss.

use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::Duration;

use woodladder_core::clock::Instant;
use woodladder_core::flow::identity::FlowKey;
use woodladder_core::flow::packet::{FlowPacket, PacketKind};

/// Time until a caller gives a request up.
const DEADLINE: Duration = Duration::from_secs(4);
/// Time between a request's packets while no answer comes.
const RESEND: Duration = Duration::from_millis(200);
/// Times of copies after the first opening.
const COPIES: [Duration; 2] = [Duration::from_millis(200), Duration::from_millis(600)];
/// Time after which an opening is given up.
const OPENING_LASTS: Duration = Duration::from_millis(1400);
/// Pause between requests.
const PAUSE: Duration = Duration::from_millis(150);
/// First number of a caller's side.
const FIRST_SEQUENCE: u32 = 1000;
/// Bytes of a request.
const REQUEST: u16 = 100;

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum State {
    /// Until the next request.
    Resting { until: Instant },
    /// Openings are sent.
    Opening { since: Instant, copies: u32 },
    /// The request is sent and awaited.
    Asking { sent_at: Instant },
}

/// What came of a packet or of time.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Step {
    /// A packet to send.
    pub packet: Option<FlowPacket>,
    /// A request was answered.
    pub answered: bool,
    /// A request was given up.
    pub failed: bool,
}

/// A caller.
#[derive(Clone, Debug)]
pub struct Caller {
    pub key: FlowKey,
    pub may_repeat: bool,
    pub request: u64,
    keeps_flow: bool,
    state: State,
    began_at: Instant,
    is_open: bool,
    sequence: u32,
    awaited: u32,
    /// Whether the request was sent on a flow that was open.
    was_sent: bool,
}

impl Caller {
    pub fn new(number: u8, service: SocketAddrV4, may_repeat: bool, keeps_flow: bool) -> Self {
        let caller = SocketAddrV4::new(Ipv4Addr::new(100, 64, 0, number), 1025);
        Self {
            key: FlowKey { caller, service },
            may_repeat,
            request: 0,
            keeps_flow,
            state: State::Resting {
                until: Instant::ORIGIN + Duration::from_millis(2000),
            },
            began_at: Instant::ORIGIN,
            is_open: false,
            sequence: 0,
            awaited: 0,
            was_sent: false,
        }
    }

    /// What is due.
    pub fn tick(&mut self, now: Instant) -> Step {
        match self.state {
            State::Resting { until } if now >= until => {
                self.request += 1;
                self.began_at = now;
                self.was_sent = false;
                self.begin(now)
            }
            State::Resting { .. } => Step::default(),
            State::Opening { since, copies } => self.opening_due(since, copies, now),
            State::Asking { .. } if now.since(self.began_at) >= DEADLINE => self.give_up(now),
            State::Asking { sent_at } if now.since(sent_at) >= RESEND => self.ask(now),
            State::Asking { .. } => Step::default(),
        }
    }

    fn begin(&mut self, now: Instant) -> Step {
        if self.is_open {
            self.ask(now)
        } else {
            self.open(now)
        }
    }

    fn open(&mut self, now: Instant) -> Step {
        let port = self.key.caller.port();
        self.key
            .caller
            .set_port(port.checked_add(1).unwrap_or(1025));
        self.state = State::Opening {
            since: now,
            copies: 0,
        };
        self.send(PacketKind::Open, FIRST_SEQUENCE, 0, 0)
    }

    fn opening_due(&mut self, since: Instant, copies: u32, now: Instant) -> Step {
        if now.since(self.began_at) >= DEADLINE {
            return self.give_up(now);
        }
        if now.since(since) >= OPENING_LASTS {
            return self.open(now);
        }
        let index = usize::try_from(copies).unwrap_or(usize::MAX);
        match COPIES.get(index) {
            Some(delay) if now.since(since) >= *delay => {
                let copies = copies + 1;
                self.state = State::Opening { since, copies };
                self.send(PacketKind::Open, FIRST_SEQUENCE, copies, 0)
            }
            _ => Step::default(),
        }
    }

    fn ask(&mut self, now: Instant) -> Step {
        self.was_sent = true;
        self.state = State::Asking { sent_at: now };
        self.send(PacketKind::Data, self.sequence, self.awaited, REQUEST)
    }

    fn send(
        &self,
        kind: PacketKind,
        sequence: u32,
        acknowledgement: u32,
        payload_length: u16,
    ) -> Step {
        Step {
            packet: Some(FlowPacket {
                key: self.key,
                kind,
                sequence,
                acknowledgement,
                payload_length,
            }),
            ..Step::default()
        }
    }

    fn give_up(&mut self, now: Instant) -> Step {
        self.is_open = false;
        self.state = State::Resting { until: now + PAUSE };
        Step {
            failed: true,
            ..Step::default()
        }
    }

    /// A packet for the caller arrives.
    pub fn receive(&mut self, packet: &FlowPacket, now: Instant) -> Step {
        if packet.key != self.key {
            return Step::default();
        }
        match (packet.kind, self.state) {
            (PacketKind::Reset, _) => self.broken(now),
            (PacketKind::Accept, State::Opening { .. }) => {
                self.is_open = true;
                self.sequence = FIRST_SEQUENCE + 1;
                self.awaited = packet.sequence + 1;
                self.ask(now)
            }
            (PacketKind::Data, State::Asking { .. }) if packet.sequence == self.awaited => {
                self.answered(packet, now)
            }
            _ => Step::default(),
        }
    }

    fn broken(&mut self, now: Instant) -> Step {
        self.is_open = false;
        let may_try = self.may_repeat || !self.was_sent;
        match self.state {
            State::Resting { .. } => Step::default(),
            _ if may_try && now.since(self.began_at) < DEADLINE => self.open(now),
            _ => self.give_up(now),
        }
    }

    fn answered(&mut self, packet: &FlowPacket, now: Instant) -> Step {
        self.sequence += u32::from(REQUEST);
        self.awaited += u32::from(packet.payload_length);
        self.state = State::Resting { until: now + PAUSE };
        let mut step = Step {
            answered: true,
            ..Step::default()
        };
        if !self.keeps_flow {
            self.is_open = false;
            step.packet = self
                .send(PacketKind::Finish, self.sequence, self.awaited, 0)
                .packet;
        }
        step
    }
}
