//! The signals that ask the process to stop.

use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::watch;

/// Tells every part of the process when a planned stop is asked for.
#[derive(Clone, Debug)]
pub struct StopSignal {
    asked: watch::Receiver<bool>,
}

/// Asks for a planned stop.
#[derive(Clone, Debug)]
pub struct StopSwitch {
    asked: watch::Sender<bool>,
}

impl StopSignal {
    /// A signal and the switch that sets it.
    #[must_use]
    pub fn new() -> (StopSwitch, Self) {
        let (sender, receiver) = watch::channel(false);
        (StopSwitch { asked: sender }, Self { asked: receiver })
    }

    /// A signal that SIGTERM, SIGINT and SIGHUP set. SIGHUP is among them
    /// because volo-http's server stops at each of the three.
    ///
    /// # Errors
    /// The system's error when handlers cannot be installed.
    pub fn from_process() -> std::io::Result<Self> {
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
            std::future::pending::<()>().await;
        });
        Ok(signal)
    }

    /// Whether a stop has been asked for.
    #[must_use]
    pub fn is_asked(&self) -> bool {
        *self.asked.borrow()
    }

    /// Waits until a stop is asked for.
    pub async fn wait_until_requested(&mut self) {
        if self.asked.wait_for(|asked| *asked).await.is_err() {
            std::future::pending::<()>().await;
        }
    }
}

impl StopSwitch {
    /// Asks for the stop; further calls change nothing.
    pub fn stop(&self) {
        self.asked.send_replace(true);
    }
}
