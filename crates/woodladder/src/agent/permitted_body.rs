//! A request body that requests the scheduler's permission before the request
//! is written.
//!
//! The HTTP client connects and writes in one call. Between the two, right
//! before the client writes the request's head, it calls the body's
//! `is_end_stream`, and that call asks for the send permit.
//! At that moment the request changes from "certainly not run" to "may have
//! run". When the request has been given up meanwhile, the body fails, and the
//! client drops the connection with the head still in its buffer.

use std::io;
use std::pin::Pin;
use std::sync::{Arc, OnceLock};
use std::task::{Context, Poll};

use bytes::Bytes;
use http_body::{Frame, SizeHint};
use volo_http::body::Body;
use volo_http::error::BoxError;
use woodladder_core::target::request::RequestId;

use super::request_scheduler::RequestScheduler;

/// A body that can be read only once the send permit has been granted.
pub(super) struct PermittedBody {
    body: Body,
    request: RequestId,
    scheduler: Arc<RequestScheduler>,
    permitted: OnceLock<bool>,
}

impl PermittedBody {
    pub(super) fn new(body: Body, request: RequestId, scheduler: Arc<RequestScheduler>) -> Self {
        Self {
            body,
            request,
            scheduler,
            permitted: OnceLock::new(),
        }
    }

    /// Returns whether the request may be sent. The first call asks the scheduler
    /// for the send permit; once that is granted, the request counts as sent.
    fn obtain_permit(&self) -> bool {
        *self
            .permitted
            .get_or_init(|| self.scheduler.permit_send(self.request).is_some())
    }
}

impl http_body::Body for PermittedBody {
    type Data = Bytes;
    type Error = BoxError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BoxError>>> {
        if !self.obtain_permit() {
            let error = io::Error::other("the request was given up");
            return Poll::Ready(Some(Err(error.into())));
        }
        Pin::new(&mut self.body).poll_frame(context)
    }

    // The HTTP client calls this right before it writes the request's head, so
    // this call is usually the one that obtains the send permit.
    fn is_end_stream(&self) -> bool {
        self.obtain_permit() && self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        if self.obtain_permit() {
            self.body.size_hint()
        } else {
            SizeHint::new()
        }
    }
}
