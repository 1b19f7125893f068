//! How a process ends.

use std::process::ExitCode;

/// How a command ended; the number is the process's exit code.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[repr(u8)]
pub enum Exit {
    /// It did what it was asked to.
    Success = 0,
    /// It was refused, or a check found faults.
    Refused = 1,
    /// The command line was wrong.
    Usage = 2,
    /// The key-value service cannot be reached or does not answer; nothing
    /// was changed.
    StoreUnreachable = 3,
    /// Another operator's roll took effect first.
    LostRace = 4,
    /// The outcome is not known, or the time for it ran out.
    Unknown = 5,
    /// A fault of the program or of the machine.
    Internal = 70,
}

/// Exit codes, for the end of each help text.
pub const EXIT_CODES_HELP: &str = "Exit codes:
  0   success
  1   refused, or a check found faults
  2   wrong command line
  3   the key-value service cannot be reached; nothing was changed
  4   another operator's roll took effect first
  5   the outcome is not known, or the time for it ran out
  70  a fault of the program or of the machine";

impl From<Exit> for ExitCode {
    fn from(exit: Exit) -> Self {
        Self::from(exit as u8)
    }
}
