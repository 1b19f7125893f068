//! Laboratory: stand-ins, fault proxy, load, simulation and measurements.

pub mod demo;
pub mod fault_proxy;
pub mod flow_simulation;
pub mod measure;
pub mod platform;
pub mod simulation;
pub mod stand_in;
