//! Delays between nodes, loss, and cuts between regions.

use std::time::Duration;

use rand::Rng as _;
use rand_chacha::ChaCha8Rng;

use super::size::NodeIndex;

const IN_ZONE: Duration = Duration::from_micros(250);
const IN_REGION: Duration = Duration::from_micros(1000);
const BETWEEN_REGIONS: Duration = Duration::from_millis(30);
/// Share of datagrams that get lost.
const LOSS: f64 = 0.001;

/// The network.
#[derive(Debug, Default)]
pub(super) struct Network {
    /// Region whose datagrams to and from others are lost.
    pub(super) cut_region: Option<&'static str>,
}

impl Network {
    /// Time until a datagram arrives; `None` when it gets lost.
    pub(super) fn delay(
        &self,
        from: NodeIndex,
        to: NodeIndex,
        random: &mut ChaCha8Rng,
    ) -> Option<Duration> {
        let crosses = |region| (from.region() == region) != (to.region() == region);
        if self.cut_region.is_some_and(crosses) || random.random_bool(LOSS) {
            return None;
        }
        let base = if from.zone() == to.zone() {
            IN_ZONE
        } else if from.region() == to.region() {
            IN_REGION
        } else {
            BETWEEN_REGIONS
        };
        Some(base.mul_f64(random.random_range(0.8..1.4)))
    }

    /// Whether a node reaches the key-value service, which is in the first
    /// region.
    pub(super) fn reaches_store(&self, node: NodeIndex) -> bool {
        let crosses = |region| (node.region() == region) != (NodeIndex(0).region() == region);
        !self.cut_region.is_some_and(crosses)
    }
}
