//! Reads the machine list at intervals.

use std::net::SocketAddr;
use std::time::Duration;

use slog::{Logger, debug};
use tokio::sync::{mpsc, watch};
use woodladder_core::control::membership::{ListedMachine, ListedState};

use super::driver::Input;
use crate::store::{Machine, MachineListClient, MachineState};

/// Pause after a reading that failed.
const RETRY_PAUSE: Duration = Duration::from_secs(2);
/// Least pause between two readings.
const SHORTEST_PAUSE: Duration = Duration::from_secs(2);
/// Bytes that one machine takes in the list, nearly.
const BYTES_PER_MACHINE: u64 = 72;
/// Mean bytes a second that the readings of the list may take.
const BYTES_PER_SECOND: u64 = 1024;

/// Reads the list until the node ends.
pub(super) async fn poll(
    list: MachineListClient,
    own: SocketAddr,
    inputs: mpsc::UnboundedSender<Input>,
    leaving: watch::Sender<bool>,
    logger: Logger,
) {
    loop {
        let pause = match list.read().await {
            Ok(machines) => {
                let pause = pause_after(machines.len());
                leaving.send_replace(is_leaving(&machines, own));
                let machines = machines.iter().map(listed).collect();
                if inputs.send(Input::Machines(machines)).is_err() {
                    return;
                }
                pause
            }
            Err(error) => {
                debug!(logger, "control: no machine list"; "reason" => %error);
                RETRY_PAUSE
            }
        };
        tokio::time::sleep(jittered(pause)).await;
    }
}

/// The longer the list, the rarer the readings.
fn pause_after(machines: usize) -> Duration {
    let bytes = BYTES_PER_MACHINE * u64::try_from(machines).unwrap_or(u64::MAX / BYTES_PER_MACHINE);
    Duration::from_millis(bytes * 1000 / BYTES_PER_SECOND).max(SHORTEST_PAUSE)
}

fn jittered(pause: Duration) -> Duration {
    pause.mul_f64(rand::random_range(0.75..1.25))
}

fn is_leaving(machines: &[Machine], own: SocketAddr) -> bool {
    machines
        .iter()
        .any(|machine| machine.address == own && machine.state == MachineState::Leaving)
}

fn listed(machine: &Machine) -> ListedMachine {
    ListedMachine {
        control_address: machine.address,
        state: match machine.state {
            MachineState::Live => ListedState::Live,
            MachineState::Leaving => ListedState::Leaving,
        },
    }
}
