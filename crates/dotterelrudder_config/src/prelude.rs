//! The names that most users of declarations import.

pub use crate::collect;
pub use crate::AccountDeclaration;
pub use crate::ChangeSet;
pub use crate::Configuration;
pub use crate::ServiceDeclaration;
