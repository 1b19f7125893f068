//! Load balancing of opaque flows: only the two ends of a flow understand its payload,
//! and its packets name no target.
//!
//! A [`balancer`] chooses targets for new flows and finds the targets of open ones. An
//! [`agent`] runs beside each target, decides which packets reach it, and reports its
//! load to the balancers. Both are state machines without I/O; the surrounding program
//! translates packets, heartbeats and store replies into their events.

pub mod absence;
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
pub mod leaving_record;
pub mod link;
pub mod log_event;
pub mod message;
pub mod message_timing;
pub mod packet;
pub mod peers;
pub mod promises;
pub mod route_history;
pub mod route_traffic;
pub mod selection;
pub mod snapshot;
pub mod store_session;
pub mod target_restart;
pub mod target_status;
pub mod weighted_round_robin;
pub mod zone_members;
