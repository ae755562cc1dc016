//! What a command gave once it was applied.

use bytes::Bytes;
use compact_str::CompactString;
use dotterelrudder_types::Refusal;
use dotterelrudder_types::Revision;
use serde::Deserialize;
use serde::Serialize;

use crate::ClaimVerdict;

/// The result of a command; equal at each replica.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum CommandResult {
    /// Done, nothing to tell.
    Done,
    /// A [`crate::Command::Noop`] was applied as this entry; what was accepted before stands
    /// before it.
    Passed(u64),
    /// The change is accepted as this revision.
    Accepted(Revision),
    /// Another change came first.
    Conflict {
        /// The revision in force.
        revision: Revision,
        /// The id of the change that won.
        winner: CompactString,
        /// Who made it.
        author: CompactString,
    },
    /// What the log says of a claim.
    Claim(ClaimVerdict),
    /// The fencing number in force, or issued.
    Fence(u64),
    /// The whole configuration in force.
    Whole {
        /// Its version; 0 when none was accepted.
        version: u64,
        /// The document as the operator sent it.
        document: Bytes,
    },
    /// The command wasn't applied.
    Refused(Refusal),
}
