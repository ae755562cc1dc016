//! Which requests are repetitions of each other.
//!
//! Load pattern: a request that crashes its runner is sent again by its client, under another id and
//! at any entry. See docs/design/crashing-parts.md.

use std::fmt::Display;
use std::fmt::Formatter;
use std::fmt::Result;

use compact_str::format_compact;
use dotterelrudder_wire::SharedPart;
use http::request::Parts;

use crate::Admission;
use crate::CallerRequest;

/// The length of a fingerprint: clients can gain nothing by a collision, since it would be with a
/// request of their own account.
const BYTES: usize = 12;

/// Equal for requests of one client account with the same method, path, query, model and body.
/// Headers don't count: ids, deadlines and the host differ between repetitions. The service doesn't
/// either: a route may lead to several, and a change of the configuration to another one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RequestFingerprint([u8; BYTES]);

impl RequestFingerprint {
    /// Returns the fingerprint of an admitted request.
    pub fn new(admission: &Admission, call: &CallerRequest, head: &Parts, body: &[u8]) -> Self {
        let account = admission.account.as_ref().map_or("", |a| a.name.as_str());
        let path = head.uri.path_and_query().map_or("", |p| p.as_str());
        let model = call.prompt.as_ref().map_or("", |p| p.model.as_str());
        let mut hasher = blake3::Hasher::new();
        for field in [account, head.method.as_str(), path, model] {
            // The lengths keep fields apart.
            hasher.update(&(field.len() as u64).to_le_bytes());
            hasher.update(field.as_bytes());
        }
        hasher.update(body);
        let mut bytes = [0; BYTES];
        hasher.finalize_xof().fill(&mut bytes);
        Self(bytes)
    }

    /// Returns what the repetitions of the request share.
    pub fn part(self) -> SharedPart {
        SharedPart::whole_request(format_compact!("{self}"))
    }
}

impl Display for RequestFingerprint {
    fn fmt(&self, f: &mut Formatter<'_>) -> Result {
        self.0.iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}
