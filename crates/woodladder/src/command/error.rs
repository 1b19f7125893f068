//! Errors of commands and their exit codes.

use std::fmt;
use std::path::Path;

use woodladder_core::finding::Findings;

use crate::process::{Exit, StartError};

/// Error of a command.
#[derive(Debug)]
pub enum CommandError {
    /// An input has findings.
    Findings(Findings),
    /// The command was refused, for this reason.
    Refused(String),
    /// A file cannot be read or written.
    File {
        /// Path of the file.
        file: String,
        /// Error of the operating system.
        error: std::io::Error,
    },
    /// The key-value service cannot be reached or does not answer in time;
    /// nothing was changed.
    StoreUnreachable(String),
    /// Another operator's roll took effect first.
    LostRace(String),
    /// The outcome is unknown, or the command timed out.
    Unknown(String),
    /// An internal error of the program or the machine.
    Internal(String),
}

impl CommandError {
    /// The error for a file that cannot be read or written.
    #[must_use]
    pub fn file(path: &Path, error: std::io::Error) -> Self {
        Self::File {
            file: path.display().to_string(),
            error,
        }
    }

    /// Exit code of the command.
    #[must_use]
    pub fn exit(&self) -> Exit {
        match self {
            Self::Findings(_) | Self::Refused(_) | Self::File { .. } => Exit::Refused,
            Self::StoreUnreachable(_) => Exit::StoreUnreachable,
            Self::LostRace(_) => Exit::LostRace,
            Self::Unknown(_) => Exit::Unknown,
            Self::Internal(_) => Exit::Internal,
        }
    }
}

impl From<Findings> for CommandError {
    fn from(findings: Findings) -> Self {
        Self::Findings(findings)
    }
}

impl From<StartError> for CommandError {
    fn from(error: StartError) -> Self {
        Self::Internal(error.to_string())
    }
}

impl fmt::Display for CommandError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Findings(findings) => findings.fmt(formatter),
            Self::File { file, error } => write!(formatter, "{file}: {error}"),
            Self::Refused(reason)
            | Self::StoreUnreachable(reason)
            | Self::LostRace(reason)
            | Self::Unknown(reason)
            | Self::Internal(reason) => formatter.write_str(reason),
        }
    }
}

impl std::error::Error for CommandError {}
