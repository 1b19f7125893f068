//! Why a report could not be written.

use std::fmt;
use std::path::PathBuf;

use super::packets::PacketError;

/// Why a report could not be written.
#[derive(Debug)]
pub enum ReportError {
    /// The system's error at a file.
    File {
        /// The file.
        path: PathBuf,
        /// The error.
        error: std::io::Error,
    },
    /// A plot could not be drawn.
    Plot {
        /// Its file.
        path: PathBuf,
        /// The library's message.
        message: String,
    },
    /// The figures could not be encoded.
    Encoding(serde_json::Error),
    /// The packet path could not be measured.
    Packets(PacketError),
}

impl fmt::Display for ReportError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::File { path, error } => {
                write!(formatter, "{} cannot be written: {error}", path.display())
            }
            Self::Plot { path, message } => {
                write!(formatter, "{} cannot be drawn: {message}", path.display())
            }
            Self::Packets(error) => error.fmt(formatter),
            Self::Encoding(error) => write!(formatter, "the figures cannot be encoded: {error}"),
        }
    }
}

impl std::error::Error for ReportError {}
