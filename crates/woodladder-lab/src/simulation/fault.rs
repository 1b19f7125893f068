//! What a schedule does to the world.

use std::time::Duration;

use woodladder_core::configuration::bundle::Bundle;
use woodladder_core::identifier::{ServiceId, TargetId};

use super::back_end::BackEndFaults;
use super::network::LinkFaults;
use super::store::StoreFaults;
use super::topology::Machine;

/// How the machine list misleads.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct ListFaults {
    /// How far it lags behind the world.
    pub lag: Duration,
    /// Machines that it names though they do not run.
    pub named_dead: Vec<Machine>,
    /// Machines that it omits though they run.
    pub omitted: Vec<Machine>,
}

/// One change of the world, planned or not.
#[derive(Clone, Debug)]
pub enum Fault {
    /// The machine's process starts.
    Start(Machine),
    /// The machine's process is told to stop.
    Stop(Machine),
    /// The machine's process is killed.
    Kill(Machine),
    /// The machine's process does not run for a time.
    Freeze(Machine, Duration),
    /// A machine of agents is replaced by one of another target at the same
    /// address.
    Replace {
        /// Number of the machine.
        agent: u8,
        /// The new target.
        target: TargetId,
        /// Service of the new target.
        service: ServiceId,
    },
    /// A back end crashes.
    BackEndCrash(u8),
    /// A back end comes back, cold.
    BackEndStart(u8),
    /// A back end misbehaves from now on.
    BackEnd(u8, BackEndFaults),
    /// A back end reports this health, true or not; `None` is the truth.
    ReportHealth(u8, Option<bool>),
    /// An operator rolls a bundle.
    Roll {
        /// Number of the operator.
        operator: u8,
        /// The bundle.
        bundle: Bundle,
    },
    /// The key-value service behaves like this from now on.
    Store(StoreFaults),
    /// Callers' traffic suffers this from now on.
    DataLinks(LinkFaults),
    /// Control traffic suffers this from now on.
    ControlLinks(LinkFaults),
    /// Nothing passes from one machine to another.
    Cut(Machine, Machine),
    /// Control traffic of a machine passes to and from one other only.
    Isolate {
        /// The machine.
        machine: Machine,
        /// The other.
        except: Machine,
    },
    /// All links of a machine work again.
    Mend(Machine),
    /// The machine list misleads like this from now on.
    List(ListFaults),
    /// All callers ask at this pace from now on.
    Pace(Duration),
    /// Somebody sends bytes to nodes that no node has made.
    Forge,
}
