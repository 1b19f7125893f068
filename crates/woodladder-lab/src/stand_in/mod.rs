//! Small substitutes for the platform around woodladder, for tests and the demonstration.
//!
//! Each stand-in is started with a configuration and returns a handle which knows the bound
//! addresses and stops the stand-in.

pub mod clock;
pub mod error;
pub mod fabric;
pub mod http_server;
pub mod machine_list;
pub mod proxy_header;
pub mod socket;
pub mod store;
