//! The fabric: sprays callers' datagrams over the balancers that it believes
//! to serve.

use std::time::Duration;

use crate::simulation::random::Random;

/// Time between two health checks of a balancer.
pub const CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// Failed checks in a row after which a balancer gets no more datagrams.
const FAILED_CHECKS: u8 = 2;

/// What the fabric knows.
#[derive(Debug)]
pub struct Fabric {
    balancers: Vec<Known>,
    random: Random,
}

#[derive(Debug)]
struct Known {
    balancer: u8,
    serving: bool,
    failed: u8,
}

impl Fabric {
    /// A fabric that knows these balancers.
    #[must_use]
    pub fn new(balancers: impl IntoIterator<Item = u8>, random: Random) -> Self {
        let known = balancers.into_iter().map(|balancer| Known {
            balancer,
            serving: false,
            failed: 0,
        });
        Self {
            balancers: known.collect(),
            random,
        }
    }

    /// Takes the outcome of a health check in.
    pub fn checked(&mut self, balancer: u8, healthy: bool) {
        let known = self.balancers.iter_mut();
        for known in known.filter(|known| known.balancer == balancer) {
            known.failed = if healthy { 0 } else { known.failed + 1 };
            known.failed = known.failed.min(FAILED_CHECKS);
            known.serving = healthy || (known.serving && known.failed < FAILED_CHECKS);
        }
    }

    /// The balancer that the next datagram goes to.
    pub fn spray(&mut self) -> Option<u8> {
        let serving = self.balancers.iter().filter(|known| known.serving);
        let serving: Vec<u8> = serving.map(|known| known.balancer).collect();
        self.random.pick(&serving)
    }
}
