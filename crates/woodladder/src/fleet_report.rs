//! The traffic that the nodes of a fleet exchanged, and how fast changes reached
//! all of them, from their logs.

use std::collections::BTreeMap;

use serde::Serialize;

use crate::explain::LogLine;

/// Event of the lines that give a node's message totals by kind.
const MESSAGES_EVENT: &str = "messages_exchanged";
/// Event of the lines that give a node's store call totals by kind.
const STORE_CALLS_EVENT: &str = "store_calls";
/// Events that a node logs when a change reaches it, each with the field that
/// identifies the change.
const CHANGE_EVENTS: [(&str, &str); 3] = [
    ("configuration_adopted", "version"),
    ("agent_lost", "agent"),
    ("agent_found", "agent"),
];

/// Traffic totals and propagation times of a fleet.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct FleetReport {
    /// Traffic totals by role, direction and kind.
    pub totals: Vec<TrafficTotal>,
    /// Propagation of each change, in the order of [`CHANGE_EVENTS`], then by
    /// subject.
    #[serde(rename = "spreads")]
    pub propagations: Vec<Propagation>,
}

/// Messages or store calls of one kind, for all nodes of one role.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct TrafficTotal {
    /// Role of the nodes.
    pub role: String,
    /// `sent` or `received` for messages, `calls` for store calls.
    pub direction: &'static str,
    /// Kind of message or call.
    pub kind: String,
    /// Number of nodes that logged this kind.
    pub nodes: usize,
    /// Number of messages or calls of all nodes.
    pub count: u64,
    /// Size in bytes of the messages of all nodes; zero for store calls.
    pub bytes: u64,
    /// Number of messages or calls of the node that has the most.
    pub most: u64,
}

/// How fast one change reached the nodes.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Propagation {
    /// Event that a node logs when the change reaches it.
    pub event: &'static str,
    /// The configuration version or agent that the change is about.
    pub subject: String,
    /// Number of nodes that the change reached.
    pub nodes: usize,
    /// Median delay after the first node, in milliseconds.
    pub median_ms: i64,
    /// 99th percentile of the delay after the first node, in milliseconds.
    #[serde(rename = "late_ms")]
    pub p99_ms: i64,
    /// Delay of the last node after the first, in milliseconds.
    pub last_ms: i64,
}

/// Number of messages or calls of one kind, and their size in bytes. In a log line
/// both are running totals since the start of the process.
#[derive(Clone, Copy, Debug, Default)]
struct Amount {
    count: u64,
    bytes: u64,
}

/// Role, direction and kind of a total.
type TotalKey = (String, &'static str, String);

/// Computes the report from log lines.
#[must_use]
pub fn compute_report(lines: &[LogLine]) -> FleetReport {
    FleetReport {
        totals: sum_totals(lines),
        propagations: CHANGE_EVENTS
            .iter()
            .flat_map(|(event, field)| measure_propagation(lines, event, field))
            .collect(),
    }
}

/// Traffic totals over all nodes, sorted by role, direction and kind.
fn sum_totals(lines: &[LogLine]) -> Vec<TrafficTotal> {
    let mut by_node: BTreeMap<(TotalKey, &str), Vec<Amount>> = BTreeMap::new();
    for line in lines {
        for (direction, kind, amount) in parse_amounts(line) {
            let key = (role_of(line), direction, kind);
            by_node
                .entry((key, line.node.as_str()))
                .or_default()
                .push(amount);
        }
    }
    let mut totals: BTreeMap<TotalKey, TrafficTotal> = BTreeMap::new();
    for ((key, _), amounts) in by_node {
        let amount = sum_across_restarts(&amounts);
        let (role, direction, kind) = key.clone();
        let total = totals.entry(key).or_insert(TrafficTotal {
            role,
            direction,
            kind,
            nodes: 0,
            count: 0,
            bytes: 0,
            most: 0,
        });
        total.nodes += 1;
        total.count += amount.count;
        total.bytes += amount.bytes;
        total.most = total.most.max(amount.count);
    }
    totals.into_values().collect()
}

/// The total of one node over all its processes, from the totals in the order of
/// the node's log. Counters start at zero in each process, so a count below the
/// previous one marks a restart. The result is the sum of each process's last total.
fn sum_across_restarts(amounts: &[Amount]) -> Amount {
    let mut sum = Amount::default();
    let mut previous = Amount::default();
    for amount in amounts {
        if amount.count < previous.count {
            sum.count += previous.count;
            sum.bytes += previous.bytes;
        }
        previous = *amount;
    }
    Amount {
        count: sum.count + previous.count,
        bytes: sum.bytes + previous.bytes,
    }
}

/// Role of the node that wrote a line: the prefix of the line's message.
fn role_of(line: &LogLine) -> String {
    let text = line.fields.get("msg").and_then(|text| text.as_str());
    let role = text.and_then(|text| text.split_once(": "));
    role.map_or("node", |(role, _)| role).to_owned()
}

/// Direction, kind and amount of each total that a line gives.
fn parse_amounts(line: &LogLine) -> Vec<(&'static str, String, Amount)> {
    let directions: &[(&'static str, &str)] = match line.event.as_str() {
        MESSAGES_EVENT => &[("sent", "sent"), ("received", "received")],
        STORE_CALLS_EVENT => &[("calls", "calls")],
        _ => &[],
    };
    let mut amounts = Vec::new();
    for (direction, field) in directions {
        let text = line.fields.get(*field).and_then(|text| text.as_str());
        for word in text.unwrap_or_default().split_whitespace() {
            if let Some((kind, amount)) = parse_amount(word) {
                amounts.push((*direction, kind, amount));
            }
        }
    }
    amounts
}

/// Parses `KIND=COUNT` or `KIND=COUNT/BYTES`.
fn parse_amount(word: &str) -> Option<(String, Amount)> {
    let (kind, figures) = word.split_once('=')?;
    let (count, bytes) = figures.split_once('/').unwrap_or((figures, "0"));
    let amount = Amount {
        count: count.parse().ok()?,
        bytes: bytes.parse().ok()?,
    };
    Some((kind.to_owned(), amount))
}

/// Propagation of each change that this event reports, by the change's subject.
fn measure_propagation(lines: &[LogLine], event: &'static str, field: &str) -> Vec<Propagation> {
    let mut first_times: BTreeMap<String, BTreeMap<&str, i64>> = BTreeMap::new();
    for line in lines.iter().filter(|line| line.event == event) {
        let Some(subject) = line.fields.get(field) else {
            continue;
        };
        let subject = subject.as_str().map_or(subject.to_string(), str::to_owned);
        let first = first_times
            .entry(subject)
            .or_default()
            .entry(&line.node)
            .or_insert(line.at_ms);
        *first = line.at_ms.min(*first);
    }
    let propagation = |(subject, nodes): (String, BTreeMap<&str, i64>)| {
        let mut times: Vec<i64> = nodes.into_values().collect();
        times.sort_unstable();
        let after_first =
            |percentile: usize| times[(times.len() - 1) * percentile / 100] - times[0];
        Propagation {
            event,
            subject,
            nodes: times.len(),
            median_ms: after_first(50),
            p99_ms: after_first(99),
            last_ms: after_first(100),
        }
    };
    first_times.into_iter().map(propagation).collect()
}
