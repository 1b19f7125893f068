//! When a node's next tick is due.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use tokio::task::LocalSet;
use tokio::time::{Instant, timeout};
use woodladder_node::tick_timer::TickTimer;

const LONG: Duration = Duration::from_secs(3600);
const SHORT: Duration = Duration::from_millis(5);
/// Test timeout: far less than [`LONG`], and enough on a busy machine.
const SOON: Duration = Duration::from_secs(60);

#[tokio::test]
async fn a_tick_that_becomes_due_sooner_ends_the_wait() {
    let timer = Rc::new(TickTimer::default());
    let is_waiting = Rc::new(Cell::new(false));
    let tasks = LocalSet::new();
    let (waiting_timer, waiting_flag) = (Rc::clone(&timer), Rc::clone(&is_waiting));
    let wait = tasks.spawn_local(async move {
        waiting_timer
            .wait_until_due(|| {
                waiting_flag.set(true);
                LONG
            })
            .await;
    });
    tasks
        .run_until(async {
            while !is_waiting.get() {
                tokio::task::yield_now().await;
            }
            timer.bring_forward(SHORT);
            timeout(SOON, wait).await.expect("woken").expect("joined");
        })
        .await;
}

#[tokio::test]
async fn a_longer_interval_does_not_delay_a_tick() {
    let timer = TickTimer::default();
    let before = Instant::now();
    timer.wait_until_due(|| SHORT).await;
    timer.bring_forward(LONG);
    timeout(SOON, timer.wait_until_due(|| SHORT))
        .await
        .expect("due");
    assert!(before.elapsed() >= SHORT * 2);
}
