//! What commands share: reading settings, and a runtime.

use std::future::Future;
use std::path::Path;

use serde::Serialize;
use woodladder_core::finding::Findings;

use super::failure::Failure;
use crate::settings::{OperatorFlags, OperatorSettings, SettingsLayers};

/// SettingsLayers of a settings file, the environment and flags.
pub(super) fn layers(
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

/// Settings of an operator's command.
pub(super) fn operator_settings(flags: &OperatorFlags) -> Result<OperatorSettings, Failure> {
    let mut findings = Findings::new();
    let layers = layers(flags.settings.as_deref(), flags, &mut findings);
    Ok(OperatorSettings::read(&layers, findings)?)
}

/// Runs a future on a runtime with this many threads.
pub(super) fn run<T, E: Into<Failure>>(
    threads: usize,
    future: impl Future<Output = Result<T, E>>,
) -> Result<T, Failure> {
    tokio::runtime::Builder::new_multi_thread()
        .worker_threads(threads)
        .enable_all()
        .build()
        .map_err(|error| Failure::Internal(error.to_string()))?
        .block_on(future)
        .map_err(Into::into)
}
