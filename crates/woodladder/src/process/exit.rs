//! Exit codes of the process.

use std::process::ExitCode;

/// Result of a command; its number is the exit code of the process.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[repr(u8)]
pub enum Exit {
    /// The command succeeded.
    Success = 0,
    /// The command was refused, or a check has findings.
    Refused = 1,
    /// The command line is invalid.
    Usage = 2,
    /// The key-value service cannot be reached or does not answer in time;
    /// nothing was changed.
    StoreUnreachable = 3,
    /// Another operator's roll took effect first.
    LostRace = 4,
    /// The outcome is unknown, or the command timed out.
    Unknown = 5,
    /// An internal error of the program or the machine.
    Internal = 70,
}

/// Exit codes, for the end of each help text.
pub const EXIT_CODES_HELP: &str = "Exit codes:
  0   success
  1   refused, or a check has findings
  2   invalid command line
  3   the key-value service cannot be reached or does not answer in time; nothing was changed
  4   another operator's roll took effect first
  5   the outcome is unknown, or the command timed out
  70  internal error of the program or the machine";

impl From<Exit> for ExitCode {
    fn from(exit: Exit) -> Self {
        Self::from(exit as u8)
    }
}
