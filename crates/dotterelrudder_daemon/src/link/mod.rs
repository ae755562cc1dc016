//! Connections between the processes of the system: one HTTP/2 stream each way with frames.

mod connection;
mod dialer;
mod hub;
mod listener;

pub use hub::LinkEvent;
pub use hub::LinkHub;
