//! Keys, names, error kinds and the clock shared by every crate.
//!
//! This crate does no input or output, so that a test harness can drive each core. Names follow
//! docs/GLOSSARY.md.

mod account_key_hash;
mod attempt_id;
mod block_key;
mod clock;
mod error_kind;
mod leaving_runner;
mod leaving_runners;
mod named_limit;
mod names;
mod outcome;
pub mod prelude;
mod refusal;
mod revision;
mod role;
mod routing_policy;
mod tier;
mod token_bucket;

pub use account_key_hash::AccountKeyHash;
pub use attempt_id::AttemptId;
pub use block_key::BlockKey;
pub use block_key::BLOCK_BYTES;
pub use block_key::BLOCK_TOKENS;
pub use block_key::TOKEN_BYTES;
pub use clock::Clock;
pub use clock::ManualClock;
pub use error_kind::ErrorKind;
pub use error_kind::ErrorRow;
pub use leaving_runner::LeavingRunner;
pub use leaving_runners::LeavingRunners;
pub use named_limit::NamedLimit;
pub use names::*;
pub use outcome::Outcome;
pub use refusal::Refusal;
pub use revision::Revision;
pub use role::Role;
pub use routing_policy::RoutingPolicy;
pub use tier::Tier;
pub use token_bucket::TokenBucket;
