//! Where a packet of a caller goes: new flows, open flows, and packets handed to
//! larger balancers.

pub(crate) mod established;
pub(crate) mod link_share;
pub(crate) mod opening;
pub(crate) mod relay;
pub(crate) mod routing;
pub(crate) mod waiting;
