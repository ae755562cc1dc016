//! dotterelrudder serves language-model prompts that return after long gaps.
//!
//! This facade re-exports the crates of the system under short names. The cores ([`route`],
//! [`side`], [`control`]) do no input or output, so that any harness can drive them; [`daemon`] puts
//! sockets, files and timers round them. docs/ARCHITECTURE.md tells how they work together.

pub use dotterelrudder_config as config;
pub use dotterelrudder_control as control;
pub use dotterelrudder_daemon as daemon;
pub use dotterelrudder_follow as follow;
pub use dotterelrudder_route as route;
pub use dotterelrudder_side as side;
pub use dotterelrudder_types as types;
pub use dotterelrudder_wire as wire;

/// The names that most users of the library import.
pub mod prelude {
    pub use dotterelrudder_config::prelude::*;
    pub use dotterelrudder_types::prelude::*;
    pub use dotterelrudder_wire::prelude::*;
}
