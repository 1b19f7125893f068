//! Starts the processes of a deployment.

use std::ffi::OsString;
use std::time::Duration;

use woodladder_core::configuration::bundle::Target;

use super::arguments::{Arguments, Flag};
use super::cluster::Cluster;
use super::error::ClusterError;
use super::plan::{
    ADMIN_PORT_OFFSET, BACK_END_ADMIN_PORT, BACK_END_PORT, CONTROL_PORT, DATA_PORT, HTTP_PORT,
    MACHINE_LIST_PORT, Machine, STORE_PORT,
};
use super::process::{DemoProcess, ProcessPlan};
use super::wiring::FaultPath;

const MACHINE_LIST_LAG: Duration = Duration::from_secs(1);

impl Cluster {
    pub(super) fn start_all(&mut self) -> Result<(), ClusterError> {
        self.start_store()?;
        self.start_machine_list()?;
        self.start_fabric()?;
        for target in 0..self.deployment.bundle.targets.len() {
            let process = self.back_end(target)?;
            self.back_ends.push(process);
        }
        let balancers = self.deployment.example.balancers.len();
        for balancer in 0..balancers.min(self.options.balancers) {
            self.start_balancer(balancer, &[])?;
        }
        for target in 0..self.deployment.bundle.targets.len() {
            self.start_agent(target, &[])?;
        }
        Ok(())
    }

    /// Starts a balancer of the example. One that ran at its place before must have ended.
    ///
    /// # Errors
    /// [`ClusterError::System`] when the process cannot be started.
    pub fn start_balancer(&mut self, index: usize, flags: &[Flag]) -> Result<(), ClusterError> {
        let process = self.balancer(index, flags)?;
        put(&mut self.balancers, index, process);
        Ok(())
    }

    /// Starts the agent of a target. One that ran at its place before must have ended.
    ///
    /// # Errors
    /// [`ClusterError::System`] when the process cannot be started.
    pub fn start_agent(&mut self, index: usize, flags: &[Flag]) -> Result<(), ClusterError> {
        let process = self.agent(index, flags)?;
        put(&mut self.agents, index, process);
        Ok(())
    }

    /// Starts the back end of a target. One that ran at its place before must have ended.
    ///
    /// # Errors
    /// [`ClusterError::System`] when the process cannot be started.
    pub fn start_back_end(&mut self, index: usize) -> Result<(), ClusterError> {
        let process = self.back_end(index)?;
        put(&mut self.back_ends, index, process);
        Ok(())
    }

    fn start_store(&mut self) -> Result<(), ClusterError> {
        let platform = self.deployment.platform();
        let address = self.options.wiring.listen(FaultPath::Store, platform);
        let store = Arguments::new(&["stand-in", "store"])
            .address("--address", address)
            .address(
                "--admin-address",
                platform.at(STORE_PORT + ADMIN_PORT_OFFSET),
            );
        self.start_stand_in("store", store)
    }

    fn start_machine_list(&mut self) -> Result<(), ClusterError> {
        let platform = self.deployment.platform();
        let address = self.options.wiring.listen(FaultPath::MachineList, platform);
        let mut machines = Arguments::new(&["stand-in", "machine-list"])
            .duration("--lag", MACHINE_LIST_LAG)
            .address("--address", address)
            .address(
                "--admin-address",
                platform.at(MACHINE_LIST_PORT + ADMIN_PORT_OFFSET),
            );
        let balancers = self.deployment.balancers().into_iter();
        for balancer in balancers.take(self.options.balancers) {
            machines = machines.address("--balancer", balancer.at(CONTROL_PORT));
        }
        for agent in self.deployment.agents() {
            machines = machines.address("--agent", agent.at(CONTROL_PORT));
        }
        self.start_stand_in("machine-list", machines)
    }

    fn start_fabric(&mut self) -> Result<(), ClusterError> {
        let platform = self.deployment.platform();
        let egress = self.options.wiring.listen(FaultPath::Answers, platform);
        let mut fabric = Arguments::new(&["stand-in", "fabric"])
            .address("--egress-address", egress)
            .address("--admin-address", self.fabric_administration())
            .duration("--one-way-delay", self.deployment.example.caller_delay);
        for balancer in self.deployment.balancers() {
            let endpoint = format!("{}/{}", balancer.at(DATA_PORT), balancer.at(HTTP_PORT));
            fabric = fabric.text("--balancer", &endpoint);
        }
        let services = self.deployment.bundle.services.iter();
        for address in services.flat_map(|service| &service.addresses) {
            fabric = fabric.address("--service-address", *address);
        }
        self.start_stand_in("fabric", fabric)
    }

    fn back_end(&self, index: usize) -> Result<DemoProcess, ClusterError> {
        let target = &self.deployment.bundle.targets[index];
        let machine = Machine::of(target.address);
        let service = self.deployment.service_of(target);
        let service = service.map_or_else(String::new, |service| service.name.clone());
        let load = self.deployment.load(&service);
        let service_time = load.map_or(Duration::ZERO, |load| load.service_time);
        let arguments = Arguments::new(&["stand-in", "back-end"])
            .address("--address", machine.at(BACK_END_PORT))
            .address("--admin-address", machine.at(BACK_END_ADMIN_PORT))
            .text("--service", &service)
            .text("--name", &target.id.to_string())
            .text("--slots", &target.slots.to_string())
            .text("--connection-limit", &target.connections.to_string())
            .duration("--service-time", service_time)
            .duration("--feed-interval", self.options.feed_interval);
        self.process(&format!("back-end-{}", target.id), arguments.stand_in())
    }

    fn balancer(&self, index: usize, flags: &[Flag]) -> Result<DemoProcess, ClusterError> {
        let zones = &self.deployment.bundle.zones;
        let machine = self.deployment.balancers()[index];
        let arguments = Arguments::new(&["balancer"])
            .path("--settings", &self.files.path("balancer.toml"))
            .text("--zone", &zones[index % zones.len()].name)
            .flags(&self.options.balancer_flags)
            .flags(flags);
        let arguments = self.listening(arguments, machine, FaultPath::Balancers);
        self.process(&format!("balancer-{}", index + 1), arguments.product())
    }

    fn agent(&self, index: usize, flags: &[Flag]) -> Result<DemoProcess, ClusterError> {
        let target = &self.deployment.bundle.targets[index];
        let arguments = self
            .agent_arguments(target)
            .flags(&self.options.agent_flags)
            .flags(flags);
        let machine = Machine::of(target.address);
        let arguments = self.listening(arguments, machine, FaultPath::Agents);
        self.process(&format!("agent-{}", target.id), arguments.product())
    }

    fn agent_arguments(&self, target: &Target) -> Arguments {
        let machine = Machine::of(target.address);
        let zone = &self.deployment.bundle.zones[usize::from(target.zone.0)];
        Arguments::new(&["agent"])
            .path("--settings", &self.files.path("agent.toml"))
            .path("--tls-certificate", &self.files.path("agent.crt"))
            .path("--tls-key", &self.files.path("agent.key"))
            .address("--back-end", machine.at(BACK_END_PORT))
            .text("--target", &target.id.to_string())
            .text("--service", &target.service.to_string())
            .text("--zone", &zone.name)
    }

    fn listening(&self, arguments: Arguments, machine: Machine, data: FaultPath) -> Arguments {
        let wiring = &self.options.wiring;
        let control = wiring.listen(FaultPath::Control, machine);
        arguments
            .address("--data-listen", wiring.listen(data, machine))
            .address("--control-listen", control)
            .address("--control-advertise", machine.at(CONTROL_PORT))
            .address("--http-listen", machine.at(HTTP_PORT))
    }

    fn start_stand_in(&mut self, name: &str, arguments: Arguments) -> Result<(), ClusterError> {
        let process = self.process(name, arguments.stand_in())?;
        self.stand_ins.push(process);
        Ok(())
    }

    fn process(&self, name: &str, arguments: Vec<OsString>) -> Result<DemoProcess, ClusterError> {
        let plan = self.plan(name, arguments);
        Ok(DemoProcess::start(&self.options.program, &plan)?)
    }

    pub(super) fn plan(&self, name: &str, arguments: Vec<OsString>) -> ProcessPlan {
        ProcessPlan {
            name: format!("{} {name}", self.deployment.example.name),
            arguments,
            log: self.files.path(&format!("{name}.log")),
        }
    }
}

/// Puts a process at its place; the places before it are taken.
fn put(processes: &mut Vec<DemoProcess>, index: usize, process: DemoProcess) {
    match processes.get_mut(index) {
        Some(place) => *place = process,
        None => processes.push(process),
    }
}
