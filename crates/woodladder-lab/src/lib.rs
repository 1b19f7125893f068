//! Laboratory: stand-ins, fault proxy, load, simulation and measurements.
