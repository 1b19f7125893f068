//! Small substitutes for the platform around woodladder, for tests and the demonstration.
//!
//! Each stand-in is started with a configuration and returns a handle which knows the bound
//! addresses and stops the stand-in.

pub mod answer;
pub mod back_end;
pub mod caller;
pub mod clock;
pub mod error;
pub mod execution_log;
pub mod fabric;
pub mod gate;
pub mod headers;
pub mod http_server;
mod incoming;
pub mod machine_list;
pub mod operation;
pub mod oracle;
pub mod proxy_header;
pub mod socket;
pub mod store;
