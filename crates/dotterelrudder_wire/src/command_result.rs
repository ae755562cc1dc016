//! The result of applying a command of the replicated log.

use bytes::Bytes;
use compact_str::CompactString;
use dotterelrudder_types::Refusal;
use dotterelrudder_types::Revision;
use serde::Deserialize;
use serde::Serialize;

use crate::ClaimVerdict;

/// The result of a command; every replica computes the same one.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum CommandResult {
    /// The command was applied and returns no value.
    Done,
    /// A [`crate::Command::Noop`] was applied at this log index; everything accepted earlier has a
    /// lower index.
    Passed(u64),
    /// The configuration change was accepted and created this revision.
    Accepted(Revision),
    /// The configuration change was rejected, because another change was accepted after its base
    /// revision.
    Conflict {
        /// The revision in force.
        revision: Revision,
        /// The id of the change that was accepted instead.
        winner: CompactString,
        /// The operator who made the accepted change.
        author: CompactString,
    },
    /// The state of a claim in the control log.
    Claim(ClaimVerdict),
    /// The fencing number in force for a side, or the one newly issued for an order.
    Fence(u64),
    /// The deployment configuration in force.
    Whole {
        /// The version of the configuration; 0 when none was accepted yet.
        version: u64,
        /// The document as the operator sent it.
        document: Bytes,
    },
    /// The command was rejected and changed nothing.
    Refused(Refusal),
}
