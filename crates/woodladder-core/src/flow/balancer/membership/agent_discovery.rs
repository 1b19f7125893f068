//! Tracks whether the balancer has a record of every agent. Only then can the denials
//! of all agents prove that no target holds a flow.
//!
//! The list of agents counts as complete once the balancer has listened long enough,
//! has a report of each agent that another node has named, and either has a snapshot
//! from a balancer whose list was complete or has found no new agent for a while.
//! Agents report immediately to a balancer that is new to them, so these times do not
//! grow with the fleet. An agent that starts later does not invalidate the result: the
//! new agent is queried like the others.

use std::time::Duration;

use crate::clock::Instant;
use crate::flow::balancer::{Balancer, BalancerAction};
use crate::flow::identity::{NodeAddress, address_hash};
use crate::flow::message::{PeerMessage, StoppedAgent};

/// Minimum time of listening when another balancer has sent a snapshot with all agents.
const MINIMUM_LISTENING: Duration = Duration::from_millis(200);
/// Minimum time of listening without such a snapshot. After a restart of the whole
/// deployment, machines come back within some tenths of a second of each other.
const MINIMUM_LISTENING_ALONE: Duration = Duration::from_millis(600);
/// Time after its start in which the balancer requests snapshots, until it finds a
/// balancer with a complete list of agents.
const COMPLETE_SNAPSHOT_REQUESTS_FOR: Duration = Duration::from_secs(2);
/// Number of agents that a balancer asks after its start which services routes have led to.
const AGENTS_ASKED_FOR_HISTORY: usize = 3;
/// Time without a new agent after which the list of agents counts as complete, if the
/// balancer has no snapshot with all agents.
const SETTLED_AFTER: Duration = Duration::from_millis(150);
/// Time in which an agent that other nodes have named must report, unless it has announced
/// a planned stop. It is sent a hello repeatedly meanwhile, so an agent that stays silent
/// for this long is gone or cut off.
const NAMED_AGENT_TIMEOUT: Duration = Duration::from_millis(1500);
/// Time between two hellos to a named agent that has not reported.
const NAMED_HELLO_INTERVAL: Duration = Duration::from_millis(200);
/// CPU, in thousandths of a core, that the balancer must have for each hello sent to an
/// agent between two ticks. A hello and its answer together take some 30 microseconds
/// of CPU. The aim of the limit is that three quarters of the machine's CPU share remain
/// for callers' packets. The limit applies separately to hellos to named agents and to
/// hellos to agents that have reported. With ticks 25 ms apart (40 a second), hellos of
/// one kind up to the limit take 40 * 30 us / 8 thousandths of a core = 15 % of the
/// balancer's CPU, and 85 % remain; both kinds together take 30 %, and 70 % remain. With
/// ticks 4 ms apart (250 a second), which occur only while new queries are collected,
/// hellos of one kind up to the limit would take 94 %, so the limit does not ensure the
/// aim there.
const MILLICORES_PER_HELLO: u32 = 8;
/// Minimum number of agents that may be sent a hello between two ticks.
const MINIMUM_HELLOS_PER_TICK: u32 = 4;
/// Silence of all agents after which new agents may have started unnoticed.
const CONTACT_LOST_AFTER: Duration = Duration::from_millis(900);

/// An agent that another node has named and that has not reported here yet.
#[derive(Clone, Copy, Debug)]
pub(crate) struct NamedAgent {
    /// When the agent was first sent a hello; `None` if none was sent yet.
    first_hello_sent_at: Option<Instant>,
    hello_sent_at: Instant,
    /// When the agent's next hello is due, within the time stated in the last hello.
    pub(crate) next_hello_at: Option<Instant>,
    /// When an agent that has announced a planned stop was last heard, by this balancer or
    /// by the one that named it.
    pub(crate) stop_heard_at: Option<Instant>,
}

impl NamedAgent {
    fn new(stop_heard_at: Option<Instant>) -> Self {
        Self {
            first_hello_sent_at: None,
            hello_sent_at: Instant::ORIGIN,
            next_hello_at: None,
            stop_heard_at,
        }
    }

    /// Whether the agent is still awaited. `absence_limit` is the silence after which an
    /// agent that has announced a planned stop counts as gone.
    fn is_awaited(&self, absence_limit: Duration, now: Instant) -> bool {
        match self.stop_heard_at {
            Some(heard_at) => now.since(heard_at) < absence_limit,
            None => self
                .first_hello_sent_at
                .is_none_or(|at| now.since(at) < NAMED_AGENT_TIMEOUT),
        }
    }
}

impl Balancer {
    /// Whether the balancer has a record of every agent.
    pub(crate) fn knows_all_agents(&self, now: Instant) -> bool {
        let listened = now.since(self.listening_since);
        let has_listened = if self.has_complete_snapshot {
            listened >= MINIMUM_LISTENING
        } else {
            let is_settled = now.since(self.last_agent_found_at) >= SETTLED_AFTER;
            listened >= MINIMUM_LISTENING_ALONE && (is_settled || self.knew_all_agents)
        };
        has_listened && self.named_agents.is_empty() && !self.directory.is_empty()
    }

    /// Requests a snapshot from one balancer after the other until one of them has a
    /// complete list of agents.
    pub(crate) fn request_complete_snapshot(
        &mut self,
        now: Instant,
        actions: &mut Vec<BalancerAction>,
    ) {
        let is_over = now.since(self.listening_since) >= COMPLETE_SNAPSHOT_REQUESTS_FOR;
        if self.has_complete_snapshot || self.knew_all_agents || is_over {
            return;
        }
        let peers: Vec<NodeAddress> = self.peers.confirmed_by_hello().collect();
        if peers.is_empty() {
            return;
        }
        let peer = peers[self.snapshots_requested % peers.len()];
        if self.request_snapshot(peer, true, now, actions) {
            self.snapshots_requested += 1;
        }
    }

    /// Requests a snapshot from a few agents after the balancer's start if no other balancer
    /// has told all services that routes have led to. All balancers may have started again,
    /// while agents ran on.
    pub(crate) fn request_route_history(
        &mut self,
        now: Instant,
        actions: &mut Vec<BalancerAction>,
    ) {
        let listened = now.since(self.listening_since);
        let is_time = (MINIMUM_LISTENING..COMPLETE_SNAPSHOT_REQUESTS_FOR).contains(&listened);
        let is_complete = self
            .routes
            .history()
            .covers(self.options.flow_lifetime, now);
        let asked = self.agents_asked_for_history;
        if !is_time || is_complete || asked >= AGENTS_ASKED_FOR_HISTORY {
            return;
        }
        let Some(agent) = self.agent_to_ask(asked) else {
            return;
        };
        if self.request_snapshot(agent, false, now, actions) {
            self.agents_asked_for_history += 1;
        }
    }

    /// Requests a snapshot from a balancer that was just found, because the two may
    /// have been separated by a network failure. Shortly after a start many balancers
    /// are found at once: only the first is sent a request here, and
    /// [`Self::request_complete_snapshot`] continues with the others one by one.
    pub(crate) fn request_snapshot_of_found_balancer(
        &mut self,
        balancer: NodeAddress,
        now: Instant,
        actions: &mut Vec<BalancerAction>,
    ) {
        let knows_nothing = self.routes.version() == 0;
        let is_starting = now.since(self.listening_since) < COMPLETE_SNAPSHOT_REQUESTS_FOR;
        let should_request = knows_nothing || !is_starting || self.snapshots_requested == 0;
        if should_request && self.request_snapshot(balancer, true, now, actions) {
            self.snapshots_requested += 1;
        }
    }

    /// The agent with this number in an order that begins elsewhere for each balancer, so that
    /// many balancers that start together do not all ask the same agents.
    fn agent_to_ask(&self, number: usize) -> Option<NodeAddress> {
        let first = usize::try_from(address_hash(self.options.address) >> 32).unwrap_or(0);
        let index = first
            .wrapping_add(number)
            .checked_rem(self.directory.len())?;
        let mut agents = self.directory.agents();
        agents.nth(index).map(|record| record.address)
    }

    /// Requests a snapshot from a balancer that is about to stop, if no other one has told
    /// this balancer of all agents yet.
    pub(crate) fn request_snapshot_of_leaving_balancer(
        &mut self,
        balancer: NodeAddress,
        now: Instant,
        actions: &mut Vec<BalancerAction>,
    ) {
        if !self.has_complete_snapshot && !self.knew_all_agents {
            self.request_snapshot(balancer, true, now, actions);
        }
    }

    /// Adds an agent that another node has named and that has not reported here yet.
    pub(crate) fn add_named_agent(&mut self, agent: NodeAddress) {
        let named = self.named_agents.entry(agent);
        named.or_insert_with(|| NamedAgent::new(None));
    }

    /// Whether an agent that has announced a planned stop, and that this balancer has not
    /// heard itself, is awaited and was last heard at least `silence` ago.
    pub(crate) fn awaits_stopped_agents(&self, silence: Duration, now: Instant) -> bool {
        let mut named = self.named_agents.values();
        named.any(|agent| {
            agent
                .stop_heard_at
                .is_some_and(|at| now.since(at) >= silence)
        })
    }

    /// Adds the agents that had announced a planned stop, as another balancer or an earlier
    /// process of this one knew `age` ago.
    pub(crate) fn add_stopped_agents(
        &mut self,
        stopped: &[StoppedAgent],
        age: Duration,
        now: Instant,
    ) {
        for agent in stopped {
            if self.directory.agent(agent.address).is_none() {
                let silence = age + Duration::from_millis(agent.silent_for_ms.into());
                self.add_stopped_agent(agent.address, silence, now);
            }
        }
    }

    /// Adds an agent that has announced a planned stop, `silence` ago at the latest, and has
    /// not reported here yet.
    pub(crate) fn add_stopped_agent(
        &mut self,
        agent: NodeAddress,
        silence: Duration,
        now: Instant,
    ) {
        let heard_at = Instant::from_origin(now.since_origin().saturating_sub(silence));
        let named = self.named_agents.entry(agent);
        let named = named.or_insert_with(|| NamedAgent::new(None));
        named.stop_heard_at = named.stop_heard_at.max(Some(heard_at));
    }

    /// Sends a hello to the named agents that have not reported yet, and drops those
    /// that stayed silent for too long.
    pub(crate) fn send_named_agent_hellos(
        &mut self,
        now: Instant,
        actions: &mut Vec<BalancerAction>,
    ) {
        self.named_agent_hellos_this_tick = 0;
        let absence_limit = self.stopped_agent_absence_limit();
        self.named_agents
            .retain(|_, named| named.is_awaited(absence_limit, now));
        self.send_next_named_agent_hellos(now, actions);
    }

    /// Number of agents that this balancer has the CPU to send a hello to between two
    /// ticks.
    pub(crate) fn maximum_agent_hellos_per_tick(&self) -> u32 {
        (self.options.cpu_millicores / MILLICORES_PER_HELLO).max(MINIMUM_HELLOS_PER_TICK)
    }

    /// Sends a hello to as many of the named agents as the limit for this tick allows.
    /// After a restart of the whole deployment each balancer is given the names of all
    /// agents at once; sending a hello to all of them at once would take a small
    /// machine half a second.
    pub(crate) fn send_next_named_agent_hellos(
        &mut self,
        now: Instant,
        actions: &mut Vec<BalancerAction>,
    ) {
        let remaining = self
            .maximum_agent_hellos_per_tick()
            .saturating_sub(self.named_agent_hellos_this_tick);
        let without_hello = self
            .named_agents
            .iter()
            .filter(|(_, named)| named.first_hello_sent_at.is_none());
        let silent = self.named_agents.iter().filter(|(_, named)| {
            let is_due = now.since(named.hello_sent_at) >= NAMED_HELLO_INTERVAL;
            named.first_hello_sent_at.is_some() && is_due
        });
        let due: Vec<NodeAddress> = without_hello
            .chain(silent)
            .map(|(agent, _)| *agent)
            .take(usize::try_from(remaining).unwrap_or(0))
            .collect();
        self.named_agent_hellos_this_tick += u32::try_from(due.len()).unwrap_or(0);
        for agent in due {
            let next_hello_at = now + self.next_hello_delay(agent);
            if let Some(named) = self.named_agents.get_mut(&agent) {
                named.first_hello_sent_at.get_or_insert(now);
                named.hello_sent_at = now;
                named.next_hello_at = Some(next_hello_at);
            }
            self.send_hello(agent, now, actions);
        }
    }

    /// Probes the agents that have not answered a packet or message.
    pub(crate) fn send_due_probes(&mut self, now: Instant, actions: &mut Vec<BalancerAction>) {
        for to in self.directory.take_due_probes(now) {
            self.counters.agent_probes += 1;
            let message = PeerMessage::Probe;
            actions.push(BalancerAction::Send { to, message });
        }
    }

    /// Starts to listen as after a restart, because the balancer may have missed new
    /// agents.
    pub(crate) fn restart_listening(&mut self, now: Instant) {
        self.listening_since = now;
        self.has_complete_snapshot = false;
        self.knew_all_agents = false;
    }

    /// Handles the first report after a long silence of all agents: the balancer was
    /// cut off, and requests a snapshot with the agents that there are now.
    pub(crate) fn detect_return_of_contact(
        &mut self,
        from: NodeAddress,
        now: Instant,
        actions: &mut Vec<BalancerAction>,
    ) {
        let was_cut_off = self
            .last_agent_heard_at
            .is_some_and(|at| now.since(at) >= CONTACT_LOST_AFTER);
        if !was_cut_off {
            return;
        }
        self.restart_listening(now);
        let peer = self.peers.confirmed_by_hello().find(|peer| *peer != from);
        if let Some(peer) = peer {
            self.request_snapshot(peer, true, now, actions);
        }
    }
}
