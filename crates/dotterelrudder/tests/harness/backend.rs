//! Fakes of what stands behind sides: an engine, a plain service, a store.

use std::collections::BTreeMap;

use bytes::Bytes;
use dotterelrudder::types::BlockKey;
use dotterelrudder::types::ClientAccount;
use dotterelrudder::types::WeightVersion;
use dotterelrudder::types::BLOCK_BYTES;
use dotterelrudder::types::BLOCK_TOKENS;
use dotterelrudder::wire::Start;
use dotterelrudder::wire::Work;
use dotterelrudder_standin::answer;

/// The model that the fake engines serve.
pub const MODEL: &str = "m";

/// A block as the fake engine holds it: its state, and whom it belongs to.
pub type Held = (answer::ChainState, ClientAccount, WeightVersion);

/// State of a backend server; it outlives its side's process.
#[derive(Debug, Default)]
pub struct Backend {
    pub version: WeightVersion,
    pub fence: u64,
    pub ignores_fence: bool,
    pub loads: Vec<u64>,
    pub cache: BTreeMap<BlockKey, Held>,
    pub foreign_reads: u32,
    pub slots: Vec<Option<Bytes>>,
    pub half_writes: bool,
    pub flip_reads: bool,
    pub down: bool,
    pub cut_after: Option<usize>,
    /// Runs of each plain request, by its body.
    pub runs: BTreeMap<String, u32>,
}

impl Backend {
    /// Answers a completion from the blocks held: tokens, and how many prompt tokens were cached.
    pub fn complete(&mut self, start: &Start) -> (Vec<Bytes>, usize) {
        let Work::Completion {
            prompt, max_tokens, ..
        } = &start.work
        else {
            return (Vec::new(), 0);
        };
        let keys = BlockKey::chain(&start.account, MODEL, &self.version, prompt);
        let mut state = answer::root_state(MODEL, self.version.as_str());
        let mut cached = 0;
        for (key, block) in keys.iter().zip(prompt.chunks_exact(BLOCK_BYTES)) {
            if let Some((held, account, version)) = self.cache.get(key) {
                let own = *account == start.account && *version == self.version;
                self.foreign_reads += u32::from(!own);
                state = *held;
                cached += 1;
            } else {
                state = answer::next_state(&state, block);
            }
            let held = (state, start.account.clone(), self.version.clone());
            self.cache.insert(*key, held);
        }
        let tail = &prompt[prompt.len() / BLOCK_BYTES * BLOCK_BYTES..];
        let mut text = answer::Continuation::new(state, tail);
        let tokens = (0..*max_tokens)
            .map(|_| Bytes::from(text.next_token()))
            .collect();
        (tokens, cached * BLOCK_TOKENS)
    }

    pub fn export(&self, key: &BlockKey) -> Option<Bytes> {
        let (state, account, version) = self.cache.get(key)?;
        let text = format!("{account}\n{version}");
        Some([&state[..], text.as_bytes()].concat().into())
    }

    /// Takes a block unless it says itself that it is of another version.
    pub fn import(&mut self, key: BlockKey, version: &WeightVersion, data: &Bytes) -> bool {
        let parsed = || -> Option<Held> {
            let state = *data.first_chunk::<32>()?;
            let (account, made_by) = std::str::from_utf8(&data[32..]).ok()?.split_once('\n')?;
            Some((state, account.into(), made_by.into()))
        };
        match parsed() {
            Some(held) if *version == self.version => {
                self.cache.insert(key, held);
                true
            }
            _ => false,
        }
    }

    pub fn load(&mut self, fence: u64, version: &WeightVersion) -> bool {
        if fence < self.fence && !self.ignores_fence {
            return false;
        }
        self.loads.push(fence);
        self.fence = self.fence.max(fence);
        self.version = version.clone();
        self.cache.clear();
        true
    }

    pub fn write(&mut self, slot: u32, data: &Bytes) {
        let kept = if self.half_writes {
            data.len() / 2
        } else {
            data.len()
        };
        self.slots[slot as usize] = Some(data.slice(..kept));
    }

    pub fn read(&self, slot: u32) -> Option<Bytes> {
        let data = self.slots[slot as usize].clone()?;
        if !self.flip_reads {
            return Some(data);
        }
        let mut bytes = data.to_vec();
        let middle = bytes.len() / 2;
        bytes[middle] ^= 1;
        Some(bytes.into())
    }
}
