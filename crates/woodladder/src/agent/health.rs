//! Polls the back end's health endpoint.
//!
//! A back end may begin to leave without a change of the bundle or a signal to
//! the agent, and only its health endpoint shows that. The endpoint may lag or be
//! wrong, so its answers only make other targets preferred for new flows and
//! ask callers to reconnect. Requests are refused by the back end itself.

use std::sync::Weak;
use std::time::Duration;

use http::StatusCode;
use tokio::time::{Instant, MissedTickBehavior, interval, timeout};

use super::admission_control::AdmissionControl;
use super::back_end::BackEnd;

/// Interval between health checks, and the timeout of each.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);
/// Number of 503 answers without a successful one between them after which the
/// back end counts as leaving. Failed checks and other answers are not counted.
const LEAVING_CONFIRMATIONS: u32 = 2;
/// Shortest time between two requests to reconnect, so that callers do not
/// reconnect again and again when the back end's health state alternates.
const MINIMUM_RECONNECT_INTERVAL: Duration = Duration::from_secs(60);

/// Result of a health check.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Health {
    Serving,
    Leaving,
    /// No answer, or another status: the last known state is kept.
    Unknown,
}

/// Decides when callers are asked to reconnect: once per departure of the back
/// end, and at most once per [`MINIMUM_RECONNECT_INTERVAL`].
#[derive(Debug, Default)]
struct ReconnectRequests {
    already_asked: bool,
    last_asked_at: Option<Instant>,
}

impl ReconnectRequests {
    /// Returns whether callers are to be asked to reconnect now, and if so,
    /// records the request as made.
    fn record_due_request(&mut self, leaving: bool, now: Instant) -> bool {
        let interval_passed = self
            .last_asked_at
            .is_none_or(|last_asked_at| now - last_asked_at >= MINIMUM_RECONNECT_INTERVAL);
        let due = leaving && interval_passed && !self.already_asked;
        self.already_asked = leaving && (self.already_asked || due);
        if due {
            self.last_asked_at = Some(now);
        }
        due
    }
}

/// Polls the health endpoint until the agent is dropped.
pub(super) async fn poll_health(
    back_end: BackEnd,
    path: String,
    admission_control: Weak<AdmissionControl>,
) {
    let mut ticks = interval(CHECK_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut leaving_answers = 0;
    let mut reconnects = ReconnectRequests::default();
    loop {
        ticks.tick().await;
        let health = check_health(&back_end, &path).await;
        let Some(admission_control) = admission_control.upgrade() else {
            return;
        };
        match health {
            Health::Serving => leaving_answers = 0,
            Health::Leaving => leaving_answers += 1,
            Health::Unknown => continue,
        }
        let leaving = leaving_answers >= LEAVING_CONFIRMATIONS;
        admission_control.set_back_end_leaving(leaving);
        if reconnects.record_due_request(leaving, Instant::now()) {
            admission_control.ask_callers_to_reconnect();
        }
    }
}

async fn check_health(back_end: &BackEnd, path: &str) -> Health {
    match timeout(CHECK_INTERVAL, back_end.get_status(path)).await {
        Ok(Some(status)) if status.is_success() => Health::Serving,
        Ok(Some(StatusCode::SERVICE_UNAVAILABLE)) => Health::Leaving,
        _ => Health::Unknown,
    }
}
