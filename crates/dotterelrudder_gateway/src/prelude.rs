//! The names that most users of the gateway import.

pub use crate::Dialect;
pub use crate::Gateway;
pub use crate::GatewaySettings;
