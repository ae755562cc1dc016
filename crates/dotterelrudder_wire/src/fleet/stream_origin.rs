//! Which backend servers began a stream.

use compact_str::CompactString;
use dotterelrudder_types::ServiceName;
use serde::Deserialize;
use serde::Serialize;

/// The service and the software version whose server brought the first event of a stream. Only
/// servers of that version may continue it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StreamOrigin {
    /// The service.
    pub service: ServiceName,
    /// The version of the server's software.
    pub software: CompactString,
}

/// The key of a stream: a hash of the client account and the id of the request that began it, so that
/// no account can name a stream of another one.
pub type StreamKey = u64;
