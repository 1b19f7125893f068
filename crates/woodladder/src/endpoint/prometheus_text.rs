//! Renders a node's metrics in the Prometheus text format.

use prometheus::{Encoder as _, IntGauge, Opts, Registry, TextEncoder};

use super::status::NodeStatus;

const NAMESPACE: &str = "woodladder";

/// Registry that is filled for a single scrape.
struct ScrapeRegistry {
    registry: Registry,
}

impl ScrapeRegistry {
    fn new() -> Self {
        Self {
            registry: Registry::new(),
        }
    }

    /// Adds a gauge. A metric whose name is not valid in Prometheus is left
    /// out.
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

/// Renders the metrics of a node's status in the Prometheus text format.
#[must_use]
pub fn render_prometheus(status: &NodeStatus) -> String {
    let mut registry = ScrapeRegistry::new();
    let ready = u64::from(status.not_ready.is_none());
    let peers = u64::try_from(status.peers.known).unwrap_or(u64::MAX);
    registry.add("ready", "Whether the node takes traffic.", ready);
    registry.add("sequence", "Sequence in force.", status.sequence);
    registry.add(
        "bundle_version",
        "Version of the bundle in force.",
        status.bundle_version.unwrap_or(0),
    );
    registry.add("peers", "Nodes that this node knows.", peers);
    registry.add(
        "uptime_seconds",
        "Seconds since the process started.",
        status.uptime_seconds,
    );
    for (name, value) in status.figures.iter() {
        registry.add(name, "Since the start for a total, otherwise now.", value);
    }
    registry.text()
}
