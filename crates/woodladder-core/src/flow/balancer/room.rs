//! How much room a target must have for an opening.
//!
//! While targets are full, openings compete for them. Those that can still be
//! answered in time go before those that cannot, and those of a route that
//! matters more than others of the same service before both. Room is stated in
//! percent of a target's slots: the greater it is, the fuller the target may be.

use std::ops::RangeInclusive;
use std::time::Duration;

use super::super::configuration::RouteTerms;

/// Part of the time in which a request should be answered, in percent, up to
/// which its opening can still be answered in time.
const FRESH_PART: u32 = 65;
/// Age after which an opening is given more room again, so that it is not
/// given up.
const OLD_AFTER: Duration = Duration::from_millis(600);
/// Room for an opening that can still be answered in time.
const FRESH_ROOM: u16 = 250;
/// Least and most room for an opening of a route that matters more than
/// others, at any age.
const URGENT_ROOMS: RangeInclusive<u32> = 250..=400;
/// Room for an opening that is late already.
const LATE_ROOM: u16 = 90;
/// Room for an opening that is about to be given up.
const OLD_ROOM: u16 = 110;

/// Room that a target must have for an opening of this age.
pub(super) fn room_for(age: Duration, terms: RouteTerms, is_urgent: bool) -> u16 {
    const WHOLE: u32 = 100;
    let fresh_for = Duration::from_millis(u64::from(terms.aim_ms)) * FRESH_PART / WHOLE;
    if is_urgent {
        urgent_room(terms)
    } else if age < fresh_for {
        FRESH_ROOM
    } else if age < OLD_AFTER {
        LATE_ROOM
    } else {
        OLD_ROOM
    }
}

/// The longer a request may take, the longer it may wait in its target's
/// queue: a hundred percent for each tenth of a second.
fn urgent_room(terms: RouteTerms) -> u16 {
    let room = terms
        .aim_ms
        .clamp(*URGENT_ROOMS.start(), *URGENT_ROOMS.end());
    u16::try_from(room).unwrap_or(FRESH_ROOM)
}
