//! Which runner is the home of a session, without any talk between entries.
//!
//! Load pattern: a session's requests come through all entries, minutes apart. Rendezvous hashing
//! names the same order of runners for a session at each entry, and a runner that comes or goes
//! moves only its own share of the sessions.

/// Returns the place of a runner in a session's order of preference, as a number to compare:
/// the highest one is the home.
pub fn rendezvous_score(session: &str, runner: &str) -> u64 {
    let mut hasher = blake3::Hasher::new();
    hasher.update(session.as_bytes());
    hasher.update(&[0]);
    hasher.update(runner.as_bytes());
    let mut bytes = [0; 8];
    bytes.copy_from_slice(&hasher.finalize().as_bytes()[..8]);
    u64::from_le_bytes(bytes)
}
