//! Administrative HTTP interface of the store.

use std::sync::Arc;

use bytes::Bytes;
use http::StatusCode;
use volo_http::response::Response;
use volo_http::server::Router;
use volo_http::server::route::get;
use volo_http::utils::Extension;

use super::shared::Shared;
use crate::stand_in::http_server::{json_answer, read_json, text_answer};

pub(super) fn router(shared: Arc<Shared>) -> Router {
    Router::new()
        .route("/fault", get(get_fault).put(put_fault))
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
