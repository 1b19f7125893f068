//! The UDP socket for control messages, one message in each datagram.

use std::io;
use std::net::SocketAddr;

use tokio::net::UdpSocket;
use woodladder_core::control::control_message::{
    ControlMessage, FrameError, MAXIMUM_DATAGRAM_LENGTH,
};
use woodladder_core::packets::keyed_tag::TagKey;

/// Size in bytes of the receive buffer: one more than the longest valid datagram, so
/// that longer datagrams are detected instead of truncated to a valid length.
const BUFFER_LENGTH: usize = MAXIMUM_DATAGRAM_LENGTH + 1;

/// A UDP socket that sends and receives authenticated control messages.
pub struct ControlSocket {
    socket: UdpSocket,
    address: SocketAddr,
    key: TagKey,
}

/// A received datagram.
#[derive(Debug)]
pub struct ReceivedDatagram {
    /// Address of the sender.
    pub from: SocketAddr,
    /// The decoded message, or why it was rejected.
    pub message: Result<ControlMessage, FrameError>,
}

impl ControlSocket {
    /// Binds a socket for messages that are authenticated with this key.
    ///
    /// # Errors
    /// The system's error when the address cannot be bound.
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

    /// Sends a message. Control messages may be lost anyway, so a datagram that
    /// cannot be sent is dropped without an error.
    pub fn send(&self, to: SocketAddr, message: &ControlMessage) {
        if let Ok(frame) = message.encode(&self.key) {
            let _ = self.socket.try_send_to(&frame, to);
        }
    }

    /// Waits for the next datagram.
    pub async fn receive(&self) -> ReceivedDatagram {
        let mut buffer = [0; BUFFER_LENGTH];
        loop {
            if let Ok((length, from)) = self.socket.recv_from(&mut buffer).await {
                let message = ControlMessage::decode(&self.key, &buffer[..length]);
                return ReceivedDatagram { from, message };
            }
        }
    }
}
