//! Adapts a QUIC connection to the interface of the HTTP/3 library.
//!
//! Unidirectional streams use `h3-quinn`. Request streams have their own
//! adapter, for two reasons. The agent must detect at once that a caller has
//! stopped a stream, even while the agent writes nothing to that stream, and
//! `h3-quinn` does not expose that. When a send stream is dropped before its
//! end, `quinn` finishes it; this adapter resets it instead, because the caller
//! would take a truncated answer for a complete one.

use std::future::Future;
use std::pin::Pin;
use std::sync::{Arc, Mutex};
use std::task::{Context, Poll, ready};

use bytes::{Buf, Bytes, BytesMut};
use h3::error::Code;
use h3::quic::{
    self, BidiStream, ConnectionErrorIncoming, OpenStreams, StreamErrorIncoming, StreamId, WriteBuf,
};
use quinn::{ConnectionError, ReadError, StoppedError, VarInt, WriteError};
use tokio::io::ReadBuf;

/// Bytes read from a request stream at a time.
const READ_CHUNK_LENGTH: usize = 8 * 1024;

type Accepted = Result<(quinn::SendStream, quinn::RecvStream), ConnectionError>;
type Accepting = Pin<Box<dyn Future<Output = Accepted> + Send + Sync>>;

/// Completes when the caller stops a stream, when the caller has acknowledged a
/// finished stream, or when the connection is lost.
pub(super) type StreamEnd =
    Pin<Box<dyn Future<Output = Result<Option<VarInt>, StoppedError>> + Send + Sync>>;

/// Holds the [`StreamEnd`] of the request stream that was accepted last.
///
/// The HTTP/3 library accepts one stream at a time and returns its own type,
/// which does not expose the adapter's. So the future is kept here until the
/// connection takes it.
#[derive(Clone, Default)]
pub(super) struct LastAcceptedStream {
    stream_end: Arc<Mutex<Option<StreamEnd>>>,
}

impl LastAcceptedStream {
    /// Takes the future of the stream that was accepted last.
    pub(super) fn take(&self) -> Option<StreamEnd> {
        self.stream_end.lock().ok()?.take()
    }

    fn replace(&self, stream_end: StreamEnd) {
        if let Ok(mut slot) = self.stream_end.lock() {
            *slot = Some(stream_end);
        }
    }
}

/// A caller's QUIC connection.
pub(super) struct CallerConnection {
    connection: quinn::Connection,
    streams: h3_quinn::Connection,
    accepting: Option<Accepting>,
    last_accepted: LastAcceptedStream,
}

impl CallerConnection {
    pub(super) fn new(connection: quinn::Connection, last_accepted: LastAcceptedStream) -> Self {
        Self {
            streams: h3_quinn::Connection::new(connection.clone()),
            connection,
            accepting: None,
            last_accepted,
        }
    }
}

impl<B: Buf> quic::Connection<B> for CallerConnection {
    type RecvStream = h3_quinn::RecvStream;
    type OpenStreams = CallerOpener;

    fn poll_accept_recv(
        &mut self,
        context: &mut Context<'_>,
    ) -> Poll<Result<Self::RecvStream, ConnectionErrorIncoming>> {
        quic::Connection::<B>::poll_accept_recv(&mut self.streams, context)
    }

    fn poll_accept_bidi(
        &mut self,
        context: &mut Context<'_>,
    ) -> Poll<Result<RequestStream<B>, ConnectionErrorIncoming>> {
        let connection = &self.connection;
        let accepting = self.accepting.get_or_insert_with(|| {
            let connection = connection.clone();
            Box::pin(async move { connection.accept_bi().await })
        });
        let accepted = ready!(accepting.as_mut().poll(context));
        self.accepting = None;
        let (send, receive) = accepted.map_err(connection_error)?;
        self.last_accepted.replace(Box::pin(send.stopped()));
        Poll::Ready(Ok(RequestStream {
            send: AnswerStream::new(send),
            receive: BodyStream::new(receive),
        }))
    }

    fn opener(&self) -> CallerOpener {
        CallerOpener {
            streams: quic::Connection::<B>::opener(&self.streams),
        }
    }
}

impl<B: Buf> OpenStreams<B> for CallerConnection {
    type BidiStream = RequestStream<B>;
    type SendStream = h3_quinn::SendStream<B>;

    fn poll_open_bidi(
        &mut self,
        _: &mut Context<'_>,
    ) -> Poll<Result<Self::BidiStream, StreamErrorIncoming>> {
        Poll::Ready(Err(server_cannot_open_requests()))
    }

    fn poll_open_send(
        &mut self,
        context: &mut Context<'_>,
    ) -> Poll<Result<Self::SendStream, StreamErrorIncoming>> {
        OpenStreams::<B>::poll_open_send(&mut self.streams, context)
    }

    fn close(&mut self, code: Code, reason: &[u8]) {
        OpenStreams::<B>::close(&mut self.streams, code, reason);
    }
}

/// Opens the server's own unidirectional streams.
pub(super) struct CallerOpener {
    streams: h3_quinn::OpenStreams,
}

impl<B: Buf> OpenStreams<B> for CallerOpener {
    type BidiStream = RequestStream<B>;
    type SendStream = h3_quinn::SendStream<B>;

    fn poll_open_bidi(
        &mut self,
        _: &mut Context<'_>,
    ) -> Poll<Result<Self::BidiStream, StreamErrorIncoming>> {
        Poll::Ready(Err(server_cannot_open_requests()))
    }

    fn poll_open_send(
        &mut self,
        context: &mut Context<'_>,
    ) -> Poll<Result<Self::SendStream, StreamErrorIncoming>> {
        OpenStreams::<B>::poll_open_send(&mut self.streams, context)
    }

    fn close(&mut self, code: Code, reason: &[u8]) {
        OpenStreams::<B>::close(&mut self.streams, code, reason);
    }
}

/// Both halves of a request stream.
pub(super) struct RequestStream<B: Buf> {
    send: AnswerStream<B>,
    receive: BodyStream,
}

impl<B: Buf> BidiStream<B> for RequestStream<B> {
    type SendStream = AnswerStream<B>;
    type RecvStream = BodyStream;

    fn split(self) -> (Self::SendStream, Self::RecvStream) {
        (self.send, self.receive)
    }
}

impl<B: Buf> quic::SendStream<B> for RequestStream<B> {
    fn poll_ready(&mut self, context: &mut Context<'_>) -> Poll<Result<(), StreamErrorIncoming>> {
        self.send.poll_ready(context)
    }

    fn send_data<T: Into<WriteBuf<B>>>(&mut self, data: T) -> Result<(), StreamErrorIncoming> {
        self.send.send_data(data)
    }

    fn poll_finish(&mut self, context: &mut Context<'_>) -> Poll<Result<(), StreamErrorIncoming>> {
        self.send.poll_finish(context)
    }

    fn reset(&mut self, code: u64) {
        self.send.reset(code);
    }

    fn send_id(&self) -> StreamId {
        self.send.send_id()
    }
}

impl<B: Buf> quic::RecvStream for RequestStream<B> {
    type Buf = Bytes;

    fn poll_data(
        &mut self,
        context: &mut Context<'_>,
    ) -> Poll<Result<Option<Bytes>, StreamErrorIncoming>> {
        self.receive.poll_data(context)
    }

    fn stop_sending(&mut self, code: u64) {
        self.receive.stop_sending(code);
    }

    fn recv_id(&self) -> StreamId {
        self.receive.recv_id()
    }
}

/// The sending half of a request stream; reset when dropped before it is
/// finished.
pub(super) struct AnswerStream<B: Buf> {
    stream: quinn::SendStream,
    pending_write: Option<WriteBuf<B>>,
    ended: bool,
}

impl<B: Buf> AnswerStream<B> {
    fn new(stream: quinn::SendStream) -> Self {
        Self {
            stream,
            pending_write: None,
            ended: false,
        }
    }
}

impl<B: Buf> quic::SendStream<B> for AnswerStream<B> {
    fn poll_ready(&mut self, context: &mut Context<'_>) -> Poll<Result<(), StreamErrorIncoming>> {
        if let Some(data) = &mut self.pending_write {
            while data.has_remaining() {
                let stream = Pin::new(&mut self.stream);
                let written =
                    ready!(stream.poll_write(context, data.chunk())).map_err(write_error)?;
                data.advance(written);
            }
        }
        self.pending_write = None;
        Poll::Ready(Ok(()))
    }

    fn send_data<T: Into<WriteBuf<B>>>(&mut self, data: T) -> Result<(), StreamErrorIncoming> {
        if self.pending_write.is_some() {
            return Err(internal_error("data sent before the stream was ready"));
        }
        self.pending_write = Some(data.into());
        Ok(())
    }

    fn poll_finish(&mut self, _: &mut Context<'_>) -> Poll<Result<(), StreamErrorIncoming>> {
        self.ended = true;
        let finished = self.stream.finish();
        Poll::Ready(finished.map_err(|error| StreamErrorIncoming::Unknown(Box::new(error))))
    }

    fn reset(&mut self, code: u64) {
        self.ended = true;
        let code = VarInt::from_u64(code).unwrap_or(VarInt::MAX);
        // Fails only when the stream is closed, and then no reset is needed.
        let _ = self.stream.reset(code);
    }

    fn send_id(&self) -> StreamId {
        stream_id(self.stream.id())
    }
}

impl<B: Buf> Drop for AnswerStream<B> {
    fn drop(&mut self) {
        if !self.ended {
            quic::SendStream::<B>::reset(self, Code::H3_INTERNAL_ERROR.value());
        }
    }
}

/// The receiving half of a request stream.
pub(super) struct BodyStream {
    stream: quinn::RecvStream,
    buffer: BytesMut,
}

impl BodyStream {
    fn new(stream: quinn::RecvStream) -> Self {
        Self {
            stream,
            buffer: BytesMut::new(),
        }
    }
}

impl quic::RecvStream for BodyStream {
    type Buf = Bytes;

    fn poll_data(
        &mut self,
        context: &mut Context<'_>,
    ) -> Poll<Result<Option<Bytes>, StreamErrorIncoming>> {
        self.buffer.resize(READ_CHUNK_LENGTH, 0);
        let mut read = ReadBuf::new(&mut self.buffer);
        ready!(self.stream.poll_read_buf(context, &mut read)).map_err(read_error)?;
        let length = read.filled().len();
        if length == 0 {
            return Poll::Ready(Ok(None));
        }
        Poll::Ready(Ok(Some(self.buffer.split_to(length).freeze())))
    }

    fn stop_sending(&mut self, code: u64) {
        let code = VarInt::from_u64(code).unwrap_or(VarInt::MAX);
        // Fails only when the stream was read to its end, and then nothing
        // needs to be stopped.
        let _ = self.stream.stop(code);
    }

    fn recv_id(&self) -> StreamId {
        stream_id(self.stream.id())
    }
}

impl Drop for BodyStream {
    fn drop(&mut self) {
        quic::RecvStream::stop_sending(self, Code::H3_NO_ERROR.value());
    }
}

fn stream_id(id: quinn::StreamId) -> StreamId {
    let number = u64::from(VarInt::from(id));
    StreamId::try_from(number).expect("both libraries number streams alike")
}

fn server_cannot_open_requests() -> StreamErrorIncoming {
    internal_error("a server opens no request streams")
}

fn internal_error(message: &str) -> StreamErrorIncoming {
    StreamErrorIncoming::ConnectionErrorIncoming {
        connection_error: ConnectionErrorIncoming::InternalError(message.to_owned()),
    }
}

fn connection_error(error: ConnectionError) -> ConnectionErrorIncoming {
    match error {
        ConnectionError::ApplicationClosed(close) => ConnectionErrorIncoming::ApplicationClose {
            error_code: close.error_code.into_inner(),
        },
        ConnectionError::TimedOut => ConnectionErrorIncoming::Timeout,
        other => ConnectionErrorIncoming::Undefined(Arc::new(other)),
    }
}

fn connection_lost(error: ConnectionError) -> StreamErrorIncoming {
    StreamErrorIncoming::ConnectionErrorIncoming {
        connection_error: connection_error(error),
    }
}

fn read_error(error: ReadError) -> StreamErrorIncoming {
    match error {
        ReadError::Reset(code) => StreamErrorIncoming::StreamTerminated {
            error_code: code.into_inner(),
        },
        ReadError::ConnectionLost(error) => connection_lost(error),
        other => StreamErrorIncoming::Unknown(Box::new(other)),
    }
}

fn write_error(error: WriteError) -> StreamErrorIncoming {
    match error {
        WriteError::Stopped(code) => StreamErrorIncoming::StreamTerminated {
            error_code: code.into_inner(),
        },
        WriteError::ConnectionLost(error) => connection_lost(error),
        other => StreamErrorIncoming::Unknown(Box::new(other)),
    }
}
