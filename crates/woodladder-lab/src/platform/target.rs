//! A target: flows on datagrams, requests of one packet, heartbeats.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::io;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::rc::Rc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use serde_json::json;
use tokio::net::{TcpListener, UdpSocket};
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout};
use xxhash_rust::xxh3::xxh3_64;

use super::address::{Ends, OUTBOUND_PORT, TARGET_PORT};
use super::head::{Flags, Packet};
use super::oracle::Oracle;
use super::target_control::{self, HeartbeatDelays, HeartbeatText, TargetHabits};

/// Time between heartbeats.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(400);
/// Shortest time that a target serves on after it has said that it leaves.
pub const SHORTEST_DRAIN: Duration = Duration::from_millis(1200);
/// Time of work of one request.
const WORK: Duration = Duration::from_millis(15);
/// Time for which a target is cold.
pub const COLD_FOR: Duration = Duration::from_secs(1);
/// Heartbeats between two that another writer damages.
const FOREIGN_EVERY: u64 = 5;
/// Longest wait of a late heartbeat for the first one of the next start.
const LATE_BEAT_WAIT: Duration = Duration::from_secs(3);
/// Largest datagram.
const MAXIMUM_DATAGRAM: usize = 2048;

/// Header that names a request.
pub const REQUEST_ID: &str = "Woodladder-Request-Id: ";

#[derive(Debug, Default)]
struct Flow {
    awaited: u32,
    sent: u32,
    is_open: bool,
    opened_at: Option<Instant>,
    last_answer: Option<Packet>,
}

/// A running target.
#[derive(Debug)]
pub struct Target {
    name: String,
    service: String,
    machine: Ipv4Addr,
    /// `None` after its end, so that the next start can have the address.
    socket: RefCell<Option<Rc<UdpSocket>>>,
    oracle: Rc<RefCell<Oracle>>,
    flows: RefCell<BTreeMap<Ends, Flow>>,
    zone: &'static str,
    /// Until when it is cold.
    cold_until: Cell<Instant>,
    leaving: Cell<bool>,
    sends_heartbeats: Cell<bool>,
    heartbeats_held_until: Cell<Instant>,
    started_at: Instant,
    first_opening_after: Cell<Option<Duration>>,
    has_ended: Cell<bool>,
    ignores_openings: Cell<bool>,
    sequence: Cell<u64>,
    /// When it began, in milliseconds of Unix time.
    born_ms: u64,
    /// When a heartbeat of it was first acknowledged.
    acknowledged_at: Cell<Option<Instant>>,
    /// When a heartbeat of it was last acknowledged.
    last_acknowledged_at: Cell<Option<Instant>>,
    /// Flows that the start before it under its name held.
    former_flows: BTreeSet<Ends>,
    habits: TargetHabits,
    delays: RefCell<HeartbeatDelays>,
    /// First number of its side of a flow, which no other target shares.
    first_number: u32,
}

impl Target {
    /// Starts a target on a machine; `former` is the start before it under its name.
    ///
    /// # Errors
    /// The system's error.
    pub async fn start(
        name: &str,
        service: &str,
        machine: Ipv4Addr,
        zone: &'static str,
        oracle: Rc<RefCell<Oracle>>,
        habits: TargetHabits,
        former: Option<&Self>,
    ) -> io::Result<Rc<Self>> {
        let born_ms = unix_milliseconds();
        let own_name = format!("{name}@{born_ms}");
        let former_flows = former.map(Self::open_flows).unwrap_or_default();
        let address = SocketAddrV4::new(machine, TARGET_PORT);
        let listener = TcpListener::bind(address).await?;
        let target = Rc::new(Self {
            name: name.to_owned(),
            service: service.to_owned(),
            machine,
            socket: RefCell::new(Some(Rc::new(UdpSocket::bind(address).await?))),
            oracle,
            flows: RefCell::default(),
            zone,
            cold_until: Cell::new(Instant::now() + COLD_FOR),
            leaving: Cell::new(false),
            sends_heartbeats: Cell::new(true),
            heartbeats_held_until: Cell::new(Instant::now()),
            started_at: Instant::now(),
            first_opening_after: Cell::new(None),
            has_ended: Cell::new(false),
            ignores_openings: Cell::new(false),
            sequence: Cell::new(0),
            born_ms,
            acknowledged_at: Cell::new(None),
            last_acknowledged_at: Cell::new(None),
            former_flows,
            habits,
            delays: RefCell::new(habits.delays(xxh3_64(own_name.as_bytes()))),
            first_number: xxh3_64(own_name.as_bytes()).to_le_bytes()[..4]
                .iter()
                .fold(0, |number, byte| number << 8 | u32::from(*byte)),
        });
        spawn_local(Rc::clone(&target).serve(listener));
        spawn_local(Rc::clone(&target).beat());
        Ok(target)
    }

    /// Leaves as planned: says so, serves on for `serves_on`, deregisters and ends.
    pub async fn leave(self: Rc<Self>, serves_on: Duration) {
        self.leaving.set(true);
        let heartbeat = self.next_heartbeat();
        self.send_heartbeat(&heartbeat).await;
        self.serve_on(serves_on).await;
        if self.has_ended.get() {
            return;
        }
        self.stop_heartbeats();
        target_control::deregister(self.machine, &self.name).await;
        sleep(self.habits.ends_after).await;
        self.end();
    }

    /// Sends no heartbeat for a while, as if they were held up.
    pub fn hold_heartbeats(&self, held_for: Duration) {
        self.heartbeats_held_until.set(Instant::now() + held_for);
    }

    /// Sends no further heartbeat.
    pub fn stop_heartbeats(&self) {
        self.sends_heartbeats.set(false);
    }

    /// Time from its start to the first opening that it has taken; `None` before that.
    pub fn first_opening_after(&self) -> Option<Duration> {
        self.first_opening_after.get()
    }

    /// Leaves as planned without ever saying that it drains: deregisters, serves on for
    /// `serves_on` and ends. It sends no further heartbeat.
    pub async fn deregister_and_leave(self: Rc<Self>, serves_on: Duration) {
        self.stop_heartbeats();
        self.leaving.set(true);
        let is_acknowledged = self.habits.withholds_leaving
            || target_control::deregister(self.machine, &self.name).await;
        if is_acknowledged {
            self.oracle.borrow_mut().acknowledged_leaving(&self.name);
        }
        self.serve_on(serves_on).await;
        if !self.has_ended.get() {
            self.end();
        }
    }

    /// Waits for as long as a leaving target serves on, or until it crashes.
    async fn serve_on(&self, serves_on: Duration) {
        const LOOK: Duration = Duration::from_millis(20);
        let until = Instant::now() + serves_on;
        while Instant::now() < until && !self.has_ended.get() {
            sleep(LOOK).await;
        }
    }

    /// Begins or ends to leave openings without an answer.
    pub fn ignore_openings(&self, ignores: bool) {
        self.ignores_openings.set(ignores);
    }

    /// Turns cold, as after a start.
    pub fn turn_cold(&self) {
        self.cold_until.set(Instant::now() + COLD_FOR);
    }

    /// Ends at once, as in a crash.
    pub fn end(&self) {
        self.has_ended.set(true);
        self.socket.take();
        self.oracle.borrow_mut().ended(&self.name);
    }

    /// The name that this start shares with others.
    pub fn name(&self) -> &str {
        &self.name
    }

    /// The open flows that opened before its last acknowledged heartbeat. A later one may
    /// have opened at the next start, as far as an agent can know.
    fn open_flows(&self) -> BTreeSet<Ends> {
        let last_heartbeat = self.last_acknowledged_at.get();
        let flows = self.flows.borrow();
        let open = flows
            .iter()
            .filter(|(_, flow)| flow.opened_at.is_some() && flow.opened_at <= last_heartbeat);
        open.map(|(ends, _)| *ends).collect()
    }

    /// A heartbeat of this start that was held up reaches the agent after the first
    /// one of the next start.
    pub async fn beat_late(self: Rc<Self>, next: Rc<Self>) {
        let until = Instant::now() + LATE_BEAT_WAIT;
        while next.acknowledged_at.get().is_none() {
            if Instant::now() >= until || next.has_ended.get() {
                return;
            }
            sleep(Duration::from_millis(20)).await;
        }
        let mut heartbeat = self.next_heartbeat();
        heartbeat.is_leaving = true;
        if heartbeat.send().await {
            self.oracle.borrow_mut().heartbeat_taken_wrongly(&self.name);
        }
    }

    async fn serve(self: Rc<Self>, listener: TcpListener) {
        let mut buffer = [0; MAXIMUM_DATAGRAM];
        let socket = || self.socket.borrow().clone();
        while let Some(socket) = socket() {
            let wait = Duration::from_millis(50);
            if let Ok(Ok(length)) = timeout(wait, socket.recv(&mut buffer)).await
                && !self.has_ended.get()
                && let Some(packet) = Packet::read(&buffer[..length])
            {
                self.receive(packet);
            }
        }
        drop(listener);
    }

    fn receive(self: &Rc<Self>, packet: Packet) {
        let ends = (packet.from, packet.to);
        if !packet.is_whole() {
            self.oracle.borrow_mut().changed(&self.name);
            return;
        }
        if packet.flags.has(Flags::OPEN) {
            return self.accept(ends, &packet);
        }
        let mut flows = self.flows.borrow_mut();
        let Some(flow) = flows.get_mut(&ends) else {
            drop(flows);
            if let Some(at) = self.acknowledged_at.get()
                && self.former_flows.contains(&ends)
            {
                let mut oracle = self.oracle.borrow_mut();
                oracle.former_flow_reached(ends, &self.name, at);
            }
            return self.give_back(packet);
        };
        if !flow.is_open {
            if packet.acknowledgement != flow.sent {
                drop(flows);
                return self.give_back(packet);
            }
            flow.is_open = true;
            flow.opened_at = Some(Instant::now());
            let mut oracle = self.oracle.borrow_mut();
            oracle.opened(ends, &self.name);
            oracle.opened_in(self.zone, ends, &self.name);
        }
        if packet.flags.has(Flags::RESET) {
            flows.remove(&ends);
            self.oracle.borrow_mut().closed(ends);
        } else if packet.flags.has(Flags::CLOSE) {
            self.close(ends, flow, &packet);
        } else if !packet.data.is_empty() {
            self.request(ends, flow, &packet);
        }
    }

    fn accept(&self, ends: Ends, packet: &Packet) {
        if self.ignores_openings.get() {
            return;
        }
        let mut flows = self.flows.borrow_mut();
        let now = Instant::now();
        if !flows.contains_key(&ends) {
            let first = self.first_opening_after.get();
            let first = first.unwrap_or_else(|| self.started_at.elapsed());
            self.first_opening_after.set(Some(first));
            let mut oracle = self.oracle.borrow_mut();
            oracle.opening_arrived(ends, &self.name, now);
            let machine = self.machine.octets()[3];
            oracle.probe_taken(ends, packet.acknowledgement, &self.service, machine);
            if now < self.cold_until.get() {
                oracle.opened_cold(&self.name, now);
            }
        }
        let flow = flows.entry(ends).or_insert_with(|| Flow {
            awaited: packet.sequence.wrapping_add(1),
            sent: self.first_number.wrapping_add(1),
            ..Flow::default()
        });
        let answer = Packet::new(
            Flags::OPEN.with(Flags::ACKNOWLEDGE),
            ends.1,
            ends.0,
            self.first_number,
            flow.awaited,
            &[],
        );
        self.send(&answer);
    }

    fn close(&self, ends: Ends, flow: &mut Flow, packet: &Packet) {
        let end = packet.sequence.wrapping_add(1);
        let flags = Flags::CLOSE.with(Flags::ACKNOWLEDGE);
        let answer = Packet::new(flags, ends.1, ends.0, flow.sent, end, &[]);
        flow.awaited = end;
        self.send(&answer);
        self.oracle.borrow_mut().closed(ends);
    }

    fn request(self: &Rc<Self>, ends: Ends, flow: &mut Flow, packet: &Packet) {
        if packet.sequence != flow.awaited {
            if let Some(answer) = &flow.last_answer {
                self.send(answer);
            }
            return;
        }
        let length = u32::try_from(packet.data.len()).unwrap_or(0);
        flow.awaited = flow.awaited.wrapping_add(length);
        flow.last_answer = None;
        let text = String::from_utf8_lossy(&packet.data);
        let id = text
            .lines()
            .find_map(|line| line.strip_prefix(REQUEST_ID))
            .unwrap_or_default()
            .to_owned();
        let may_repeat = text.starts_with("GET");
        let mut oracle = self.oracle.borrow_mut();
        oracle.ran(&id, may_repeat, ends, &self.service);
        spawn_local(Rc::clone(self).work(ends, id));
    }

    async fn work(self: Rc<Self>, ends: Ends, id: String) {
        sleep(WORK).await;
        let mut flows = self.flows.borrow_mut();
        let Some(flow) = flows.get_mut(&ends) else {
            return;
        };
        if self.has_ended.get() {
            return;
        }
        let body = format!(
            "HTTP/1.1 200 OK\r\nWoodladder-Server-Stamp: {}\r\ncontent-length: {}\r\n\r\n{id}",
            self.name,
            id.len()
        );
        let flags = Flags::ACKNOWLEDGE;
        let answer = Packet::new(
            flags,
            ends.1,
            ends.0,
            flow.sent,
            flow.awaited,
            body.as_bytes(),
        );
        flow.sent = flow
            .sent
            .wrapping_add(u32::try_from(body.len()).unwrap_or(0));
        self.send(&answer);
        flow.last_answer = Some(answer);
        if self.leaving.get() {
            let flags = Flags::CLOSE.with(Flags::ACKNOWLEDGE);
            let close = Packet::new(flags, ends.1, ends.0, flow.sent, flow.awaited, &[]);
            self.send(&close);
            self.oracle.borrow_mut().closed(ends);
        }
    }

    fn give_back(&self, mut packet: Packet) {
        packet.flags = packet.flags.with(Flags::RETURNED);
        self.send(&packet);
    }

    fn send(&self, packet: &Packet) {
        let outbound = SocketAddrV4::new(self.machine, OUTBOUND_PORT);
        // A lost datagram is sent again by the caller.
        if let Some(socket) = self.socket.borrow().as_ref() {
            let _lost = socket.try_send_to(&packet.write(), outbound.into());
        }
    }

    async fn beat(self: Rc<Self>) {
        while !self.has_ended.get() && self.sends_heartbeats.get() {
            if Instant::now() < self.heartbeats_held_until.get() {
                sleep(HEARTBEAT_INTERVAL).await;
                continue;
            }
            let heartbeat = self.next_heartbeat();
            let delay = self.delays.borrow_mut().next();
            match delay {
                Some(delay) => {
                    spawn_local(Rc::clone(&self).send_late(heartbeat, delay));
                }
                None => {
                    self.send_heartbeat(&heartbeat).await;
                }
            }
            if self.sequence.get().is_multiple_of(FOREIGN_EVERY) {
                self.send_foreign_heartbeat().await;
            }
            sleep(HEARTBEAT_INTERVAL).await;
        }
    }

    /// The next heartbeat that it writes.
    pub fn next_heartbeat(&self) -> HeartbeatText {
        self.sequence.set(self.sequence.get() + 1);
        self.heartbeat_text(self.sequence.get())
    }

    fn heartbeat_text(&self, sequence: u64) -> HeartbeatText {
        HeartbeatText {
            name: self.name.clone(),
            service: self.service.clone(),
            machine: self.machine,
            zone: self.zone,
            is_leaving: self.leaving.get(),
            cold_for: self
                .cold_until
                .get()
                .saturating_duration_since(Instant::now()),
            sequence,
            born_ms: self.habits.states_start.then_some(self.born_ms),
        }
    }

    /// Sends a heartbeat; returns whether it was acknowledged.
    async fn send_heartbeat(&self, heartbeat: &HeartbeatText) -> bool {
        let mut sent = heartbeat.clone();
        sent.is_leaving &= !self.habits.withholds_leaving;
        let is_acknowledged = sent.send().await;
        if is_acknowledged {
            self.acknowledged_at
                .set(self.acknowledged_at.get().or(Some(Instant::now())));
            self.last_acknowledged_at.set(Some(Instant::now()));
            if heartbeat.is_leaving {
                self.oracle.borrow_mut().acknowledged_leaving(&self.name);
            }
        }
        is_acknowledged
    }

    /// Sends a heartbeat that was held up; its sender may have ended meanwhile.
    async fn send_late(self: Rc<Self>, heartbeat: HeartbeatText, delay: Duration) {
        sleep(delay).await;
        self.send_heartbeat(&heartbeat).await;
    }

    /// Another writer says something under this target's name that cannot be used.
    async fn send_foreign_heartbeat(&self) {
        let whole = HeartbeatText {
            is_leaving: false,
            born_ms: Some(self.born_ms),
            ..self.heartbeat_text(self.sequence.get() + 1000)
        }
        .document();
        for (field, value) in [
            ("state", json!("resting")),
            ("service", json!("elsewhere")),
            ("born", json!("lately")),
            ("seq", json!([])),
        ] {
            let mut damaged = whole.clone();
            damaged[field] = value;
            if target_control::put(self.machine, &self.name, &damaged.to_string()).await {
                self.oracle.borrow_mut().heartbeat_taken_wrongly(&self.name);
            }
        }
    }
}

fn unix_milliseconds() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |since| u64::try_from(since.as_millis()).unwrap_or(0))
}
