//! Routes packets of callers: new flows, open flows, and packets relayed to larger
//! balancers.

pub(crate) mod established;
pub(crate) mod link_share;
pub(crate) mod opening;
pub(crate) mod relay;
pub(crate) mod route_change;
pub(crate) mod routing;
pub(crate) mod waiting;
