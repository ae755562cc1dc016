//! The names that a program needs to drive an [`EntryCore`].

pub use crate::AnswerEvent;
pub use crate::EntryCore;
pub use crate::EntrySettings;
pub use crate::Input;
pub use crate::Output;
pub use crate::Target;
