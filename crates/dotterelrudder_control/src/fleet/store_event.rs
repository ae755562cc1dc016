//! One change of a store's contents, as the store reports it.

use dotterelrudder_wire::PartKey;

/// A part that a store now holds completely, or no longer holds.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoreEvent {
    /// The part that was stored or removed.
    pub key: PartKey,
    /// Length of the part in tokens.
    pub tokens: u32,
    /// Whether the store holds the part after the event.
    pub held: bool,
}
