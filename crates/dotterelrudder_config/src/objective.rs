//! The weights of a service's objective.

use serde::Deserialize;
use serde::Serialize;

/// What a service weighs when a runner is chosen; Hvetekorn and Registro differ here.
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
