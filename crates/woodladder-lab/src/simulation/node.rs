//! The part that balancers and agents share: a replica and its way out.

use std::net::SocketAddr;
use std::sync::Arc;

use woodladder_core::clock::Instant;
use woodladder_core::control::availability::{RunNumber, ServedTarget};
use woodladder_core::control::control_message::ControlMessage;
use woodladder_core::control::membership::{Locality, Role};
use woodladder_core::control::replica::{
    InstalledRoll, Replica, ReplicaAction, ReplicaEvent, ReplicaSettings, ReplicaTuning,
};
use woodladder_core::identifier::{NodeId, Sequence, TargetId};
use woodladder_core::packets::keyed_tag::TagKey;
use woodladder_core::packets::routing_table::RoutingTable;

use super::log::{Entry, Log, ProcessRun};
use super::mutation::Mutation;
use super::output::Output;
use super::random::Random;
use super::secrets::Secrets;
use super::seen::Seen;
use super::topology::{Machine, Site};

/// What a process may use while it handles an event.
pub struct Surroundings<'a> {
    /// The present instant.
    pub now: Instant,
    /// The log.
    pub log: &'a mut Log,
    /// What the world is to do.
    pub outputs: &'a mut Vec<Output>,
    /// Fault put into the models.
    pub mutation: Option<Mutation>,
}

/// What a process is started with.
pub struct Start<'a> {
    /// The machine and the number of the run.
    pub process: ProcessRun,
    /// Where the world lies.
    pub site: Site,
    /// Keys.
    pub secrets: &'a Secrets,
    /// Control addresses from the settings file.
    pub seeds: Vec<SocketAddr>,
    /// Draws of this process.
    pub random: Random,
    /// When it starts.
    pub now: Instant,
}

/// A replica in a modelled process.
#[derive(Debug)]
pub struct Node {
    process: ProcessRun,
    key: TagKey,
    replica: Replica,
    in_force: Option<Arc<InstalledRoll>>,
    directory: Option<Arc<RoutingTable>>,
    earlier: Vec<Arc<InstalledRoll>>,
}

impl Node {
    /// The replica of a process that has just started.
    #[must_use]
    pub fn new(start: &mut Start<'_>, role: Role, target: Option<TargetId>) -> Self {
        let run = RunNumber(u64::from(start.process.run));
        let machine = start.process.machine;
        let zone = machine.zone(start.site);
        let settings = ReplicaSettings {
            node: NodeId(start.random.number()),
            role,
            locality: Locality::new("region", &zone.to_string()),
            control_address: machine.control_address(),
            served_target: target.map(|target| ServedTarget { target, run }),
            seeds: start.seeds.clone(),
            trusted: start.secrets.trusted.clone(),
            tuning: ReplicaTuning::default(),
        };
        Self {
            process: start.process,
            key: start.secrets.control,
            replica: Replica::new(settings, start.random.generator(), start.now),
            in_force: None,
            directory: None,
            earlier: Vec::new(),
        }
    }

    /// The process.
    #[must_use]
    pub fn process(&self) -> ProcessRun {
        self.process
    }

    /// The machine.
    #[must_use]
    pub fn machine(&self) -> Machine {
        self.process.machine
    }

    /// The roll in force.
    #[must_use]
    pub fn in_force(&self) -> Option<&Arc<InstalledRoll>> {
        self.in_force.as_ref()
    }

    /// The directory in force, without targets that are unavailable.
    #[must_use]
    pub fn directory(&self) -> Option<&Arc<RoutingTable>> {
        self.directory.as_ref()
    }

    /// Sequence in force; zero when none is.
    #[must_use]
    pub fn sequence(&self) -> Sequence {
        let sequence = self.in_force.as_ref().map(|roll| roll.sequence());
        sequence.unwrap_or_default()
    }

    /// Whether it has joined.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.replica.is_ready()
    }

    /// Whether it was paused and has not confirmed what it has in force.
    #[must_use]
    pub fn is_suspect(&self, now: Instant) -> bool {
        self.replica.is_suspect(now)
    }

    /// When it wants to be called again.
    #[must_use]
    pub fn next_wake(&self) -> Instant {
        self.replica.next_wakeup()
    }

    /// Takes a control datagram in; true when another roll is in force.
    pub fn receive(
        &mut self,
        from: SocketAddr,
        bytes: &[u8],
        around: &mut Surroundings<'_>,
    ) -> bool {
        let event = match ControlMessage::decode(&self.key, bytes) {
            Ok(message) => {
                if around.mutation == Some(Mutation::AdoptLower) && self.go_back(&message, around) {
                    return true;
                }
                ReplicaEvent::Message { from, message }
            }
            Err(error) => {
                around.log.see(Seen::BadFrame);
                ReplicaEvent::BadFrame(error)
            }
        };
        self.handle(event, around)
    }

    /// Takes an event in; true when another roll is in force.
    pub fn handle(&mut self, event: ReplicaEvent, around: &mut Surroundings<'_>) -> bool {
        let mut installed = false;
        for action in self.replica.handle(event, around.now) {
            match action {
                ReplicaAction::Send { to, message } => self.send(to, &message, around),
                ReplicaAction::Store { request, operation } => {
                    around.outputs.push(Output::Store { request, operation });
                }
                ReplicaAction::Install(roll) => installed |= self.install(roll, around),
                ReplicaAction::ReplaceDirectory(directory) => installed |= self.refresh(directory),
            }
        }
        installed
    }

    fn send(&self, to: SocketAddr, message: &ControlMessage, around: &mut Surroundings<'_>) {
        if let Ok(bytes) = message.encode(&self.key) {
            around.outputs.push(Output::Control { to, bytes });
        }
    }

    fn install(&mut self, roll: Arc<InstalledRoll>, around: &mut Surroundings<'_>) -> bool {
        let keeps_first = around.mutation == Some(Mutation::KeepFirstRoll);
        if keeps_first && self.in_force.is_some() {
            return false;
        }
        self.earlier.extend(self.in_force.take());
        self.put_in_force(roll, around);
        true
    }

    /// The replica may be ahead of a mutated node.
    fn refresh(&mut self, directory: Arc<RoutingTable>) -> bool {
        let is_in_force = directory.sequence() == self.sequence();
        if is_in_force {
            self.directory = Some(directory);
        }
        is_in_force
    }

    fn put_in_force(&mut self, roll: Arc<InstalledRoll>, around: &mut Surroundings<'_>) {
        let entry = Entry::InForce {
            node: self.process,
            sequence: roll.sequence(),
            snapshot: roll.digest(),
        };
        around.log.add(around.now, entry);
        self.directory = Some(Arc::new(roll.directory.clone()));
        self.in_force = Some(roll);
    }

    /// The mutation that goes back to a peer's earlier roll.
    fn go_back(&mut self, message: &ControlMessage, around: &mut Surroundings<'_>) -> bool {
        let ControlMessage::Digest(digest) = message else {
            return false;
        };
        let known = self.earlier.iter();
        let mut known = known.filter(|roll| roll.sequence() == digest.sequence);
        let Some(roll) = known.next().cloned() else {
            return false;
        };
        if roll.sequence() >= self.sequence() {
            return false;
        }
        self.put_in_force(roll, around);
        true
    }
}
