//! A request body that asks for the permission to write.
//!
//! The HTTP client connects and writes in one call. In between, right before
//! it writes the head, it asks the body whether it is empty; at that moment
//! the request passes from "surely not run" to "may have run". When it was
//! given up meanwhile, the body fails, and the client drops the connection
//! with the head still in its buffer.

use std::io;
use std::pin::Pin;
use std::sync::{Arc, OnceLock};
use std::task::{Context, Poll};

use bytes::Bytes;
use http_body::{Frame, SizeHint};
use volo_http::body::Body;
use volo_http::error::BoxError;
use woodladder_core::target::request::RequestId;

use super::request_desk::RequestDesk;

/// A body behind a permission to write.
pub(super) struct PermittedBody {
    body: Body,
    request: RequestId,
    desk: Arc<RequestDesk>,
    permitted: OnceLock<bool>,
}

impl PermittedBody {
    pub(super) fn new(body: Body, request: RequestId, desk: Arc<RequestDesk>) -> Self {
        Self {
            body,
            request,
            desk,
            permitted: OnceLock::new(),
        }
    }

    fn is_permitted(&self) -> bool {
        *self
            .permitted
            .get_or_init(|| self.desk.connected(self.request).is_some())
    }
}

impl http_body::Body for PermittedBody {
    type Data = Bytes;
    type Error = BoxError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BoxError>>> {
        if !self.is_permitted() {
            let error = io::Error::other("the request was given up");
            return Poll::Ready(Some(Err(error.into())));
        }
        Pin::new(&mut self.body).poll_frame(context)
    }

    fn is_end_stream(&self) -> bool {
        self.is_permitted() && self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        if self.is_permitted() {
            self.body.size_hint()
        } else {
            SizeHint::new()
        }
    }
}
