//! The daemons: sockets, files and timers around the cores.
//!
//! Each daemon is one `ractor` actor that owns a core, passes inputs to it and executes its
//! outputs; see docs/ARCHITECTURE.md. Decisions are made in the cores, which do no input or output.

pub mod arguments;
pub mod catch_panic;
pub mod control;
pub mod entry;
pub mod fleet;
pub mod gateway;
pub mod http_client;
pub mod http_server;
pub mod instance_list;
pub mod intake;
pub mod json_list;
pub mod link;
pub mod logging;
pub mod metrics;
pub mod operator;
pub mod response_limits;
pub mod response_share;
pub mod settings;
pub mod side;
pub mod start;
pub mod system_clock;
pub mod task_body;
