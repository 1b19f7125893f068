//! Reads a request's body from the caller's stream.

use bytes::{Buf as _, Bytes};
use futures::{StreamExt as _, TryStreamExt as _, stream};
use h3::error::StreamError;
use h3::server::RequestStream;
use http::Method;
use http::request::Parts;
use http_body::Frame;
use volo_http::body::Body;

use super::stream::BodyStream;

/// The receiving half of a request stream.
pub(super) type Receiver = RequestStream<BodyStream, Bytes>;

/// Returns the body for the back end; it is empty for GET and HEAD. For other
/// methods, waits for the first part, so that no slot is held for a caller that
/// has not begun to send.
pub(super) async fn receive_body(
    parts: &Parts,
    mut receiver: Receiver,
) -> Result<Body, StreamError> {
    if matches!(parts.method, Method::GET | Method::HEAD) {
        return Ok(Body::empty());
    }
    let Some(first) = next_chunk(&mut receiver).await? else {
        return Ok(Body::empty());
    };
    let rest = stream::unfold(receiver, |mut receiver| async move {
        let chunk = next_chunk(&mut receiver).await.transpose()?;
        Some((chunk, receiver))
    });
    let chunks = stream::once(std::future::ready(Ok(first))).chain(rest);
    Ok(Body::from_stream(chunks.map_ok(Frame::data).err_into()))
}

async fn next_chunk(receiver: &mut Receiver) -> Result<Option<Bytes>, StreamError> {
    let chunk = receiver.recv_data().await?;
    Ok(chunk.map(|mut chunk| chunk.copy_to_bytes(chunk.remaining())))
}
