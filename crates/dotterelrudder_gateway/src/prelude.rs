//! The names that most users of this crate import.

pub use crate::Dialect;
pub use crate::Gateway;
pub use crate::GatewaySettings;
