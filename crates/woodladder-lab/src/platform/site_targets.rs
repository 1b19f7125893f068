//! The targets of a site: their starts, crashes and leavings.

use std::io;
use std::rc::Rc;
use std::time::Duration;

use nix::sys::signal::Signal;
use tokio::task::spawn_local;
use tokio::time::Instant;

use super::site::{Site, service_of};
use super::target::{SHORTEST_DRAIN, Target};
use super::target_control::HeartbeatText;
use super::zones::zone_of;

/// Longest wait for a target's address: longer than the longest leaving.
const ADDRESS_WAIT: Duration = Duration::from_secs(30);

impl Site {
    /// Starts a target beside the agent of its machine.
    pub async fn start_target(&mut self, machine: u8, service: &str) -> io::Result<()> {
        self.incarnations += 1;
        let name = format!("i-{machine}-{}", self.incarnations);
        let address = self.network.machine(machine);
        let target = Target::start(
            &name,
            service,
            address,
            zone_of(machine),
            Rc::clone(&self.oracle),
            self.target_habits,
            None,
        )
        .await?;
        self.targets.insert(machine, target);
        Ok(())
    }

    /// The target of a machine begins or ends to leave openings without an answer.
    pub fn ignore_openings(&self, machine: u8, ignores: bool) {
        if let Some(target) = self.targets.get(&machine) {
            target.ignore_openings(ignores);
        }
    }

    /// The target of a machine crashes and will begin again under its name.
    pub fn crash_to_begin_again(&mut self, machine: u8) {
        if let Some(target) = self.targets.remove(&machine) {
            target.end();
            self.crashed.insert(machine, target);
        }
    }

    /// The target that has crashed begins again under its name; then a heartbeat of the
    /// former start comes late.
    pub async fn begin_again(&mut self, machine: u8, service: &str) -> io::Result<()> {
        let Some(former) = self.crashed.remove(&machine) else {
            return self.start_target(machine, service).await;
        };
        let address = self.network.machine(machine);
        let zone = zone_of(machine);
        let oracle = Rc::clone(&self.oracle);
        let name = former.name().to_owned();
        let habits = self.target_habits;
        let started =
            Target::start(&name, service, address, zone, oracle, habits, Some(&former)).await;
        match started {
            Ok(target) => {
                self.targets.insert(machine, Rc::clone(&target));
                spawn_local(former.beat_late(target));
                Ok(())
            }
            Err(error) => {
                self.crashed.insert(machine, former);
                Err(error)
            }
        }
    }

    /// The target of a machine ends at once, as in a crash, even if it is leaving.
    pub fn crash_target(&mut self, machine: u8) {
        let present = self.targets.remove(&machine);
        let leaving = self.leaving.remove(&machine);
        for target in present.into_iter().chain(leaving) {
            target.end();
        }
    }

    /// The target of a machine leaves as planned and serves on for a while; its agent
    /// stays.
    pub fn drain_target(&mut self, machine: u8, serves_on: Duration) {
        if let Some(target) = self.targets.remove(&machine) {
            self.leaving.insert(machine, Rc::clone(&target));
            spawn_local(target.leave(serves_on));
        }
    }

    /// The target of a machine leaves as planned without saying that it drains: it
    /// deregisters first and serves on for a while.
    pub fn deregister_target(&mut self, machine: u8, serves_on: Duration) {
        if let Some(target) = self.targets.remove(&machine) {
            self.leaving.insert(machine, Rc::clone(&target));
            spawn_local(target.deregister_and_leave(serves_on));
        }
    }

    /// A heartbeat of the present target of a machine that is held up on its way.
    pub fn hold_heartbeat(&self, machine: u8) -> Option<HeartbeatText> {
        self.targets.get(&machine).map(|it| it.next_heartbeat())
    }

    /// Starts a target on a machine as soon as the former one has let go of its address.
    pub fn start_when_free(&mut self, machine: u8) {
        let until = Instant::now() + ADDRESS_WAIT;
        if !self.targets.contains_key(&machine) {
            self.starting.entry(machine).or_insert(until);
        }
    }

    /// Starts the waiting targets whose address is free.
    ///
    /// # Errors
    /// The system's error when an address is not free for too long.
    pub async fn start_waiting(&mut self) -> io::Result<()> {
        for (machine, until) in self.starting.clone() {
            let started = if self.crashed.contains_key(&machine) {
                self.begin_again(machine, service_of(machine)).await
            } else {
                self.start_target(machine, service_of(machine)).await
            };
            match started {
                Ok(()) => {
                    self.starting.remove(&machine);
                    self.leaving.remove(&machine);
                }
                Err(error) if Instant::now() >= until => return Err(error),
                Err(_) => {}
            }
        }
        Ok(())
    }

    /// A target leaves as planned; its agent is stopped after its end.
    pub fn retire_target(&mut self, machine: u8) {
        let Some(target) = self.targets.remove(&machine) else {
            return;
        };
        let agent = self.nodes.remove(&machine);
        let retired = Rc::clone(&self.retired);
        spawn_local(async move {
            target.leave(SHORTEST_DRAIN).await;
            if let Some(agent) = agent {
                // A process that has ended already needs no signal.
                let _ended = agent.signal(Signal::SIGTERM);
                retired.borrow_mut().push(agent);
            }
        });
    }
}
