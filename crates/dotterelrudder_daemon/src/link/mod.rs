//! Connections between entries, sides and control instances.
//!
//! A connection is one HTTP/2 stream over TCP that carries length-prefixed frames in both
//! directions. The first frame each way is a hello, every later one an envelope with a message.

mod connection;
mod dialer;
mod hub;
mod listener;

pub use hub::LinkEvent;
pub use hub::LinkHub;
