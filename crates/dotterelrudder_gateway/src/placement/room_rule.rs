//! Which runners have room for a request.

/// Which runners have room for a request, beyond what their memory and queue say.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum RoomRule {
    /// The usual limits.
    #[default]
    Usual,
    /// More urgent requests find no capacity, or the request is late already: a long prompt is only sent
    /// to a runner whose queue it doesn't fill.
    Yielding,
    /// The request has waited until its turn: it may use the memory that long prompts leave free.
    Due,
}
