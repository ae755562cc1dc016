//! The shape of a prompt: its model, its length, and its parts.

use compact_str::CompactString;
use smallvec::SmallVec;

/// A part of a prompt that other requests may share.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PromptPart {
    /// The part's id. Equal ids mean equal text after equal preceding parts.
    pub id: CompactString,
    /// The part's length in tokens.
    pub tokens: u32,
}

/// The shape of a prompt, read from the head of the request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Prompt {
    /// The model that the prompt is for.
    pub model: CompactString,
    /// The prompt's length in tokens.
    pub tokens: u32,
    /// The maximum number of output tokens.
    pub max_output_tokens: u32,
    /// The parts in order. The last one belongs to this request alone; the others may be shared.
    pub parts: SmallVec<[PromptPart; 4]>,
}

impl Prompt {
    /// Returns the part that identifies the request's session: the last shared one.
    pub fn session_part(&self) -> Option<&PromptPart> {
        let shared = self.parts.len().checked_sub(2);
        shared.map_or(self.parts.last(), |i| self.parts.get(i))
    }

    /// Returns the parts that other requests may share: all but the last one.
    pub fn shared_parts(&self) -> &[PromptPart] {
        &self.parts[..self.parts.len().saturating_sub(1)]
    }

    /// Returns the number of tokens in all shared parts. Callers may name any counts.
    pub fn shared_tokens(&self) -> u32 {
        let tokens = self.shared_parts().iter().map(|p| p.tokens);
        tokens.fold(0, u32::saturating_add)
    }

    /// Returns the KV-cache memory that the request needs at its end, in tokens.
    pub fn peak_tokens(&self) -> u64 {
        u64::from(self.tokens) + u64::from(self.max_output_tokens)
    }
}
