//! A scripted HTTP/3 server, in the place of an agent, for the tests of the caller.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};

use bytes::Bytes;
use h3::error::Code;
use h3::server::RequestStream;
use h3_quinn::BidiStream;
use http::Response;
use quinn::crypto::rustls::QuicServerConfig;
use rustls::pki_types::{CertificateDer, PrivateKeyDer};
use tokio::sync::watch;
use woodladder_lab::stand_in::answer;
use woodladder_lab::stand_in::operation::OperationId;
use woodladder_lab::stand_in::socket::bind_std_udp;

/// What the server does with one request. Without a step left it answers.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Step {
    Answer,
    AnswerOfAnother,
    NotRun,
    Unknown,
    Error,
    Reject,
    Reset,
    EndInTheMiddle,
    ResetInTheMiddle,
    CloseConnection,
    Silence,
}

type Stream = RequestStream<BidiStream<Bytes>, Bytes>;

/// A running server.
pub struct H3Server {
    pub address: SocketAddr,
    pub certificate: CertificateDer<'static>,
    script: Arc<Mutex<VecDeque<Step>>>,
    going_away: watch::Sender<bool>,
    paths: Arc<Mutex<Vec<String>>>,
    endpoint: quinn::Endpoint,
}

#[derive(Clone)]
struct Shared {
    service: String,
    script: Arc<Mutex<VecDeque<Step>>>,
    paths: Arc<Mutex<Vec<String>>>,
}

impl H3Server {
    pub fn start(service: &str, steps: &[Step]) -> Self {
        let certified = rcgen::generate_simple_self_signed(vec!["woodladder.test".to_owned()])
            .expect("certificate");
        let certificate = certified.cert.der().clone();
        let key = PrivateKeyDer::Pkcs8(certified.signing_key.serialize_der().into());
        let provider = Arc::new(rustls::crypto::ring::default_provider());
        let mut tls = rustls::ServerConfig::builder_with_provider(provider)
            .with_protocol_versions(&[&rustls::version::TLS13])
            .expect("versions")
            .with_no_client_auth()
            .with_single_cert(vec![certificate.clone()], key)
            .expect("key");
        tls.alpn_protocols = vec![b"h3".to_vec()];
        let crypto = QuicServerConfig::try_from(tls).expect("QUIC");
        let config = quinn::ServerConfig::with_crypto(Arc::new(crypto));
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        let socket = bind_std_udp(any).expect("socket");
        let runtime = Arc::new(quinn::TokioRuntime);
        let endpoint = quinn::Endpoint::new(
            quinn::EndpointConfig::default(),
            Some(config),
            socket,
            runtime,
        )
        .expect("endpoint");
        let server = Self {
            address: endpoint.local_addr().expect("address"),
            certificate,
            script: Arc::new(Mutex::new(steps.iter().copied().collect())),
            going_away: watch::Sender::new(false),
            paths: Arc::default(),
            endpoint,
        };
        let shared = Shared {
            service: service.to_owned(),
            script: Arc::clone(&server.script),
            paths: Arc::clone(&server.paths),
        };
        tokio::spawn(accept(
            server.endpoint.clone(),
            shared,
            server.going_away.subscribe(),
        ));
        server
    }

    /// Sends GOAWAY on all connections that are open now.
    pub fn go_away(&self) {
        self.going_away.send_replace(true);
        self.going_away.send_replace(false);
    }

    /// Paths of the requests so far.
    pub fn paths(&self) -> Vec<String> {
        self.paths.lock().expect("paths").clone()
    }

    /// Closes all connections without a word.
    pub fn close(&self) {
        self.endpoint.close(quinn::VarInt::from_u32(0x101), b"");
    }
}

async fn accept(endpoint: quinn::Endpoint, shared: Shared, going_away: watch::Receiver<bool>) {
    while let Some(incoming) = endpoint.accept().await {
        let shared = shared.clone();
        let going_away = going_away.clone();
        tokio::spawn(async move {
            if let Ok(quic) = incoming.await {
                serve(quic, shared, going_away).await;
            }
        });
    }
}

async fn serve(quic: quinn::Connection, shared: Shared, mut going_away: watch::Receiver<bool>) {
    going_away.mark_unchanged();
    let mut connection = h3::server::builder()
        .build::<_, Bytes>(h3_quinn::Connection::new(quic.clone()))
        .await
        .expect("HTTP/3");
    let mut leaving = false;
    loop {
        let accepted = tokio::select! {
            accepted = connection.accept() => accepted,
            _ = going_away.changed(), if !leaving => {
                leaving = true;
                let _ = connection.shutdown(0).await;
                continue;
            }
        };
        let Ok(Some(resolver)) = accepted else {
            // The connection lasts until the caller closes it: a request under way is
            // rejected as not processed rather than cut off.
            if leaving && stays_open(&quic).await {
                continue;
            }
            return;
        };
        let shared = shared.clone();
        let quic = quic.clone();
        tokio::spawn(async move {
            if let Ok((request, stream)) = resolver.resolve_request().await {
                respond(request.uri().path(), stream, &shared, &quic).await;
            }
        });
    }
}

/// Waits a moment; says whether the connection is still open.
async fn stays_open(quic: &quinn::Connection) -> bool {
    const LOOK_AGAIN: std::time::Duration = std::time::Duration::from_millis(5);
    tokio::time::timeout(LOOK_AGAIN, quic.closed())
        .await
        .is_err()
}

async fn respond(path: &str, mut stream: Stream, shared: &Shared, quic: &quinn::Connection) {
    shared.paths.lock().expect("paths").push(path.to_owned());
    let step = shared.script.lock().expect("script").pop_front();
    if path == "/feed" && step.is_none_or(|step| step == Step::Answer) {
        feed(&mut stream, &shared.service).await;
        return;
    }
    let number = path.rsplit('/').next().and_then(|id| id.parse().ok());
    let id = OperationId(number.unwrap_or(0));
    let body = answer::encode(id, &shared.service, 1_000);
    let half = body.slice(..body.len() / 2);
    match step.unwrap_or(Step::Answer) {
        Step::Answer => whole(&mut stream, 200, None, body).await,
        Step::AnswerOfAnother => {
            let other = answer::encode(OperationId(id.0 + 1), &shared.service, 10);
            whole(&mut stream, 200, None, other).await;
        }
        Step::NotRun => whole(&mut stream, 503, Some("not-run"), Bytes::new()).await,
        Step::Unknown => whole(&mut stream, 504, Some("unknown"), Bytes::new()).await,
        Step::Error => whole(&mut stream, 404, None, Bytes::new()).await,
        Step::Reject => stop(&mut stream, Code::H3_REQUEST_REJECTED),
        Step::Reset => stop(&mut stream, Code::H3_INTERNAL_ERROR),
        Step::EndInTheMiddle => whole(&mut stream, 200, None, half).await,
        Step::ResetInTheMiddle => {
            let _ = stream.send_response(Response::new(())).await;
            let _ = stream.send_data(half).await;
            stop(&mut stream, Code::H3_INTERNAL_ERROR);
        }
        Step::CloseConnection => quic.close(quinn::VarInt::from_u32(0x102), b""),
        Step::Silence => std::future::pending().await,
    }
}

fn stop(stream: &mut Stream, code: Code) {
    stream.stop_sending(code);
    stream.stop_stream(code);
}

async fn whole(stream: &mut Stream, status: u16, outcome: Option<&str>, body: Bytes) {
    let mut head = Response::builder().status(status);
    if let Some(outcome) = outcome {
        head = head.header("woodladder-outcome", outcome);
    }
    if outcome == Some("not-run") {
        head = head.header("retry-after", "0");
    }
    let _ = stream.send_response(head.body(()).expect("head")).await;
    let _ = stream.send_data(body).await;
    let _ = stream.finish().await;
}

async fn feed(stream: &mut Stream, service: &str) {
    let _ = stream.send_response(Response::new(())).await;
    for number in 0u64.. {
        let tick = format!("data: {service} {number}\n\n");
        if stream.send_data(Bytes::from(tick)).await.is_err() {
            return;
        }
        tokio::time::sleep(std::time::Duration::from_millis(2)).await;
    }
}
