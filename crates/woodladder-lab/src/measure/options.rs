//! Parameters of the chosen way, as they are measured.

use woodladder_core::packets::router::DEFAULT_HOPS;
use woodladder_core::target::admission::AdmissionOptions;

/// Parameters of the chosen way.
#[derive(Clone, Copy, Debug)]
pub struct Policy {
    /// Targets on a hop list.
    pub hops: usize,
    /// Parameters of admission.
    pub admission: AdmissionOptions,
}

impl Default for Policy {
    fn default() -> Self {
        Self {
            hops: DEFAULT_HOPS,
            admission: AdmissionOptions::default(),
        }
    }
}
