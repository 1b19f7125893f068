//! An HTTP/3 client.

use std::net::{SocketAddr, UdpSocket};
use std::sync::Arc;

use bytes::{Buf as _, Bytes};
use h3::client::{RequestStream, SendRequest};
use h3::error::StreamError;
use http::{Request, Response};
use quinn::crypto::rustls::QuicClientConfig;
use rustls::RootCertStore;
use rustls::pki_types::CertificateDer;
use tokio::task::JoinHandle;

use super::{ANY_PORT, LOCALHOST, within};

pub type Stream = RequestStream<h3_quinn::BidiStream<Bytes>, Bytes>;

pub struct Caller {
    pub connection: quinn::Connection,
    endpoint: quinn::Endpoint,
    sender: SendRequest<h3_quinn::OpenStreams, Bytes>,
    driver: JoinHandle<()>,
}

impl Caller {
    pub async fn connect(
        service: SocketAddr,
        chain: &[CertificateDer<'static>],
    ) -> Result<Self, quinn::ConnectionError> {
        Self::connect_with(service, chain, true).await
    }

    /// A caller that never reads a GOAWAY and goes on opening requests.
    pub async fn connect_ignoring_goaway(
        service: SocketAddr,
        chain: &[CertificateDer<'static>],
    ) -> Result<Self, quinn::ConnectionError> {
        Self::connect_with(service, chain, false).await
    }

    async fn connect_with(
        service: SocketAddr,
        chain: &[CertificateDer<'static>],
        heeds_goaway: bool,
    ) -> Result<Self, quinn::ConnectionError> {
        let mut endpoint = quinn::Endpoint::client(ANY_PORT).unwrap();
        endpoint.set_default_client_config(config(chain));
        let connecting = endpoint.connect(service, LOCALHOST).unwrap();
        let connection = within("the handshake", connecting).await?;
        let transport = h3_quinn::Connection::new(connection.clone());
        let (mut driver, sender) = h3::client::new(transport).await.unwrap();
        let driver = tokio::spawn(async move {
            if heeds_goaway {
                std::future::poll_fn(|context| driver.poll_close(context)).await;
            } else {
                std::future::pending::<()>().await;
            }
            drop(driver);
        });
        Ok(Self {
            connection,
            endpoint,
            sender,
            driver,
        })
    }

    /// Sends a request with its whole body.
    pub async fn send(&self, request: Request<()>, body: &'static str) -> Stream {
        let mut sender = self.sender.clone();
        let mut stream = sender.send_request(request).await.unwrap();
        if !body.is_empty() {
            stream
                .send_data(Bytes::from_static(body.as_bytes()))
                .await
                .unwrap();
        }
        stream.finish().await.unwrap();
        stream
    }

    /// Sends the head of a request whose body follows.
    pub async fn send_head(&self, request: Request<()>) -> Stream {
        let mut sender = self.sender.clone();
        sender.send_request(request).await.unwrap()
    }

    /// Continues from another local address, as after a change of network.
    pub fn change_address(&self) {
        let socket = UdpSocket::bind(ANY_PORT).unwrap();
        self.endpoint.rebind(socket).unwrap();
    }

    pub async fn get(&self, path: &str) -> Stream {
        self.send(get(path), "").await
    }

    /// Sends a GET request. Fails when the agent has asked for no more
    /// requests.
    pub async fn try_get(&self, path: &str) -> Result<Stream, StreamError> {
        let mut sender = self.sender.clone();
        let mut stream = sender.send_request(get(path)).await?;
        stream.finish().await?;
        Ok(stream)
    }
}

impl Drop for Caller {
    fn drop(&mut self) {
        self.driver.abort();
        self.connection.close(0x100_u32.into(), b"");
    }
}

pub fn get(path: &str) -> Request<()> {
    Request::get(format!("https://{LOCALHOST}{path}"))
        .body(())
        .unwrap()
}

pub async fn head(stream: &mut Stream) -> Response<()> {
    within("the answer's head", stream.recv_response())
        .await
        .unwrap()
}

/// Reads the rest of the body, or returns the error that ended it.
pub async fn body(stream: &mut Stream) -> Result<Vec<u8>, StreamError> {
    let mut whole = Vec::new();
    while let Some(chunk) = next_chunk(stream).await? {
        whole.extend_from_slice(&chunk);
    }
    Ok(whole)
}

pub async fn next_chunk(stream: &mut Stream) -> Result<Option<Vec<u8>>, StreamError> {
    let chunk = within("a part of the answer", stream.recv_data()).await?;
    Ok(chunk.map(|mut chunk| chunk.copy_to_bytes(chunk.remaining()).to_vec()))
}

pub fn field<'a>(response: &'a Response<()>, name: &str) -> Option<&'a str> {
    response.headers().get(name)?.to_str().ok()
}

fn config(chain: &[CertificateDer<'static>]) -> quinn::ClientConfig {
    let mut roots = RootCertStore::empty();
    for certificate in chain {
        roots.add(certificate.clone()).unwrap();
    }
    let provider = Arc::new(rustls::crypto::ring::default_provider());
    let mut tls = rustls::ClientConfig::builder_with_provider(provider)
        .with_protocol_versions(&[&rustls::version::TLS13])
        .unwrap()
        .with_root_certificates(roots)
        .with_no_client_auth();
    tls.alpn_protocols = vec![b"h3".to_vec()];
    quinn::ClientConfig::new(Arc::new(QuicClientConfig::try_from(tls).unwrap()))
}
