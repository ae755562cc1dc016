//! How requests and answers are written on the wire.

use std::time::Duration;

use dotterelrudder_types::Refusal;
use http::HeaderMap;

use crate::BackendAnswerHead;
use crate::BackendRequest;
use crate::CallerRequest;

/// Translates between the heads of HTTP messages and the gateway's types.
///
/// An implementation holds no state and decides nothing, so that a platform's names stay in it.
pub trait Dialect: Send + Sync + 'static {
    /// Reads what a caller asks for.
    ///
    /// # Errors
    ///
    /// Returns the refusal for a head that names no request.
    fn read_caller_request(&self, head: &http::request::Parts) -> Result<CallerRequest, Refusal>;

    /// Writes the headers of the request to a backend server.
    fn backend_request_headers(
        &self,
        head: &http::request::Parts,
        call: &BackendRequest,
    ) -> HeaderMap;

    /// Reads the head of a backend server's answer.
    fn read_answer(&self, head: &http::response::Parts) -> BackendAnswerHead;

    /// Writes after how long a caller may come back.
    fn write_retry_after(&self, after: Duration, headers: &mut HeaderMap);
}
