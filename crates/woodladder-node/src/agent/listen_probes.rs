//! Listen probes: connection attempts that show whether anything listens at the target's
//! address.

use std::io;
use std::rc::Rc;
use std::time::Duration;

use tokio::io::AsyncReadExt;
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};
use woodladder_core::flow::agent::{Heartbeat, ListenState};

use super::AgentNode;
use crate::packet_codec::PacketCodec;

/// Pause between two listen probes, which check whether the target accepts connections.
const LISTEN_PROBE_INTERVAL: Duration = Duration::from_millis(300);
/// Time between two listen probes of a target that has deregistered and is about to end.
const END_PROBE_INTERVAL: Duration = Duration::from_millis(50);
/// Longest wait for the end of a target that has said that it is about to end.
const END_WATCH_LIMIT: Duration = Duration::from_secs(10);
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

    /// Makes listen probes whenever the core needs them. A target that is about to end is
    /// probed more often, so that the moment at which nothing listens is seen even if the
    /// next start follows at once.
    pub(super) async fn run_listen_probes(self: Rc<Self>) {
        loop {
            while self.core.borrow().needs_listen_probe() {
                let listen_state = self.probe_listen_state().await;
                self.core.borrow_mut().record_listen_state(listen_state);
                let interval = if self.core.borrow().is_end_near() {
                    END_PROBE_INTERVAL
                } else {
                    LISTEN_PROBE_INTERVAL
                };
                sleep(interval).await;
            }
            self.target_spoke.notified().await;
        }
    }

    /// Waits, on a connection to a target that has said that it is about to end, until the
    /// target's process closes it. A next start may listen sooner than a probe comes.
    pub(super) async fn watch_end(self: Rc<Self>) {
        let connect = TcpStream::connect(self.config.target_address);
        let Ok(Ok(mut connection)) = timeout(LISTEN_PROBE_TIMEOUT, connect).await else {
            return;
        };
        let mut unexpected = [0; 1];
        let read = timeout(END_WATCH_LIMIT, connection.read(&mut unexpected)).await;
        if matches!(read, Ok(Ok(0) | Err(_))) {
            self.core.borrow_mut().record_closed_connection();
            self.leaving_record_due.notify_one();
        }
    }

    /// Makes a listen probe before a heartbeat that only the state of the address can
    /// tell from a late one.
    pub(super) async fn probe_before(&self, heartbeat: &Heartbeat) {
        if self.core.borrow().needs_listen_probe_before(heartbeat) {
            let listen_state = self.probe_listen_state().await;
            self.core.borrow_mut().record_listen_state(listen_state);
        }
    }
}
