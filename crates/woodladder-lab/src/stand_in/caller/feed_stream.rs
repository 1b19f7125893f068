//! One established feed on one connection.

use std::sync::Arc;

use bytes::Buf;
use h3::error::StreamError;
use http::{Method, Request};
use tokio::time::timeout;

use super::connection::{Connection, NoConnection};
use super::exchange::{self, ExchangeFailure, Stream};
use super::interpret::retry_after_ms;
use super::outcome::{NotRunReason, Outcome, UnknownReason};
use super::outcome_log::FeedBreak;
use super::tick::{Tick, TickParser};
use super::{CONNECTIONS_PER_ATTEMPT, Caller, CallerConfig};
use crate::stand_in::headers;

const FEED_PATH: &str = "/feed";

pub(super) struct FeedStream {
    connection: Arc<Connection>,
    stream: Stream,
    parser: TickParser,
}

impl FeedStream {
    /// Opens a feed; it is established once the head of a successful answer has come.
    pub(super) async fn open(caller: &Caller) -> Result<Self, Outcome> {
        for _ in 0..CONNECTIONS_PER_ATTEMPT {
            let connection = match caller.connection().await {
                Ok(connection) => connection,
                Err(NoConnection) => return Err(Outcome::not_run(NotRunReason::NoConnection)),
            };
            let Some(request) = request(caller) else {
                return Err(Outcome::not_run(NotRunReason::NotSent));
            };
            let limit = caller.config().request_timeout;
            let opening = Self::open_on(Arc::clone(&connection), request);
            match timeout(limit, opening).await {
                Ok(Ok(feed)) => return Ok(feed),
                Ok(Err(ExchangeFailure::NotSent)) => caller.discard(&connection).await,
                Ok(Err(ExchangeFailure::Failed(outcome))) => return Err(outcome),
                Err(_) => {
                    return Err(Outcome::Unknown {
                        reason: UnknownReason::TimedOut,
                    });
                }
            }
        }
        Err(Outcome::not_run(NotRunReason::NotSent))
    }

    async fn open_on(
        connection: Arc<Connection>,
        request: Request<()>,
    ) -> Result<Self, ExchangeFailure> {
        let mut stream = exchange::open(&connection, request).await?;
        // A failure shows when the answer is read.
        let _ = stream.finish().await;
        let head = stream
            .recv_response()
            .await
            .map_err(|error| exchange::failure(&error))?;
        if !head.status().is_success() {
            return Err(ExchangeFailure::Failed(refusal(&head)));
        }
        Ok(Self {
            connection,
            stream,
            parser: TickParser::default(),
        })
    }

    /// The next tick. May be dropped and called again without losing any.
    pub(super) async fn next(&mut self) -> Result<Tick, FeedBreak> {
        loop {
            if let Some(tick) = self.parser.next() {
                return Ok(tick);
            }
            match self.stream.recv_data().await {
                Ok(Some(mut piece)) => {
                    let bytes = piece.copy_to_bytes(piece.remaining());
                    self.parser.push(&bytes);
                }
                Ok(None) => return Err(FeedBreak::EndedByServer),
                Err(StreamError::ConnectionError(_)) => return Err(FeedBreak::ConnectionLost),
                Err(_) => return Err(FeedBreak::StreamReset),
            }
        }
    }

    /// The connection which carries the feed.
    pub(super) fn connection(&self) -> Arc<Connection> {
        Arc::clone(&self.connection)
    }

    /// Ends the feed from the caller's side.
    pub(super) fn cancel(self) {
        exchange::cancel(self.stream);
    }
}

fn request(caller: &Caller) -> Option<Request<()>> {
    let config: &CallerConfig = caller.config();
    Request::builder()
        .method(Method::GET)
        .uri(caller.uri(FEED_PATH))
        .header(headers::INTENDED_SERVICE, &config.service)
        .body(())
        .ok()
}

fn refusal(head: &http::Response<()>) -> Outcome {
    match headers::text(head.headers(), headers::OUTCOME) {
        Some(headers::OUTCOME_NOT_RUN) => Outcome::NotRun {
            reason: NotRunReason::Told,
            retry_after_ms: retry_after_ms(head.headers()),
        },
        Some(headers::OUTCOME_UNKNOWN) => Outcome::Unknown {
            reason: UnknownReason::Told,
        },
        _ => Outcome::Refused {
            status: head.status().as_u16(),
        },
    }
}
