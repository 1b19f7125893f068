//! The monotonic clock of a process.

use std::time::Duration;

use woodladder_node::node_clock::NodeClock;

/// A process that has just started receives packets whose first copies were sent before
/// the start; their full age must be representable.
#[test]
fn a_time_before_the_start_of_the_process_can_be_expressed() {
    let now = NodeClock::start().now();
    let age = Duration::from_secs(60);
    assert!(now.since_origin() > age, "{now:?}");
}
