//! A plain HTTP client for the tests of the stand-ins.

#![allow(dead_code, reason = "each test binary uses a part")]

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, Method, StatusCode};
use serde::de::DeserializeOwned;
use volo_http::body::BodyConversion;
use volo_http::client::{Client, ClientBuilder};
use volo_http::response::Response;

/// Limit for conditions to come true.
pub const PATIENCE: Duration = Duration::from_secs(20);

/// An answer read to its end.
#[derive(Debug)]
pub struct Answer {
    pub status: StatusCode,
    pub headers: HeaderMap,
    pub body: Bytes,
}

impl Answer {
    pub fn json<T: DeserializeOwned>(&self) -> T {
        serde_json::from_slice(&self.body).expect("JSON body")
    }

    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name)?.to_str().ok()
    }
}

/// No whole answer came.
#[derive(Debug)]
pub struct NoAnswer;

pub struct HttpClient(Client);

impl Default for HttpClient {
    fn default() -> Self {
        Self(ClientBuilder::new().build().expect("HTTP client"))
    }
}

impl HttpClient {
    pub async fn send(
        &self,
        method: Method,
        address: SocketAddr,
        path: &str,
        body: impl Into<Bytes>,
    ) -> Result<Answer, NoAnswer> {
        self.send_with(method, address, path, &[], body).await
    }

    pub async fn send_with(
        &self,
        method: Method,
        address: SocketAddr,
        path: &str,
        headers: &[(&'static str, String)],
        body: impl Into<Bytes>,
    ) -> Result<Answer, NoAnswer> {
        let mut request = self.0.request(method, format!("http://{address}{path}"));
        for (name, value) in headers {
            request = request.header(*name, value.as_str());
        }
        let response: Response = request
            .data(body.into())
            .send()
            .await
            .map_err(|_| NoAnswer)?;
        let (parts, body) = response.into_parts();
        let body = body.into_bytes().await.map_err(|_| NoAnswer)?;
        Ok(Answer {
            status: parts.status,
            headers: parts.headers,
            body,
        })
    }

    pub async fn get(&self, address: SocketAddr, path: &str) -> Result<Answer, NoAnswer> {
        self.send(Method::GET, address, path, "").await
    }

    pub async fn put(
        &self,
        address: SocketAddr,
        path: &str,
        body: impl Into<Bytes>,
    ) -> Result<Answer, NoAnswer> {
        self.send(Method::PUT, address, path, body).await
    }
}

/// Waits until the condition holds; panics when it does not within the limit.
pub async fn eventually(what: &str, mut condition: impl FnMut() -> bool) {
    let deadline = tokio::time::Instant::now() + PATIENCE;
    while !condition() {
        assert!(
            tokio::time::Instant::now() < deadline,
            "not in time: {what}"
        );
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}
