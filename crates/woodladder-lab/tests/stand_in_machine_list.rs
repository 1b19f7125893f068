//! The machine list lags, names dead machines and omits live ones.

mod support;

use std::time::Duration;

use support::HttpClient;
use woodladder_core::clock::Instant;
use woodladder_lab::stand_in::machine_list::{
    Machine, MachineList, MachineListConfig, MachineListOverride, MachineListState, MachineRole,
    MachineState,
};

fn balancer(port: u16) -> Machine {
    Machine {
        address: ([127, 0, 0, 1], port).into(),
        role: MachineRole::Balancer,
        state: MachineState::Live,
    }
}

#[test]
fn a_change_is_visible_after_the_lag_and_not_before() {
    let mut state = MachineListState::new(vec![balancer(1)], Duration::from_secs(3));
    let at = |seconds| Instant::from_origin(Duration::from_secs(seconds));
    state.set_machines(vec![balancer(2)], at(10));
    assert_eq!(state.report(at(12)), vec![balancer(1)]);
    assert_eq!(state.report(at(13)), vec![balancer(2)]);
}

#[tokio::test]
async fn serves_the_list_with_its_untruths() {
    let list = MachineList::start(MachineListConfig {
        machines: vec![balancer(1), balancer(2)],
        ..MachineListConfig::default()
    })
    .await
    .expect("list");
    let client = HttpClient::default();
    let untruth = MachineListOverride {
        add: vec![balancer(3)],
        omit: vec![balancer(1).address],
    };
    let body = serde_json::to_vec(&untruth).expect("JSON");
    let answer = client
        .put(list.admin_address(), "/override", body)
        .await
        .expect("answer");
    assert_eq!(answer.status, 200);
    let reported: Vec<Machine> = client
        .get(list.address(), "/machines")
        .await
        .expect("answer")
        .json();
    assert_eq!(reported, vec![balancer(2), balancer(3)]);
    let text = r#"[{"address":"127.0.0.1:9","role":"agent","state":"leaving"}]"#;
    let answer = client
        .put(list.admin_address(), "/machines", text)
        .await
        .expect("answer");
    assert_eq!(answer.status, 200);
}
