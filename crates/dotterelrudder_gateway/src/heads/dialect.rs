//! Mapping between HTTP heads and the gateway's types.

use std::time::Duration;

use dotterelrudder_types::Refusal;
use http::HeaderMap;

use crate::BackendAnswerHead;
use crate::BackendRequest;
use crate::CallerRequest;

/// Maps between the heads of HTTP messages and the gateway's types.
///
/// Implementations are stateless and take no decisions, so that the header names of a platform
/// appear nowhere else.
pub trait Dialect: Send + Sync + 'static {
    /// Reads the head of a caller's request.
    ///
    /// # Errors
    ///
    /// Returns the refusal if a mandatory field is missing or malformed.
    fn read_caller_request(&self, head: &http::request::Parts) -> Result<CallerRequest, Refusal>;

    /// Returns the headers of the request to a backend server.
    fn backend_request_headers(
        &self,
        head: &http::request::Parts,
        call: &BackendRequest,
    ) -> HeaderMap;

    /// Reads the head of a backend server's response.
    fn read_answer(&self, head: &http::response::Parts) -> BackendAnswerHead;

    /// Returns the fields that the platform's runners add to events of streams.
    fn event_fields(&self) -> &'static [&'static str];

    /// Sets the header with the delay after which a caller may retry.
    fn write_retry_after(&self, after: Duration, headers: &mut HeaderMap);
}
