//! Settings of the operator's commands.

use std::path::PathBuf;
use std::time::Duration;

use woodladder_core::finding::Findings;
use woodladder_core::packets::keyed_tag::TagKey;
use woodladder_core::signature::TrustedKeys;

use super::layer::SettingsLayers;
use super::node::{PlatformSettings, read_log};
use super::reader::SettingsReader;
use super::value;
use crate::log::{LogLevel, LogSettings};

const DEFAULT_POLL_INTERVAL: Duration = Duration::from_millis(500);
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(30);
const DEFAULT_OPERATOR_NAME: &str = "operator";

/// Settings of the operator's commands.
#[derive(Clone, Debug)]
pub struct OperatorSettings {
    /// Addresses of the platform's services and of nodes.
    pub platform: PlatformSettings,
    /// Public keys of the operators whose signatures nodes accept.
    pub trusted_keys: TrustedKeys,
    /// Key that all nodes share.
    pub cluster_key: TagKey,
    /// Path of the file with the operator's secret key, which signs rolls; absent when
    /// none is set. `roll` requires it.
    pub signing_key: Option<PathBuf>,
    /// Name of the operator, shown to other operators who roll at the same time.
    pub operator: String,
    /// Interval between status requests to a node that has not answered.
    pub poll: Duration,
    /// Longest time for which `roll` waits until all nodes have the bundle in force.
    pub timeout: Duration,
    /// Settings of the log.
    pub log: LogSettings,
}

impl OperatorSettings {
    /// Reads the settings from the layers.
    ///
    /// # Errors
    /// `findings` when a layer could not be read, otherwise all findings.
    pub fn read(layers: &SettingsLayers, findings: Findings) -> Result<Self, Findings> {
        if !findings.is_empty() {
            return Err(findings);
        }
        let mut reader = SettingsReader::new(layers);
        let platform = PlatformSettings::read(&mut reader);
        let trusted_keys = reader.required_list("trusted_keys", value::parse_public_key);
        let cluster_key = reader.required("cluster_key", value::parse_tag_key);
        let signing_key = reader.optional("signing_key", value::parse_path);
        let operator = reader.optional_or(
            "operator",
            DEFAULT_OPERATOR_NAME.to_owned(),
            value::parse_name,
        );
        let poll = reader.optional_or("poll", DEFAULT_POLL_INTERVAL, value::parse_duration);
        let timeout = reader.optional_or("timeout", DEFAULT_TIMEOUT, value::parse_duration);
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
