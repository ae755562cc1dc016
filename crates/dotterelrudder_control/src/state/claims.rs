//! Claims on idempotency keys, which keep requests that may not be repeated from running twice; see
//! docs/design/at-most-once.md.

use std::collections::BTreeMap;
use std::collections::VecDeque;

use bytes::Bytes;
use compact_str::CompactString;
use dotterelrudder_types::AttemptId;
use dotterelrudder_types::ClientAccount;
use dotterelrudder_types::InstanceName;
use dotterelrudder_wire::ClaimKey;
use dotterelrudder_wire::ClaimVerdict;
use dotterelrudder_wire::Usage;
use serde::Deserialize;
use serde::Serialize;

/// How long the answer of a claimed request is kept for resends, in milliseconds.
const ANSWER_RETENTION_MS: u64 = 24 * 60 * 60 * 1_000;
/// How long after the end of a request its key counts as used, in milliseconds; once the answer has
/// expired, the claim is a tombstone.
const TOMBSTONE_RETENTION_MS: u64 = 30 * ANSWER_RETENTION_MS;
/// Maximum number of answers, and likewise of tombstones, that expire per applied claim.
const MAX_EXPIRED_PER_STEP: usize = 32;
/// Size limit of a kept answer's body, in bytes. A larger answer is dropped, and its claim counts
/// as expired at once.
pub(crate) const MAX_KEPT_ANSWER_BYTES: usize = 64 * 1024;

type Holder = (InstanceName, u64, AttemptId);
type Key = (ClientAccount, CompactString);

/// The stored answer of a finished request, which a resend gets.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub(super) struct KeptAnswer {
    pub(super) status: u16,
    pub(super) content_type: CompactString,
    pub(super) body: Bytes,
    pub(super) usage: Usage,
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
enum ClaimState {
    Held(Holder),
    Finished(KeptAnswer),
    Unknown,
    Expired,
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
struct Claim {
    request_hash: [u8; 16],
    state: ClaimState,
}

/// All claims, by client account and key.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub(super) struct Claims {
    claims: BTreeMap<Key, Claim>,
    /// End times and keys of finished requests within the answer retention, oldest first.
    ended: VecDeque<(u64, Key)>,
    /// End times and keys of tombstones, oldest first.
    expired: VecDeque<(u64, Key)>,
}

fn key_of(key: &ClaimKey) -> Key {
    (key.account.clone(), key.key.clone())
}

impl Claims {
    pub(super) fn len(&self) -> usize {
        self.claims.len()
    }

    /// Grants an unused key to the holder's attempt, or returns the state of the existing claim.
    pub(super) fn acquire(&mut self, key: &ClaimKey, holder: Holder, at_ms: u64) -> ClaimVerdict {
        self.expire(at_ms);
        let Some(claim) = self.claims.get(&key_of(key)) else {
            let state = ClaimState::Held(holder);
            let claim = Claim {
                request_hash: key.request_hash,
                state,
            };
            self.claims.insert(key_of(key), claim);
            return ClaimVerdict::Granted;
        };
        if claim.request_hash != key.request_hash {
            return ClaimVerdict::KeyReused;
        }
        match &claim.state {
            ClaimState::Held(held) if *held == holder => ClaimVerdict::Granted,
            ClaimState::Held(_) => ClaimVerdict::InProgress,
            ClaimState::Unknown => ClaimVerdict::Unknown,
            ClaimState::Expired => ClaimVerdict::Expired,
            ClaimState::Finished(answer) => ClaimVerdict::Finished {
                status: answer.status,
                content_type: answer.content_type.clone(),
                body: answer.body.clone(),
                usage: answer.usage,
            },
        }
    }

    pub(super) fn finish(
        &mut self,
        key: &ClaimKey,
        attempt: AttemptId,
        answer: KeptAnswer,
        at_ms: u64,
    ) {
        let kept = answer.body.len() <= MAX_KEPT_ANSWER_BYTES;
        let Some(claim) = self.held_by(key, attempt) else {
            return;
        };
        claim.state = if kept {
            ClaimState::Finished(answer)
        } else {
            ClaimState::Expired
        };
        self.ended.push_back((at_ms, key_of(key)));
    }

    /// Removes the claim of an attempt that never called the backend server.
    pub(super) fn release(&mut self, key: &ClaimKey, attempt: AttemptId) {
        if self.held_by(key, attempt).is_some() {
            self.claims.remove(&key_of(key));
        }
    }

    pub(super) fn mark_unknown(&mut self, key: &ClaimKey, attempt: AttemptId) {
        if let Some(claim) = self.held_by(key, attempt) {
            claim.state = ClaimState::Unknown;
        }
    }

    /// Marks the claims of earlier incarnations of a side as unknown, since their outcome is lost.
    pub(super) fn mark_old_claims_unknown(&mut self, side: &InstanceName, incarnation: u64) {
        for claim in self.claims.values_mut() {
            if let ClaimState::Held((holder, held_by, _)) = &claim.state {
                if holder == side && *held_by != incarnation {
                    claim.state = ClaimState::Unknown;
                }
            }
        }
    }

    /// Returns the claims of requests in progress, with the side and attempt that hold each.
    pub(super) fn held(&self) -> Vec<(ClaimKey, InstanceName, AttemptId)> {
        let held = self
            .claims
            .iter()
            .filter_map(|((account, key), claim)| match &claim.state {
                ClaimState::Held((holder, _, attempt)) => {
                    let request_hash = claim.request_hash;
                    let key = ClaimKey {
                        account: account.clone(),
                        key: key.clone(),
                        request_hash,
                    };
                    Some((key, holder.clone(), *attempt))
                }
                _ => None,
            });
        held.collect()
    }

    fn held_by(&mut self, key: &ClaimKey, attempt: AttemptId) -> Option<&mut Claim> {
        let claim = self.claims.get_mut(&key_of(key))?;
        let held = matches!(&claim.state, ClaimState::Held((_, _, by)) if *by == attempt);
        held.then_some(claim)
    }

    fn expire(&mut self, now_ms: u64) {
        for _ in 0..MAX_EXPIRED_PER_STEP {
            let due = self.ended.front().map(|(at, _)| at + ANSWER_RETENTION_MS);
            if due.is_none_or(|due| due > now_ms) {
                break;
            }
            if let Some((at, key)) = self.ended.pop_front() {
                if let Some(claim) = self.claims.get_mut(&key) {
                    claim.state = ClaimState::Expired;
                }
                self.expired.push_back((at, key));
            }
        }
        for _ in 0..MAX_EXPIRED_PER_STEP {
            let due = self
                .expired
                .front()
                .map(|(at, _)| at + TOMBSTONE_RETENTION_MS);
            if due.is_none_or(|due| due > now_ms) {
                break;
            }
            if let Some((_, key)) = self.expired.pop_front() {
                self.claims.remove(&key);
            }
        }
    }
}
