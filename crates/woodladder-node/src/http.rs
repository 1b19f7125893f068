//! A small HTTP/1.1 server for the endpoints of a node.

use std::convert::Infallible;
use std::future::Future;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{sleep, timeout};

/// Maximum length of a request's body, in bytes.
const MAXIMUM_BODY_LENGTH: usize = 64 << 10;
/// Time after which a connection is closed, even while requests use it.
const CONNECTION_TIMEOUT: Duration = Duration::from_secs(60);
/// Maximum number of open connections of one listener; further ones are closed at once.
const MAXIMUM_CONNECTIONS: usize = 256;
/// Pause after a failed accept.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// A request whose body was received completely.
#[derive(Clone, Debug)]
pub struct HttpRequest {
    /// HTTP method.
    pub method: Method,
    /// Path without the query string.
    pub path: String,
    /// Query string without the question mark; empty when the request has none.
    pub query: String,
    /// Request body.
    pub body: Bytes,
}

/// A response.
#[derive(Clone, Debug)]
pub struct HttpResponse {
    /// Status code.
    pub status: StatusCode,
    /// Media type of the body.
    pub content_type: &'static str,
    /// Response body.
    pub body: String,
}

impl HttpResponse {
    /// Creates a plain-text response.
    #[must_use]
    pub fn text(status: StatusCode, body: impl Into<String>) -> Self {
        Self {
            status,
            content_type: "text/plain; charset=utf-8",
            body: body.into(),
        }
    }

    /// Creates a JSON response.
    #[must_use]
    pub fn json(status: StatusCode, body: impl Into<String>) -> Self {
        Self {
            status,
            content_type: "application/json",
            body: body.into(),
        }
    }
}

/// Serves requests with `handle` until the process ends.
pub async fn serve<F>(listener: TcpListener, handle: impl Fn(HttpRequest) -> F + 'static)
where
    F: Future<Output = HttpResponse> + 'static,
{
    let handle = Rc::new(handle);
    let open_connections = Rc::new(());
    loop {
        match listener.accept().await {
            Ok((stream, _)) if Rc::strong_count(&open_connections) <= MAXIMUM_CONNECTIONS => {
                let handle = Rc::clone(&handle);
                let open_connections = Rc::clone(&open_connections);
                tokio::task::spawn_local(async move {
                    let _ended =
                        timeout(CONNECTION_TIMEOUT, serve_connection(stream, handle)).await;
                    drop(open_connections);
                });
            }
            Ok((stream, _)) => drop(stream),
            Err(_) => sleep(ACCEPT_PAUSE).await,
        }
    }
}

async fn serve_connection<F>(
    stream: TcpStream,
    handle: Rc<impl Fn(HttpRequest) -> F + 'static>,
) -> hyper::Result<()>
where
    F: Future<Output = HttpResponse> + 'static,
{
    let _ignored = stream.set_nodelay(true);
    let service = service_fn(move |request: Request<Incoming>| {
        let handle = Rc::clone(&handle);
        async move { Ok::<_, Infallible>(respond(request, &*handle).await) }
    });
    http1::Builder::new()
        .max_buf_size(16 << 10)
        .serve_connection(TokioIo::new(stream), service)
        .await
}

async fn respond<F>(
    request: Request<Incoming>,
    handle: &impl Fn(HttpRequest) -> F,
) -> Response<Full<Bytes>>
where
    F: Future<Output = HttpResponse>,
{
    let (head, body) = request.into_parts();
    let answer = match Limited::new(body, MAXIMUM_BODY_LENGTH).collect().await {
        Ok(body) => {
            let request = HttpRequest {
                method: head.method,
                path: head.uri.path().to_owned(),
                query: head.uri.query().unwrap_or_default().to_owned(),
                body: body.to_bytes(),
            };
            handle(request).await
        }
        Err(_) => HttpResponse::text(StatusCode::PAYLOAD_TOO_LARGE, "body too large\n"),
    };
    let mut response = Response::new(Full::new(Bytes::from(answer.body)));
    *response.status_mut() = answer.status;
    response.headers_mut().insert(
        hyper::header::CONTENT_TYPE,
        hyper::header::HeaderValue::from_static(answer.content_type),
    );
    response
}
