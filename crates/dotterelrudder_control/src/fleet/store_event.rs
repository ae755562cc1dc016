//! A change that a store tells.

use dotterelrudder_wire::PartKey;

/// A part that a store holds whole now, or doesn't hold any more.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoreEvent {
    /// The part.
    pub key: PartKey,
    /// Its length in tokens.
    pub tokens: u32,
    /// Whether the store holds it.
    pub held: bool,
}
