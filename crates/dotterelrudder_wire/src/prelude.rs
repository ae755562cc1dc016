//! The message types used most often, part of the prelude of the `dotterelrudder` crate.

pub use crate::Command;
pub use crate::CommandResult;
pub use crate::Message;
pub use crate::Start;
pub use crate::Work;
