//! Where the KV cache of a prompt is read from and saved to, and who may share it.
//!
//! Load pattern: sessions return after gaps in which runners have evicted their KV cache, and the
//! links to the stores that still hold it are shared by all fetches.

mod cache_groups;
mod cache_plan;
mod stored_parts;

pub(crate) use cache_groups::CacheGroups;
pub use cache_plan::CachePlan;
pub use stored_parts::fetch_time_limit;
pub use stored_parts::StoredParts;
