//! Processor time of a process or thread, read from `/proc`.

use std::io;
use std::path::Path;
use std::time::Duration;

/// Clock ticks a second in `/proc` (`USER_HZ`; the same on all of Linux's
/// present architectures).
const TICKS_PER_SECOND: u64 = 100;
/// Positions of user and system time after the command's closing parenthesis
/// (proc(5), fields 14 and 15).
const USER_TIME: usize = 11;
const SYSTEM_TIME: usize = 12;

/// User and system time used so far.
#[derive(Clone, Copy, Debug)]
pub(super) struct CpuTime {
    ticks: u64,
}

impl CpuTime {
    /// Of a process, by its id.
    pub(super) fn of_process(id: u32) -> io::Result<Self> {
        Self::read(Path::new(&format!("/proc/{id}/stat")))
    }

    /// Of the thread with this path below `/proc`.
    pub(super) fn read(path: &Path) -> io::Result<Self> {
        let text = std::fs::read_to_string(path)?;
        let malformed = || io::Error::from(io::ErrorKind::InvalidData);
        let (_, fields) = text.rsplit_once(')').ok_or_else(malformed)?;
        let fields: Vec<&str> = fields.split_whitespace().collect();
        let field = |position: usize| -> Option<u64> { fields.get(position)?.parse().ok() };
        let user = field(USER_TIME).ok_or_else(malformed)?;
        let system = field(SYSTEM_TIME).ok_or_else(malformed)?;
        Ok(Self {
            ticks: user + system,
        })
    }

    pub(super) fn since(self, earlier: Self) -> Duration {
        let ticks = self.ticks.saturating_sub(earlier.ticks);
        Duration::from_millis(ticks * 1000 / TICKS_PER_SECOND)
    }
}
