//! HTTP towards the stand-ins' administrative interfaces and nodes' endpoints.

use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

use http::{Method, StatusCode};
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::time::{Instant, sleep, timeout};
use volo_http::body::BodyConversion;
use volo_http::client::{Client, ClientBuilder};
use volo_http::response::Response;

const REQUEST_LIMIT: Duration = Duration::from_secs(10);
const POLL_PERIOD: Duration = Duration::from_millis(50);

/// Why an administrative request failed.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum AdministrationError {
    /// No answer came.
    NoAnswer,
    /// The answer was not a success.
    Status(StatusCode),
    /// The answer's body could not be read.
    Body(String),
}

/// Client for administrative requests.
#[derive(Clone)]
pub struct Administration {
    client: Client,
}

impl Administration {
    /// A client.
    ///
    /// # Errors
    /// When the HTTP library refuses to make one.
    pub fn new() -> Result<Self, AdministrationError> {
        let client = ClientBuilder::new()
            .build()
            .map_err(|error| AdministrationError::Body(error.to_string()))?;
        Ok(Self { client })
    }

    /// Reads a JSON value.
    ///
    /// # Errors
    /// [`AdministrationError`] when it cannot be had.
    pub async fn read<T: DeserializeOwned>(
        &self,
        address: SocketAddr,
        path: &str,
    ) -> Result<T, AdministrationError> {
        let answer = self.send(Method::GET, address, path, String::new()).await?;
        let text = answer
            .into_string()
            .await
            .map_err(|error| AdministrationError::Body(error.to_string()))?;
        serde_json::from_str(&text).map_err(|error| AdministrationError::Body(error.to_string()))
    }

    /// Sends a command without a body.
    ///
    /// # Errors
    /// [`AdministrationError`] when it was not carried out.
    pub async fn command(
        &self,
        address: SocketAddr,
        path: &str,
    ) -> Result<(), AdministrationError> {
        let sent = self.send(Method::PUT, address, path, String::new());
        sent.await.map(|_| ())
    }

    /// Writes a JSON value.
    ///
    /// # Errors
    /// [`AdministrationError`] when it was not taken.
    pub async fn write<T: Serialize>(
        &self,
        address: SocketAddr,
        path: &str,
        value: &T,
    ) -> Result<(), AdministrationError> {
        let text = serde_json::to_string(value)
            .map_err(|error| AdministrationError::Body(error.to_string()))?;
        let sent = self.send(Method::PUT, address, path, text);
        sent.await.map(|_| ())
    }

    /// Waits until a path answers with success; `false` when it does not in time.
    pub async fn wait_ready(&self, address: SocketAddr, path: &str, limit: Duration) -> bool {
        let end = Instant::now() + limit;
        while Instant::now() < end {
            let answer = self.send(Method::GET, address, path, String::new());
            if answer.await.is_ok() {
                return true;
            }
            sleep(POLL_PERIOD).await;
        }
        false
    }

    async fn send(
        &self,
        method: Method,
        address: SocketAddr,
        path: &str,
        body: String,
    ) -> Result<Response, AdministrationError> {
        let uri = format!("http://{address}{path}");
        let request = self.client.request(method, uri).data(body).send();
        match timeout(REQUEST_LIMIT, request).await {
            Ok(Ok(answer)) if answer.status().is_success() => Ok(answer),
            Ok(Ok(answer)) => Err(AdministrationError::Status(answer.status())),
            Ok(Err(_)) | Err(_) => Err(AdministrationError::NoAnswer),
        }
    }
}

impl fmt::Display for AdministrationError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NoAnswer => formatter.write_str("no answer"),
            Self::Status(status) => write!(formatter, "status {status}"),
            Self::Body(reason) => write!(formatter, "unreadable answer: {reason}"),
        }
    }
}

impl std::error::Error for AdministrationError {}
