//! Flow records: each balancer saves its open flows, with the target of each, in the
//! store, so that they can be checked after all machines have lost power.
//!
//! A balancer's flow table is lost with its process. After a power failure of all
//! machines, no node has a list of the flows that were open, and each caller notices only
//! at its next request that its flow is gone; a request that must not be sent again then
//! fails.
//! So each balancer that routes flows itself, instead of relaying packets to larger
//! balancers, writes its known flows ([`record`]) at a bounded rate ([`session`]). At its
//! start, the balancer reads the record once and queries the agents whose targets held
//! the flows ([`restorer`]).
//!
//! A recorded flow is reset only if the agent of its target denies holding it, or if its
//! target has ended. This is safe because a flow never moves to another target. A record
//! alone proves nothing, so an old one does no harm.

pub mod record;
pub mod restorer;
pub mod session;

pub use record::{FlowRecord, HolderFlows, RecordError, RecordedFlow};
pub use restorer::{AgentKnowledge, RecordQuery, RecordRestorer, RestoreTotals, RestoredFlow};
pub use session::{RecordNeed, RecordSession, RecordStep, write_period};
