//! What a target says to its agent: heartbeats and deregistrations.

use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::Duration;

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde_json::json;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::timeout;

use super::address::{CONTROL_PORT, TARGET_PORT};

/// Longest time of an answer.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(1);
/// Chance that a heartbeat is held up on its way.
const HELD_UP: f64 = 0.2;
/// How long a heartbeat is held up: at times so long that later ones overtake it, and that
/// its sender has ended when it arrives.
const HELD_UP_FOR_MS: std::ops::Range<u64> = 100..6000;

/// How the targets of a site speak to their agents.
#[derive(Clone, Copy, Debug)]
pub struct TargetHabits {
    /// Seed of the heartbeats that are held up.
    pub seed: u64,
    /// Whether heartbeats state when their sender began.
    pub states_start: bool,
    /// Whether heartbeats are held up at times.
    pub delays_heartbeats: bool,
    /// Whether each leaving is acknowledged on the way and never told to the agent: a
    /// product that is broken on purpose.
    pub withholds_leaving: bool,
    /// Time from a target's last deregistration to its end, in which it takes packets.
    pub ends_after: Duration,
}

impl Default for TargetHabits {
    fn default() -> Self {
        Self {
            seed: 0,
            states_start: true,
            delays_heartbeats: false,
            withholds_leaving: false,
            ends_after: Duration::ZERO,
        }
    }
}

impl TargetHabits {
    /// The habits of a seed: of every two, one states no start, and heartbeats of both are
    /// held up.
    #[must_use]
    pub fn of_seed(seed: u64) -> Self {
        Self {
            seed,
            states_start: seed.is_multiple_of(2),
            delays_heartbeats: true,
            ..Self::default()
        }
    }

    /// A source of delays for one target.
    #[must_use]
    pub fn delays(&self, target: u64) -> HeartbeatDelays {
        HeartbeatDelays {
            random: ChaCha8Rng::seed_from_u64(self.seed ^ target),
            is_on: self.delays_heartbeats,
        }
    }
}

/// Which heartbeats of a target are held up, and for how long.
#[derive(Debug)]
pub struct HeartbeatDelays {
    random: ChaCha8Rng,
    is_on: bool,
}

impl HeartbeatDelays {
    /// The delay of the next heartbeat; `None` if it is sent at once.
    pub fn next(&mut self) -> Option<Duration> {
        if !self.is_on || !self.random.random_bool(HELD_UP) {
            return None;
        }
        let milliseconds = self.random.random_range(HELD_UP_FOR_MS);
        Some(Duration::from_millis(milliseconds))
    }
}

/// A heartbeat as a target writes it.
#[derive(Clone, Debug)]
pub struct HeartbeatText {
    /// Name of the target.
    pub name: String,
    /// Its service.
    pub service: String,
    /// Its machine.
    pub machine: Ipv4Addr,
    /// Its zone.
    pub zone: &'static str,
    /// Whether it says that it leaves.
    pub is_leaving: bool,
    /// How long it is still cold.
    pub cold_for: Duration,
    /// Its number.
    pub sequence: u64,
    /// When the target began, in milliseconds of Unix time, if it says so.
    pub born_ms: Option<u64>,
}

impl HeartbeatText {
    /// The body.
    #[must_use]
    pub fn document(&self) -> serde_json::Value {
        let state = if self.is_leaving { "draining" } else { "ready" };
        let mut document = json!({
            "service": self.service, "address": format!("{}:{TARGET_PORT}", self.machine),
            "zone": self.zone, "version": "v1", "capacity": 50, "state": state,
            "warmup_left_ms": self.cold_for.as_millis(), "seq": self.sequence,
        });
        if let Some(born_ms) = self.born_ms {
            document["born"] = json!(born_ms);
        }
        document
    }

    /// Sends it; returns whether it was acknowledged.
    pub async fn send(&self) -> bool {
        put(self.machine, &self.name, &self.document().to_string()).await
    }
}

/// Sends a heartbeat's body under a target's name; returns whether it was acknowledged.
pub async fn put(machine: Ipv4Addr, name: &str, body: &str) -> bool {
    call(machine, "PUT", name, body).await
}

/// Deregisters a target; returns whether that was acknowledged.
pub async fn deregister(machine: Ipv4Addr, name: &str) -> bool {
    call(machine, "DELETE", name, "").await
}

async fn call(machine: Ipv4Addr, method: &str, name: &str, body: &str) -> bool {
    let address = SocketAddrV4::new(machine, CONTROL_PORT);
    let request = format!(
        "{method} /instances/{name} HTTP/1.1\r\nhost: control\r\nconnection: close\r\n\
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
    matches!(timeout(ANSWER_TIMEOUT, exchange).await, Ok(Some(())))
}
