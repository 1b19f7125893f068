//! Faults put into the models on purpose, each of which breaks one promise, so
//! that the oracle is seen to notice. Product code has no such switch.

use clap::ValueEnum;

use super::promise::Promise;

/// A fault put into a model.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd, ValueEnum)]
pub enum Mutation {
    /// Agents state a request as not run after it was given to the back end.
    NotRunAfterSend,
    /// Agents send a request again when its result is not known.
    ResendAfterUnknown,
    /// Agents go on using a back end's connection after an exchange broke off.
    ReuseConnection,
    /// Agents end a broken answer as if it were whole.
    EndTruncated,
    /// Agents take whatever reaches them.
    IgnoreService,
    /// Agents go on taking work when they are to leave.
    KeepTakingWork,
    /// Agents stop at once when they are told to stop.
    StopAtOnce,
    /// Balancers choose a target anew for each packet of an open flow.
    RouteByHash,
    /// A balancer's planned stop ends the flows that it carried last.
    StopCutsFlows,
    /// Nodes go back to an earlier roll when a peer names one.
    AdoptLower,
    /// Nodes keep their first roll for good.
    KeepFirstRoll,
    /// Agents hold refusals back.
    HoldRefusals,
    /// Nodes trust the key of a stranger.
    TrustStranger,
    /// Operators are told that a roll failed when its answer was lost.
    DenyRoll,
}

/// Every mutation.
pub const MUTATIONS: [Mutation; 14] = [
    Mutation::NotRunAfterSend,
    Mutation::ResendAfterUnknown,
    Mutation::ReuseConnection,
    Mutation::EndTruncated,
    Mutation::IgnoreService,
    Mutation::KeepTakingWork,
    Mutation::StopAtOnce,
    Mutation::RouteByHash,
    Mutation::StopCutsFlows,
    Mutation::AdoptLower,
    Mutation::KeepFirstRoll,
    Mutation::HoldRefusals,
    Mutation::TrustStranger,
    Mutation::DenyRoll,
];

impl Mutation {
    /// The promise that the mutation breaks.
    #[must_use]
    pub fn breaks(self) -> Promise {
        match self {
            Self::NotRunAfterSend => Promise::NotRunMeansNotRun,
            Self::ResendAfterUnknown => Promise::AtMostOnce,
            Self::ReuseConnection | Self::EndTruncated => Promise::WholeOwnAnswer,
            Self::IgnoreService => Promise::RightService,
            Self::KeepTakingWork => Promise::LeavingGetsNoWork,
            Self::StopAtOnce => Promise::PlannedStopKeepsRequests,
            Self::RouteByHash | Self::StopCutsFlows => Promise::PlannedChangeKeepsFeeds,
            Self::AdoptLower | Self::TrustStranger => Promise::NeverReverts,
            Self::KeepFirstRoll => Promise::SoonInForce,
            Self::HoldRefusals => Promise::ImmediateRefusal,
            Self::DenyRoll => Promise::TrueRollVerdict,
        }
    }

    /// Promises that break in consequence of the first.
    #[must_use]
    pub fn also_breaks(self) -> &'static [Promise] {
        match self {
            // The caller rightly asks again.
            Self::NotRunAfterSend => &[Promise::AtMostOnce],
            // The stale exchange ends another request; a stray flow leads nowhere.
            Self::ReuseConnection | Self::IgnoreService => &[
                Promise::PlannedStopKeepsRequests,
                Promise::PlannedChangeKeepsFeeds,
            ],
            // Flows end with all that they carry.
            Self::StopAtOnce => &[Promise::PlannedChangeKeepsFeeds],
            Self::RouteByHash | Self::StopCutsFlows => &[Promise::PlannedStopKeepsRequests],
            _ => &[],
        }
    }

    /// The scenario in which it shows.
    #[must_use]
    pub fn scenario(self) -> &'static str {
        match self {
            Self::NotRunAfterSend | Self::ResendAfterUnknown => "back-end-answers",
            Self::ReuseConnection => "cancel-and-deadline",
            Self::EndTruncated => "back-end-answers",
            Self::IgnoreService => "address-moves",
            Self::KeepTakingWork | Self::StopAtOnce => "drain-in-surge",
            Self::RouteByHash => "three-bundles",
            Self::StopCutsFlows => "balancer-stop",
            Self::AdoptLower => "older-bundle",
            Self::KeepFirstRoll => "store-watches",
            Self::HoldRefusals => "shedding",
            Self::TrustStranger => "control-traffic",
            Self::DenyRoll => "operators-race",
        }
    }
}
