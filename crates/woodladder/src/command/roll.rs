//! `woodladder roll`: puts a signed bundle in force on all nodes.

use std::path::PathBuf;
use std::sync::Arc;
use std::time::{SystemTime, UNIX_EPOCH};

use clap::Args;
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::SeedableRng as _;
use slog::Logger;
use tokio::sync::mpsc;
use woodladder_core::configuration::bundle::SignedBundle;
use woodladder_core::control::roll_command::{RollAction, RollCommand, RollEvent, RollRequest};
use woodladder_core::control::store_operation::{StoreOperation, StoreRequestId};

use super::bundle_file::{BundleFile, file_finding, load_bundle};
use super::error::CommandError;
use super::key_file::read_key;
use super::roll_report::ReportFormat;
use super::{nodes, runtime};
use crate::control::{ControlSocket, ProcessClock};
use crate::log;
use crate::settings::{OperatorFlags, OperatorSettings};
use crate::store::{ConsulStore, Store};

pub(super) const HELP: &str = "Examples:
  woodladder roll bundle.signed --settings operator.toml
  woodladder roll bundle.signed --settings operator.toml --timeout 60s --json

An older bundle is put in force in the same way: it gets a new sequence, and no
node returns to an older sequence. When two operators roll at the same time, one
roll takes effect, and the other ends with code 4. Code 5 means that the roll was
accepted and not all nodes have it in force yet, or that the outcome is unknown:
see `woodladder status` before rolling again.";

const RULE_SIGNED: &str = "only a bundle made by `bundle sign` is rolled";
const RULE_SIGNING_KEY: &str = "`signing_key` names the file with the operator's secret key";

#[derive(Args, Debug)]
pub(super) struct RollArguments {
    /// Signed bundle
    #[arg(value_name = "FILE")]
    file: PathBuf,
    /// Print one JSON object at the end
    #[arg(long)]
    json: bool,
    #[command(flatten)]
    flags: OperatorFlags,
}

/// Performs the actions of a [`RollCommand`] and feeds it events.
struct RollDriver {
    command: RollCommand,
    clock: ProcessClock,
    socket: ControlSocket,
    store: Arc<dyn Store>,
    format: ReportFormat,
    store_events: mpsc::UnboundedSender<RollEvent>,
}

impl RollArguments {
    pub(super) fn run(self) -> Result<(), CommandError> {
        let settings = runtime::read_operator_settings(&self.flags)?;
        let bundle = self.load_signed_bundle()?;
        let (logger, _guard) = log::open(settings.log);
        runtime::block_on(1, roll(settings, bundle, self.format(), logger))
    }

    fn load_signed_bundle(&self) -> Result<SignedBundle, CommandError> {
        match load_bundle(&self.file)? {
            BundleFile::Signed(signed) => Ok(signed),
            BundleFile::Source(_) => {
                let name = self.file.display().to_string();
                Err(file_finding(&name, "is not signed", RULE_SIGNED))
            }
        }
    }

    fn format(&self) -> ReportFormat {
        if self.json {
            ReportFormat::Json
        } else {
            ReportFormat::Lines
        }
    }
}

async fn roll(
    settings: OperatorSettings,
    bundle: SignedBundle,
    format: ReportFormat,
    logger: Logger,
) -> Result<(), CommandError> {
    let mut request = build_request(&settings, bundle)?;
    request.nodes = nodes::find_addresses(&settings, &logger).await;
    let socket = nodes::bind_socket(&settings, &request.nodes).await?;
    let store = ConsulStore::new(settings.platform.stores.clone(), logger)
        .map_err(|error| CommandError::Internal(error.to_string()))?;
    let clock = ProcessClock::new();
    let random = ChaCha8Rng::from_seed(rand::random());
    let (store_events, received_events) = mpsc::unbounded_channel();
    let driver = RollDriver {
        command: RollCommand::new(request, random, clock.now()),
        clock,
        socket,
        store: Arc::new(store),
        format,
        store_events,
    };
    driver.run(received_events).await
}

fn build_request(
    settings: &OperatorSettings,
    bundle: SignedBundle,
) -> Result<RollRequest, CommandError> {
    let Some(path) = &settings.signing_key else {
        return Err(file_finding(
            "settings",
            "no signing key is set",
            RULE_SIGNING_KEY,
        ));
    };
    let rolled_at = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_err(|error| CommandError::Internal(error.to_string()))?
        .as_secs();
    let mut request = RollRequest::new(
        bundle,
        settings.operator.clone(),
        read_key(path)?,
        settings.trusted_keys.clone(),
        rolled_at,
    );
    request.tuning.rollout_timeout = settings.timeout;
    Ok(request)
}

impl RollDriver {
    async fn run(
        mut self,
        mut store_events: mpsc::UnboundedReceiver<RollEvent>,
    ) -> Result<(), CommandError> {
        let mut event = RollEvent::Tick;
        loop {
            for action in self.command.handle(event, self.clock.now()) {
                if let RollAction::Finished(result) = action {
                    return self.format.finish(result);
                }
                self.perform(action);
            }
            let Some(wakeup) = self.command.next_wakeup() else {
                return Err(CommandError::Internal(
                    "the roll ended without a result".to_owned(),
                ));
            };
            event = tokio::select! {
                received = self.socket.receive() => match received.message {
                    Ok(message) => RollEvent::Message { from: received.from, message },
                    Err(_) => RollEvent::Tick,
                },
                Some(store_event) = store_events.recv() => store_event,
                () = self.clock.sleep_until(wakeup) => RollEvent::Tick,
            };
        }
    }

    fn perform(&self, action: RollAction) {
        match action {
            RollAction::Store { request, operation } => {
                self.perform_store_operation(request, operation)
            }
            RollAction::Send { to, message } => self.socket.send(to, &message),
            RollAction::Accepted(roll) => self.format.print_accepted(&roll),
            RollAction::Progress(progress) => self.format.print_progress(&progress),
            RollAction::Finished(_) => {}
        }
    }

    fn perform_store_operation(&self, request: StoreRequestId, operation: StoreOperation) {
        let store = self.store.clone();
        let store_events = self.store_events.clone();
        tokio::spawn(async move {
            let answer = store.perform(&operation).await;
            let _ = store_events.send(RollEvent::StoreAnswer { request, answer });
        });
    }
}
