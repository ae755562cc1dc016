//! Imports of KV cache blocks from stores into the engine before a run.

use std::collections::BTreeSet;
use std::time::Duration;

use bytes::Bytes;
use dotterelrudder_types::BlockKey;
use dotterelrudder_types::InstanceName;
use dotterelrudder_wire::Message;
use dotterelrudder_wire::Work;

use crate::attempt::AnyAttempt;
use crate::attempt::Importing;
use crate::attempt_table::AttemptKey;
use crate::runner_side::update_moving_average;
use crate::runner_side::RunnerSide;
use crate::side_core::SideContext;
use crate::Output;

/// Time limit for importing the blocks of an attempt; then the engine recomputes the missing ones.
const IMPORT_TIMEOUT: Duration = Duration::from_secs(2);

impl RunnerSide {
    /// Starts an attempt that has been assigned a slot: claims its key first if it needs a claim.
    pub(crate) fn start_attempt(
        &mut self,
        key: AttemptKey,
        context: &SideContext,
        now: Duration,
        out: &mut Vec<Output>,
    ) {
        let Some(any) = self.attempts.get(key) else {
            return;
        };
        if any.start().claim.is_some() && !any.is_claimed() {
            self.propose_claim(key, context);
        } else {
            self.import_or_call(key, context, now, out);
        }
    }

    /// Requests the blocks to import from their stores, or calls the backend server if there are
    /// none.
    pub(crate) fn import_or_call(
        &mut self,
        key: AttemptKey,
        context: &SideContext,
        now: Duration,
        out: &mut Vec<Output>,
    ) {
        let wanted = self.blocks_to_import(key, context);
        if wanted.is_empty() {
            self.call_backend(key, now, out);
            return;
        }
        let state = Importing {
            missing: wanted.iter().map(|(key, _)| *key).collect::<BTreeSet<_>>(),
            requested_at: now,
            due: now + IMPORT_TIMEOUT,
            bytes: 0,
            run: self.next_run,
            version: self.backend_status.version.clone(),
        };
        self.next_run += 1;
        self.attempts.advance(key, |any| match any {
            AnyAttempt::Queued(a) => AnyAttempt::Importing(a.into_state(state)),
            AnyAttempt::Claiming(a) => AnyAttempt::Importing(a.into_state(state)),
            other => other,
        });
        for (key, to) in wanted {
            out.push(Output::Send {
                to,
                message: Message::GetBlock { key },
            });
        }
    }

    /// Returns the blocks to import with their stores: those suggested by the entry that the engine
    /// does not hold. The key chain is computed here from client account, prompt and weight
    /// version, so that a wrong suggestion cannot import a block of another account.
    fn blocks_to_import(
        &self,
        key: AttemptKey,
        context: &SideContext,
    ) -> Vec<(BlockKey, InstanceName)> {
        let Some(start) = self.attempts.get(key).map(|a| a.start()) else {
            return Vec::new();
        };
        let Work::Completion {
            model,
            prompt,
            import,
            ..
        } = &start.work
        else {
            return Vec::new();
        };
        if import.is_empty() {
            return Vec::new();
        }
        let own = BlockKey::chain(&start.account, model, &self.backend_status.version, prompt);
        let wanted = import.iter().filter(|(block, store)| {
            own.contains(block)
                && !self.inventory.contains(block)
                && context.peers.contains_key(store)
        });
        wanted.cloned().collect()
    }

    /// Passes a block that a store sent to the engine, for every attempt that is missing it. No
    /// data means that the store does not hold the block.
    pub(crate) fn on_block(
        &mut self,
        key: BlockKey,
        data: Option<Bytes>,
        now: Duration,
        out: &mut Vec<Output>,
    ) {
        let importing = self.attempts.active().filter(|(_, any)| match any {
            AnyAttempt::Importing(a) => a.state.missing.contains(&key),
            _ => false,
        });
        for attempt in importing.map(|(attempt, _)| attempt).collect::<Vec<_>>() {
            let Some(data) = &data else {
                self.finish_block_import(attempt, &key, now, out);
                continue;
            };
            let Some(AnyAttempt::Importing(a)) = self.attempts.get_mut(attempt) else {
                continue;
            };
            a.state.bytes += data.len();
            // The blocks of one prompt are transferred concurrently over one link, so the rate is
            // sampled from all of them together when the last missing one arrives.
            let rate = a.state.bytes as f64 / transfer_seconds(a.state.requested_at, now);
            let (run, version) = (a.state.run, a.state.version.clone());
            if a.state.missing.len() == 1 {
                update_moving_average(&mut self.import_rate, rate);
            }
            let data = data.clone();
            out.push(Output::ImportBlock {
                run,
                key,
                version,
                data,
            });
        }
    }

    /// Handles the engine's reply to an imported block, whether it accepted the block or not.
    pub(crate) fn on_imported(
        &mut self,
        run: u64,
        key: &BlockKey,
        now: Duration,
        out: &mut Vec<Output>,
    ) {
        if let Some(attempt) = self.attempts.key_of_run(run) {
            self.finish_block_import(attempt, key, now, out);
        }
    }

    /// Removes a block from the missing ones, imported or not, and calls the engine after the last
    /// one.
    fn finish_block_import(
        &mut self,
        attempt: AttemptKey,
        key: &BlockKey,
        now: Duration,
        out: &mut Vec<Output>,
    ) {
        let Some(AnyAttempt::Importing(a)) = self.attempts.get_mut(attempt) else {
            return;
        };
        a.state.missing.remove(key);
        if a.state.missing.is_empty() {
            self.call_backend(attempt, now, out);
        }
    }

    /// Calls the engine for attempts whose imports timed out, without the missing blocks.
    pub(crate) fn tick_imports(&mut self, now: Duration, out: &mut Vec<Output>) {
        let due = self.attempts.active().filter(|(_, any)| match any {
            AnyAttempt::Importing(a) => now >= a.state.due,
            _ => false,
        });
        for key in due.map(|(key, _)| key).collect::<Vec<_>>() {
            self.call_backend(key, now, out);
        }
    }

    /// Abandons the blocks that were requested from a store whose connection closed.
    pub(crate) fn abandon_imports_from(
        &mut self,
        store: &InstanceName,
        now: Duration,
        out: &mut Vec<Output>,
    ) {
        let affected = self
            .attempts
            .active()
            .filter_map(|(attempt, any)| match any {
                AnyAttempt::Importing(a) => {
                    let Work::Completion { import, .. } = &a.start.work else {
                        return None;
                    };
                    let unavailable = import
                        .iter()
                        .filter(|(_, from)| from == store)
                        .map(|(key, _)| *key);
                    Some((attempt, unavailable.collect::<Vec<_>>()))
                }
                _ => None,
            });
        for (attempt, keys) in affected.collect::<Vec<_>>() {
            for key in keys {
                self.finish_block_import(attempt, &key, now, out);
            }
        }
    }
}

/// Returns the duration of a transfer in seconds, at least 0.1 ms so that it can be a divisor.
fn transfer_seconds(requested_at: Duration, now: Duration) -> f64 {
    now.saturating_sub(requested_at).as_secs_f64().max(1e-4)
}
