//! The agent beside one back end: ends QUIC and HTTP/3, admits flows and
//! requests, and asks the back end over HTTP/1.1.

mod acceptor;
mod address_book;
mod back_end;
mod certificate;
mod clock;
mod config;
mod connection;
mod control;
mod counters;
mod egress;
mod gate;
mod handle;
mod headers;
mod health;
mod marked_flows;
mod outcome;
mod permitted_body;
mod quic;
mod request;
mod request_body;
mod request_desk;
mod shared;
mod shared_drain;
mod socket;
mod stream;

pub use certificate::CertificateError;
pub use config::{AgentConfig, AgentKeys, Certificate, Limits};
pub use counters::{AgentStatus, DatagramDrop, DropCount, EndCount, FlowCounts, RequestEnd};
pub use handle::{Agent, AgentHandle, AgentStartError};
pub use headers::{DEADLINE, OUTCOME, REASON, REPEATABLE};
pub use outcome::NotRunReason;
pub use quic::QuicConfigError;
pub use shared_drain::{Notice, SharedDrain};
