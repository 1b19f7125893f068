//! Which machine stands in which zone.

/// Zones of the targets and of their agents. The balancers are all in the first.
pub const ZONES: [&str; 2] = ["a", "b"];
/// First machine of the second zone's targets.
const SECOND_ZONE_FROM: u8 = 23;
/// Machines of callers.
pub const CALLERS: [u8; 3] = [101, 102, 103];

/// Zone of a machine.
pub fn zone_of(machine: u8) -> &'static str {
    ZONES[usize::from(machine >= SECOND_ZONE_FROM && machine < CALLERS[0])]
}
