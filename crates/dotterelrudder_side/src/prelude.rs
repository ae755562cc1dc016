//! The names that drivers of the side role import.

pub use crate::Input;
pub use crate::Output;
pub use crate::SideCore;
pub use crate::SideSettings;
