//! The agent of one back end. It terminates QUIC and HTTP/3 from callers,
//! decides which flows and requests to accept, and forwards requests to the
//! back end over HTTP/1.1.

mod acceptor;
mod address_book;
mod admission_control;
mod agent_context;
mod back_end;
mod certificate;
mod clock;
mod config;
mod connection;
mod counters;
mod egress;
mod error_response;
mod handle;
mod headers;
mod health;
mod ingress;
mod open_work;
mod permitted_body;
mod quic;
mod rejected_flows;
mod request;
mod request_body;
mod request_scheduler;
mod shared_drain;
mod socket;
mod stream;

pub use certificate::CertificateError;
pub use config::{AgentConfig, AgentKeys, Certificate, Limits};
pub use counters::{
    AgentStatus, DatagramDropReason, DropCount, FlowCounts, OutcomeCount, RequestOutcome,
};
pub use error_response::NotRunReason;
pub use handle::{Agent, AgentHandle, AgentStartError};
pub use headers::{DEADLINE_HEADER, OUTCOME_HEADER, REASON_HEADER, REPEATABLE_HEADER};
pub use open_work::{ConnectionStage, OldestWork, RequestStage};
pub use quic::QuicConfigError;
pub use shared_drain::{DrainStage, DrainState, SharedDrain};
