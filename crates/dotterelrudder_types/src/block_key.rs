//! Keys of KV cache blocks, and rendezvous hashing over them.

use serde::Deserialize;
use serde::Serialize;

use crate::ClientAccount;
use crate::WeightVersion;

/// The number of tokens in one block of KV cache.
pub const BLOCK_TOKENS: usize = 1_000;
/// The number of bytes of text that count as one token; docs/PROTOCOLS.md describes the tokenizer
/// rule.
pub const TOKEN_BYTES: usize = 4;
/// The number of bytes of text that one block covers.
pub const BLOCK_BYTES: usize = BLOCK_TOKENS * TOKEN_BYTES;

/// Identifies a block by client account, model, weight version and all text up to the block's end.
///
/// Two client accounts with the same prompt have different keys, so that a lookup never returns a
/// block of another account. docs/PROTOCOLS.md describes how keys are chained.
///
/// ```
/// use dotterelrudder_types::{BlockKey, ClientAccount, WeightVersion, BLOCK_BYTES};
/// let text = vec![b'a'; 2 * BLOCK_BYTES + 1];
/// let (account, version) = (ClientAccount::from("school"), WeightVersion::from("v1"));
/// assert_eq!(BlockKey::chain(&account, "model", &version, &text).len(), 2);
/// ```
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct BlockKey(pub [u8; 16]);

impl BlockKey {
    /// Computes the keys of all complete blocks of `text`, in order; a shorter remainder has no
    /// key.
    pub fn chain(
        account: &ClientAccount,
        model: &str,
        version: &WeightVersion,
        text: &[u8],
    ) -> Vec<Self> {
        let mut hasher = blake3::Hasher::new();
        for part in [account.as_str(), model, version.as_str()] {
            hasher.update(&(part.len() as u64).to_le_bytes());
            hasher.update(part.as_bytes());
        }
        let mut parent = hasher.finalize();
        let mut keys = Vec::with_capacity(text.len() / BLOCK_BYTES);
        for block in text.chunks_exact(BLOCK_BYTES) {
            let mut hasher = blake3::Hasher::new();
            hasher.update(parent.as_bytes());
            hasher.update(block);
            parent = hasher.finalize();
            keys.push(Self::from_hash(&parent));
        }
        keys
    }

    /// Truncates a hash to the 16 bytes of a key.
    fn from_hash(hash: &blake3::Hash) -> Self {
        let mut key = [0; 16];
        key.copy_from_slice(&hash.as_bytes()[..16]);
        Self(key)
    }

    /// Parses 32 hexadecimal digits; returns `None` for any other text.
    pub fn parse(text: &str) -> Option<Self> {
        if text.len() != 32 {
            return None;
        }
        u128::from_str_radix(text, 16)
            .ok()
            .map(|n| Self(n.to_be_bytes()))
    }

    /// Computes the score of a candidate for rendezvous hashing (Thaler and Ravishankar, 1998): the
    /// key is assigned to the candidate with the highest score, so that entries agree on it without
    /// communicating.
    pub fn rendezvous_score(&self, candidate: &str) -> u64 {
        let mut hasher = blake3::Hasher::new();
        hasher.update(&self.0);
        hasher.update(candidate.as_bytes());
        let mut first = [0; 8];
        first.copy_from_slice(&hasher.finalize().as_bytes()[..8]);
        u64::from_le_bytes(first)
    }
}

impl std::fmt::Display for BlockKey {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{:032x}", u128::from_be_bytes(self.0))
    }
}
