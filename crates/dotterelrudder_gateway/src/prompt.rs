//! What is known of a prompt before it is read.

use compact_str::CompactString;
use smallvec::SmallVec;

/// A part of a prompt that other requests may share.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PromptPart {
    /// The part's identity, equal wherever the same text stands behind the same parts.
    pub id: CompactString,
    /// Its length in tokens.
    pub tokens: u32,
}

/// The shape of a prompt.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Prompt {
    /// The model that shall read it.
    pub model: CompactString,
    /// Its length in tokens.
    pub tokens: u32,
    /// Tokens that the answer has at most.
    pub max_output_tokens: u32,
    /// Its parts in order; the last one is the request's own.
    pub parts: SmallVec<[PromptPart; 4]>,
}

impl Prompt {
    /// Returns the part by which requests of one session are kept together: the last one that is
    /// shared.
    pub fn session_part(&self) -> Option<&PromptPart> {
        let shared = self.parts.len().checked_sub(2);
        shared.map_or(self.parts.last(), |i| self.parts.get(i))
    }

    /// Returns the tokens of all shared parts.
    pub fn shared_tokens(&self) -> u32 {
        let shared = self.parts.len().saturating_sub(1);
        self.parts.iter().take(shared).map(|p| p.tokens).sum()
    }

    /// Returns the memory that the request needs at its end, in tokens.
    pub fn peak_tokens(&self) -> u64 {
        u64::from(self.tokens) + u64::from(self.max_output_tokens)
    }
}
