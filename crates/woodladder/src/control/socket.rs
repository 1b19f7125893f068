//! The control socket: one message in each datagram.

use std::io;
use std::net::SocketAddr;

use tokio::net::UdpSocket;
use woodladder_core::control::control_message::{
    ControlMessage, FrameError, MAXIMUM_DATAGRAM_LENGTH,
};
use woodladder_core::packets::keyed_tag::TagKey;

/// One byte more than allowed, so that longer datagrams are noticed.
const BUFFER_LENGTH: usize = MAXIMUM_DATAGRAM_LENGTH + 1;

/// A UDP socket for control messages.
pub struct ControlSocket {
    socket: UdpSocket,
    address: SocketAddr,
    key: TagKey,
}

/// A datagram that came.
#[derive(Debug)]
pub struct Received {
    /// Where it came from.
    pub from: SocketAddr,
    /// The message in it.
    pub message: Result<ControlMessage, FrameError>,
}

impl ControlSocket {
    /// Binds a socket for messages under this key.
    ///
    /// # Errors
    /// The system's error.
    pub async fn bind(address: SocketAddr, key: TagKey) -> io::Result<Self> {
        let socket = UdpSocket::bind(address).await?;
        let address = socket.local_addr()?;
        Ok(Self {
            socket,
            address,
            key,
        })
    }

    /// Address that the socket is bound to.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sends a message. Datagrams may be lost anywhere, so one that the system
    /// does not take is lost as well.
    pub fn send(&self, to: SocketAddr, message: &ControlMessage) {
        if let Ok(frame) = message.encode(&self.key) {
            let _ = self.socket.try_send_to(&frame, to);
        }
    }

    /// Waits for a datagram.
    pub async fn receive(&self) -> Received {
        let mut buffer = [0; BUFFER_LENGTH];
        loop {
            if let Ok((length, from)) = self.socket.recv_from(&mut buffer).await {
                let message = ControlMessage::decode(&self.key, &buffer[..length]);
                return Received { from, message };
            }
        }
    }
}
