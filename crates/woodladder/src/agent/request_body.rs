//! The request's body on its way from the caller's stream to the back end.

use bytes::{Buf as _, Bytes};
use futures::{StreamExt as _, TryStreamExt as _, stream};
use h3::error::StreamError;
use h3::server::RequestStream;
use http::Method;
use http::request::Parts;
use http_body::Frame;
use volo_http::body::Body;

use super::stream::BodyStream;

/// The half of a caller's stream that brings the body.
pub(super) type Receiver = RequestStream<BodyStream, Bytes>;

/// The body for the back end. Methods without one get none; for others the
/// first part is awaited, so that a slot isn't held for a caller who has yet
/// to begin.
pub(super) async fn receive(parts: &Parts, mut receiver: Receiver) -> Result<Body, StreamError> {
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
