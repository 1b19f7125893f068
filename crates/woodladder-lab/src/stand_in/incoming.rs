//! Accepts connections of an HTTP server, or has them refused while its gate is shut.

use std::fmt;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use socket2::{Domain, Protocol, Socket, Type};
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::time::sleep;
use volo::net::conn::Conn;
use volo::net::incoming::{Incoming, MakeIncoming};

use super::gate::Gate;

/// Connections that may wait to be accepted.
const BACKLOG: i32 = 1_024;

/// Pause before another try to listen.
const LISTEN_RETRY: Duration = Duration::from_millis(10);

/// A port that stays taken while nobody listens on it, so that connections to it are refused.
pub(super) struct PortReservation {
    _socket: Socket,
    address: SocketAddr,
}

impl PortReservation {
    /// Takes a port; port 0 takes a free one.
    pub(super) fn take(address: SocketAddr) -> io::Result<Self> {
        let socket = bind_shared(address)?;
        let bound = socket
            .local_addr()?
            .as_socket()
            .ok_or(io::ErrorKind::Unsupported)?;
        Ok(Self {
            _socket: socket,
            address: bound,
        })
    }

    pub(super) fn address(&self) -> SocketAddr {
        self.address
    }

    fn listen(&self) -> io::Result<TcpListener> {
        let socket = bind_shared(self.address)?;
        socket.listen(BACKLOG)?;
        TcpListener::from_std(socket.into())
    }
}

fn bind_shared(address: SocketAddr) -> io::Result<Socket> {
    let socket = Socket::new(
        Domain::for_address(address),
        Type::STREAM,
        Some(Protocol::TCP),
    )?;
    socket.set_nonblocking(true)?;
    // Sockets may share a port as long as none of them listens, so a listener of another process
    // is still noticed.
    socket.set_reuse_address(true)?;
    socket.bind(&address.into())?;
    Ok(socket)
}

/// Connections as they come, until the server stops.
pub(super) struct GatedIncoming {
    reservation: Option<PortReservation>,
    listener: Option<TcpListener>,
    gate: Gate,
    listening: watch::Receiver<bool>,
}

impl GatedIncoming {
    pub(super) fn open(
        reservation: PortReservation,
        gate: Gate,
        listening: watch::Receiver<bool>,
    ) -> io::Result<Self> {
        Ok(Self {
            listener: Some(reservation.listen()?),
            reservation: Some(reservation),
            gate,
            listening,
        })
    }

    /// Listens again; while that fails, keeps trying.
    async fn listen_again(&mut self) {
        match self.reservation.as_ref().map(PortReservation::listen) {
            Some(Ok(listener)) => self.listener = Some(listener),
            Some(Err(_)) => sleep(LISTEN_RETRY).await,
            None => {}
        }
    }
}

impl fmt::Debug for GatedIncoming {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter
            .debug_struct("GatedIncoming")
            .finish_non_exhaustive()
    }
}

impl MakeIncoming for GatedIncoming {
    type Incoming = Self;

    async fn make_incoming(self) -> io::Result<Self> {
        Ok(self)
    }
}

/// What an accepting server waits for.
enum Event {
    Stopped,
    Shut,
    Opened,
    Accepted(io::Result<Conn>),
}

impl GatedIncoming {
    async fn next_event(&mut self) -> Event {
        let stopped = async {
            // An error means that the server is gone, which stops it as well.
            let _ = self.listening.wait_for(|listening| !listening).await;
        };
        tokio::select! {
            biased;
            () = stopped => Event::Stopped,
            () = self.gate.wait_shut(), if self.listener.is_some() => Event::Shut,
            () = self.gate.wait_open(), if self.listener.is_none() => Event::Opened,
            accepted = accept(self.listener.as_ref()) => Event::Accepted(accepted),
        }
    }
}

impl Incoming for GatedIncoming {
    async fn accept(&mut self) -> io::Result<Option<Conn>> {
        loop {
            match self.next_event().await {
                Event::Accepted(accepted) => return accepted.map(Some),
                Event::Shut => self.listener = None,
                Event::Opened => self.listen_again().await,
                Event::Stopped => {
                    self.listener = None;
                    self.reservation = None;
                    // The server has no other way to stop accepting.
                    return std::future::pending().await;
                }
            }
        }
    }
}

async fn accept(listener: Option<&TcpListener>) -> io::Result<Conn> {
    let Some(listener) = listener else {
        return std::future::pending().await;
    };
    let (stream, _) = listener.accept().await?;
    stream.set_nodelay(true)?;
    Ok(Conn::from(stream))
}
