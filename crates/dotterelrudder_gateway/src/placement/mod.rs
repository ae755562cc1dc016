//! Which runner a request is sent to.
//!
//! Load pattern: many entries act on the same load reports, prompts differ in size, and runners
//! fill up. A request goes to the runner with the earliest estimated first token among a few.

mod affinity;
mod candidate_set;
mod engine_estimate;
mod first_token_estimate;
mod memory_limit;
mod placed_request;
mod placement_query;
mod prompt;
mod room_rule;
mod warm_connections;

pub use affinity::rendezvous_score;
pub use candidate_set::candidate_set_size;
pub use candidate_set::CANDIDATE_SAMPLING_PERIOD;
pub(crate) use candidate_set::ENTRIES_PER_RUNNER;
pub(crate) use candidate_set::MAX_WARM_CANDIDATES;
pub(crate) use engine_estimate::estimated_time;
pub use engine_estimate::EngineEstimate;
pub use first_token_estimate::FirstTokenEstimate;
pub use memory_limit::memory_limit;
pub(crate) use memory_limit::memory_pressure;
pub(crate) use memory_limit::MAX_UTILISATION;
pub(crate) use memory_limit::SHORT_PROMPT_TOKENS;
pub use placed_request::Placement;
pub use placement_query::PlacementQuery;
pub use prompt::Prompt;
pub use prompt::PromptPart;
pub use room_rule::RoomRule;
pub use warm_connections::WarmConnections;
pub use warm_connections::CONNECTION_MAX_IDLE;
pub use warm_connections::CONNECTION_MAX_IDLE_NOT_REPEATABLE;
