//! Machine list: tells, with a lag, which machines live and which are leaving.

mod server;
mod state;

pub use server::{MachineList, MachineListConfig};
pub use state::{Machine, MachineListOverride, MachineListState, MachineRole, MachineState};
