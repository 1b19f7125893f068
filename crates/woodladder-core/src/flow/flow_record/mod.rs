//! Which flows a balancer knows to be held, recorded at the store, so that they
//! are known after a loss of everything.
//!
//! A balancer's table dies with it. When all machines lose power, nobody knows
//! afterwards which flows were open, and each caller finds out with its next
//! request that its flow is gone: a request that may not be sent again fails. So
//! each balancer that decides about flows writes what it knows ([`record`]) at a
//! bounded rate ([`session`]), reads it once at its start and asks the agents that
//! held the flows ([`restorer`]). A flow is reset only when the agent that held it
//! denies it: a flow never moves to another target. A record alone proves nothing,
//! so an old one can do no harm.

pub mod record;
pub mod restorer;
pub mod session;

pub use record::{FlowRecord, HolderFlows, RecordError, RecordedFlow};
pub use restorer::{AgentKnowledge, RecordQuery, RecordRestorer, RestoreTotals, RestoredFlow};
pub use session::{RecordNeed, RecordSession, RecordStep, write_period};
