//! Life of the process: why it cannot start, what asks it to stop, and how it
//! ends.

mod exit;
mod start_error;
mod stop;

pub use exit::{EXIT_CODES_HELP, Exit};
pub use start_error::StartError;
pub use stop::{StopSignal, StopSwitch};
