//! Figures as Prometheus text.

use prometheus::{Encoder as _, IntGauge, Opts, Registry, TextEncoder};

use super::status::NodeStatus;

const NAMESPACE: &str = "woodladder";

/// Figures that are gathered once for each answer.
struct Gauges {
    registry: Registry,
}

impl Gauges {
    fn new() -> Self {
        Self {
            registry: Registry::new(),
        }
    }

    /// Adds a figure; one with a name that cannot be shown is left out.
    fn add(&mut self, name: &str, help: &str, value: u64) {
        let options = Opts::new(name, help).namespace(NAMESPACE);
        let Ok(gauge) = IntGauge::with_opts(options) else {
            return;
        };
        gauge.set(i64::try_from(value).unwrap_or(i64::MAX));
        let _ = self.registry.register(Box::new(gauge));
    }

    fn text(&self) -> String {
        let mut buffer = Vec::new();
        let families = self.registry.gather();
        if TextEncoder::new().encode(&families, &mut buffer).is_err() {
            return String::new();
        }
        String::from_utf8(buffer).unwrap_or_default()
    }
}

/// The figures of a node's status as Prometheus text.
#[must_use]
pub fn render(status: &NodeStatus) -> String {
    let mut gauges = Gauges::new();
    let ready = u64::from(status.not_ready.is_none());
    let peers = u64::try_from(status.peers.known).unwrap_or(u64::MAX);
    gauges.add("ready", "Whether the node takes traffic.", ready);
    gauges.add("sequence", "Sequence in force.", status.sequence);
    gauges.add(
        "bundle_version",
        "Version of the bundle in force.",
        status.bundle_version.unwrap_or(0),
    );
    gauges.add("peers", "Nodes that this node knows.", peers);
    gauges.add(
        "uptime_seconds",
        "Seconds since the process started.",
        status.uptime_seconds,
    );
    for (name, value) in status.figures.iter() {
        gauges.add(name, "Since the start for a total, otherwise now.", value);
    }
    gauges.text()
}
