//! Deterministic simulation of whole deployments on a virtual clock.
//!
//! The core's state machines run unchanged; everything round them is a model.
//! One seed gives one run, to the byte.
//!
//! | part | modules |
//! | --- | --- |
//! | clock, chance, network | [`event_queue`], [`random`], [`network`], [`topology`] |
//! | callers' transport | [`frame`], [`channel`] |
//! | processes of the product | [`node`], [`balancer`], [`agent`], [`agent_flows`], [`agent_requests`], [`operator`] |
//! | what the platform gives | [`back_end`], [`store`], [`machine_list`], [`caller`], [`operation`] |
//! | schedules | [`deployment`], [`fault`], [`forgery`], [`scenario`] |
//! | judgement | [`log`], [`oracle`], [`roll_oracle`], [`promise`], [`seen`], [`mutation`] |
//! | running | [`world`], [`runner`], [`report`] |

pub mod agent;
pub mod agent_flows;
pub mod agent_means;
mod agent_request_frames;
pub mod agent_requests;
pub mod back_end;
pub mod balancer;
pub mod caller;
pub mod channel;
pub mod deployment;
pub mod event_queue;
pub mod fault;
pub mod forgery;
pub mod frame;
pub mod log;
pub mod machine_list;
pub mod mutation;
pub mod network;
pub mod node;
pub mod operation;
pub mod operator;
pub mod oracle;
pub mod output;
pub mod promise;
pub mod random;
pub mod report;
pub mod roll_oracle;
pub mod runner;
pub mod scenario;
pub mod secrets;
pub mod seen;
pub mod store;
pub mod topology;
pub mod world;
