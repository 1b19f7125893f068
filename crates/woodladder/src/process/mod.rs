//! Life cycle of the process: errors at the start, requests to stop, and exit
//! codes.

mod exit;
mod start_error;
mod stop;

pub use exit::{EXIT_CODES_HELP, Exit};
pub use start_error::StartError;
pub use stop::{StopSignal, StopSwitch};
