//! Follows the back end's health endpoint.
//!
//! A back end may begin to leave without a bundle or a signal, and only its
//! health endpoint tells. The endpoint may lag or mislead, so what it says only
//! turns new flows to other targets and asks callers to open another
//! connection; the back end's own refusals do the rest.

use std::sync::Weak;
use std::time::Duration;

use http::StatusCode;
use tokio::time::{Instant, MissedTickBehavior, interval, timeout};

use super::back_end::BackEnd;
use super::control::Control;

/// Time between two questions, and the limit for an answer.
const INTERVAL: Duration = Duration::from_secs(1);
/// Answers in a row that say the same before it is believed.
const CONFIRMATIONS: u32 = 2;
/// Least time between two requests to move, so that an endpoint that wavers
/// doesn't keep callers moving.
const LEAST_BETWEEN_MOVES: Duration = Duration::from_secs(60);

/// What an answer says.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Health {
    Serving,
    Leaving,
    /// No answer, or one without a meaning: nothing changes.
    Unknown,
}

/// Tells when callers are asked to move: once each time the back end leaves.
#[derive(Debug, Default)]
struct MoveRequests {
    asked: bool,
    last: Option<Instant>,
}

impl MoveRequests {
    fn is_due(&mut self, leaving: bool, now: Instant) -> bool {
        let rested = self
            .last
            .is_none_or(|last| now - last >= LEAST_BETWEEN_MOVES);
        let due = leaving && rested && !self.asked;
        self.asked = leaving && (self.asked || due);
        if due {
            self.last = Some(now);
        }
        due
    }
}

/// Asks until the agent is gone.
pub(super) async fn follow(back_end: BackEnd, path: String, control: Weak<Control>) {
    let mut ticks = interval(INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut leaving_answers = 0;
    let mut moves = MoveRequests::default();
    loop {
        ticks.tick().await;
        let health = ask(&back_end, &path).await;
        let Some(control) = control.upgrade() else {
            return;
        };
        match health {
            Health::Serving => leaving_answers = 0,
            Health::Leaving => leaving_answers += 1,
            Health::Unknown => continue,
        }
        let leaving = leaving_answers >= CONFIRMATIONS;
        control.back_end_leaving(leaving);
        if moves.is_due(leaving, Instant::now()) {
            control.ask_to_move();
        }
    }
}

async fn ask(back_end: &BackEnd, path: &str) -> Health {
    match timeout(INTERVAL, back_end.status_of(path)).await {
        Ok(Some(status)) if status.is_success() => Health::Serving,
        Ok(Some(StatusCode::SERVICE_UNAVAILABLE)) => Health::Leaving,
        _ => Health::Unknown,
    }
}
