//! Explanations of requests that failed, waited or were answered, from log
//! lines in the form that nodes write.

use std::fs;

use woodladder::explain::{Explanation, LogError, Verdict, explain, read_directory};

const FLOW: &str = "100.64.0.7:40001>198.18.0.1:443";
const OTHER_FLOW: &str = "100.64.0.9:40009>198.18.0.1:443";

/// A log line at this time of the test, with the prefix that a log collector adds.
fn line(milliseconds: u32, node: &str, event: &str, fields: &str) -> String {
    let (seconds, rest) = (milliseconds / 1000, milliseconds % 1000);
    format!(
        "  {seconds}.{rest:03} {node} {{\"msg\":\"x\",\"level\":\"INFO\",\
         \"ts\":\"2026-03-01T10:00:{seconds:02}.{rest:03}Z\",\"node\":\"{node}\",\
         \"left_out\":0,\"event\":\"{event}\"{fields}}}\n"
    )
}

fn flow_line(milliseconds: u32, node: &str, event: &str, fields: &str) -> String {
    line(
        milliseconds,
        node,
        event,
        &format!(",\"flow\":\"{FLOW}\"{fields}"),
    )
}

fn explained(key: &str, files: &[(&str, String)]) -> Option<Explanation> {
    let directory = tempfile::tempdir().expect("a directory");
    for (name, text) in files {
        fs::write(directory.path().join(name), text).expect("written");
    }
    let lines = read_directory(directory.path()).expect("log lines");
    explain(key, &lines)
}

/// The target's machine lost power while the request was running.
#[test]
fn a_request_whose_agent_was_lost_names_the_loss() {
    let balancer = [
        flow_line(1000, "edge-1", "flow_sent", ",\"agent\":\"10.0.0.9:7000\""),
        line(
            2700,
            "edge-1",
            "agent_lost",
            ",\"agent\":\"10.0.0.9:7000\",\"silence_ms\":660.0",
        ),
        line(2700, "edge-1", "agent_lost", ",\"agent\":\"10.0.0.8:7000\""),
    ];
    let agent = [
        flow_line(
            1002,
            "side-1",
            "flow_offered",
            ",\"balancer\":\"10.0.0.1:7000\"",
        ),
        flow_line(
            1005,
            "side-1",
            "request_delivered",
            ",\"request\":\"a1b2\",\"busy\":3",
        ),
    ];
    let files = [
        ("edge.log", balancer.concat()),
        ("side.log", agent.concat()),
    ];
    let explanation = explained("a1b2", &files).expect("known");
    assert_eq!(explanation.flows, [FLOW]);
    assert_eq!(explanation.lines.len(), 3);
    assert_eq!(
        explanation.surroundings.len(),
        1,
        "the loss of another agent is not included"
    );
    let Verdict::DeliveredWithoutAnswer { node, cause } = explanation.verdict else {
        panic!("{:?}", explanation.verdict);
    };
    assert_eq!(node, "side-1");
    assert!(
        cause
            .expect("a cause")
            .contains("agent_lost for 10.0.0.9:7000")
    );
}

/// A new configuration removed the route of the service.
#[test]
fn a_request_reset_after_a_configuration_change_shows_that_change() {
    let balancer = [
        line(
            900,
            "edge-1",
            "configuration_adopted",
            ",\"version\":9,\"former\":7",
        ),
        flow_line(
            1000,
            "edge-1",
            "flow_reset",
            ",\"reason\":\"no_route\",\"retry_is_safe\":true",
        ),
    ];
    let files = [("edge.log", balancer.concat())];
    let explanation = explained("100.64.0.7:40001", &files).expect("known by its caller");
    let reset = Verdict::Reset {
        node: "edge-1".to_owned(),
        reason: "no_route".to_owned(),
        retry_is_safe: true,
    };
    assert_eq!(explanation.verdict, reset);
    assert_eq!(explanation.surroundings[0].event, "configuration_adopted");
    assert!(
        explanation
            .missing
            .iter()
            .any(|text| text.contains("no line of an agent"))
    );
}

/// The agent queued a request on an open flow; the work ahead of it is reported.
#[test]
fn a_queued_request_names_the_work_ahead_of_it() {
    let queued = flow_line(
        1000,
        "side-1",
        "request_queued",
        ",\"urgent\":false,\"busy\":2,\"opening\":1,\"queued\":5,\"urgent_waiting\":3",
    );
    let released = flow_line(
        1200,
        "side-1",
        "queued_work_released",
        ",\"waited_ms\":199.0",
    );
    let given_up = flow_line(4000, "side-1", "request_given_up", ",\"waited_ms\":3000.0");
    let delivered = flow_line(1195, "side-1", "request_delivered", ",\"request\":\"a1b2\"");
    let verdict = |key: &str, lines: &[&String]| {
        let text = lines.iter().map(|line| line.as_str()).collect::<String>();
        explained(key, &[("side.log", text)])
            .expect("known")
            .verdict
    };
    let node = "side-1".to_owned();
    let behind = "3 running or expected, 4 queued, 3 of them urgent".to_owned();
    let waiting = Verdict::Waiting {
        node: node.clone(),
        behind: behind.clone(),
    };
    assert_eq!(verdict(FLOW, &[&queued]), waiting);
    let dropped = Verdict::GivenUp { node, behind };
    assert_eq!(verdict(FLOW, &[&queued, &given_up]), dropped);
    let delivered_lines = [&queued, &delivered, &released];
    for key in [FLOW, "a1b2"] {
        let delivered_verdict = verdict(key, &delivered_lines);
        assert!(matches!(
            delivered_verdict,
            Verdict::DeliveredWithoutAnswer { .. }
        ));
    }
    let with_later_request_queued = verdict("a1b2", &[&delivered, &released, &queued]);
    assert!(matches!(
        with_later_request_queued,
        Verdict::DeliveredWithoutAnswer { .. }
    ));
}

/// Every target was full until the opening's waiting time was over.
#[test]
fn a_request_without_a_free_target_names_the_reset() {
    let balancer = [
        flow_line(1000, "edge-1", "flow_without_target", ",\"known\":7"),
        flow_line(
            2200,
            "edge-1",
            "flow_reset",
            ",\"reason\":\"no_target\",\"retry_is_safe\":true",
        ),
    ];
    let files = [("edge.log", balancer.concat())];
    let explanation = explained(FLOW, &files).expect("known by its flow");
    assert_eq!(
        explanation.verdict.to_string(),
        "reset by edge-1: no_target; nothing has run, so a retry is safe"
    );
}

#[test]
fn an_answered_request_is_reported_as_answered() {
    let agent = [
        flow_line(1005, "side-1", "request_delivered", ",\"request\":\"a1b2\""),
        flow_line(1050, "side-1", "request_answered", ",\"service_ms\":45.0"),
        line(
            1060,
            "side-1",
            "request_delivered",
            &format!(",\"flow\":\"{OTHER_FLOW}\",\"request\":\"c3\""),
        ),
    ];
    let files = [("side.log", agent.concat())];
    let explanation = explained("a1b2", &files).expect("known");
    assert!(matches!(explanation.verdict, Verdict::Answered { .. }));
    assert_eq!(explanation.lines.len(), 2);
}

#[test]
fn unknown_keys_and_missing_logs_are_reported() {
    let files = [("side.log", line(1, "side-1", "started", ""))];
    assert_eq!(explained("a1b2", &files), None);
    let empty = tempfile::tempdir().expect("a directory");
    assert!(matches!(
        read_directory(empty.path()),
        Err(LogError::NoLines(_))
    ));
    let absent = empty.path().join("absent");
    assert!(matches!(
        read_directory(&absent),
        Err(LogError::Unreadable(..))
    ));
}

#[test]
fn lines_left_out_are_counted() {
    let left_out =
        flow_line(1000, "edge-1", "flow_sent", "").replace("\"left_out\":0", "\"left_out\":12");
    let explanation = explained(FLOW, &[("edge.log", left_out)]).expect("known");
    assert!(
        explanation
            .missing
            .iter()
            .any(|text| text.contains("edge-1 left out 12 lines"))
    );
}

/// The target crashed while the request was running and restarted under the
/// same name.
#[test]
fn a_request_whose_target_restarted_names_the_replacement() {
    let replaced = |agent: &str| {
        let fields = format!(",\"agent\":\"{agent}\",\"ended\":\"80aa\",\"flows_reset\":12");
        line(1700, "edge-1", "target_replaced", &fields)
    };
    let balancer = [
        flow_line(1000, "edge-1", "flow_sent", ",\"agent\":\"10.0.0.9:7000\""),
        replaced("10.0.0.9:7000"),
        replaced("10.0.0.8:7000"),
    ];
    let delivered = ",\"request\":\"a1b2\",\"busy\":3";
    let agent = flow_line(1005, "side-1", "request_delivered", delivered);
    let files = [("edge.log", balancer.concat()), ("side.log", agent.clone())];
    let explanation = explained("a1b2", &files).expect("known");
    assert_eq!(explanation.surroundings.len(), 1);
    let text = explanation.verdict.to_string();
    assert!(text.contains("target_replaced for 10.0.0.9:7000"), "{text}");
    let reset = ",\"reason\":\"target_ended\",\"retry_is_safe\":false";
    let with_reset = [
        balancer.concat(),
        flow_line(1701, "edge-1", "flow_reset", reset),
    ];
    let files = [("edge.log", with_reset.concat()), ("side.log", agent)];
    let explanation = explained("a1b2", &files).expect("known");
    let text = explanation.verdict.to_string();
    assert_eq!(
        text,
        "reset by edge-1: target_ended; the request may have run"
    );
}
