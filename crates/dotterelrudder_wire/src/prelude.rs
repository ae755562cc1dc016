//! The names that the cores import.

pub use crate::Command;
pub use crate::CommandResult;
pub use crate::Message;
pub use crate::Start;
pub use crate::Work;
