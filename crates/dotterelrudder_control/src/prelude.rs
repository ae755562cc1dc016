//! The types that a driver of the control role imports.

pub use crate::ControlCore;
pub use crate::Input;
pub use crate::Origin;
pub use crate::Output;
pub use crate::Record;
pub use crate::Recovered;
