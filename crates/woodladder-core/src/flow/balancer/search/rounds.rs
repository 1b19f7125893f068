//! Rounds of queries about the flows that are searched for.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use crate::clock::Instant;
use crate::flow::balancer::{Balancer, BalancerAction};
use crate::flow::identity::{FlowKey, NodeAddress};
use crate::flow::log_event::LogEvent;
use crate::flow::message::{MAXIMUM_FLOWS_PER_QUERY, PeerMessage};

/// Time between two rounds of queries about one flow.
const QUERY_INTERVAL: Duration = Duration::from_millis(120);
/// Minimum time between two rounds that cover all searches, when rounds for new
/// searches run in between.
const FULL_ROUND_INTERVAL: Duration = Duration::from_millis(20);
/// Age from which on a search is logged as long.
const LONG_SEARCH_AFTER: Duration = Duration::from_millis(300);
/// Maximum number of flows in one round of queries.
const MAXIMUM_FLOWS_PER_ROUND: usize = 4096;

impl Balancer {
    /// Runs a round of queries. If there are new searches and the last full round began
    /// less than [`FULL_ROUND_INTERVAL`] ago, the round covers only the new searches.
    /// Otherwise it is a full round, which covers all searches or, if there are more, as
    /// many as [`MAXIMUM_FLOWS_PER_ROUND`].
    pub(crate) fn run_query_round(&mut self, now: Instant, actions: &mut Vec<BalancerAction>) {
        let new_searches = std::mem::take(&mut self.unqueried_flows);
        if !new_searches.is_empty() && !self.is_full_round_due(now) {
            // A round for the new searches, between two full rounds.
            return self.query_flows(&new_searches, now, actions);
        }
        self.last_full_round_at = now;
        self.searches_begun_this_round = 0;
        self.search_packets_this_round = 0;
        if self.searched_flows.is_empty() {
            return;
        }
        let mut flows = std::mem::take(&mut self.searched_flows);
        // The remaining flows are queried in later rounds.
        let later = flows.split_off(flows.len().min(MAXIMUM_FLOWS_PER_ROUND));
        flows.retain(|key| {
            self.search_of(key)
                .is_some_and(|search| !search.is_over(now))
        });
        self.query_flows(&flows, now, actions);
        self.reset_denied_flows(&flows, now, actions);
        self.log_long_searches(&flows, now);
        self.searched_flows.extend(later);
        self.searched_flows.append(&mut flows);
    }

    /// Logs, once for each long search, which agents have not answered.
    fn log_long_searches(&mut self, keys: &[FlowKey], now: Instant) {
        if !self.locates_flows() {
            return;
        }
        let knows_all = self.knows_all_agents(now);
        let mut holders = None;
        for key in keys {
            let Some(search) = self.search_of(key) else {
                continue;
            };
            let waited = now.since(search.started_at);
            if search.is_logged || waited < LONG_SEARCH_AFTER {
                continue;
            }
            search.is_logged = true;
            let denied = search.denied_by.clone();
            let with_packet: BTreeSet<NodeAddress> =
                search.packet_sent_at.keys().copied().collect();
            let holders = holders.get_or_insert_with(|| self.possible_holders(now));
            let mut open = holders.iter().filter(|agent| !denied.contains(agent));
            let awaited = open.next().copied();
            self.log_events.add(LogEvent::SearchWaits {
                key: *key,
                waited,
                open: awaited.map_or(0, |_| 1 + open.count()),
                awaited,
                is_undecided: awaited.is_some_and(|agent| with_packet.contains(&agent)),
                knows_all,
            });
        }
    }

    fn is_full_round_due(&self, now: Instant) -> bool {
        now.since(self.last_full_round_at) >= FULL_ROUND_INTERVAL
    }

    /// Queries all possible holders about those of the flows that are due.
    fn query_flows(&mut self, keys: &[FlowKey], now: Instant, actions: &mut Vec<BalancerAction>) {
        let is_bounded = self.locates_flows();
        let holders: BTreeSet<NodeAddress> = self.possible_holders(now).into_iter().collect();
        let undecided = if is_bounded {
            self.undecided_agents()
        } else {
            BTreeMap::new()
        };
        let mut queries: BTreeMap<NodeAddress, Vec<FlowKey>> = BTreeMap::new();
        for key in keys {
            let Some(search) = self.search_of(key) else {
                continue;
            };
            let is_due = match search.queried_at {
                None => !search.awaits_first_targets(|agent| holders.contains(&agent), now),
                Some(at) => now.since(at) >= QUERY_INTERVAL,
            };
            if !is_due {
                continue;
            }
            if is_bounded && !self.can_query_another_flow(now) {
                self.counters.search_queries_deferred += 1;
                continue;
            }
            let Some(search) = self.search_of(key) else {
                continue;
            };
            search.queried_at = Some(now);
            let open: Vec<NodeAddress> = holders
                .iter()
                .filter(|agent| !search.denied_by.contains(agent))
                .copied()
                .collect();
            for agent in self.send_to_undecided(*key, open, &undecided, now, actions) {
                queries.entry(agent).or_default().push(*key);
            }
        }
        for (to, keys) in queries {
            self.directory.start_probing(to, now);
            for batch in keys.chunks(MAXIMUM_FLOWS_PER_QUERY) {
                self.counters.search_queries += 1;
                self.query_budget.spend(1);
                let message = PeerMessage::Locate {
                    keys: batch.to_vec(),
                };
                actions.push(BalancerAction::Send { to, message });
            }
        }
    }
}
