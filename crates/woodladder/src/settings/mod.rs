//! Settings of the daemons and of the operator's commands.
//!
//! Three layers, the later winning over the earlier: a TOML file, environment
//! variables (`WOODLADDER_` and the key in capitals) and flags. All faults of
//! all layers are collected and reported together.

mod agent;
mod balancer;
mod flags;
mod layer;
mod node;
mod operator;
mod reader;
mod value;

pub use agent::{AgentSettings, Certificate};
pub use balancer::BalancerSettings;
pub use flags::{AgentFlags, BalancerFlags, LogFlags, NodeFlags, OperatorFlags, PlatformFlags};
pub use layer::{ENVIRONMENT_PREFIX, Layers};
pub use node::{ClusterKeys, NodeSettings, PlatformSettings};
pub use operator::OperatorSettings;
pub use reader::Reader;
pub use value::public_key;
