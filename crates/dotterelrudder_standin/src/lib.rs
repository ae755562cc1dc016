//! Small stand-ins for what the system serves, and the load tool.
//!
//! Each stand-in is a fake at one interface of docs/PROTOCOLS.md with switches for faults; none of
//! them is a simulator.

pub mod answer;
pub mod engine;
mod engine_cache;
pub mod instance_list;
pub mod load;
pub mod plain;
mod prefill_gate;
pub mod relay;
pub mod server;
pub mod store;
pub mod weights;
