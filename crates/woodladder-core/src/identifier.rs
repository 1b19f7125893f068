//! Identifiers shared by every part of the system.

use std::fmt;

use borsh::{BorshDeserialize, BorshSerialize};
use serde::{Deserialize, Serialize};

macro_rules! numeric_identifier {
    ($(#[$documentation:meta])* $name:ident, $inner:ty) => {
        $(#[$documentation])*
        #[derive(
            BorshDeserialize, BorshSerialize, Clone, Copy, Debug, Default, Deserialize, Eq, Hash,
            Ord, PartialEq, PartialOrd, Serialize,
        )]
        #[serde(transparent)]
        pub struct $name(pub $inner);

        impl fmt::Display for $name {
            fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
                self.0.fmt(formatter)
            }
        }
    };
}

numeric_identifier!(
    /// Identifies a service; chosen by the operators, unique in a deployment.
    ServiceId,
    u32
);
numeric_identifier!(
    /// Identifies one back end; never reused in another service.
    TargetId,
    u32
);
numeric_identifier!(
    /// Identifies one run of a process; a random number chosen at its start.
    NodeId,
    u64
);
numeric_identifier!(
    /// Number of a roll in the total order of all rolls; zero means no roll.
    Sequence,
    u64
);
numeric_identifier!(
    /// Position of a zone in a bundle's list of zones.
    ZoneIndex,
    u16
);

impl Sequence {
    /// The sequence that follows this one.
    #[must_use]
    pub fn next(self) -> Self {
        Self(self.0.saturating_add(1))
    }
}
