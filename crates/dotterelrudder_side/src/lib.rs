//! The side role: attempts, drain, blocks, weight versions.
//!
//! Every call to a backend server passes the [`SideCore`] beside it, which is the point where the
//! rules of docs/ARCHITECTURE.md are enforced. It does no input or output itself.

mod attempt;
mod attempt_table;
mod block_cache;
mod block_format;
mod block_table;
mod exporter;
mod input;
mod orders;
mod output;
pub mod prelude;
mod runner;
mod side_core;
mod store;

pub use block_format::open_block;
pub use block_format::seal_block;
pub use block_format::BLOCK_HEADER_BYTES;
pub use block_table::BlockTable;
pub use block_table::SlotRef;
pub use input::BackendStatus;
pub use input::Input;
pub use output::Output;
pub use side_core::SideCore;
pub use side_core::SideSettings;
