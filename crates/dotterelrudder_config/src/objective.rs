//! Weights of the cost function by which a service's runners are selected.

use serde::Deserialize;
use serde::Serialize;

/// The weights of a service's cost function for runner selection; the deployments Hvetekorn and
/// Registro use different weights.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct Objective {
    /// Cost of one second until the first token.
    pub first_token: f64,
    /// Cost of one second of recomputed prefill.
    pub recompute: f64,
    /// Cost of one second of link use.
    pub link: f64,
}

impl Default for Objective {
    fn default() -> Self {
        Self {
            first_token: 1.0,
            recompute: 0.0,
            link: 0.0,
        }
    }
}
