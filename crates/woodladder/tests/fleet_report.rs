//! Traffic totals and propagation times, from log lines in the form that nodes
//! write.

use std::fs;

use woodladder::explain::{LogLine, read_directory};
use woodladder::fleet_report::{Propagation, TrafficTotal, compute_report};

fn line(milliseconds: u32, node: &str, text: &str, event: &str, fields: &str) -> String {
    format!(
        "{{\"msg\":\"{text}\",\"ts\":\"2026-03-01T10:00:00.{milliseconds:03}Z\",\
         \"node\":\"{node}\",\"event\":\"{event}\",{fields}}}\n"
    )
}

fn read(text: &[String]) -> Vec<LogLine> {
    let directory = tempfile::tempdir().expect("a directory");
    fs::write(directory.path().join("day.log"), text.concat()).expect("written");
    read_directory(directory.path()).expect("log lines")
}

fn messages_exchanged(milliseconds: u32, node: &str, sent: &str) -> String {
    let fields = format!("\"sent\":\"{sent}\",\"received\":\"\"");
    let text = "agent: messages exchanged";
    line(milliseconds, node, text, "messages_exchanged", &fields)
}

#[test]
fn the_last_totals_of_each_process_are_added() {
    let lines = read(&[
        messages_exchanged(100, "side-1", "report=10/800 accepted=1/40"),
        messages_exchanged(200, "side-1", "report=20/1600 accepted=1/40"),
        // side-1 has restarted.
        messages_exchanged(300, "side-1", "report=5/400"),
        messages_exchanged(300, "side-2", "report=7/560"),
    ]);
    let total = |kind: &str, nodes, count, bytes, most| TrafficTotal {
        role: "agent".to_owned(),
        direction: "sent",
        kind: kind.to_owned(),
        nodes,
        count,
        bytes,
        most,
    };
    let expected = vec![
        total("accepted", 1, 1, 40, 1),
        total("report", 2, 32, 2560, 25),
    ];
    assert_eq!(compute_report(&lines).totals, expected);
}

#[test]
fn propagation_is_measured_from_the_first_node_that_has_a_change() {
    let adopted = |milliseconds, node| {
        let text = "node: configuration adopted";
        line(
            milliseconds,
            node,
            text,
            "configuration_adopted",
            "\"version\":7",
        )
    };
    let lines = read(&[
        adopted(140, "edge-2"),
        adopted(100, "edge-1"),
        adopted(350, "side-1"),
        // Only a node's first line about a change counts.
        adopted(900, "edge-1"),
    ]);
    let expected = Propagation {
        event: "configuration_adopted",
        subject: "7".to_owned(),
        nodes: 3,
        median_ms: 40,
        p99_ms: 40,
        last_ms: 250,
    };
    assert_eq!(compute_report(&lines).propagations, vec![expected]);
}
