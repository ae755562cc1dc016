//! Claims, which let a request that may not be repeated run at most once.

use bytes::Bytes;
use compact_str::CompactString;
use dotterelrudder_types::ClientAccount;
use serde::Deserialize;
use serde::Serialize;

use crate::Usage;

/// What a claim is made under.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ClaimKey {
    /// The client account; equal keys of two accounts are two claims.
    pub account: ClientAccount,
    /// The caller's idempotency key.
    pub key: CompactString,
    /// A hash of method, path and body, to tell a resend from another request.
    pub request_hash: [u8; 16],
}

/// What the control log says of a claim.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimVerdict {
    /// The asking attempt holds the claim and may call the backend server, once.
    Granted,
    /// Another attempt holds it.
    InProgress,
    /// The request has run; this is its stored answer.
    Finished {
        /// The HTTP status.
        status: u16,
        /// The body's media type.
        content_type: CompactString,
        /// The body.
        body: Bytes,
        /// The tokens that a completion used.
        usage: Usage,
    },
    /// The holder was lost between claim and answer.
    Unknown,
    /// The key was used with another request.
    KeyReused,
    /// The key is older than the retention of answers.
    Expired,
}
