//! One request and its whole answer.

use std::time::Duration;

use bytes::{Buf, Bytes, BytesMut};
use h3::client::RequestStream;
use h3::error::{Code, StreamError};
use h3_quinn::BidiStream;
use http::Request;
use tokio::time::timeout;

use super::connection::Connection;
use super::interpret::ReceivedAnswer;
use super::outcome::{NotRunReason, Outcome, UnknownReason};

/// Largest answer read, in bytes.
const ANSWER_LIMIT: usize = 64 * 1024 * 1024;

pub(super) type Stream = RequestStream<BidiStream<Bytes>, Bytes>;

/// Why an exchange gave no whole answer.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(super) enum ExchangeFailure {
    /// Nothing of the request was sent; another connection may be tried at once.
    NotSent,
    /// The request was sent, with this outcome.
    Failed(Outcome),
}

/// Sends the request and reads the answer; cancels the request when the limit is over.
pub(super) async fn run(
    connection: &Connection,
    request: Request<()>,
    body: Bytes,
    limit: Duration,
) -> Result<ReceivedAnswer, ExchangeFailure> {
    let opening = open(connection, request);
    let mut stream = match timeout(limit, opening).await {
        Ok(opened) => opened?,
        Err(_) => return Err(unknown(UnknownReason::TimedOut)),
    };
    match timeout(limit, converse(&mut stream, body)).await {
        Ok(result) => result,
        Err(_) => {
            cancel(stream);
            Err(unknown(UnknownReason::TimedOut))
        }
    }
}

/// Opens a stream and sends the head of the request.
pub(super) async fn open(
    connection: &Connection,
    request: Request<()>,
) -> Result<Stream, ExchangeFailure> {
    match connection.requests().send_request(request).await {
        Ok(stream) => Ok(stream),
        Err(StreamError::RemoteClosing) => Err(ExchangeFailure::NotSent),
        Err(error) => Err(failure(&error)),
    }
}

/// Tells the server that the answer is no longer wanted.
///
/// The receiving side is stopped by being dropped: while a read is pending, `h3-quinn` has no way
/// to stop it with a code, and panics when asked to.
pub(super) fn cancel(mut stream: Stream) {
    stream.stop_stream(Code::H3_REQUEST_CANCELLED);
}

async fn converse(stream: &mut Stream, body: Bytes) -> Result<ReceivedAnswer, ExchangeFailure> {
    send_body(stream, body).await;
    let head = stream
        .recv_response()
        .await
        .map_err(|error| failure(&error))?;
    let mut received = BytesMut::new();
    while let Some(piece) = stream.recv_data().await.map_err(|error| failure(&error))? {
        if received.len() + piece.remaining() > ANSWER_LIMIT {
            return Err(unknown(UnknownReason::AnswerTooLarge));
        }
        append(&mut received, piece);
    }
    let (parts, ()) = head.into_parts();
    Ok(ReceivedAnswer {
        status: parts.status,
        headers: parts.headers,
        body: received.freeze(),
    })
}

/// A server may answer before it has read the body, so a failure here is left to the answer.
async fn send_body(stream: &mut Stream, body: Bytes) {
    if stream.send_data(body).await.is_ok() {
        let _ = stream.finish().await;
    }
}

fn append(received: &mut BytesMut, mut piece: impl Buf) {
    while piece.has_remaining() {
        let chunk = piece.chunk();
        let length = chunk.len();
        received.extend_from_slice(chunk);
        piece.advance(length);
    }
}

fn unknown(reason: UnknownReason) -> ExchangeFailure {
    ExchangeFailure::Failed(Outcome::Unknown { reason })
}

/// The outcome of a request whose stream failed after it was opened.
pub(super) fn failure(error: &StreamError) -> ExchangeFailure {
    match error {
        StreamError::RemoteTerminate { code, .. } if *code == Code::H3_REQUEST_REJECTED => {
            ExchangeFailure::Failed(Outcome::not_run(NotRunReason::RequestRejected))
        }
        StreamError::RemoteTerminate { code, .. } => unknown(UnknownReason::StreamReset {
            code: Some(code.value()),
        }),
        StreamError::ConnectionError(_) => unknown(UnknownReason::ConnectionLost),
        _ => unknown(UnknownReason::StreamReset { code: None }),
    }
}
