//! Request handlers for sessions.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::StatusCode;
use serde::{Deserialize, Serialize};
use volo_http::response::Response;
use volo_http::server::param::PathParams;
use volo_http::utils::Extension;

use super::kv::{admit, refusal};
use super::query;
use super::shared::Shared;
use super::state::{SessionId, StoreOperation, StoreOutcome};
use crate::stand_in::http_server::{json_answer, read_json, text_answer};

#[derive(Default, Deserialize)]
#[serde(default)]
struct CreateBody {
    #[serde(rename = "TTL")]
    time_to_live: Option<String>,
}

#[derive(Serialize)]
struct SessionBody<'a> {
    #[serde(rename = "ID")]
    id: &'a str,
    #[serde(rename = "TTL", skip_serializing_if = "Option::is_none")]
    time_to_live: Option<String>,
}

pub(super) async fn create(Extension(shared): Extension<Arc<Shared>>, body: Bytes) -> Response {
    if let Some(answer) = admit(&shared).await {
        return answer;
    }
    let time_to_live = match read_time_to_live(&body) {
        Ok(time) => time,
        Err(answer) => return *answer,
    };
    match shared.apply(StoreOperation::CreateSession { time_to_live }) {
        StoreOutcome::SessionCreated { session } => {
            json_answer(StatusCode::OK, &session_body(&session, None))
        }
        other => refusal(&other),
    }
}

fn read_time_to_live(body: &Bytes) -> Result<Option<Duration>, Box<Response>> {
    if body.is_empty() {
        return Ok(None);
    }
    let body: CreateBody = read_json(body).map_err(Box::new)?;
    let Some(text) = body.time_to_live else {
        return Ok(None);
    };
    match query::duration(&text) {
        Some(time) => Ok(Some(time)),
        None => {
            let answer = text_answer(StatusCode::BAD_REQUEST, "TTL is not a duration");
            Err(Box::new(answer))
        }
    }
}

pub(super) async fn renew(
    Extension(shared): Extension<Arc<Shared>>,
    PathParams(session): PathParams<String>,
) -> Response {
    if let Some(answer) = admit(&shared).await {
        return answer;
    }
    let session = SessionId(session);
    let renew = StoreOperation::RenewSession {
        session: session.clone(),
    };
    match shared.apply(renew) {
        StoreOutcome::SessionRenewed { time_to_live } => {
            json_answer(StatusCode::OK, &[session_body(&session, time_to_live)])
        }
        StoreOutcome::UnknownSession => text_answer(StatusCode::NOT_FOUND, "unknown session"),
        other => refusal(&other),
    }
}

pub(super) async fn destroy(
    Extension(shared): Extension<Arc<Shared>>,
    PathParams(session): PathParams<String>,
) -> Response {
    if let Some(answer) = admit(&shared).await {
        return answer;
    }
    let session = SessionId(session);
    match shared.apply(StoreOperation::DestroySession { session }) {
        StoreOutcome::SessionDestroyed => json_answer(StatusCode::OK, &true),
        other => refusal(&other),
    }
}

fn session_body(session: &SessionId, time_to_live: Option<Duration>) -> SessionBody<'_> {
    SessionBody {
        id: &session.0,
        time_to_live: time_to_live.map(|time| format!("{}ms", time.as_millis())),
    }
}
