//! Machines that run processes of the product.

use woodladder_core::clock::Instant;

use crate::simulation::log::ProcessRun;
use crate::simulation::topology::Machine;

/// A machine and the process on it, if one runs.
#[derive(Debug)]
pub struct Host<P> {
    machine: Machine,
    run: u32,
    /// The process.
    pub process: Option<P>,
    /// Until when the process does not run.
    pub frozen_until: Option<Instant>,
    /// When the process is to be called next.
    pub wake_at: Option<Instant>,
    /// Whether a planned stop was begun.
    pub stopping: bool,
    /// Whether it failed without a plan and has not served since.
    pub failed: bool,
}

impl<P> Host<P> {
    /// A machine without a process.
    #[must_use]
    pub fn new(machine: Machine) -> Self {
        Self {
            machine,
            run: 0,
            process: None,
            frozen_until: None,
            wake_at: None,
            stopping: false,
            failed: false,
        }
    }

    /// The present run of the process.
    #[must_use]
    pub fn run(&self) -> ProcessRun {
        ProcessRun {
            machine: self.machine,
            run: self.run,
        }
    }

    /// Number of the next run, which begins now.
    pub fn begin_run(&mut self) -> ProcessRun {
        self.run += 1;
        self.frozen_until = None;
        self.wake_at = None;
        self.stopping = false;
        self.run()
    }

    /// Ends the process.
    pub fn end(&mut self) {
        self.process = None;
        self.frozen_until = None;
        self.wake_at = None;
    }

    /// Until when the process does not run, when it is frozen now.
    #[must_use]
    pub fn frozen(&self, now: Instant) -> Option<Instant> {
        self.frozen_until.filter(|until| *until > now)
    }

    /// Whether the process runs now.
    #[must_use]
    pub fn is_awake(&self, now: Instant) -> bool {
        self.process.is_some() && self.frozen(now).is_none()
    }
}
