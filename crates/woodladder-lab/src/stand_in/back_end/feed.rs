//! Endless feeds of ticks.

use std::sync::Arc;

use bytes::Bytes;
use futures::stream;
use http::HeaderValue;
use http::header::CONTENT_TYPE;
use http_body::Frame;
use tokio::time::{Interval, MissedTickBehavior, interval};
use volo_http::body::Body;
use volo_http::request::Request;
use volo_http::response::Response;
use volo_http::utils::Extension;

use super::capacity::Lease;
use super::shared::Shared;
use super::status::not_run;
use crate::stand_in::clock::unix_milliseconds;
use crate::stand_in::execution_log::FeedOpening;
use crate::stand_in::http_server::{AnswerCut, close_without_answer};

pub(super) async fn get_feed(
    Extension(shared): Extension<Arc<Shared>>,
    request: Request,
) -> Response {
    shared.check_service(request.headers(), request.uri());
    shared.wait_while_frozen().await;
    let Some(exchange) = shared.open_exchange() else {
        return not_run("too many connections");
    };
    let fault = shared.draw_fault();
    if fault.close_before_run {
        return close_without_answer();
    }
    if fault.shed {
        return not_run("shedding load");
    }
    // The slot is free again as soon as the answer begins.
    let Some(_slot) = shared.take_slot() else {
        return not_run("all slots busy");
    };
    shared.recorder.feed_opened(FeedOpening {
        service: shared.config.service.clone(),
        back_end: shared.config.name.clone(),
        opened_ms: unix_milliseconds(),
        leaving_for_ms: shared.leaving_for_ms(),
    });
    let mut answer = Response::new(feed_body(Arc::clone(&shared), exchange));
    let event_stream = HeaderValue::from_static("text/event-stream");
    answer.headers_mut().insert(CONTENT_TYPE, event_stream);
    answer
}

struct FeedState {
    shared: Arc<Shared>,
    ticks: Interval,
    next: u64,
    _exchange: Lease,
}

fn feed_body(shared: Arc<Shared>, exchange: Lease) -> Body {
    let mut ticks = interval(shared.config.feed_interval);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let state = FeedState {
        shared,
        ticks,
        next: 0,
        _exchange: exchange,
    };
    Body::from_stream(stream::unfold(state, |mut state| async move {
        let tick = state.tick().await;
        Some((tick.map_err(Into::into), state))
    }))
}

impl FeedState {
    async fn tick(&mut self) -> Result<Frame<Bytes>, AnswerCut> {
        let shared = Arc::clone(&self.shared);
        tokio::select! {
            () = shared.gate.wait_shut() => return Err(AnswerCut),
            _ = self.ticks.tick() => {}
        }
        shared.wait_while_frozen().await;
        let event = format!("data: {} {}\n\n", shared.config.service, self.next);
        self.next += 1;
        Ok(Frame::data(Bytes::from(event)))
    }
}
