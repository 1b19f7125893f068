//! A stranger sends bytes that no process of the deployment has made.

use woodladder_core::identifier::TargetId;

use super::World;
use super::event::Event;
use crate::simulation::deployment::{BALANCERS, FIRST_SERVICE, SECOND_SERVICE};
use crate::simulation::forgery::{forged_envelope, forged_offer, forged_packet, random_frame};
use crate::simulation::frame::{Content, FrameDatagram, Payload};
use crate::simulation::topology::{Machine, service_address};

const FRAMES: usize = 12;
/// The stranger's machine, which is no caller of the world.
const STRANGER: Machine = Machine::Caller(200);

impl World {
    pub(super) fn forge(&mut self) {
        self.forge_frames();
        self.forge_offers();
        for balancer in 1..=BALANCERS {
            self.forge_packets(balancer);
        }
        let agents: Vec<u8> = self.agents.keys().copied().collect();
        for agent in agents {
            self.forge_envelope(agent);
        }
    }

    fn nodes(&self) -> Vec<Machine> {
        let agents = self.agents.keys().copied().map(Machine::Agent);
        (1..=BALANCERS)
            .map(Machine::Balancer)
            .chain(agents)
            .collect()
    }

    fn forge_frames(&mut self) {
        let nodes = self.nodes();
        for _ in 0..FRAMES {
            if let Some(to) = self.random.pick(&nodes) {
                let bytes = random_frame(&mut self.random);
                self.send_control(STRANGER, to.control_address(), &bytes);
            }
        }
    }

    /// Offers to each node a roll that follows what it has in force.
    fn forge_offers(&mut self) {
        for to in self.nodes() {
            let base = self.roll_at(to);
            let offer = forged_offer(base.as_ref(), self.site, &self.secrets.control);
            if let Some(bytes) = offer {
                self.send_control(STRANGER, to.control_address(), &bytes);
            }
        }
    }

    fn roll_at(
        &self,
        machine: Machine,
    ) -> Option<woodladder_core::configuration::snapshot::Snapshot> {
        let node = match machine {
            Machine::Balancer(number) => self.balancers.get(&number)?.process.as_ref()?.node(),
            Machine::Agent(number) => self.agents.get(&number)?.host.process.as_ref()?.node(),
            _ => return None,
        };
        node.in_force().map(|roll| roll.snapshot.clone())
    }

    /// Sends a token that nobody issued, and a true one to another service.
    fn forge_packets(&mut self, balancer: u8) {
        let target = TargetId(4);
        let forged = forged_packet(target, FIRST_SERVICE, &mut self.random);
        let payload = Payload {
            service: FIRST_SERVICE,
            flow: self.random.bytes(),
            content: Content::Frames(FrameDatagram::default()),
        };
        let token = self.secrets.tokens.issue(target, self.random.bytes());
        for datagram in [forged, payload.later_datagram(&token)] {
            let event = Event::ToBalancer {
                balancer,
                caller: STRANGER.control_address(),
                service_address: service_address(FIRST_SERVICE),
                datagram,
            };
            self.queue.at(self.queue.now(), event);
        }
    }

    fn forge_envelope(&mut self, agent: u8) {
        let Some(machine) = self.agents.get(&agent) else {
            return;
        };
        let identity = machine.identity;
        let meant = if identity.service == FIRST_SERVICE {
            SECOND_SERVICE
        } else {
            FIRST_SERVICE
        };
        let datagram = forged_packet(identity.target, meant, &mut self.random);
        let caller = STRANGER.control_address();
        let addresses = (caller, service_address(meant));
        let bytes = forged_envelope(identity.target, identity.service, addresses, &datagram);
        let event = Event::ToAgent {
            agent,
            from: caller,
            bytes,
        };
        self.queue.at(self.queue.now(), event);
    }
}
