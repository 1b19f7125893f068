//! Mean service time of the target for the requests of each route.

use std::net::SocketAddrV4;
use std::time::Duration;

use rustc_hash::FxHashMap;

/// Time for the exchange of packets between an opening and the answer to its request,
/// without the service time.
pub(crate) const EXCHANGE_TIME: Duration = Duration::from_millis(8);
/// Maximum number of routes with a mean of their own; requests of other routes are
/// expected to take the mean of all requests.
const MAXIMUM_ROUTES: usize = 256;
/// Number of samples before a route's own mean is used.
const MINIMUM_SAMPLES: u32 = 3;
/// Weight of a new sample: one part in this many.
const MEAN_DIVISOR: u32 = 8;
/// A sample is capped at this multiple of the present mean, so that one request that
/// hangs does not make all others of its route count as late.
const OUTLIER_FACTOR: u32 = 3;

#[derive(Clone, Copy, Debug)]
struct RouteTime {
    mean: Duration,
    samples: u32,
}

/// Running means, by address of the route, of the time from a request's first packet at
/// the target to the first byte of its answer.
#[derive(Clone, Debug, Default)]
pub struct ServiceTimes {
    routes: FxHashMap<SocketAddrV4, RouteTime>,
}

impl ServiceTimes {
    /// Adds the service time of one request.
    pub fn add(&mut self, route: SocketAddrV4, sample: Duration) {
        if let Some(route_time) = self.routes.get_mut(&route) {
            route_time.add(sample);
        } else if self.routes.len() < MAXIMUM_ROUTES {
            let first = RouteTime {
                mean: sample,
                samples: 1,
            };
            self.routes.insert(route, first);
        }
    }

    /// The expected service time of a request of the route; `None` before enough samples.
    #[must_use]
    pub fn expected_time(&self, route: SocketAddrV4) -> Option<Duration> {
        let route_time = self.routes.get(&route)?;
        (route_time.samples >= MINIMUM_SAMPLES).then_some(route_time.mean)
    }

    /// Forgets all samples because another target has started.
    pub fn clear(&mut self) {
        self.routes.clear();
    }
}

impl RouteTime {
    fn add(&mut self, sample: Duration) {
        let counted = if self.samples < MINIMUM_SAMPLES {
            sample
        } else {
            sample.min(self.mean * OUTLIER_FACTOR)
        };
        self.samples = self.samples.saturating_add(1);
        let divisor = self.samples.min(MEAN_DIVISOR);
        self.mean = self.mean - self.mean / divisor + counted / divisor;
    }
}
