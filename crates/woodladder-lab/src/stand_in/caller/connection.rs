//! One HTTP/3 connection.

use std::fmt;
use std::future::poll_fn;
use std::task::Poll;

use bytes::Bytes;
use h3::ConnectionState;
use h3::client::SendRequest;
use h3_quinn::OpenStreams;
use tokio::sync::watch;
use tokio::time::timeout;

use super::CallerConfig;
use super::endpoints::CallerEndpoints;

/// A connection could not be established.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) struct NoConnection;

/// An established connection; stays open while it is held.
pub(super) struct Connection {
    quic: quinn::Connection,
    requests: SendRequest<OpenStreams, Bytes>,
    going_away: watch::Receiver<bool>,
}

impl fmt::Debug for Connection {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter
            .debug_struct("Connection")
            .field("id", &self.quic.stable_id())
            .finish_non_exhaustive()
    }
}

impl Connection {
    pub(super) async fn open(
        endpoints: &CallerEndpoints,
        config: &CallerConfig,
    ) -> Result<Self, NoConnection> {
        let opening = Self::establish(endpoints, config);
        match timeout(config.connect_timeout, opening).await {
            Ok(result) => result,
            Err(_) => Err(NoConnection),
        }
    }

    async fn establish(
        endpoints: &CallerEndpoints,
        config: &CallerConfig,
    ) -> Result<Self, NoConnection> {
        let quic = endpoints
            .next()
            .connect(config.service_address, &config.server_name)
            .map_err(|_| NoConnection)?
            .await
            .map_err(|_| NoConnection)?;
        let (mut driver, requests) = h3::client::builder()
            .send_grease(false)
            .build(h3_quinn::Connection::new(quic.clone()))
            .await
            .map_err(|_| NoConnection)?;
        let (going_away, receiver) = watch::channel(false);
        // Ends when the connection does, which happens at the latest when `requests` is dropped.
        tokio::spawn(poll_fn(move |context| {
            let closed = driver.poll_close(context);
            if driver.is_closing() {
                going_away.send_if_modified(|known| !std::mem::replace(known, true));
            }
            match closed {
                Poll::Ready(_) => Poll::Ready(()),
                Poll::Pending => Poll::Pending,
            }
        }));
        Ok(Self {
            quic,
            requests,
            going_away: receiver,
        })
    }

    /// Whether new requests may be sent: the connection is open and the server is not going away.
    pub(super) fn takes_requests(&self) -> bool {
        self.quic.close_reason().is_none() && !*self.going_away.borrow()
    }

    /// A handle to send one request with.
    pub(super) fn requests(&self) -> SendRequest<OpenStreams, Bytes> {
        self.requests.clone()
    }

    /// Waits until the server says that it is going away; never ends when the connection closes
    /// without that.
    pub(super) async fn wait_going_away(&self) {
        let mut going_away = self.going_away.clone();
        if going_away.wait_for(|known| *known).await.is_err() {
            std::future::pending().await
        }
    }
}
