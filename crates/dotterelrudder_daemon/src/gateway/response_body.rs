//! Response bodies to callers.

use std::convert::Infallible;

use bytes::Bytes;
use http_body_util::combinators::BoxBody;
use http_body_util::BodyExt;
use http_body_util::Full;

use crate::intake::PacedBody;
use crate::task_body::ResponseAborted;

/// The body of every response to a caller.
pub(super) type ResponseBody = BoxBody<Bytes, ResponseAborted>;

/// Builds a body from a complete response whose memory is counted.
pub(super) fn paced_body(body: PacedBody) -> ResponseBody {
    body.map_err(|never: Infallible| match never {}).boxed()
}

/// Builds a body from complete contents.
pub(super) fn full_body(bytes: Bytes) -> ResponseBody {
    Full::new(bytes)
        .map_err(|never: Infallible| match never {})
        .boxed()
}
