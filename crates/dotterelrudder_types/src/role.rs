//! The roles that a process of the system can have.

use serde::Deserialize;
use serde::Serialize;

/// The role of a process, sent in the hello of each connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// Accepts requests from callers and routes them to runners.
    Entry,
    /// Runs on the machine of one backend server and controls every call to it.
    Side,
    /// Replicates the state of the deployment by Raft.
    Control,
}

impl Role {
    /// Returns the name of the role in settings, logs and the instance list.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Entry => "entry",
            Self::Side => "side",
            Self::Control => "control",
        }
    }
}
