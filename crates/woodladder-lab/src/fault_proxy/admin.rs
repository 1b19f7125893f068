//! Administrative HTTP interface of the fault proxy.

use bytes::Bytes;
use http::StatusCode;
use volo_http::response::Response;
use volo_http::server::Router;
use volo_http::server::route::get;
use volo_http::utils::Extension;

use super::switch::RuleSwitch;
use crate::stand_in::http_server::{json_answer, read_json, text_answer};

pub(super) fn router(switch: RuleSwitch) -> Router {
    Router::new()
        .route("/rule", get(get_rule).put(put_rule))
        .layer(Extension(switch))
}

async fn get_rule(Extension(switch): Extension<RuleSwitch>) -> Response {
    json_answer(StatusCode::OK, &switch.get())
}

async fn put_rule(Extension(switch): Extension<RuleSwitch>, body: Bytes) -> Response {
    match read_json(&body) {
        Ok(rule) => {
            switch.set(rule);
            text_answer(StatusCode::OK, "")
        }
        Err(answer) => answer,
    }
}
