//! Switch that makes a server look as if nobody listened.

use tokio::sync::watch;

/// Switch which, while shut, refuses connections and closes open ones without an answer.
#[derive(Clone, Debug)]
pub struct Gate {
    shut: watch::Sender<bool>,
}

impl Default for Gate {
    fn default() -> Self {
        Self {
            shut: watch::Sender::new(false),
        }
    }
}

impl Gate {
    /// Shuts or opens the gate.
    pub fn set_shut(&self, shut: bool) {
        self.shut.send_replace(shut);
    }

    /// Whether the gate is shut now.
    #[must_use]
    pub fn is_shut(&self) -> bool {
        *self.shut.borrow()
    }

    /// Waits until the gate is shut.
    pub async fn wait_shut(&self) {
        self.wait(true).await;
    }

    /// Waits until the gate is open.
    pub async fn wait_open(&self) {
        self.wait(false).await;
    }

    async fn wait(&self, wanted: bool) {
        let mut receiver = self.shut.subscribe();
        // The sender lives in `self`, so the wait cannot fail.
        let _ = receiver.wait_for(|shut| *shut == wanted).await;
    }
}
