//! The carrier without tokens: flows of which only the two ends know their
//! content, and whose packets name no target.
//!
//! [`balancer`] chooses targets for new flows and finds those of open ones;
//! [`agent`] stands beside a target, has the last word on what reaches it and
//! tells the balancers of its load. Both are state machines without I/O; a
//! shell translates a platform's packets, heartbeats and store into their
//! events.

pub mod activation;
pub mod agent;
pub mod agent_record;
pub mod balancer;
pub mod cold_reason;
pub mod configuration;
pub mod directory;
pub mod excluded_zones;
pub mod flow_record;
pub mod flow_table;
pub mod held_flows;
pub mod identity;
pub mod link;
pub mod log_event;
pub mod message;
pub mod message_timing;
pub mod packet;
pub mod peers;
pub mod promises;
pub mod route_traffic;
pub mod selection;
pub mod store_session;
pub mod target_restart;
pub mod weighted_round_robin;
pub mod zone_members;
