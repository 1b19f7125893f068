//! Packets of a searched flow while its holder may be away.
//!
//! An agent that needs a packet to decide hands it to its target. While the holder of the
//! flow cannot be reached, because its agent has announced a planned stop and has not
//! returned yet, such packets reach other targets alone. They are sent one at a time then;
//! the flow is found at the latest when the agent has returned.

use std::time::Duration;

use crate::clock::Instant;
use crate::flow::agent_record::AgentRecord;
use crate::flow::balancer::Balancer;
use crate::flow::balancer::forwarding::routing::{DropReason, Routing};
use crate::flow::identity::{FlowKey, NodeAddress};

/// Time between two such packets of one balancer. The flow's packets may move to another
/// balancer meanwhile, which searches as well.
const STRAY_INTERVAL: Duration = Duration::from_millis(2100);
/// Silence of a stopped agent from which on packets are held back. After a shorter absence
/// the holder gets a packet soon after the others, and holding packets back would only delay
/// finding flows at agents that are present.
const LONG_ABSENCE: Duration = Duration::from_millis(1000);

impl Balancer {
    /// Whether a packet of a searched flow may be sent to an agent that needs one to decide.
    /// If the holder may be away, the packet counts as sent now.
    pub(crate) fn may_send_stray(&mut self, key: &FlowKey, now: Instant) -> bool {
        if !self.may_holder_be_away(key, now) {
            return true;
        }
        let Some(search) = self.search_of(key) else {
            return false;
        };
        let is_due = search
            .stray_sent_at
            .is_none_or(|at| now.since(at) >= STRAY_INTERVAL);
        if is_due {
            search.stray_sent_at = Some(now);
        }
        is_due
    }

    /// Leaves out, while the holder of a flow may be away, the receivers of its packet that
    /// need it to decide, but for one of them when it is due.
    pub(crate) fn hold_back_strays(
        &mut self,
        key: &FlowKey,
        routing: Routing,
        now: Instant,
    ) -> Routing {
        let Routing::Several(mut receivers) = routing else {
            return routing;
        };
        if !self.may_holder_be_away(key, now) {
            return Routing::Several(receivers);
        }
        let mut allowed = usize::from(self.may_send_stray(key, now));
        receivers.retain(|(agent, _)| {
            let is_stray = self.needs_packet(*agent);
            let is_kept = !is_stray || allowed > 0;
            allowed -= usize::from(is_stray && is_kept);
            is_kept
        });
        if receivers.is_empty() {
            return Routing::Drop(DropReason::HolderUnknown);
        }
        Routing::Several(receivers)
    }

    /// Whether the flow may be held by a target whose agent has announced a planned stop and
    /// has been away for long.
    fn may_holder_be_away(&self, key: &FlowKey, now: Instant) -> bool {
        if self.awaits_stopped_agents(LONG_ABSENCE, now) {
            return true;
        }
        let is_long = |record: &&AgentRecord| record.silence(now) >= LONG_ABSENCE;
        let mut stopped = self.directory.stopped_agents().filter(is_long).peekable();
        if stopped.peek().is_none() {
            return false;
        }
        let services = self.possible_services(*key);
        stopped.any(|record| services.contains(&record.service))
    }

    fn needs_packet(&self, agent: NodeAddress) -> bool {
        self.directory
            .agent(agent)
            .is_some_and(|record| !record.knows_all_flows)
    }
}
