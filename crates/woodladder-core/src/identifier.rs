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
    /// Identifies a service; written by the operator, unique in a deployment.
    ServiceId,
    u32
);
numeric_identifier!(
    /// Identifies one back end; never reused for another service.
    TargetId,
    u32
);
numeric_identifier!(
    /// Identifies one run of one process; drawn at random when it starts.
    NodeId,
    u64
);
numeric_identifier!(
    /// Position of a roll in the single order of all rolls; zero means none.
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
