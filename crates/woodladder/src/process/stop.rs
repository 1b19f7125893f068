//! Requests for a planned stop, from process signals or from the program itself.

use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::watch;

/// Signal that a planned stop has been requested. Each part of the process that
/// reacts to a stop holds a clone.
#[derive(Clone, Debug)]
pub struct StopSignal {
    is_requested: watch::Receiver<bool>,
}

/// Requests a planned stop from all holders of the [`StopSignal`].
#[derive(Clone, Debug)]
pub struct StopSwitch {
    is_requested: watch::Sender<bool>,
}

impl StopSignal {
    /// A stop signal and the switch that sets it.
    #[must_use]
    pub fn new() -> (StopSwitch, Self) {
        let (sender, receiver) = watch::channel(false);
        (
            StopSwitch {
                is_requested: sender,
            },
            Self {
                is_requested: receiver,
            },
        )
    }

    /// A stop signal that SIGTERM, SIGINT and SIGHUP set. SIGHUP is included because
    /// volo-http's server stops on any of the three, and the process must not go on
    /// without its HTTP server.
    ///
    /// # Errors
    /// The operating system's error when the handlers cannot be installed.
    pub fn on_process_signals() -> std::io::Result<Self> {
        let mut terminate = signal(SignalKind::terminate())?;
        let mut interrupt = signal(SignalKind::interrupt())?;
        let mut hang_up = signal(SignalKind::hangup())?;
        let (switch, signal) = Self::new();
        tokio::spawn(async move {
            tokio::select! {
                _ = terminate.recv() => {}
                _ = interrupt.recv() => {}
                _ = hang_up.recv() => {}
            }
            switch.stop();
            // Keeps `switch` and the signal receivers until the process ends.
            std::future::pending::<()>().await;
        });
        Ok(signal)
    }

    /// Whether a stop has been requested.
    #[must_use]
    pub fn is_requested(&self) -> bool {
        *self.is_requested.borrow()
    }

    /// Waits until a stop is requested.
    pub async fn wait_until_requested(&mut self) {
        if self
            .is_requested
            .wait_for(|is_requested| *is_requested)
            .await
            .is_err()
        {
            std::future::pending::<()>().await;
        }
    }
}

impl StopSwitch {
    /// Requests the stop; further calls have no effect.
    pub fn stop(&self) {
        self.is_requested.send_replace(true);
    }
}
