//! Settings of a back end.

use std::net::SocketAddr;
use std::time::Duration;

/// How a back end is set up.
#[derive(Clone, Debug)]
pub struct BackEndConfig {
    /// Where the service is answered.
    pub address: SocketAddr,
    /// Where the administrative interface listens.
    pub admin_address: SocketAddr,
    /// Name of the service.
    pub service: String,
    /// Name of this back end.
    pub name: String,
    /// Requests run at one time.
    pub slots: usize,
    /// Requests and feeds open at one time.
    pub connection_limit: usize,
    /// Time to run an operation, and to make a sheet.
    pub service_time: Duration,
    /// How long the back end is slower after its start.
    pub cold_start: Duration,
    /// How many times slower it is at its start; falls to one over `cold_start`.
    pub cold_factor: f64,
    /// Time between the ticks of a feed.
    pub feed_interval: Duration,
    /// Payload of an operation's answer, in bytes.
    pub answer_bytes: usize,
    /// Payload of a sheet, in bytes.
    pub sheet_bytes: usize,
    /// Seed of the faults drawn at random.
    pub seed: u64,
}

impl Default for BackEndConfig {
    fn default() -> Self {
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        Self {
            address: any,
            admin_address: any,
            service: "service".to_owned(),
            name: "back-end".to_owned(),
            slots: 7,
            connection_limit: 2_000,
            service_time: Duration::from_millis(20),
            cold_start: Duration::ZERO,
            cold_factor: 1.0,
            feed_interval: Duration::from_millis(500),
            answer_bytes: 256,
            sheet_bytes: 64 * 1024,
            seed: 0,
        }
    }
}

impl BackEndConfig {
    /// Time to run an operation when the back end has been up this long.
    #[must_use]
    pub fn service_time_after(&self, uptime: Duration) -> Duration {
        if uptime >= self.cold_start {
            return self.service_time;
        }
        let warmed = uptime.as_secs_f64() / self.cold_start.as_secs_f64();
        let factor = self.cold_factor + (1.0 - self.cold_factor) * warmed;
        self.service_time.mul_f64(factor.max(0.0))
    }
}
