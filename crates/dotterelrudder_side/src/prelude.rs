//! The types needed to run a [`SideCore`], for glob imports.

pub use crate::Input;
pub use crate::Output;
pub use crate::SideCore;
pub use crate::SideSettings;
