//! A back end whose answers a test writes byte by byte.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::mpsc;
use tokio::time::timeout;

use super::{ANY_PORT, within};

const HEAD_END: &[u8] = b"\r\n\r\n";

pub struct BackEnd {
    pub address: SocketAddr,
    exchanges: mpsc::UnboundedReceiver<Exchange>,
}

/// A request on its own connection, with its head read.
pub struct Exchange {
    pub head: String,
    stream: TcpStream,
    buffered: Vec<u8>,
}

impl BackEnd {
    pub async fn start() -> Self {
        Self::start_at(ANY_PORT).await
    }

    pub async fn start_at(address: SocketAddr) -> Self {
        let listener = TcpListener::bind(address).await.unwrap();
        let address = listener.local_addr().unwrap();
        let (sender, exchanges) = mpsc::unbounded_channel();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let sender = sender.clone();
                tokio::spawn(async move {
                    if let Some(exchange) = Exchange::read(stream).await {
                        let _ = sender.send(exchange);
                    }
                });
            }
        });
        Self { address, exchanges }
    }

    /// A back end that refuses connections: nothing listens on its address.
    pub async fn refusing_connections() -> Self {
        let listener = TcpListener::bind(ANY_PORT).await.unwrap();
        let (_, exchanges) = mpsc::unbounded_channel();
        Self {
            address: listener.local_addr().unwrap(),
            exchanges,
        }
    }

    /// A back end whose backlog of connections is full, so that connecting to
    /// it never completes.
    pub async fn with_full_backlog() -> Self {
        let socket = TcpSocket::new_v4().unwrap();
        socket.bind(ANY_PORT).unwrap();
        let listener = socket.listen(1).unwrap();
        let address = listener.local_addr().unwrap();
        let mut waiting = Vec::new();
        let short = Duration::from_millis(100);
        while let Ok(stream) = timeout(short, TcpStream::connect(address)).await {
            waiting.push(stream.unwrap());
        }
        tokio::spawn(async move {
            std::future::pending::<()>().await;
            drop((listener, waiting));
        });
        let (_, exchanges) = mpsc::unbounded_channel();
        Self { address, exchanges }
    }

    pub async fn next(&mut self) -> Exchange {
        within("a request at the back end", self.exchanges.recv())
            .await
            .unwrap()
    }

    /// Whether every request that arrived was taken with `next`.
    pub fn is_idle(&mut self) -> bool {
        self.exchanges.try_recv().is_err()
    }
}

impl Exchange {
    async fn read(mut stream: TcpStream) -> Option<Self> {
        let mut buffered = Vec::new();
        loop {
            if let Some(end) = find(&buffered, HEAD_END) {
                let rest = buffered.split_off(end + HEAD_END.len());
                return Some(Self {
                    head: String::from_utf8(buffered).unwrap(),
                    stream,
                    buffered: rest,
                });
            }
            if stream.read_buf(&mut buffered).await.ok()? == 0 {
                return None;
            }
        }
    }

    pub fn header(&self, name: &str) -> Option<&str> {
        self.head.lines().find_map(|line| {
            let (key, value) = line.split_once(':')?;
            key.eq_ignore_ascii_case(name).then(|| value.trim())
        })
    }

    pub async fn body(&mut self, length: usize) -> Vec<u8> {
        let read = async {
            while self.buffered.len() < length {
                let count = self.stream.read_buf(&mut self.buffered).await.unwrap();
                assert_ne!(count, 0, "the request's body ended early");
            }
        };
        within("the request's body", read).await;
        self.buffered.drain(..length).collect()
    }

    pub async fn write(&mut self, bytes: &[u8]) {
        self.stream.write_all(bytes).await.unwrap();
    }

    /// Writes a complete answer and closes the connection.
    pub async fn answer(mut self, body: &str) {
        let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n", body.len());
        self.write(head.as_bytes()).await;
        self.write(body.as_bytes()).await;
    }

    /// Writes the head of an event stream.
    pub async fn begin_feed(&mut self) {
        let head = "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n\
                    transfer-encoding: chunked\r\n\r\n";
        self.write(head.as_bytes()).await;
    }

    pub async fn write_chunk(&mut self, chunk: &str) {
        let framed = format!("{:x}\r\n{chunk}\r\n", chunk.len());
        self.write(framed.as_bytes()).await;
    }

    /// Waits until the agent has closed the connection.
    pub async fn closed(&mut self) {
        let read = async {
            let mut rest = [0; 256];
            while matches!(self.stream.read(&mut rest).await, Ok(count) if count > 0) {}
        };
        within("the back end's connection", read).await;
    }
}

fn find(bytes: &[u8], pattern: &[u8]) -> Option<usize> {
    bytes
        .windows(pattern.len())
        .position(|window| window == pattern)
}
