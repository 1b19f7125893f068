//! Structured logging to standard error through an asynchronous slog drain.
//!
//! Messages are short sentences that start with the fixed prefix of the
//! component that logs them, such as `balancer: ` or `control: `.

use slog::{Drain, Level, Logger, o};
use slog_async::OverflowStrategy;

/// Maximum number of records that wait for the asynchronous drain. Further records
/// are dropped, and the number of dropped records is logged.
const QUEUE_LENGTH: usize = 4096;

/// Minimum severity of the records that are written.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum LogLevel {
    /// Every step of every component.
    Trace,
    /// Steps of the control traffic.
    Debug,
    /// Starts, stops and changes of configuration.
    #[default]
    Info,
    /// Failures of other nodes or services that were handled.
    Warning,
    /// Failures that need an operator.
    Error,
}

/// Output format of log records.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum LogFormat {
    /// Human-readable text.
    #[default]
    Terminal,
    /// One JSON object on each line.
    Json,
}

/// Which records are logged, and in which format.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct LogSettings {
    /// Minimum severity of the records that are written.
    pub level: LogLevel,
    /// Output format of the records.
    pub format: LogFormat,
}

/// Flushes the queued records when it is dropped.
pub struct LogGuard {
    _drain: slog_async::AsyncGuard,
}

impl LogLevel {
    /// The level with this name, as the setting `log_level` spells it.
    #[must_use]
    pub fn from_name(name: &str) -> Option<Self> {
        match name {
            "trace" => Some(Self::Trace),
            "debug" => Some(Self::Debug),
            "info" => Some(Self::Info),
            "warning" => Some(Self::Warning),
            "error" => Some(Self::Error),
            _ => None,
        }
    }

    fn to_slog(self) -> Level {
        match self {
            Self::Trace => Level::Trace,
            Self::Debug => Level::Debug,
            Self::Info => Level::Info,
            Self::Warning => Level::Warning,
            Self::Error => Level::Error,
        }
    }
}

impl LogFormat {
    /// The format with this name, as the setting `log_format` spells it.
    #[must_use]
    pub fn from_name(name: &str) -> Option<Self> {
        match name {
            "terminal" => Some(Self::Terminal),
            "json" => Some(Self::Json),
            _ => None,
        }
    }
}

/// Creates a logger that writes to standard error. Records that cannot be
/// written, for example because the reader closed the pipe, are discarded, and
/// the process continues.
pub fn open(settings: LogSettings) -> (Logger, LogGuard) {
    match settings.format {
        LogFormat::Terminal => {
            let decorator = slog_term::TermDecorator::new().stderr().build();
            let drain = slog_term::FullFormat::new(decorator).build();
            asynchronous_logger(drain.ignore_res(), settings.level)
        }
        LogFormat::Json => {
            let drain = slog_json::Json::default(std::io::stderr());
            asynchronous_logger(std::sync::Mutex::new(drain).ignore_res(), settings.level)
        }
    }
}

/// A logger that writes nothing.
pub fn discarding_logger() -> Logger {
    Logger::root(slog::Discard, o!())
}

/// A logger that queues records for a thread of its own, which writes them to
/// `drain`.
fn asynchronous_logger<D>(drain: D, level: LogLevel) -> (Logger, LogGuard)
where
    D: Drain<Ok = (), Err = slog::Never> + Send + 'static,
{
    let filtered = drain.filter_level(level.to_slog()).ignore_res();
    let (drain, guard) = slog_async::Async::new(filtered)
        .chan_size(QUEUE_LENGTH)
        .overflow_strategy(OverflowStrategy::DropAndReport)
        .build_with_guard();
    (
        Logger::root(drain.ignore_res(), o!()),
        LogGuard { _drain: guard },
    )
}
