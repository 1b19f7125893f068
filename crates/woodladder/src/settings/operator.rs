//! Settings of the operator's commands.

use std::path::PathBuf;
use std::time::Duration;

use woodladder_core::finding::Findings;
use woodladder_core::packets::keyed_tag::TagKey;
use woodladder_core::signature::TrustedKeys;

use super::layer::Layers;
use super::node::{PlatformSettings, read_log};
use super::reader::Reader;
use super::value;
use crate::log::{LogLevel, LogSettings};

const DEFAULT_POLL: Duration = Duration::from_millis(500);
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(30);
const DEFAULT_OPERATOR: &str = "operator";

/// Settings of the operator's commands.
#[derive(Clone, Debug)]
pub struct OperatorSettings {
    /// The platform's services and nodes to ask.
    pub platform: PlatformSettings,
    /// Operators whose signatures nodes accept.
    pub trusted_keys: TrustedKeys,
    /// Key shared by all nodes.
    pub cluster_key: TagKey,
    /// File that holds the operator's secret key.
    pub signing_key: Option<PathBuf>,
    /// Name of the operator, shown to others who roll at the same time.
    pub operator: String,
    /// Time between two questions to a node that has not answered.
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
        let platform = PlatformSettings::read(&mut reader);
        let trusted_keys = reader.required_list("trusted_keys", value::public_key);
        let cluster_key = reader.required("cluster_key", value::tag_key);
        let signing_key = reader.optional("signing_key", value::path);
        let operator = reader.defaulted("operator", DEFAULT_OPERATOR.to_owned(), value::name);
        let poll = reader.defaulted("poll", DEFAULT_POLL, value::duration);
        let timeout = reader.defaulted("timeout", DEFAULT_TIMEOUT, value::duration);
        let log = read_log(&mut reader, LogLevel::Warning);
        let findings = reader.finish();
        let (Some(cluster_key), true) = (cluster_key, findings.is_empty()) else {
            return Err(findings);
        };
        Ok(Self {
            platform,
            trusted_keys: TrustedKeys::new(trusted_keys),
            cluster_key,
            signing_key,
            operator,
            poll,
            timeout,
            log,
        })
    }
}
