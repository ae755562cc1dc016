//! Limits on what a process holds for peers that it does not control.
//!
//! Load pattern: clients send many bodies of legal size at the same time, whole, piece by piece or in
//! chunks, mostly stop just short of their end and stay open; others do not read their responses, send
//! heads without an end, or connect and send nothing. Each is within the limits of one request, but
//! together they exhaust the memory or the descriptors of the machine.
//!
//! [`ByteBudget`] and [`ConnectionTable`] decide, without I/O and without a clock: how much memory each
//! peer may occupy, who waits, and who is cut off when peers wait. [`IntakeGate`] and [`IntakePort`]
//! apply the decisions. See docs/design/untrusted-callers.md.

mod byte_budget;
mod byte_lease;
mod connection_table;
mod held_bytes;
mod intake_buffer;
mod intake_gate;
mod intake_limits;
mod intake_port;
mod machine;
mod paced_body;
mod tracked_body;

pub use byte_budget::ByteBudget;
pub use byte_budget::Grant;
pub use byte_budget::HoldingPhase;
pub use byte_lease::ByteLease;
pub use connection_table::Accept;
pub use connection_table::ConnectionTable;
pub use held_bytes::HeldBytes;
pub use intake_buffer::IntakeBuffer;
pub use intake_gate::IntakeGate;
pub use intake_limits::IntakeLimits;
pub use intake_port::CallerConnection;
pub use intake_port::IntakePort;
pub use machine::MachineLimits;
pub use paced_body::PacedBody;
pub use tracked_body::TrackedBody;
