//! Polls the machine list.

use std::net::SocketAddr;
use std::time::Duration;

use slog::{Logger, debug};
use tokio::sync::{mpsc, watch};
use woodladder_core::control::membership::{ListedMachine, ListedState};

use super::driver::DriverInput;
use crate::store::{Machine, MachineListClient, MachineState};

/// Pause after a failed read, before jitter.
const PAUSE_AFTER_FAILURE: Duration = Duration::from_secs(2);
/// Shortest pause between two reads, before jitter.
const MINIMUM_PAUSE: Duration = Duration::from_secs(2);
/// Approximate size of one machine's entry in the list, in bytes.
const BYTES_PER_MACHINE: u64 = 72;
/// Limit on the average rate at which the list is read, in bytes per second.
const MAXIMUM_BYTES_PER_SECOND: u64 = 1024;

/// Reads the list repeatedly until the replica's driver has ended.
pub(super) async fn poll_machine_list(
    list: MachineListClient,
    own_address: SocketAddr,
    inputs: mpsc::UnboundedSender<DriverInput>,
    leaving: watch::Sender<bool>,
    logger: Logger,
) {
    loop {
        let pause = match list.read().await {
            Ok(machines) => {
                let pause = pause_after(machines.len());
                leaving.send_replace(lists_as_leaving(&machines, own_address));
                let machines = machines.iter().map(listed).collect();
                if inputs.send(DriverInput::MachineList(machines)).is_err() {
                    return;
                }
                pause
            }
            Err(error) => {
                debug!(logger, "control: no machine list"; "reason" => %error);
                PAUSE_AFTER_FAILURE
            }
        };
        tokio::time::sleep(with_jitter(pause)).await;
    }
}

/// Pause after reading a list of this many machines. The pause is proportional to
/// the length of the list, so that the average transfer rate is at most
/// [`MAXIMUM_BYTES_PER_SECOND`], and is at least [`MINIMUM_PAUSE`].
fn pause_after(machines: usize) -> Duration {
    let bytes = BYTES_PER_MACHINE * u64::try_from(machines).unwrap_or(u64::MAX / BYTES_PER_MACHINE);
    Duration::from_millis(bytes * 1000 / MAXIMUM_BYTES_PER_SECOND).max(MINIMUM_PAUSE)
}

fn with_jitter(pause: Duration) -> Duration {
    pause.mul_f64(rand::random_range(0.75..1.25))
}

fn lists_as_leaving(machines: &[Machine], own_address: SocketAddr) -> bool {
    machines
        .iter()
        .any(|machine| machine.address == own_address && machine.state == MachineState::Leaving)
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
