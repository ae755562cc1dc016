//! What the leader keeps of the whole deployment besides the log: who follows it, which backend
//! servers the platform lists, their loads, and which runners load weights; see
//! docs/design/platform.md.

mod follower;
mod followers;
mod weight_waves;

pub(crate) use followers::Followers;
pub use weight_waves::WeightWaves;
