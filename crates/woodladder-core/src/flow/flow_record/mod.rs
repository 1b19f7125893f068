//! Records in the store which flows a balancer knows to be held, so that this knowledge
//! survives the loss of all machines.
//!
//! A balancer's flow table is lost with its process. After a power failure of all
//! machines, no node knows which flows were open, and each caller learns only from its
//! next request that its flow is gone; a request that must not be sent again then fails.
//! So each balancer that decides about flows writes the flows that it knows ([`record`])
//! at a bounded rate ([`session`]). At its start it reads the record once and asks the
//! agents that held the flows ([`restorer`]).
//!
//! A flow is reset only if the agent that held it denies holding it. This is safe because
//! a flow never moves to another target. A record alone proves nothing, so an old one
//! does no harm.

pub mod record;
pub mod restorer;
pub mod session;

pub use record::{FlowRecord, HolderFlows, RecordError, RecordedFlow};
pub use restorer::{AgentKnowledge, RecordQuery, RecordRestorer, RestoreTotals, RestoredFlow};
pub use session::{RecordNeed, RecordSession, RecordStep, write_period};
