//! The tiers of treatment.

use serde::Deserialize;
use serde::Serialize;

/// The tier of a client account; a lower value is served first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Tier {
    /// Paying work, which goes before trial work everywhere.
    Paying,
    /// Trial work, which uses what paying work leaves.
    Trial,
}

impl Tier {
    /// Returns the tier's name in declarations and logs.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Paying => "paying",
            Self::Trial => "trial",
        }
    }
}
