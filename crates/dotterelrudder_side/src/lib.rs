//! The side role: the process beside each backend server.
//!
//! A side runs attempts, grants slots, enforces at-most-once execution, drains, and moves KV cache
//! blocks between engines and stores. Every call to a backend server passes through the
//! [`SideCore`] beside it, which enforces the rules of docs/ARCHITECTURE.md. It is a state machine
//! that performs no I/O: it maps each [`Input`] to [`Output`]s.

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
