//! Settings of the operator's commands.

use std::path::PathBuf;
use std::time::Duration;

use woodladder_core::finding::Findings;

use super::layer::Layers;
use super::node::{PlatformSettings, read_log};
use super::reader::Reader;
use super::value;
use crate::log::LogSettings;

const DEFAULT_POLL: Duration = Duration::from_millis(500);
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(60);

/// Settings of the operator's commands.
#[derive(Clone, Debug)]
pub struct OperatorSettings {
    /// The platform's services and nodes to ask.
    pub platform: PlatformSettings,
    /// File that holds the operator's secret key.
    pub signing_key: Option<PathBuf>,
    /// Name of the operator, shown to others who roll at the same time.
    pub operator: String,
    /// Time between two looks at the nodes.
    pub poll: Duration,
    /// Longest time that `roll` waits for the nodes.
    pub timeout: Duration,
    /// What is logged.
    pub log: LogSettings,
}

impl OperatorSettings {
    /// Reads the settings from the layers.
    ///
    /// # Errors
    /// `findings` when a layer could not be read, otherwise every fault.
    pub fn read(layers: &Layers, findings: Findings) -> Result<Self, Findings> {
        if !findings.is_empty() {
            return Err(findings);
        }
        let mut reader = Reader::new(layers);
        let settings = Self {
            platform: PlatformSettings::read(&mut reader),
            signing_key: reader.optional("signing_key", value::path),
            operator: reader.defaulted("operator", "operator".to_owned(), value::name),
            poll: reader.defaulted("poll", DEFAULT_POLL, value::duration),
            timeout: reader.defaulted("timeout", DEFAULT_TIMEOUT, value::duration),
            log: read_log(&mut reader),
        };
        reader.finish().into_result(settings)
    }
}
