//! The time of the next tick.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use tokio::task::LocalSet;
use tokio::time::{Instant, timeout};
use woodladder_node::tick_timer::TickTimer;

const LONG: Duration = Duration::from_secs(3600);
const SHORT: Duration = Duration::from_millis(5);
/// Far less than [`LONG`], and ample on a busy machine.
const SOON: Duration = Duration::from_secs(60);

#[tokio::test]
async fn a_tick_that_becomes_due_sooner_ends_the_wait() {
    let timer = Rc::new(TickTimer::default());
    let waits = Rc::new(Cell::new(false));
    let tasks = LocalSet::new();
    let (waiting, started) = (Rc::clone(&timer), Rc::clone(&waits));
    let wait = tasks.spawn_local(async move {
        waiting
            .until_due(|| {
                started.set(true);
                LONG
            })
            .await;
    });
    tasks
        .run_until(async {
            while !waits.get() {
                tokio::task::yield_now().await;
            }
            timer.shorten(SHORT);
            timeout(SOON, wait).await.expect("woken").expect("joined");
        })
        .await;
}

#[tokio::test]
async fn a_longer_interval_does_not_put_a_tick_off() {
    let timer = TickTimer::default();
    let before = Instant::now();
    timer.until_due(|| SHORT).await;
    timer.shorten(LONG);
    timeout(SOON, timer.until_due(|| SHORT)).await.expect("due");
    assert!(before.elapsed() >= SHORT * 2);
}
