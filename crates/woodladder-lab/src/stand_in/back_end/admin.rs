//! Administrative HTTP interface of a back end.

use std::sync::Arc;

use bytes::Bytes;
use http::StatusCode;
use volo_http::response::Response;
use volo_http::server::Router;
use volo_http::server::route::{get, put};
use volo_http::utils::Extension;

use super::shared::Shared;
use crate::stand_in::http_server::{json_answer, read_json, text_answer};

pub(super) fn router(shared: Arc<Shared>) -> Router {
    Router::new()
        .route("/fault", get(get_fault).put(put_fault))
        .route("/drain", put(put_drain))
        .route("/executions", get(get_executions))
        .route("/load", get(get_true_load))
        .layer(Extension(shared))
}

async fn get_fault(Extension(shared): Extension<Arc<Shared>>) -> Response {
    json_answer(StatusCode::OK, &shared.fault())
}

async fn put_fault(Extension(shared): Extension<Arc<Shared>>, body: Bytes) -> Response {
    match read_json(&body) {
        Ok(fault) => {
            shared.set_fault(fault);
            text_answer(StatusCode::OK, "")
        }
        Err(answer) => answer,
    }
}

async fn put_drain(Extension(shared): Extension<Arc<Shared>>) -> Response {
    shared.start_leaving();
    text_answer(StatusCode::OK, "")
}

async fn get_executions(Extension(shared): Extension<Arc<Shared>>) -> Response {
    json_answer(StatusCode::OK, &shared.recorder.snapshot())
}

async fn get_true_load(Extension(shared): Extension<Arc<Shared>>) -> Response {
    json_answer(StatusCode::OK, &shared.true_load())
}
