//! Logs: one JSON object a line on standard output, written by a thread of its
//! own. Records that find its queue full are dropped and counted.

use std::sync::Mutex;

use slog::{Drain, Level, Logger, o};
use slog_async::OverflowStrategy;

/// Records that may wait for the writer.
const QUEUE_LENGTH: usize = 2048;

/// Writes the records that still wait when it is dropped.
pub struct LogGuard {
    _writer: slog_async::AsyncGuard,
}

/// Opens the log of a node.
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
