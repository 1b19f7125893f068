//! Helpers that commands share: reading settings and running futures.

use std::future::Future;
use std::path::Path;

use serde::Serialize;
use woodladder_core::finding::Findings;

use super::error::CommandError;
use crate::settings::{OperatorFlags, OperatorSettings, SettingsLayers};

/// Merges the layers of a settings file, the environment and flags.
pub(super) fn merge_layers(
    file: Option<&Path>,
    flags: &impl Serialize,
    findings: &mut Findings,
) -> SettingsLayers {
    let mut layers = SettingsLayers::new();
    if let Some(file) = file {
        layers = layers.file(file, findings);
    }
    layers.environment().flags(flags, findings)
}

/// Reads the settings of an operator's command.
pub(super) fn read_operator_settings(
    flags: &OperatorFlags,
) -> Result<OperatorSettings, CommandError> {
    let mut findings = Findings::new();
    let layers = merge_layers(flags.settings.as_deref(), flags, &mut findings);
    Ok(OperatorSettings::read(&layers, findings)?)
}

/// Runs a future to its end on a runtime with this many worker threads.
pub(super) fn block_on<T, E: Into<CommandError>>(
    threads: usize,
    future: impl Future<Output = Result<T, E>>,
) -> Result<T, CommandError> {
    tokio::runtime::Builder::new_multi_thread()
        .worker_threads(threads)
        .enable_all()
        .build()
        .map_err(|error| CommandError::Internal(error.to_string()))?
        .block_on(future)
        .map_err(Into::into)
}
