//! The side role: attempts, drain, blocks, weight versions.
//!
//! Every call to a backend server passes the [`SideCore`] beside it, which is the point where the
//! rules of docs/ARCHITECTURE.md are enforced. It does no input or output itself.

mod attempt;
mod attempt_table;
mod block_exporter;
mod block_format;
mod block_inventory;
mod block_table;
mod input;
mod order_fencing;
mod output;
pub mod prelude;
mod runner_side;
mod side_core;
mod store_side;

pub use block_format::decode_block;
pub use block_format::encode_block;
pub use block_format::BLOCK_HEADER_BYTES;
pub use block_table::BlockTable;
pub use block_table::SlotRef;
pub use input::BackendStatus;
pub use input::Input;
pub use output::Output;
pub use side_core::SideCore;
pub use side_core::SideSettings;
