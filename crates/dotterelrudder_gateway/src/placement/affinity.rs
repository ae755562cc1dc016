//! Session affinity: ranks the runners of a session by rendezvous hashing.
//!
//! Load pattern: the requests of a session arrive through all entries, minutes apart. Rendezvous
//! hashing gives every entry the same order of runners for a session without communication, and a
//! runner that is added or removed only moves its own share of the sessions.

/// Returns the score of a runner for a session. The runner with the highest score is preferred.
pub fn rendezvous_score(session: &str, runner: &str) -> u64 {
    let mut hasher = blake3::Hasher::new();
    hasher.update(session.as_bytes());
    hasher.update(&[0]);
    hasher.update(runner.as_bytes());
    let mut bytes = [0; 8];
    bytes.copy_from_slice(&hasher.finalize().as_bytes()[..8]);
    u64::from_le_bytes(bytes)
}
