//! Listen probes: connection attempts that show whether anything listens at the target's
//! address.

use std::io;
use std::rc::Rc;
use std::time::Duration;

use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};
use woodladder_core::flow::agent::ListenState;

use super::AgentNode;
use crate::packet_codec::PacketCodec;

/// Pause between two listen probes, which check whether the target accepts connections.
const LISTEN_PROBE_INTERVAL: Duration = Duration::from_millis(300);
/// Time limit for a listen probe.
const LISTEN_PROBE_TIMEOUT: Duration = Duration::from_millis(300);
impl<C: PacketCodec + 'static> AgentNode<C> {
    pub(super) async fn probe_listen_state(&self) -> ListenState {
        let connect = TcpStream::connect(self.config.target_address);
        match timeout(LISTEN_PROBE_TIMEOUT, connect).await {
            Ok(Ok(_)) => ListenState::Listening,
            Ok(Err(error)) if error.kind() == io::ErrorKind::ConnectionRefused => {
                ListenState::NotListening
            }
            _ => ListenState::Unknown,
        }
    }

    /// Makes listen probes whenever the core needs them.
    pub(super) async fn run_listen_probes(self: Rc<Self>) {
        loop {
            while self.core.borrow().needs_listen_probe() {
                let listen_state = self.probe_listen_state().await;
                self.core.borrow_mut().record_listen_state(listen_state);
                sleep(LISTEN_PROBE_INTERVAL).await;
            }
            self.target_spoke.notified().await;
        }
    }
}
