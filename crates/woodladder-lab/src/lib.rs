//! Laboratory: stand-ins, fault proxy, load, simulation and measurements.

pub mod fault_proxy;
pub mod simulation;
pub mod stand_in;
