//! Logs: structured, to standard error, by an asynchronous drain.
//!
//! Messages are short sentences that start with the fixed prefix of their
//! part, such as `balancer: ` or `control: `.

use slog::{Drain, Level, Logger, o};
use slog_async::OverflowStrategy;

/// Records that may wait for the drain before further ones are dropped and
/// counted.
const QUEUE_LENGTH: usize = 4096;

/// Least severe records that are written.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum LogLevel {
    /// Every step of every part.
    Trace,
    /// Steps of the control traffic.
    Debug,
    /// Starts, stops and changes of configuration.
    #[default]
    Info,
    /// Faults of others that were dealt with.
    Warning,
    /// Faults that need the operators.
    Error,
}

/// Form of a log record.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum LogFormat {
    /// Text for people.
    #[default]
    Terminal,
    /// One JSON object on each line.
    Json,
}

/// What is logged and in which form.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct LogSettings {
    /// Least severe records that are written.
    pub level: LogLevel,
    /// Form of a record.
    pub format: LogFormat,
}

/// Writes the records that still wait when it is dropped.
pub struct LogGuard {
    _drain: slog_async::AsyncGuard,
}

impl LogLevel {
    /// The level with this name.
    #[must_use]
    pub fn named(name: &str) -> Option<Self> {
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
    /// The format with this name.
    #[must_use]
    pub fn named(name: &str) -> Option<Self> {
        match name {
            "terminal" => Some(Self::Terminal),
            "json" => Some(Self::Json),
            _ => None,
        }
    }
}

/// Opens the log on standard error. Records that cannot be written, such as
/// when nobody reads them any more, are lost; the process goes on.
pub fn open(settings: LogSettings) -> (Logger, LogGuard) {
    match settings.format {
        LogFormat::Terminal => {
            let decorator = slog_term::TermDecorator::new().stderr().build();
            let drain = slog_term::FullFormat::new(decorator).build();
            detached(drain.ignore_res(), settings.level)
        }
        LogFormat::Json => {
            let drain = slog_json::Json::default(std::io::stderr());
            detached(std::sync::Mutex::new(drain).ignore_res(), settings.level)
        }
    }
}

/// A log that writes nothing.
pub fn discarding_logger() -> Logger {
    Logger::root(slog::Discard, o!())
}

fn detached<D>(drain: D, level: LogLevel) -> (Logger, LogGuard)
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
