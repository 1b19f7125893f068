//! Each stand-in runs as a process: it tells its addresses and ends on SIGTERM.

mod support;

use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::process::{Child, Command, Stdio};

use serde_json::Value;
use support::HttpClient;

/// A stand-in's process, killed if the test fails.
struct StandIn {
    child: Child,
    ready: Value,
}

impl StandIn {
    fn start(arguments: &[&str]) -> Self {
        let mut child = Command::new(env!("CARGO_BIN_EXE_woodladder-lab"))
            .arg("stand-in")
            .args(arguments)
            .stdout(Stdio::piped())
            .spawn()
            .expect("spawn");
        let output = child.stdout.take().expect("output");
        let mut line = String::new();
        BufReader::new(output)
            .read_line(&mut line)
            .expect("ready line");
        let ready = serde_json::from_str(&line).expect("JSON");
        Self { child, ready }
    }

    fn address(&self, name: &str) -> SocketAddr {
        let address = self.ready[name].as_str().expect("address");
        address.parse().expect("socket address")
    }

    fn terminate(mut self) {
        let process = self.child.id().to_string();
        let sent = Command::new("kill").args(["-TERM", &process]).status();
        assert!(sent.expect("kill").success());
        assert!(self.child.wait().expect("wait").success());
    }
}

impl Drop for StandIn {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

#[tokio::test]
async fn each_stand_in_tells_its_addresses_and_ends_on_a_signal() {
    let client = HttpClient::default();
    let store = StandIn::start(&["store", "--requests-per-second", "100"]);
    let answer = client.get(store.address("address"), "/v1/kv/x").await;
    assert_eq!(answer.expect("answer").status, 404);

    let list = StandIn::start(&[
        "machine-list",
        "--balancer",
        "127.0.0.1:7000",
        "--lag",
        "1s",
    ]);
    let answer = client
        .get(list.address("address"), "/machines")
        .await
        .expect("answer");
    assert_eq!(answer.json::<Value>()[0]["role"], "balancer");

    let back_end = StandIn::start(&["back-end", "--service", "a", "--name", "a-1"]);
    let answer = client.get(back_end.address("address"), "/health").await;
    assert_eq!(answer.expect("answer").status, 200);

    let fabric = StandIn::start(&["fabric", "--service-address", "127.0.0.1:0"]);
    let answer = client.get(fabric.address("admin"), "/counters").await;
    assert_eq!(answer.expect("answer").status, 200);

    let route = format!("127.0.0.1:0={}", store.address("address"));
    let proxy = StandIn::start(&["fault-proxy", "--tcp", &route]);
    let relayed = proxy.ready["tcp"][0].as_str().expect("address");
    let answer = client
        .get(relayed.parse().expect("socket address"), "/v1/kv/x")
        .await;
    assert_eq!(answer.expect("answer").status, 404);

    for stand_in in [store, list, back_end, fabric, proxy] {
        stand_in.terminate();
    }
}

#[test]
fn refuses_a_malformed_balancer_address() {
    let output = Command::new(env!("CARGO_BIN_EXE_woodladder-lab"))
        .args([
            "stand-in",
            "fabric",
            "--service-address",
            "127.0.0.1:0",
            "--balancer",
            "x",
        ])
        .output()
        .expect("run");
    assert!(!output.status.success());
    assert!(String::from_utf8_lossy(&output.stderr).contains("`x` is not an IP address"));
}
