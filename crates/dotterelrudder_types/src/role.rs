//! The roles that a process of the system can have.

use serde::Deserialize;
use serde::Serialize;

/// The role of a process, told in the hello of each connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// Accepts callers and routes their requests.
    Entry,
    /// Stands beside one backend server and guards every call to it.
    Side,
    /// Holds the replicated state of the deployment.
    Control,
}

impl Role {
    /// Returns the name used in settings, logs and the instance list.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Entry => "entry",
            Self::Side => "side",
            Self::Control => "control",
        }
    }
}
