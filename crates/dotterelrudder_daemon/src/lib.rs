//! Sockets, files and timers round the cores.
//!
//! Each daemon is one `ractor` actor that owns a core, feeds it inputs and carries its outputs out;
//! see docs/ARCHITECTURE.md. Nothing here decides: that is the cores' business.

pub mod arguments;
pub mod control;
pub mod entry;
pub mod fleet;
pub mod gateway;
pub mod http_client;
pub mod http_server;
pub mod instance_list;
pub mod link;
pub mod logging;
pub mod metrics;
pub mod operator;
pub mod settings;
pub mod side;
pub mod start;
pub mod system_clock;
