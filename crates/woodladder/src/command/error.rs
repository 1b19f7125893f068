//! Why a command failed, and the exit code that it gives.

use std::fmt;
use std::path::Path;

use woodladder_core::finding::Findings;

use crate::process::{Exit, StartError};

/// Why a command failed.
#[derive(Debug)]
pub enum Failure {
    /// An input has faults.
    Findings(Findings),
    /// It was refused.
    Refused(String),
    /// A file cannot be read or written.
    File {
        /// Name of the file.
        file: String,
        /// The system's error.
        error: std::io::Error,
    },
    /// The key-value service gave no answer; nothing was changed.
    StoreUnreachable(String),
    /// Another operator's roll took effect first.
    LostRace(String),
    /// The outcome is not known, or the time for it ran out.
    Unknown(String),
    /// A fault of the program or of the machine.
    Internal(String),
}

impl Failure {
    /// A file cannot be read or written.
    #[must_use]
    pub fn file(path: &Path, error: std::io::Error) -> Self {
        Self::File {
            file: path.display().to_string(),
            error,
        }
    }

    /// The exit code.
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

impl From<Findings> for Failure {
    fn from(findings: Findings) -> Self {
        Self::Findings(findings)
    }
}

impl From<StartError> for Failure {
    fn from(error: StartError) -> Self {
        Self::Internal(error.to_string())
    }
}

impl fmt::Display for Failure {
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

impl std::error::Error for Failure {}
