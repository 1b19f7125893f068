//! Follows the back end's health endpoint.
//!
//! A back end may begin to leave without a bundle or a signal, and only its
//! health endpoint tells. The endpoint may lag or mislead, so what it says only
//! turns new flows to other targets; the back end's own refusals do the rest.

use std::sync::Weak;
use std::time::Duration;

use http::StatusCode;
use tokio::time::{MissedTickBehavior, interval, timeout};

use super::back_end::BackEnd;
use super::control::Control;

/// Time between two questions, and the limit for an answer.
const INTERVAL: Duration = Duration::from_secs(1);
/// Answers in a row that say the same before it is believed.
const CONFIRMATIONS: u32 = 2;

/// What an answer says.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Health {
    Serving,
    Leaving,
    /// No answer, or one without a meaning: nothing changes.
    Unknown,
}

/// Asks until the agent is gone.
pub(super) async fn follow(back_end: BackEnd, path: String, control: Weak<Control>) {
    let mut ticks = interval(INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut leaving_answers = 0;
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
        control.back_end_leaving(leaving_answers >= CONFIRMATIONS);
    }
}

async fn ask(back_end: &BackEnd, path: &str) -> Health {
    match timeout(INTERVAL, back_end.status_of(path)).await {
        Ok(Some(status)) if status.is_success() => Health::Serving,
        Ok(Some(StatusCode::SERVICE_UNAVAILABLE)) => Health::Leaving,
        _ => Health::Unknown,
    }
}
