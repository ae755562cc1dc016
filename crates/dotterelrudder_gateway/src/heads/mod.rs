//! What an entry reads and writes in the heads of HTTP messages, whatever the platform calls it.

mod backend_answer_head;
mod backend_request;
mod caller_request;
mod connection_headers;
mod dialect;

pub use backend_answer_head::BackendAnswerHead;
pub use backend_request::BackendRequest;
pub use caller_request::CallerRequest;
pub use connection_headers::strip_connection_headers;
pub use dialect::Dialect;
