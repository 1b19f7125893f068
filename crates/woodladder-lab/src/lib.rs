//! Laboratory: stand-ins, fault proxy, load, simulation and measurements.

pub mod stand_in;
