//! Whether the balancer knows every agent, which the proof that a flow is held
//! nowhere rests on.
//!
//! It knows all once it has listened for a while, hears each agent that another
//! balancer has named, and either a balancer that knew all has named them or no
//! new one has come for a while. Agents report at once to a balancer that they
//! come to know, so these times do not grow with the fleet. An agent that comes
//! later changes nothing: it is asked like the others.

use std::time::Duration;

use super::super::identity::NodeAddress;
use super::super::message::PeerMessage;
use super::{Balancer, BalancerAction};
use crate::clock::Instant;

/// Least time of listening when another balancer has told all agents.
const LEAST_LISTENING: Duration = Duration::from_millis(200);
/// The same when no other has: after a start of everything, machines come back
/// within some tenths of a second of each other.
const LEAST_LISTENING_ALONE: Duration = Duration::from_millis(600);
/// Time after its start in which the balancer looks for one that knows all.
const SEEKS_COMPLETE_FOR: Duration = Duration::from_secs(2);
/// Time without a new agent after which the balancer knows all of them, when no
/// other has told all.
const SETTLED_AFTER: Duration = Duration::from_millis(150);
/// Time that an agent which others have named has to be heard. It is greeted
/// again meanwhile, so one that is silent for as long is gone or cut off.
const NAMED_FOR: Duration = Duration::from_millis(1500);
/// Time between two greetings to it.
const NAMED_GREETING_INTERVAL: Duration = Duration::from_millis(200);
/// Silence of all agents after which new ones may have come unheard.
const DEAF_AFTER: Duration = Duration::from_millis(900);

/// An agent that another node has named.
#[derive(Clone, Copy, Debug)]
pub(super) struct NamedAgent {
    named_at: Instant,
    greeted_at: Instant,
}

impl Balancer {
    /// Whether the balancer knows every agent.
    pub(super) fn knows_all_agents(&self, now: Instant) -> bool {
        let listened = now.since(self.listening_since);
        let has_listened = if self.has_complete_snapshot {
            listened >= LEAST_LISTENING
        } else {
            let is_settled = now.since(self.agent_found_at) >= SETTLED_AFTER;
            listened >= LEAST_LISTENING_ALONE && (is_settled || self.was_complete)
        };
        has_listened && self.named_agents.is_empty() && !self.directory.is_empty()
    }

    /// Asks one balancer after the other which agents it knows, until one knows
    /// all of them.
    pub(super) fn seek_complete_snapshot(
        &mut self,
        now: Instant,
        actions: &mut Vec<BalancerAction>,
    ) {
        let is_over = now.since(self.listening_since) >= SEEKS_COMPLETE_FOR;
        if self.has_complete_snapshot || self.was_complete || is_over {
            return;
        }
        let peers: Vec<NodeAddress> = self.peers.confirmed().collect();
        if peers.is_empty() {
            return;
        }
        let peer = peers[self.sought % peers.len()];
        if self.fetch_from(peer, now, actions) {
            self.sought += 1;
        }
    }

    /// Another node has named an agent that was not heard yet.
    pub(super) fn name_agent(
        &mut self,
        agent: NodeAddress,
        now: Instant,
        actions: &mut Vec<BalancerAction>,
    ) {
        let named = NamedAgent {
            named_at: now,
            greeted_at: now,
        };
        self.named_agents.insert(agent, named);
        self.greet(agent, now, actions);
    }

    /// Greets the agents that others have named until they are heard, and gives
    /// those up that stay silent.
    pub(super) fn greet_named_agents(&mut self, now: Instant, actions: &mut Vec<BalancerAction>) {
        self.named_agents
            .retain(|_, named| now.since(named.named_at) < NAMED_FOR);
        let mut due = Vec::new();
        for (agent, named) in &mut self.named_agents {
            if now.since(named.greeted_at) >= NAMED_GREETING_INTERVAL {
                named.greeted_at = now;
                due.push(*agent);
            }
        }
        for agent in due {
            self.greet(agent, now, actions);
        }
    }

    /// Asks the agents that owe an answer.
    pub(super) fn ask_doubted_agents(&mut self, now: Instant, actions: &mut Vec<BalancerAction>) {
        for to in self.directory.take_doubted(now) {
            self.counters.probes += 1;
            let message = PeerMessage::Probe;
            actions.push(BalancerAction::Send { to, message });
        }
    }

    /// The balancer may have missed agents: it listens as after a start.
    pub(super) fn listen_anew(&mut self, now: Instant) {
        self.listening_since = now;
        self.has_complete_snapshot = false;
        self.was_complete = false;
    }

    /// An agent is heard; when none was for long, the balancer was cut off and
    /// asks another balancer which agents there are now.
    pub(super) fn notice_return(
        &mut self,
        from: NodeAddress,
        now: Instant,
        actions: &mut Vec<BalancerAction>,
    ) {
        let was_deaf = self
            .last_agent_heard
            .is_some_and(|at| now.since(at) >= DEAF_AFTER);
        if !was_deaf {
            return;
        }
        self.listen_anew(now);
        let peer = self.peers.confirmed().find(|peer| *peer != from);
        if let Some(peer) = peer {
            self.fetch_from(peer, now, actions);
        }
    }
}
