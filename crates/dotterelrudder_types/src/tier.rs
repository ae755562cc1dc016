//! The service tiers of client accounts.

use serde::Deserialize;
use serde::Serialize;

/// The tier of a client account; the lower value has priority.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Tier {
    /// Paying work, which has priority over trial work everywhere.
    Paying,
    /// Trial work, which uses the capacity that paying work leaves free.
    Trial,
}

impl Tier {
    /// Returns the name of the tier in declarations and logs.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Paying => "paying",
            Self::Trial => "trial",
        }
    }
}
