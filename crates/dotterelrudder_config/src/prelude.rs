//! The types and functions that most users of this crate import.

pub use crate::collect;
pub use crate::AccountDeclaration;
pub use crate::ChangeSet;
pub use crate::Configuration;
pub use crate::ServiceDeclaration;
