//! The types that most crates of the system import.

pub use crate::AttemptId;
pub use crate::BlockKey;
pub use crate::ErrorKind;
pub use crate::InstanceName;
pub use crate::Refusal;
pub use crate::Revision;
pub use crate::ServiceName;
