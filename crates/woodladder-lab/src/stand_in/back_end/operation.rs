//! Operations, which may not be repeated, and sheets, which may.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures::{StreamExt, stream};
use http::header::CONTENT_LENGTH;
use http::{HeaderMap, HeaderValue, Uri};
use http_body_util::BodyExt;
use tokio::time::sleep;
use volo_http::body::Body;
use volo_http::request::Request;
use volo_http::response::Response;
use volo_http::server::param::PathParams;
use volo_http::utils::Extension;

use super::deadline::Deadline;
use super::shared::Shared;
use super::status::{not_run, unknown};
use crate::stand_in::answer;
use crate::stand_in::clock::unix_milliseconds;
use crate::stand_in::execution_log::{Execution, ExecutionEnd, ExecutionEntry};
use crate::stand_in::headers;
use crate::stand_in::http_server::{AnswerCut, close_without_answer};
use crate::stand_in::operation::OperationId;

/// What a request asks for.
#[derive(Clone, Copy)]
struct Work {
    operation: OperationId,
    repeatable: bool,
    answer_bytes: usize,
}

pub(super) async fn post_operation(
    Extension(shared): Extension<Arc<Shared>>,
    PathParams(operation): PathParams<u64>,
    request: Request,
) -> Response {
    let work = Work {
        operation: OperationId(operation),
        repeatable: false,
        answer_bytes: shared.config.answer_bytes,
    };
    let (parts, body) = request.into_parts();
    if body.collect().await.is_err() {
        return close_without_answer();
    }
    serve(&shared, work, &parts.headers, &parts.uri).await
}

pub(super) async fn get_sheet(
    Extension(shared): Extension<Arc<Shared>>,
    PathParams(operation): PathParams<u64>,
    request: Request,
) -> Response {
    let work = Work {
        operation: OperationId(operation),
        repeatable: true,
        answer_bytes: shared.config.sheet_bytes,
    };
    serve(&shared, work, request.headers(), request.uri()).await
}

async fn serve(shared: &Arc<Shared>, work: Work, headers: &HeaderMap, uri: &Uri) -> Response {
    let deadline = Deadline::from_headers(headers);
    shared.check_service(headers, uri);
    shared.wait_while_frozen().await;
    let Some(_exchange) = shared.open_exchange() else {
        return not_run("too many connections");
    };
    let fault = shared.draw_fault();
    if fault.close_before_run {
        return close_without_answer();
    }
    if fault.shed {
        return not_run("shedding load");
    }
    let Some(_slot) = shared.take_slot() else {
        return not_run("all slots busy");
    };
    if deadline.has_passed() {
        return not_run("deadline passed before the start");
    }
    let running = RunningExecution::start(shared, work, headers);
    if deadline.limit(run(shared)).await.is_err() {
        running.end(ExecutionEnd::DeadlineExceeded);
        return unknown("deadline passed during the run");
    }
    running.end(ExecutionEnd::Completed);
    if fault.close_after_run {
        return close_without_answer();
    }
    let body = answer::encode(work.operation, &shared.config.service, work.answer_bytes);
    if fault.half_answer {
        return half_answer(&body);
    }
    Response::new(Body::from(body))
}

async fn run(shared: &Shared) {
    sleep(shared.service_time()).await;
    sleep(Duration::from_millis(shared.fault().answer_delay_ms)).await;
    shared.wait_while_frozen().await;
}

/// Announces the whole length, sends the first half and closes the connection.
fn half_answer(body: &Bytes) -> Response {
    let half = body.slice(..body.len() / 2);
    let sent = stream::once(async move { Ok(http_body::Frame::data(half)) });
    // The server flushes what it has while the body is pending.
    let cut = stream::once(async {
        tokio::task::yield_now().await;
        Err(AnswerCut.into())
    });
    let mut answer = Response::new(Body::from_stream(sent.chain(cut)));
    answer
        .headers_mut()
        .insert(CONTENT_LENGTH, HeaderValue::from(body.len()));
    answer
}

/// An execution under way; counts as cancelled when dropped before its end.
struct RunningExecution {
    shared: Arc<Shared>,
    entry: ExecutionEntry,
    ended: bool,
}

impl RunningExecution {
    fn start(shared: &Arc<Shared>, work: Work, request_headers: &HeaderMap) -> Self {
        let entry = shared.recorder.start(Execution {
            operation: work.operation,
            attempt: headers::number(request_headers, headers::ATTEMPT),
            service: shared.config.service.clone(),
            back_end: shared.config.name.clone(),
            repeatable: work.repeatable,
            started_ms: unix_milliseconds(),
            ended_ms: None,
            end: ExecutionEnd::Running,
            leaving_for_ms: shared.leaving_for_ms(),
        });
        Self {
            shared: Arc::clone(shared),
            entry,
            ended: false,
        }
    }

    fn end(mut self, end: ExecutionEnd) {
        self.ended = true;
        self.shared.recorder.end(self.entry, end);
    }
}

impl Drop for RunningExecution {
    fn drop(&mut self) {
        if !self.ended {
            self.shared
                .recorder
                .end(self.entry, ExecutionEnd::Cancelled);
        }
    }
}
