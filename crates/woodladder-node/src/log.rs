//! The log of a node: one JSON object per line on standard output. A separate thread
//! writes it; records that arrive while its queue is full are dropped and counted.

use std::sync::Mutex;

use slog::{Drain, Level, Logger, o};
use slog_async::OverflowStrategy;

/// Maximum number of records that wait for the writer thread.
const QUEUE_LENGTH: usize = 2048;

/// Keeps the log open; dropping it writes the records that still wait.
pub struct LogGuard {
    _writer: slog_async::AsyncGuard,
}

/// Opens the log of the node with this name.
pub fn open(level: Level, node: &str) -> (Logger, LogGuard) {
    let json = slog_json::Json::default(std::io::stdout());
    let drain = Mutex::new(json).ignore_res().filter_level(level);
    let (writer, guard) = slog_async::Async::new(drain.ignore_res())
        .chan_size(QUEUE_LENGTH)
        .overflow_strategy(OverflowStrategy::DropAndReport)
        .build_with_guard();
    let logger = Logger::root(writer.ignore_res(), o!("node" => node.to_owned()));
    (logger, LogGuard { _writer: guard })
}
