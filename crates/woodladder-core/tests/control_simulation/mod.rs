//! A simulation of the control plane: nodes, a network and a key-value service
//! on a virtual clock.
#![allow(dead_code)]

pub mod fixture;
pub mod network;
pub mod store;
pub mod store_connections;
