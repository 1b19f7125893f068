//! What a whole fleet exchanged, and how fast news reached all of it, from the
//! logs of its nodes.

use std::collections::BTreeMap;

use serde::Serialize;

use crate::explain::LogLine;

/// Event of the lines with a node's totals by kind of message.
const MESSAGES: &str = "messages_exchanged";
/// Event of the lines with a node's calls of the store by kind.
const STORE_CALLS: &str = "store_calls";
/// Events that tell of news, each with the field that says which.
const NEWS: [(&str, &str); 3] = [
    ("configuration_adopted", "version"),
    ("agent_lost", "agent"),
    ("agent_found", "agent"),
];

/// The report.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct FleetReport {
    /// Totals by role, direction and kind.
    pub totals: Vec<Total>,
    /// How news spread, in the order of [`NEWS`] and of what they tell.
    pub spreads: Vec<Spread>,
}

/// What all nodes of one role exchanged of one kind.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Total {
    /// Role of the nodes.
    pub role: String,
    /// `sent`, `received`, or `calls` to the store.
    pub direction: &'static str,
    /// Kind of message or call.
    pub kind: String,
    /// Nodes that exchanged any.
    pub nodes: usize,
    /// Messages or calls of all of them.
    pub count: u64,
    /// Bytes of all of them; zero for calls.
    pub bytes: u64,
    /// Messages or calls of the node with most.
    pub most: u64,
}

/// How one piece of news reached the nodes.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Spread {
    /// The event.
    pub event: &'static str,
    /// What it tells of: a version or an agent.
    pub subject: String,
    /// Nodes that it reached.
    pub nodes: usize,
    /// Milliseconds from the first node to the middle one.
    pub median_ms: i64,
    /// The same to the 99th of a hundred.
    pub late_ms: i64,
    /// The same to the last.
    pub last_ms: i64,
}

/// Messages and bytes of one kind.
#[derive(Clone, Copy, Debug, Default)]
struct Amount {
    count: u64,
    bytes: u64,
}

/// A role, a direction and a kind.
type Row = (String, &'static str, String);

/// Works the report out.
#[must_use]
pub fn report(lines: &[LogLine]) -> FleetReport {
    FleetReport {
        totals: totals(lines),
        spreads: NEWS
            .iter()
            .flat_map(|(event, field)| spreads(lines, event, field))
            .collect(),
    }
}

fn totals(lines: &[LogLine]) -> Vec<Total> {
    let mut by_node: BTreeMap<(Row, &str), Vec<Amount>> = BTreeMap::new();
    for line in lines {
        for (direction, kind, amount) in amounts(line) {
            let row = (role(line), direction, kind);
            by_node
                .entry((row, line.node.as_str()))
                .or_default()
                .push(amount);
        }
    }
    let mut rows: BTreeMap<Row, Total> = BTreeMap::new();
    for ((row, _), amounts) in by_node {
        let amount = over_restarts(&amounts);
        let (role, direction, kind) = row.clone();
        let total = rows.entry(row).or_insert(Total {
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
    rows.into_values().collect()
}

/// Totals of a node start from nothing with each of its processes: the last value
/// of each is added.
fn over_restarts(amounts: &[Amount]) -> Amount {
    let mut sum = Amount::default();
    let mut former = Amount::default();
    for amount in amounts {
        if amount.count < former.count {
            sum.count += former.count;
            sum.bytes += former.bytes;
        }
        former = *amount;
    }
    Amount {
        count: sum.count + former.count,
        bytes: sum.bytes + former.bytes,
    }
}

/// The part of a line's text before its colon.
fn role(line: &LogLine) -> String {
    let text = line.fields.get("msg").and_then(|text| text.as_str());
    let role = text.and_then(|text| text.split_once(": "));
    role.map_or("node", |(role, _)| role).to_owned()
}

fn amounts(line: &LogLine) -> Vec<(&'static str, String, Amount)> {
    let directions: &[(&'static str, &str)] = match line.event.as_str() {
        MESSAGES => &[("sent", "sent"), ("received", "received")],
        STORE_CALLS => &[("calls", "calls")],
        _ => &[],
    };
    let mut amounts = Vec::new();
    for (direction, field) in directions {
        let text = line.fields.get(*field).and_then(|text| text.as_str());
        for word in text.unwrap_or_default().split_whitespace() {
            if let Some((kind, amount)) = read_amount(word) {
                amounts.push((*direction, kind, amount));
            }
        }
    }
    amounts
}

/// Reads `KIND=COUNT` or `KIND=COUNT/BYTES`.
fn read_amount(word: &str) -> Option<(String, Amount)> {
    let (kind, figures) = word.split_once('=')?;
    let (count, bytes) = figures.split_once('/').unwrap_or((figures, "0"));
    let amount = Amount {
        count: count.parse().ok()?,
        bytes: bytes.parse().ok()?,
    };
    Some((kind.to_owned(), amount))
}

fn spreads(lines: &[LogLine], event: &'static str, field: &str) -> Vec<Spread> {
    let mut heard: BTreeMap<String, BTreeMap<&str, i64>> = BTreeMap::new();
    for line in lines.iter().filter(|line| line.event == event) {
        let Some(subject) = line.fields.get(field) else {
            continue;
        };
        let subject = subject.as_str().map_or(subject.to_string(), str::to_owned);
        let first = heard
            .entry(subject)
            .or_default()
            .entry(&line.node)
            .or_insert(line.at_ms);
        *first = line.at_ms.min(*first);
    }
    let spread = |(subject, nodes): (String, BTreeMap<&str, i64>)| {
        let mut times: Vec<i64> = nodes.into_values().collect();
        times.sort_unstable();
        let after_first = |part: usize| times[(times.len() - 1) * part / 100] - times[0];
        Spread {
            event,
            subject,
            nodes: times.len(),
            median_ms: after_first(50),
            late_ms: after_first(99),
            last_ms: after_first(100),
        }
    };
    heard.into_iter().map(spread).collect()
}
