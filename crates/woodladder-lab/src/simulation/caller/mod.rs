//! The caller model: opens flows, asks, waits, gives up, and asks again as the
//! outcome allows.

mod answers;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use woodladder_core::clock::Instant;
use woodladder_core::identifier::{ServiceId, TargetId};
use woodladder_core::packets::token::TOKEN_LENGTH;

use crate::simulation::channel::Channel;
use crate::simulation::frame::{
    Content, FirstIdentifier, Frame, FrameDatagram, Payload, RequestFrame, Token,
};
use crate::simulation::log::{AttemptId, Entry, Log, Outcome};
use crate::simulation::operation::{Numbers, Operation, Pending, draw_operation};
use crate::simulation::random::Random;
use crate::simulation::topology::Machine;

/// Time between two looks at a caller's timers.
pub const CALLER_TICK: Duration = Duration::from_millis(25);

const OPEN_RETRY: Duration = Duration::from_millis(150);
const OPEN_TIMEOUT: Duration = Duration::from_secs(4);
const IDLE_TIMEOUT: Duration = Duration::from_secs(8);
const PING_INTERVAL: Duration = Duration::from_secs(1);
const ATTEMPT_LIMIT: u32 = 4;
const FIRST_PORT: u16 = 40_000;

/// What a caller does all day.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Habits {
    /// Service that it calls.
    pub service: ServiceId,
    /// Whether it holds a feed.
    pub feed: bool,
    /// Mean time between two operations.
    pub pace: Duration,
    /// Operations that run at the same time.
    pub parallel: usize,
    /// Probability, in thousandths, that it gives an operation up early.
    pub gives_up: u32,
    /// Whether it goes on asking on a flow after the notice that its target is
    /// to leave, until a request is refused.
    pub ignores_notice: bool,
    /// When it stops to ask.
    pub until: Instant,
}

/// One caller.
#[derive(Debug)]
pub struct Caller {
    machine: Machine,
    port: u16,
    habits: Habits,
    random: Random,
    flow: FlowState,
    pending: BTreeMap<AttemptId, Pending>,
    waiting: Vec<(Instant, Operation)>,
    next_operation: Instant,
    feed_ends: Instant,
    broken_flows: u32,
}

#[derive(Debug)]
enum FlowState {
    Idle { until: Instant },
    Opening(Opening),
    Open(Box<OpenFlow>),
}

#[derive(Clone, Copy, Debug)]
struct Opening {
    identifier: FirstIdentifier,
    since: Instant,
    next_send: Instant,
}

#[derive(Debug)]
struct OpenFlow {
    identifier: FirstIdentifier,
    token: Token,
    channel: Channel,
    last_heard: Instant,
    last_sent: Instant,
    noticed: bool,
    leaving: bool,
}

/// A caller's way out to the fabric, and to the logs.
pub struct Surroundings<'a> {
    /// The present instant.
    pub now: Instant,
    /// The log of outcomes.
    pub log: &'a mut Log,
    /// Numbers for operations and attempts.
    pub numbers: &'a mut Numbers,
    /// Datagrams to send.
    pub outgoing: &'a mut Vec<Vec<u8>>,
}

impl Caller {
    /// A caller that begins to call at an instant.
    #[must_use]
    pub fn new(machine: Machine, habits: Habits, start: Instant, random: Random) -> Self {
        Self {
            machine,
            port: FIRST_PORT,
            habits,
            random,
            flow: FlowState::Idle { until: start },
            pending: BTreeMap::new(),
            waiting: Vec::new(),
            next_operation: start,
            feed_ends: start,
            broken_flows: 0,
        }
    }

    /// Address of the caller's present flow.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        SocketAddr::new(self.machine.ip(), self.port)
    }

    /// Service that it calls.
    #[must_use]
    pub fn service(&self) -> ServiceId {
        self.habits.service
    }

    /// Established flows that ended against its will.
    #[must_use]
    pub fn broken_flows(&self) -> u32 {
        self.broken_flows
    }

    /// Changes how often it asks.
    pub fn set_pace(&mut self, pace: Duration) {
        self.habits.pace = pace;
    }

    /// Sees to everything that is due.
    pub fn tick(&mut self, around: &mut Surroundings<'_>) {
        self.give_up_late(around);
        match self.flow {
            FlowState::Idle { until } if until <= around.now => self.open(around),
            FlowState::Idle { .. } => {}
            FlowState::Opening(opening) => self.keep_opening(opening, around),
            FlowState::Open(_) => self.keep_open(around),
        }
    }

    /// Takes a datagram in.
    pub fn receive(&mut self, payload: &Payload, around: &mut Surroundings<'_>) {
        match &payload.content {
            Content::Welcome { token } => self.welcomed(payload.flow, *token, around),
            Content::Refused { retry_after } => self.refused(payload.flow, *retry_after, around),
            Content::Frames(datagram) => self.frames(payload.flow, datagram, around),
            Content::Open => {}
        }
    }

    fn open(&mut self, around: &mut Surroundings<'_>) {
        if around.now >= self.habits.until && self.waiting.is_empty() {
            return;
        }
        self.port = self.port.wrapping_add(1).max(FIRST_PORT);
        let opening = Opening {
            identifier: self.random.bytes(),
            since: around.now,
            next_send: around.now,
        };
        self.flow = FlowState::Opening(opening);
        self.keep_opening(opening, around);
    }

    fn keep_opening(&mut self, mut opening: Opening, around: &mut Surroundings<'_>) {
        if around.now.since(opening.since) > OPEN_TIMEOUT {
            self.flow = FlowState::Idle { until: around.now };
            return;
        }
        if opening.next_send > around.now {
            return;
        }
        opening.next_send = around.now + OPEN_RETRY;
        self.flow = FlowState::Opening(opening);
        let payload = self.payload(opening.identifier, Content::Open);
        around.outgoing.push(payload.first_datagram());
    }

    fn welcomed(&mut self, flow: FirstIdentifier, token: Token, around: &mut Surroundings<'_>) {
        let FlowState::Opening(opening) = &self.flow else {
            return;
        };
        if opening.identifier != flow {
            return;
        }
        self.flow = FlowState::Open(Box::new(OpenFlow {
            identifier: flow,
            token,
            channel: Channel::default(),
            last_heard: around.now,
            last_sent: around.now,
            noticed: false,
            leaving: false,
        }));
        if self.habits.feed {
            self.open_feed(around);
        }
    }

    fn refused(&mut self, flow: FirstIdentifier, retry_after: u32, around: &Surroundings<'_>) {
        let waiting =
            matches!(&self.flow, FlowState::Opening(opening) if opening.identifier == flow);
        if waiting {
            let until = around.now + milliseconds(retry_after);
            self.flow = FlowState::Idle { until };
        }
    }

    fn open_feed(&mut self, around: &mut Surroundings<'_>) {
        let operation = Operation::feed(around.numbers.operation());
        self.feed_ends = around.now + self.random.milliseconds(12_000, 30_000);
        self.ask(operation, around);
    }

    fn keep_open(&mut self, around: &mut Surroundings<'_>) {
        let FlowState::Open(flow) = &mut self.flow else {
            return;
        };
        if around.now.since(flow.last_heard) > IDLE_TIMEOUT {
            self.break_flow(around);
            return;
        }
        let again = flow.channel.resend(around.now);
        let silent = around.now.since(flow.last_sent) > PING_INTERVAL;
        for datagram in again {
            self.send_datagram(datagram, around);
        }
        if silent {
            self.send(Frame::Ping, around);
        }
        self.ask_if_due(around);
        self.close_if_done(around);
    }

    fn break_flow(&mut self, around: &mut Surroundings<'_>) {
        let FlowState::Open(flow) = &self.flow else {
            return;
        };
        let target = target_of(&flow.token);
        let last_heard = flow.last_heard;
        let entry = Entry::FlowBroken {
            target,
            feed: false,
            last_heard,
        };
        around.log.add(around.now, entry);
        self.broken_flows += 1;
        let attempts: Vec<AttemptId> = self.pending.keys().copied().collect();
        for attempt in attempts {
            self.end(attempt, Outcome::Cut, around);
        }
        self.flow = FlowState::Idle { until: around.now };
    }

    fn ask_if_due(&mut self, around: &mut Surroundings<'_>) {
        let FlowState::Open(flow) = &self.flow else {
            return;
        };
        if flow.leaving || self.pending.len() >= self.habits.parallel {
            return;
        }
        let due = self.waiting.iter().position(|(at, _)| *at <= around.now);
        if let Some(position) = due {
            let (_, operation) = self.waiting.remove(position);
            self.ask(operation, around);
        } else if self.next_operation <= around.now && around.now < self.habits.until {
            let pace = self.habits.pace;
            self.next_operation = around.now + self.random.between(pace / 2, pace * 3 / 2);
            let operation = draw_operation(&mut self.random, around.numbers);
            self.ask(operation, around);
        }
    }

    /// Leaves a flow whose target is going away, or at the end of the run.
    fn close_if_done(&mut self, around: &mut Surroundings<'_>) {
        if !matches!(self.flow, FlowState::Open(_)) {
            return;
        }
        let over = around.now >= self.habits.until && self.waiting.is_empty();
        let feed = self.pending.iter();
        let feed = feed.filter(|(_, pending)| pending.operation.feed);
        let feed: Vec<AttemptId> = feed.map(|(attempt, _)| *attempt).collect();
        let feed_over = over || self.feed_ends <= around.now;
        if feed_over && self.pending.len() == feed.len() && !feed.is_empty() {
            for attempt in feed {
                self.give_up(attempt, around);
            }
        }
        let leaves = flow_leaves(&self.flow) || over || self.habits.feed;
        if leaves && self.pending.is_empty() {
            self.send(Frame::Close { last_taken: 0 }, around);
            self.flow = FlowState::Idle { until: around.now };
        }
    }

    fn ask(&mut self, operation: Operation, around: &mut Surroundings<'_>) {
        let attempt = around.numbers.attempt();
        let mut pending = Pending::new(operation, around.now);
        if !operation.feed && self.random.chance(self.habits.gives_up) {
            let patience = self.random.milliseconds(1, 400);
            pending.gives_up_at = Some(around.now + patience);
        }
        let asked = operation.asked(attempt, self.habits.service);
        around.log.add(around.now, Entry::Asked(asked));
        self.pending.insert(attempt, pending);
        let frame = Frame::Request(RequestFrame {
            attempt: attempt.0,
            operation: operation.id.0,
            answer_length: operation.answer_length,
            feed: operation.feed,
            repeatable: operation.repeatable,
            deadline: operation.deadline,
        });
        self.send(frame, around);
    }

    fn give_up_late(&mut self, around: &mut Surroundings<'_>) {
        let late = self.pending.iter();
        let late = late.filter(|(_, pending)| pending.is_given_up(around.now));
        let late: Vec<AttemptId> = late.map(|(attempt, _)| *attempt).collect();
        for attempt in late {
            self.give_up(attempt, around);
        }
    }

    fn give_up(&mut self, attempt: AttemptId, around: &mut Surroundings<'_>) {
        self.send(Frame::Cancel { attempt: attempt.0 }, around);
        self.end(attempt, Outcome::GivenUp, around);
    }

    fn send(&mut self, frame: Frame, around: &mut Surroundings<'_>) {
        let FlowState::Open(flow) = &mut self.flow else {
            return;
        };
        flow.last_sent = around.now;
        let datagram = flow.channel.send(frame, around.now);
        self.send_datagram(datagram, around);
    }

    fn send_datagram(&mut self, datagram: FrameDatagram, around: &mut Surroundings<'_>) {
        let FlowState::Open(flow) = &self.flow else {
            return;
        };
        let payload = self.payload(flow.identifier, Content::Frames(datagram));
        around.outgoing.push(payload.later_datagram(&flow.token));
    }

    fn payload(&self, flow: FirstIdentifier, content: Content) -> Payload {
        Payload {
            service: self.habits.service,
            flow,
            content,
        }
    }
}

fn flow_leaves(flow: &FlowState) -> bool {
    matches!(flow, FlowState::Open(flow) if flow.leaving)
}

/// The target that a token names, read without its key.
fn target_of(token: &[u8; TOKEN_LENGTH]) -> TargetId {
    TargetId(u32::from_be_bytes([token[1], token[2], token[3], token[4]]))
}

fn milliseconds(count: u32) -> Duration {
    Duration::from_millis(u64::from(count))
}
