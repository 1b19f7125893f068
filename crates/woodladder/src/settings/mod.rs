//! Settings of the daemons and of the operator's commands.
//!
//! Settings come from three layers: a TOML file, environment variables
//! (`WOODLADDER_` and the key in capitals) and command-line flags. A later layer
//! overrides an earlier one. All errors of all layers are reported together, as
//! findings.

mod agent;
mod balancer;
mod flags;
mod layer;
mod node;
mod operator;
mod reader;
mod value;

pub use agent::{AgentSettings, CertificateSource};
pub use balancer::BalancerSettings;
pub use flags::{AgentFlags, BalancerFlags, LogFlags, NodeFlags, OperatorFlags, PlatformFlags};
pub use layer::{ENVIRONMENT_PREFIX, SettingsLayers};
pub use node::{ClusterKeys, NodeSettings, PlatformSettings};
pub use operator::OperatorSettings;
pub use reader::SettingsReader;
pub use value::parse_public_key;
