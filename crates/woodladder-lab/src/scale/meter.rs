//! What one node costs: bytes, messages and processor time.

use std::time::Duration;

use rustix::time::{ClockId, clock_gettime};

/// Bytes of IPv4 and UDP headers before a datagram.
pub(super) const HEADER_LENGTH: u64 = 28;

/// Cost of one node since the meter was reset.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct NodeMeter {
    pub(super) messages: u64,
    /// All bytes, those of the machine list included.
    pub(super) bytes: u64,
    pub(super) list_bytes: u64,
    pub(super) processor: Duration,
}

impl NodeMeter {
    /// Counts a datagram sent or received.
    pub(super) fn datagram(&mut self, length: usize) {
        self.messages += 1;
        self.bytes += length as u64 + HEADER_LENGTH;
    }
}

/// Processor time of this thread so far.
pub(super) fn processor_time() -> Duration {
    let time = clock_gettime(ClockId::ThreadCPUTime);
    let seconds = u64::try_from(time.tv_sec).unwrap_or_default();
    let nanoseconds = u32::try_from(time.tv_nsec).unwrap_or_default();
    Duration::new(seconds, nanoseconds)
}

/// Resident memory of this process in bytes; zero when it cannot be read.
pub(super) fn resident_memory() -> u64 {
    resident_memory_of(std::process::id())
}

/// Resident memory of a process in bytes; zero when it cannot be read.
pub(super) fn resident_memory_of(process: u32) -> u64 {
    let pages = std::fs::read_to_string(format!("/proc/{process}/statm"))
        .ok()
        .and_then(|text| text.split_whitespace().nth(1)?.parse::<u64>().ok())
        .unwrap_or_default();
    pages * rustix::param::page_size() as u64
}
