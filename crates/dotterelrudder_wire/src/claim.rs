//! Claims in the control log, which make a request that must not be repeated run at most once.

use bytes::Bytes;
use compact_str::CompactString;
use dotterelrudder_types::ClientAccount;
use serde::Deserialize;
use serde::Serialize;

use crate::Usage;

/// Identifies the request that a claim protects.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ClaimKey {
    /// The client account that sent the request; equal idempotency keys of two accounts are
    /// separate claims.
    pub account: ClientAccount,
    /// The idempotency key that the caller sent.
    pub key: CompactString,
    /// A hash of method, path and body, which distinguishes a resend from a different request
    /// under the same key.
    pub request_hash: [u8; 16],
}

/// The state of a claim in the control log, returned to the attempt that proposed the claim.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimVerdict {
    /// The proposing attempt holds the claim and may call the backend server once.
    Granted,
    /// Another attempt holds the claim and has not finished.
    InProgress,
    /// The request has run; the stored response follows.
    Finished {
        /// The HTTP status of the response.
        status: u16,
        /// The media type of the body.
        content_type: CompactString,
        /// The body of the response.
        body: Bytes,
        /// The token counts of a completion.
        usage: Usage,
    },
    /// The holder was lost between taking the claim and storing a response, so that the request
    /// may or may not have run.
    Unknown,
    /// The idempotency key was used with a different request.
    KeyReused,
    /// The idempotency key is older than the retention time of stored responses.
    Expired,
}
