//! Why the demo could not go on.

use std::fmt;
use std::io;

/// Name that the agents' certificate carries.
pub const SERVER_NAME: &str = "woodladder.test";

/// Why the demo could not go on.
#[derive(Debug)]
pub enum ClusterError {
    /// A file or process could not be made.
    System(io::Error),
    /// The certificate could not be made.
    Certificate(rcgen::Error),
    /// A process did not become ready in time.
    NotReady {
        /// Its name.
        name: String,
    },
    /// A command of the operator failed.
    Command {
        /// Its name.
        name: String,
        /// What it printed.
        output: String,
    },
}

impl fmt::Display for ClusterError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::System(error) => write!(formatter, "the system refused: {error}"),
            Self::Certificate(error) => write!(formatter, "no certificate: {error}"),
            Self::NotReady { name } => write!(formatter, "{name} did not become ready"),
            Self::Command { name, output } => write!(formatter, "{name} failed:\n{output}"),
        }
    }
}

impl std::error::Error for ClusterError {}

impl From<io::Error> for ClusterError {
    fn from(error: io::Error) -> Self {
        Self::System(error)
    }
}

impl From<rcgen::Error> for ClusterError {
    fn from(error: rcgen::Error) -> Self {
        Self::Certificate(error)
    }
}
