//! Small deployments of hollow nodes go through every course of events.

use std::time::Duration;

use woodladder_lab::scale::{
    Courses, DeploymentFigures, DeploymentSize, Scenario, ScenarioFigures, measure, measure_sockets,
};

/// Time in which a roll is to be in force everywhere.
const IN_FORCE_LIMIT: f64 = 11.0;

fn size() -> DeploymentSize {
    DeploymentSize {
        balancers: 14,
        agents: 21,
        targets: 60,
        services: 12,
        retired: 30,
        shared: false,
    }
}

fn courses() -> Courses {
    Courses {
        steady: Duration::from_secs(10),
        rolls: 4,
        restarts: 20,
        cut: Duration::from_secs(60),
        ..Courses::default()
    }
}

fn figures(seed: u64) -> DeploymentFigures {
    measure(size(), seed, &Scenario::ALL, &courses())
}

/// Traffic of each course, bit by bit.
fn traffic(figures: &DeploymentFigures) -> Vec<(u64, u64)> {
    let bits = |known: &ScenarioFigures| {
        (
            known.bytes_per_second.to_bits(),
            known.messages_per_second.to_bits(),
        )
    };
    figures.scenarios.iter().map(bits).collect()
}

fn course(figures: &DeploymentFigures, scenario: Scenario) -> &ScenarioFigures {
    let mut known = figures.scenarios.iter();
    known.find(|known| known.scenario == scenario).unwrap()
}

#[test]
fn every_course_ends_with_the_last_roll_in_force() {
    let figures = figures(1);
    assert_eq!(figures.scenarios.len(), Scenario::ALL.len());
    for scenario in &figures.scenarios {
        assert!(scenario.settled_after.is_some(), "{scenario:?}");
        assert!(scenario.in_force.longest <= IN_FORCE_LIMIT, "{scenario:?}");
        assert!(scenario.caught_up.longest <= IN_FORCE_LIMIT, "{scenario:?}");
    }
}

#[test]
fn rolls_are_counted_at_every_node() {
    let figures = figures(2);
    let changes = course(&figures, Scenario::Changes);
    assert_eq!(changes.rolls, 4);
    assert_eq!(changes.in_force.count, 4 * 35);
}

#[test]
fn nodes_that_start_in_an_outage_serve() {
    let figures = figures(3);
    let outage = course(&figures, Scenario::StoreDown);
    let served = outage.served_in_outage.unwrap();
    assert_eq!(served.ready, served.up);
    assert_eq!(outage.ready.count, 20);
    assert!(outage.store_reads_per_second < 1.0);
}

#[test]
fn same_seed_gives_the_same_traffic() {
    assert_eq!(traffic(&figures(4)), traffic(&figures(4)));
}

#[test]
fn nodes_that_share_a_copy_send_the_same_traffic() {
    let shared = DeploymentSize {
        shared: true,
        ..size()
    };
    let shared = measure(shared, 5, &Scenario::ALL, &courses());
    assert_eq!(traffic(&shared), traffic(&figures(5)));
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn rolls_get_everywhere_over_real_sockets() {
    let small = DeploymentSize {
        balancers: 3,
        agents: 4,
        ..size()
    };
    let steady = Duration::from_millis(100);
    let figures = measure_sockets(small, 1, steady).await.unwrap();
    assert_eq!(figures.in_force.count, 7);
}
