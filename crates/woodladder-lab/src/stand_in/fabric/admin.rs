//! Administrative HTTP interface of the fabric.

use std::sync::Arc;

use bytes::Bytes;
use http::StatusCode;
use volo_http::response::Response;
use volo_http::server::Router;
use volo_http::server::route::{get, put};
use volo_http::utils::Extension;

use super::balancers::{BalancerEndpoint, BalancerSet};
use super::counters::Counters;
use crate::stand_in::http_server::{json_answer, read_json, text_answer};

pub(super) fn router(balancers: Arc<BalancerSet>, counters: Arc<Counters>) -> Router {
    Router::new()
        .route("/balancers", put(put_balancers))
        .route("/counters", get(get_counters))
        .layer(Extension(balancers))
        .layer(Extension(counters))
}

async fn put_balancers(Extension(balancers): Extension<Arc<BalancerSet>>, body: Bytes) -> Response {
    match read_json::<Vec<BalancerEndpoint>>(&body) {
        Ok(endpoints) => {
            balancers.replace(&endpoints);
            text_answer(StatusCode::OK, "")
        }
        Err(answer) => answer,
    }
}

async fn get_counters(Extension(counters): Extension<Arc<Counters>>) -> Response {
    json_answer(StatusCode::OK, &counters.snapshot())
}
