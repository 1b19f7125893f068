//! Whether the balancer knows every agent, which the proof that a flow is held
//! nowhere rests on.
//!
//! It knows all once it has listened for a while, hears each agent that another
//! balancer has named, and either a balancer that knew all has named them or no
//! new one has come for a while. Agents report at once to a balancer that they
//! come to know, so these times do not grow with the fleet. An agent that comes
//! later changes nothing: it is asked like the others.

use std::time::Duration;

use crate::clock::Instant;
use crate::flow::balancer::{Balancer, BalancerAction};
use crate::flow::identity::NodeAddress;
use crate::flow::message::PeerMessage;

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
/// Processor, in thousandths of a core, for each agent greeted between two ticks.
/// A greeting is answered, and both cost some 30 microseconds: what is left is three
/// quarters of the machine's share for its callers.
const PROCESSOR_PER_GREETING: u32 = 8;
/// Least number of agents greeted between two ticks.
const LEAST_GREETED_A_TICK: u32 = 4;
/// Silence of all agents after which new ones may have come unheard.
const DEAF_AFTER: Duration = Duration::from_millis(900);

/// An agent that another node has named.
#[derive(Clone, Copy, Debug)]
pub(crate) struct NamedAgent {
    /// When it was first greeted; `None` while its turn has not come.
    first_greeted_at: Option<Instant>,
    greeted_at: Instant,
    /// When it is to be greeted again, as the last greeting to it has promised.
    pub(crate) greet_again_at: Option<Instant>,
}

impl Balancer {
    /// Whether the balancer knows every agent.
    pub(crate) fn knows_all_agents(&self, now: Instant) -> bool {
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
    pub(crate) fn seek_complete_snapshot(
        &mut self,
        now: Instant,
        actions: &mut Vec<BalancerAction>,
    ) {
        let is_over = now.since(self.listening_since) >= SEEKS_COMPLETE_FOR;
        if self.has_complete_snapshot || self.was_complete || is_over {
            return;
        }
        let peers: Vec<NodeAddress> = self.peers.confirmed_by_hello().collect();
        if peers.is_empty() {
            return;
        }
        let peer = peers[self.sought % peers.len()];
        if self.fetch_from(peer, true, now, actions) {
            self.sought += 1;
        }
    }

    /// Asks a balancer that was just found which nodes it knows: it may have been
    /// parted from this one. Just after a start many are found at once: the first is
    /// asked, and [`Self::seek_complete_snapshot`] goes on with one after the other.
    pub(crate) fn ask_found_balancer(
        &mut self,
        balancer: NodeAddress,
        now: Instant,
        actions: &mut Vec<BalancerAction>,
    ) {
        let knows_nothing = self.routes.version() == 0;
        let is_starting = now.since(self.listening_since) < SEEKS_COMPLETE_FOR;
        let asks = knows_nothing || !is_starting || self.sought == 0;
        if asks && self.fetch_from(balancer, true, now, actions) {
            self.sought += 1;
        }
    }

    /// Another node has named an agent that was not heard yet.
    pub(crate) fn name_agent(&mut self, agent: NodeAddress) {
        let named = NamedAgent {
            first_greeted_at: None,
            greeted_at: Instant::ORIGIN,
            greet_again_at: None,
        };
        self.named_agents.entry(agent).or_insert(named);
    }

    /// Greets the agents that others have named until they are heard, and gives
    /// those up that stay silent.
    pub(crate) fn greet_named_agents(&mut self, now: Instant, actions: &mut Vec<BalancerAction>) {
        self.named_agents_greeted = 0;
        self.named_agents.retain(|_, named| {
            named
                .first_greeted_at
                .is_none_or(|at| now.since(at) < NAMED_FOR)
        });
        self.greet_next_named_agents(now, actions);
    }

    /// Agents that this balancer can afford to greet between two ticks.
    pub(crate) fn agents_greeted_a_tick(&self) -> u32 {
        (self.options.cpu_millicores / PROCESSOR_PER_GREETING).max(LEAST_GREETED_A_TICK)
    }

    /// Greets as many of the named agents as may be greeted before the next tick. A
    /// start of everything has each balancer named all agents at once; greeting
    /// them at once would cost a small machine half a second.
    pub(crate) fn greet_next_named_agents(
        &mut self,
        now: Instant,
        actions: &mut Vec<BalancerAction>,
    ) {
        let left = self
            .agents_greeted_a_tick()
            .saturating_sub(self.named_agents_greeted);
        let never_greeted = self
            .named_agents
            .iter()
            .filter(|(_, named)| named.first_greeted_at.is_none());
        let silent = self.named_agents.iter().filter(|(_, named)| {
            let is_due = now.since(named.greeted_at) >= NAMED_GREETING_INTERVAL;
            named.first_greeted_at.is_some() && is_due
        });
        let due: Vec<NodeAddress> = never_greeted
            .chain(silent)
            .map(|(agent, _)| *agent)
            .take(usize::try_from(left).unwrap_or(0))
            .collect();
        self.named_agents_greeted += u32::try_from(due.len()).unwrap_or(0);
        for agent in due {
            let again_at = now + self.next_greeting_after(agent);
            if let Some(named) = self.named_agents.get_mut(&agent) {
                named.first_greeted_at.get_or_insert(now);
                named.greeted_at = now;
                named.greet_again_at = Some(again_at);
            }
            self.greet(agent, now, actions);
        }
    }

    /// Asks the agents that owe an answer.
    pub(crate) fn ask_doubted_agents(&mut self, now: Instant, actions: &mut Vec<BalancerAction>) {
        for to in self.directory.take_due_probes(now) {
            self.counters.agent_probes += 1;
            let message = PeerMessage::Probe;
            actions.push(BalancerAction::Send { to, message });
        }
    }

    /// The balancer may have missed agents: it listens as after a start.
    pub(crate) fn listen_anew(&mut self, now: Instant) {
        self.listening_since = now;
        self.has_complete_snapshot = false;
        self.was_complete = false;
    }

    /// An agent is heard; when none was for long, the balancer was cut off and
    /// asks another balancer which agents there are now.
    pub(crate) fn notice_return(
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
        let peer = self.peers.confirmed_by_hello().find(|peer| *peer != from);
        if let Some(peer) = peer {
            self.fetch_from(peer, true, now, actions);
        }
    }
}
