//! The stand-in engine's answer: a pure function of model, weight version and prompt.
//!
//! The engine computes it from the state that its KV cache blocks carry, so that a wrong, stale or
//! foreign block shows as a wrong answer.

use dotterelrudder_types::BLOCK_BYTES;

/// The state after a number of whole blocks.
pub type ChainState = [u8; 32];

const LETTERS: &[u8; 32] = b"abcdefghijklmnopqrstuvwxyz234567";

/// Text that is being continued.
#[derive(Debug, Clone)]
pub struct Continuation {
    state: ChainState,
    tail: Vec<u8>,
}

/// Returns the state before any text.
pub fn root_state(model: &str, version: &str) -> ChainState {
    *blake3::hash(format!("{model}\n{version}").as_bytes()).as_bytes()
}

/// Returns the state after one more whole block.
pub fn next_state(state: &ChainState, block: &[u8]) -> ChainState {
    let mut hasher = blake3::Hasher::new();
    hasher.update(state);
    hasher.update(block);
    *hasher.finalize().as_bytes()
}

impl Continuation {
    /// Starts from a state and the text after it.
    pub fn new(state: ChainState, text: &[u8]) -> Self {
        let mut continuation = Self {
            state,
            tail: Vec::with_capacity(BLOCK_BYTES),
        };
        continuation.push(text);
        continuation
    }

    fn push(&mut self, text: &[u8]) {
        for byte in text {
            self.tail.push(*byte);
            if self.tail.len() == BLOCK_BYTES {
                self.state = next_state(&self.state, &self.tail);
                self.tail.clear();
            }
        }
    }

    /// Generates the next token, four bytes long.
    pub fn next_token(&mut self) -> String {
        let hash = next_state(&self.state, &self.tail);
        let letter = |i: usize| LETTERS[usize::from(hash[i] % 32)] as char;
        let token: String = [' ', letter(0), letter(1), letter(2)].iter().collect();
        self.push(token.as_bytes());
        token
    }
}

/// Returns the whole answer to a prompt.
///
/// ```
/// use dotterelrudder_standin::answer::expected_answer;
/// let whole = expected_answer("model", "v1", b"question", 4);
/// let begun = format!("question{}", &whole[..8]);
/// assert_eq!(whole[8..], expected_answer("model", "v1", begun.as_bytes(), 2));
/// ```
pub fn expected_answer(model: &str, version: &str, prompt: &[u8], tokens: u32) -> String {
    let mut continuation = Continuation::new(root_state(model, version), prompt);
    (0..tokens).map(|_| continuation.next_token()).collect()
}
