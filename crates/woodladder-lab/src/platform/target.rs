//! A target: flows on datagrams, requests of one packet, heartbeats.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::io;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::rc::Rc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use serde_json::json;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream, UdpSocket};
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout};
use xxhash_rust::xxh3::xxh3_64;

use super::address::{CONTROL_PORT, OUTBOUND_PORT, TARGET_PORT};
use super::head::{Flags, Packet};
use super::oracle::{Ends, Oracle};

/// Time between heartbeats.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(400);
/// Longest time of a heartbeat's answer.
const HEARTBEAT_TIMEOUT: Duration = Duration::from_secs(1);
/// Time that a target serves on after its leaving was acknowledged.
const DRAIN: Duration = Duration::from_millis(1200);
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
    has_ended: Cell<bool>,
    sequence: Cell<u64>,
    /// When it began, in milliseconds of Unix time.
    born_ms: u64,
    /// When a heartbeat of it was first acknowledged.
    acknowledged_at: Cell<Option<Instant>>,
    /// Flows that the start before it under its name held.
    former_flows: BTreeSet<Ends>,
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
            has_ended: Cell::new(false),
            sequence: Cell::new(0),
            born_ms,
            acknowledged_at: Cell::new(None),
            former_flows,
            first_number: xxh3_64(own_name.as_bytes()).to_le_bytes()[..4]
                .iter()
                .fold(0, |number, byte| number << 8 | u32::from(*byte)),
        });
        spawn_local(Rc::clone(&target).serve(listener));
        spawn_local(Rc::clone(&target).beat());
        Ok(target)
    }

    /// Leaves as planned: says so, serves on, deregisters and ends.
    pub async fn leave(self: Rc<Self>) {
        self.leaving.set(true);
        if self.send_heartbeat().await {
            self.oracle.borrow_mut().acknowledged_leaving(&self.name);
        }
        sleep(DRAIN).await;
        let path = format!("/instances/{}", self.name);
        self.call("DELETE", &path, "").await;
        self.end();
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

    fn open_flows(&self) -> BTreeSet<Ends> {
        let flows = self.flows.borrow();
        let open = flows.iter().filter(|(_, flow)| flow.is_open);
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
        self.leaving.set(true);
        if self.send_heartbeat().await {
            self.oracle.borrow_mut().heartbeat_taken_wrongly(&self.name);
        }
    }

    async fn serve(self: Rc<Self>, listener: TcpListener) {
        let mut buffer = [0; MAXIMUM_DATAGRAM];
        let socket = || self.socket.borrow().clone();
        while let Some(socket) = socket() {
            let wait = Duration::from_millis(50);
            if let Ok(Ok(length)) = timeout(wait, socket.recv(&mut buffer)).await
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
        let mut flows = self.flows.borrow_mut();
        let now = Instant::now();
        if !flows.contains_key(&ends) && now < self.cold_until.get() {
            self.oracle.borrow_mut().opened_cold(&self.name, now);
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
        while !self.has_ended.get() {
            if self.send_heartbeat().await && self.acknowledged_at.get().is_none() {
                self.acknowledged_at.set(Some(Instant::now()));
            }
            if self.sequence.get().is_multiple_of(FOREIGN_EVERY) {
                self.send_foreign_heartbeat().await;
            }
            sleep(HEARTBEAT_INTERVAL).await;
        }
    }

    async fn send_heartbeat(&self) -> bool {
        self.sequence.set(self.sequence.get() + 1);
        let state = if self.leaving.get() {
            "draining"
        } else {
            "ready"
        };
        let cold_for = self
            .cold_until
            .get()
            .saturating_duration_since(Instant::now());
        let body = json!({
            "service": self.service, "address": format!("{}:{TARGET_PORT}", self.machine),
            "zone": self.zone, "version": "v1", "capacity": 50, "state": state,
            "warmup_left_ms": cold_for.as_millis(), "seq": self.sequence.get(),
            "born": self.born_ms,
        });
        let path = format!("/instances/{}", self.name);
        self.call("PUT", &path, &body.to_string()).await
    }

    /// Another writer says something under this target's name that cannot be used.
    async fn send_foreign_heartbeat(&self) {
        let path = format!("/instances/{}", self.name);
        let whole = json!({
            "service": self.service, "address": format!("{}:{TARGET_PORT}", self.machine),
            "zone": self.zone, "version": "v1", "capacity": 50, "state": "ready",
            "warmup_left_ms": 0, "seq": self.sequence.get() + 1000, "born": self.born_ms,
        });
        for (field, value) in [
            ("state", json!("resting")),
            ("service", json!("elsewhere")),
            ("born", json!("lately")),
            ("seq", json!([])),
        ] {
            let mut damaged = whole.clone();
            damaged[field] = value;
            if self.call("PUT", &path, &damaged.to_string()).await {
                self.oracle.borrow_mut().heartbeat_taken_wrongly(&self.name);
            }
        }
    }

    /// Whether the call was acknowledged.
    async fn call(&self, method: &str, path: &str, body: &str) -> bool {
        let address = SocketAddrV4::new(self.machine, CONTROL_PORT);
        let request = format!(
            "{method} {path} HTTP/1.1\r\nhost: control\r\nconnection: close\r\n\
             content-type: application/json\r\ncontent-length: {}\r\n\r\n{body}",
            body.len()
        );
        let exchange = async {
            let mut stream = TcpStream::connect(address).await.ok()?;
            stream.write_all(request.as_bytes()).await.ok()?;
            let mut answer = Vec::new();
            stream.read_to_end(&mut answer).await.ok()?;
            answer.starts_with(b"HTTP/1.1 200").then_some(())
        };
        matches!(timeout(HEARTBEAT_TIMEOUT, exchange).await, Ok(Some(())))
    }
}

fn unix_milliseconds() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |since| u64::try_from(since.as_millis()).unwrap_or(0))
}
