//! From a request's identifier to its cause, for three kinds of failure. The
//! lines are as nodes write them.

use std::fs;

use woodladder::explain::{Explanation, LogError, Verdict, explain, read_directory};

const FLOW: &str = "100.64.0.7:40001>198.18.0.1:443";
const OTHER: &str = "100.64.0.9:40009>198.18.0.1:443";

/// A log line at a time in milliseconds.
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

/// The request was at work when its target's machine lost power.
#[test]
fn a_request_whose_target_died_names_the_loss() {
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
        "the other agent is none of its business"
    );
    let Verdict::DeliveredWithoutAnswer { node, cause } = explanation.verdict else {
        panic!("{:?}", explanation.verdict);
    };
    assert_eq!(node, "side-1");
    assert!(
        cause
            .expect("a cause")
            .contains("agent_lost of 10.0.0.9:7000")
    );
}

/// The route was dropped by a change of the configuration.
#[test]
fn a_request_reset_at_a_change_of_configuration_names_the_version() {
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
            .any(|it| it.contains("no agent's line"))
    );
}

/// A request on an open flow waited beside its target; what it waited behind is named.
#[test]
fn a_request_that_waits_beside_its_target_names_what_it_waits_behind() {
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
    let behind = "3 at work or expected, 4 waiting, 3 of them urgent".to_owned();
    let waiting = Verdict::Waiting {
        node: node.clone(),
        behind: behind.clone(),
    };
    assert_eq!(verdict(FLOW, &[&queued]), waiting);
    let dropped = Verdict::GivenUp { node, behind };
    assert_eq!(verdict(FLOW, &[&queued, &given_up]), dropped);
    let course = [&queued, &delivered, &released];
    for key in [FLOW, "a1b2"] {
        let reached = verdict(key, &course);
        assert!(matches!(reached, Verdict::DeliveredWithoutAnswer { .. }));
    }
    let of_another = verdict("a1b2", &[&delivered, &released, &queued]);
    assert!(matches!(of_another, Verdict::DeliveredWithoutAnswer { .. }));
}

/// Every target was full, and the opening waited in vain.
#[test]
fn a_request_refused_for_load_names_the_wait() {
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
fn an_answered_request_is_told_apart() {
    let agent = [
        flow_line(1005, "side-1", "request_delivered", ",\"request\":\"a1b2\""),
        flow_line(1050, "side-1", "request_answered", ",\"service_ms\":45.0"),
        line(
            1060,
            "side-1",
            "request_delivered",
            &format!(",\"flow\":\"{OTHER}\",\"request\":\"c3\""),
        ),
    ];
    let files = [("side.log", agent.concat())];
    let explanation = explained("a1b2", &files).expect("known");
    assert!(matches!(explanation.verdict, Verdict::Answered { .. }));
    assert_eq!(explanation.lines.len(), 2);
}

#[test]
fn what_is_nowhere_is_said_so() {
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
            .any(|it| it.contains("edge-1 left out 12 lines"))
    );
}

/// The target crashed with the request at work and began again under its name.
#[test]
fn a_request_whose_target_began_again_names_the_replacement() {
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
    assert!(text.contains("target_replaced of 10.0.0.9:7000"), "{text}");
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
