//! Kills of all processes at the same moment, and heartbeats that are held up over them.

use std::time::Duration;

use nix::sys::signal::Signal;
use tokio::task::spawn_local;
use tokio::time::sleep;

use super::site::{BALANCERS, SiteError, TARGETS, all_nodes};
use super::soak::Soak;

/// Time for which a heartbeat is held up that is sent before a leaving and comes after the
/// kill in it.
const HELD_UP_OVER_KILL: Duration = Duration::from_millis(3500);
impl Soak {
    /// A heartbeat of the present target of a machine comes after the next kill.
    pub(super) fn delay_heartbeat(&self, machine: u8) {
        if let Some(heartbeat) = self.site.hold_heartbeat(machine) {
            spawn_local(async move {
                sleep(HELD_UP_OVER_KILL).await;
                heartbeat.send().await;
            });
        }
    }

    /// Kills all balancers and agents at the same moment.
    pub(super) fn kill_everything(&self) -> Result<(), SiteError> {
        for machine in all_nodes() {
            self.disturb(machine);
            self.site.signal(machine, Signal::SIGKILL)?;
        }
        Ok(())
    }

    /// Starts all balancers and agents.
    pub(super) fn start_everything(&mut self) -> Result<(), SiteError> {
        for machine in BALANCERS {
            self.disturb(machine);
            self.site.start_balancer(machine)?;
        }
        for (machine, service) in TARGETS {
            self.disturb(machine);
            self.site.start_agent(machine, service)?;
        }
        Ok(())
    }
}
