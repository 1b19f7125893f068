//! Health and load endpoints, which may lag or mislead, and the answers that refuse work.

use std::sync::Arc;

use http::header::RETRY_AFTER;
use http::{HeaderValue, StatusCode};
use serde::{Deserialize, Serialize};
use volo_http::response::Response;
use volo_http::utils::Extension;

use super::fault::HealthFault;
use super::shared::Shared;
use crate::stand_in::headers;
use crate::stand_in::http_server::{json_answer, text_answer};

/// When a refused caller may come back, in seconds.
const RETRY_AFTER_SECONDS: HeaderValue = HeaderValue::from_static("1");

/// What the health endpoint says of the back end.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum HealthState {
    /// It takes new work.
    Live,
    /// It takes no new work.
    Draining,
}

/// Body of the health endpoint.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct HealthReport {
    /// What the back end says of itself.
    pub state: HealthState,
}

pub(super) async fn get_health(Extension(shared): Extension<Arc<Shared>>) -> Response {
    shared.wait_while_frozen().await;
    let state = match shared.fault().health {
        HealthFault::AlwaysLive => HealthState::Live,
        HealthFault::AlwaysDraining => HealthState::Draining,
        HealthFault::Failing => {
            return text_answer(StatusCode::INTERNAL_SERVER_ERROR, "failing");
        }
        HealthFault::Honest if shared.leaving_for().is_some() => HealthState::Draining,
        HealthFault::Honest => HealthState::Live,
    };
    let status = match state {
        HealthState::Live => StatusCode::OK,
        HealthState::Draining => StatusCode::SERVICE_UNAVAILABLE,
    };
    json_answer(status, &HealthReport { state })
}

pub(super) async fn get_load(Extension(shared): Extension<Arc<Shared>>) -> Response {
    shared.wait_while_frozen().await;
    json_answer(StatusCode::OK, &shared.told_load())
}

/// The answer to a request that was not run.
pub(super) fn not_run(reason: &str) -> Response {
    let mut answer = text_answer(StatusCode::SERVICE_UNAVAILABLE, reason);
    let answer_headers = answer.headers_mut();
    answer_headers.insert(RETRY_AFTER, RETRY_AFTER_SECONDS);
    let not_run = HeaderValue::from_static(headers::OUTCOME_NOT_RUN);
    answer_headers.insert(headers::OUTCOME, not_run);
    answer
}

/// The answer to a request that was started and not finished.
pub(super) fn unknown(reason: &str) -> Response {
    let mut answer = text_answer(StatusCode::GATEWAY_TIMEOUT, reason);
    let unknown = HeaderValue::from_static(headers::OUTCOME_UNKNOWN);
    answer.headers_mut().insert(headers::OUTCOME, unknown);
    answer
}
