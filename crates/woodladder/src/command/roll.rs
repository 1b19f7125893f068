//! `woodladder roll`: put a signed bundle in force.

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

use super::bundle_file::{BundleFile, load, refused};
use super::failure::Failure;
use super::key_file::read_key;
use super::roll_report::ReportForm;
use super::{nodes, runtime};
use crate::control::{ControlSocket, ProcessClock};
use crate::log;
use crate::settings::{OperatorFlags, OperatorSettings};
use crate::store::{ConsulStore, Store};

pub(super) const HELP: &str = "Examples:
  woodladder roll bundle.signed --settings operator.toml
  woodladder roll bundle.signed --settings operator.toml --timeout 60s --json

An older bundle is rolled forward in the same way: it gets a new sequence, and
no node goes back. When two operators roll at the same time one wins, and the
other ends with code 4. Code 5 means that the roll was accepted and not all
nodes have it in force yet, or that the outcome could not be found out: see
`woodladder status` before rolling again.";

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

/// What the command's driver works with.
struct RollDriver {
    command: RollCommand,
    clock: ProcessClock,
    socket: ControlSocket,
    store: Arc<dyn Store>,
    form: ReportForm,
    answers: mpsc::UnboundedSender<RollEvent>,
}

impl RollArguments {
    pub(super) fn run(self) -> Result<(), Failure> {
        let settings = runtime::operator_settings(&self.flags)?;
        let bundle = self.signed_bundle()?;
        let (logger, _guard) = log::open(settings.log);
        runtime::run(1, roll(settings, bundle, self.form(), logger))
    }

    fn signed_bundle(&self) -> Result<SignedBundle, Failure> {
        match load(&self.file)? {
            BundleFile::Signed(signed) => Ok(signed),
            BundleFile::Written(_) => {
                let name = self.file.display().to_string();
                Err(refused(&name, "is not signed", RULE_SIGNED))
            }
        }
    }

    fn form(&self) -> ReportForm {
        if self.json {
            ReportForm::Json
        } else {
            ReportForm::Lines
        }
    }
}

async fn roll(
    settings: OperatorSettings,
    bundle: SignedBundle,
    form: ReportForm,
    logger: Logger,
) -> Result<(), Failure> {
    let mut request = request(&settings, bundle)?;
    request.nodes = nodes::addresses(&settings, &logger).await;
    let socket = nodes::socket(&settings, &request.nodes).await?;
    let store = ConsulStore::new(settings.platform.stores.clone(), logger)
        .map_err(|error| Failure::Internal(error.to_string()))?;
    let clock = ProcessClock::new();
    let random = ChaCha8Rng::from_seed(rand::random());
    let (answers, received) = mpsc::unbounded_channel();
    let driver = RollDriver {
        command: RollCommand::new(request, random, clock.now()),
        clock,
        socket,
        store: Arc::new(store),
        form,
        answers,
    };
    driver.run(received).await
}

fn request(settings: &OperatorSettings, bundle: SignedBundle) -> Result<RollRequest, Failure> {
    let Some(path) = &settings.signing_key else {
        return Err(refused(
            "settings",
            "no signing key is named",
            RULE_SIGNING_KEY,
        ));
    };
    let rolled_at = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_err(|error| Failure::Internal(error.to_string()))?
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
    async fn run(mut self, mut answers: mpsc::UnboundedReceiver<RollEvent>) -> Result<(), Failure> {
        let mut event = RollEvent::Tick;
        loop {
            for action in self.command.handle(event, self.clock.now()) {
                if let RollAction::Finished(result) = action {
                    return self.form.finished(result);
                }
                self.carry_out(action);
            }
            let Some(wakeup) = self.command.next_wakeup() else {
                return Err(Failure::Internal(
                    "the roll ended without a verdict".to_owned(),
                ));
            };
            event = tokio::select! {
                received = self.socket.receive() => match received.message {
                    Ok(message) => RollEvent::Message { from: received.from, message },
                    Err(_) => RollEvent::Tick,
                },
                Some(answer) = answers.recv() => answer,
                () = self.clock.sleep_until(wakeup) => RollEvent::Tick,
            };
        }
    }

    fn carry_out(&self, action: RollAction) {
        match action {
            RollAction::Store { request, operation } => self.ask_store(request, operation),
            RollAction::Send { to, message } => self.socket.send(to, &message),
            RollAction::Accepted(roll) => self.form.accepted(&roll),
            RollAction::Progress(progress) => self.form.progress(&progress),
            RollAction::Finished(_) => {}
        }
    }

    fn ask_store(&self, request: StoreRequestId, operation: StoreOperation) {
        let store = self.store.clone();
        let answers = self.answers.clone();
        tokio::spawn(async move {
            let answer = store.perform(&operation).await;
            let _ = answers.send(RollEvent::StoreAnswer { request, answer });
        });
    }
}
