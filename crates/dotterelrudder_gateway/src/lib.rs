//! Decisions of an entry that calls backend servers itself.
//!
//! [`Gateway`] is the whole role without input or output: which route and account a request has,
//! which runner takes it, whether it may be sent again, and when it is refused. Each module tells
//! the load pattern that it answers; docs/design/platform.md tells how they work together.

mod admission;
mod affinity;
mod answer_facts;
mod cache_plan;
mod cache_salt;
mod caller_call;
mod confirmed_lease;
mod connection_headers;
mod dialect;
mod engine_estimate;
mod event_splitter;
mod first_token_estimate;
mod gateway;
mod gateway_settings;
mod memory_reserve;
mod named_weights;
mod not_placed;
mod outbound_call;
mod placement;
mod placement_query;
pub mod prelude;
mod prompt;
mod retry_budget;
mod route_table;
mod run_outcome;
mod runner_condition;
mod runner_health;
mod runner_state;
mod runner_table;
mod sight;
mod stored_parts;
mod waiting_room;

pub use admission::Admission;
pub use affinity::rendezvous_rank;
pub use answer_facts::AnswerFacts;
pub use cache_plan::CachePlan;
pub(crate) use cache_salt::cache_salt;
pub use caller_call::CallerCall;
pub use confirmed_lease::ConfirmedLease;
pub use connection_headers::strip_connection_headers;
pub use dialect::Dialect;
pub use engine_estimate::EngineEstimate;
pub use event_splitter::EventSplitter;
pub use event_splitter::StreamEvent;
pub use first_token_estimate::FirstTokenEstimate;
pub use gateway::Gateway;
pub use gateway_settings::GatewaySettings;
pub use memory_reserve::memory_limit;
pub use named_weights::NamedWeights;
pub use not_placed::NotPlaced;
pub use outbound_call::OutboundCall;
pub use placement::Placement;
pub use placement_query::PlacementQuery;
pub use prompt::Prompt;
pub use prompt::PromptPart;
pub use retry_budget::RetryBudget;
pub use route_table::RouteTable;
pub use run_outcome::RunOutcome;
pub use runner_condition::RunnerCondition;
pub use runner_health::RunnerHealth;
pub use runner_state::RunnerState;
pub use runner_table::RunnerKey;
pub use runner_table::RunnerTable;
pub use sight::runners_in_sight;
pub use sight::SIGHT_PERIOD;
pub use stored_parts::fetch_patience;
pub use stored_parts::StoredParts;
pub use waiting_room::RoomNeed;
pub use waiting_room::WaitingRoom;
