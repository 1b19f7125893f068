//! Rounds of questions about the flows that are searched for.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use crate::clock::Instant;
use crate::flow::balancer::{Balancer, BalancerAction};
use crate::flow::identity::{FlowKey, NodeAddress};
use crate::flow::log_event::LogEvent;
use crate::flow::message::{MAXIMUM_KEYS, PeerMessage};

/// Time between two queries for one flow.
const QUERY_INTERVAL: Duration = Duration::from_millis(120);
/// Least time between two rounds through all searches, when single ones begin between.
const ALL_SEARCHES_EVERY: Duration = Duration::from_millis(20);
/// Age from which a search counts as long.
const NOTED_AFTER: Duration = Duration::from_millis(300);
/// Flows asked for in one round of queries.
const QUERIED_FLOWS: usize = 4096;

impl Balancer {
    /// Asks again for the flows that are searched for.
    pub(crate) fn pursue_searches(&mut self, now: Instant, actions: &mut Vec<BalancerAction>) {
        let unasked = std::mem::take(&mut self.unasked);
        if !unasked.is_empty() && !self.is_time_for_all(now) {
            // A tick between two others, for the flows that have just come.
            return self.ask_about(&unasked, now, actions);
        }
        self.searches_counted_at = now;
        self.searches_begun = 0;
        self.packets_handed = 0;
        if self.searching.is_empty() {
            return;
        }
        let mut searching = std::mem::take(&mut self.searching);
        // The others are asked about in later rounds.
        let later = searching.split_off(searching.len().min(QUERIED_FLOWS));
        searching.retain(|key| {
            self.search_of(key)
                .is_some_and(|search| !search.is_over(now))
        });
        self.ask_about(&searching, now, actions);
        self.conclude(&searching, now, actions);
        self.note_long_searches(&searching, now);
        self.searching.extend(later);
        self.searching.append(&mut searching);
    }

    /// Notes once for each search that goes on for long whom it waits for.
    fn note_long_searches(&mut self, keys: &[FlowKey], now: Instant) {
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
            if search.is_noted || waited < NOTED_AFTER {
                continue;
            }
            search.is_noted = true;
            let denied = search.denied.clone();
            let handed: BTreeSet<NodeAddress> = search.handed.keys().copied().collect();
            let holders = holders.get_or_insert_with(|| self.possible_holders(now));
            let mut open = holders.iter().filter(|agent| !denied.contains(agent));
            let awaited = open.next().copied();
            self.notes.add(LogEvent::SearchWaits {
                key: *key,
                waited,
                open: awaited.map_or(0, |_| 1 + open.count()),
                awaited,
                is_undecided: awaited.is_some_and(|agent| handed.contains(&agent)),
                knows_all,
            });
        }
    }

    fn is_time_for_all(&self, now: Instant) -> bool {
        now.since(self.searches_counted_at) >= ALL_SEARCHES_EVERY
    }

    /// Asks all possible holders about those of the flows for which it is time.
    fn ask_about(&mut self, keys: &[FlowKey], now: Instant, actions: &mut Vec<BalancerAction>) {
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
                None => !search.awaits_first(|agent| holders.contains(&agent), now),
                Some(at) => now.since(at) >= QUERY_INTERVAL,
            };
            if !is_due {
                continue;
            }
            if is_bounded && !self.may_ask_about_another(now) {
                self.counters.search_queries_deferred += 1;
                continue;
            }
            let Some(search) = self.search_of(key) else {
                continue;
            };
            search.queried_at = Some(now);
            let open: Vec<NodeAddress> = holders
                .iter()
                .filter(|agent| !search.denied.contains(agent))
                .copied()
                .collect();
            for agent in self.hand_to_undecided(*key, open, &undecided, now, actions) {
                queries.entry(agent).or_default().push(*key);
            }
        }
        for (to, keys) in queries {
            self.directory.start_probing(to, now);
            for batch in keys.chunks(MAXIMUM_KEYS) {
                self.counters.search_queries += 1;
                self.questions.spend(1);
                let message = PeerMessage::Locate {
                    keys: batch.to_vec(),
                };
                actions.push(BalancerAction::Send { to, message });
            }
        }
    }
}
