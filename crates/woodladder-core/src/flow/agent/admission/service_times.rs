//! The time that a target takes for a request of each route.

use std::net::SocketAddrV4;
use std::time::Duration;

use rustc_hash::FxHashMap;

/// Time of the packets between an opening and the answer to its request.
pub(crate) const EXCHANGE: Duration = Duration::from_millis(8);
/// Most routes that are told apart; requests of others count by the mean of all.
const ROUTES: usize = 256;
/// Samples before a route's own time is used.
const LEAST_SAMPLES: u32 = 3;
/// A new sample counts for one part in this many.
const MEAN_DIVISOR: u32 = 8;
/// A sample counts for no more than this many times the present mean, so that one
/// request that hangs does not make all others of its route look late.
const OUTLIER_FACTOR: u32 = 3;

#[derive(Clone, Copy, Debug)]
struct RouteTime {
    mean: Duration,
    samples: u32,
}

/// Running means of the time from a request's first packet at the target to the first
/// byte of its answer, by the address of the route.
#[derive(Clone, Debug, Default)]
pub struct ServiceTimes {
    routes: FxHashMap<SocketAddrV4, RouteTime>,
}

impl ServiceTimes {
    /// Takes one request's time in.
    pub fn add(&mut self, route: SocketAddrV4, sample: Duration) {
        if let Some(known) = self.routes.get_mut(&route) {
            known.add(sample);
        } else if self.routes.len() < ROUTES {
            let first = RouteTime {
                mean: sample,
                samples: 1,
            };
            self.routes.insert(route, first);
        }
    }

    /// The time that a request of a route is expected to take; `None` before enough of
    /// them were seen.
    #[must_use]
    pub fn expected(&self, route: SocketAddrV4) -> Option<Duration> {
        let known = self.routes.get(&route)?;
        (known.samples >= LEAST_SAMPLES).then_some(known.mean)
    }

    /// Forgets all: another target has begun.
    pub fn clear(&mut self) {
        self.routes.clear();
    }
}

impl RouteTime {
    fn add(&mut self, sample: Duration) {
        let counted = if self.samples < LEAST_SAMPLES {
            sample
        } else {
            sample.min(self.mean * OUTLIER_FACTOR)
        };
        self.samples = self.samples.saturating_add(1);
        let divisor = self.samples.min(MEAN_DIVISOR);
        self.mean = self.mean - self.mean / divisor + counted / divisor;
    }
}
