//! Identifiers of requests.

/// Identifies a request at one target; not reused for another one there.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct RequestId(pub u64);
