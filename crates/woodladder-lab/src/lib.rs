//! Laboratory: stand-ins, fault proxy, load, simulation and measurements.

pub mod fault_proxy;
pub mod measure;
pub mod stand_in;
