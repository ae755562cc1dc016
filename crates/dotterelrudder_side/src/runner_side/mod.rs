//! The side of a runner (a model engine or a plain service): owns its attempts and their queues.
//!
//! Decisions by file: `admission` (accept or refuse), `schedule` (order of execution and
//! preemption), `claims` (at-most-once requests, weight orders), `block_imports` (KV cache from
//! stores), `runs` (calls of the backend server) and `load_reports`. This file dispatches events
//! and handles queries, cancellations, deadlines and attempts whose entry has disconnected.

mod admission;
mod block_imports;
mod claims;
mod load_reports;
mod runs;
mod schedule;

use std::collections::VecDeque;
use std::time::Duration;

use dotterelrudder_follow::ControlClient;
use dotterelrudder_types::AttemptId;
use dotterelrudder_types::ErrorKind;
use dotterelrudder_types::InstanceName;
use dotterelrudder_types::Outcome;
use dotterelrudder_types::Refusal;
use dotterelrudder_types::Role;
use dotterelrudder_types::Tier;
use dotterelrudder_types::WeightVersion;
use dotterelrudder_wire::LoadReport;
use dotterelrudder_wire::Message;

use crate::attempt::AnyAttempt;
use crate::attempt_table::AttemptKey;
use crate::attempt_table::AttemptTable;
use crate::block_exporter::BlockExporter;
use crate::block_inventory::BlockInventory;
use crate::input::BackendStatus;
use crate::order_fencing::OrderFencing;
use crate::runner_side::claims::ProposalPurpose;
use crate::side_core::SideContext;
use crate::side_core::SideSettings;
use crate::Input;
use crate::Output;

/// Attempts of an entry are cancelled this long after its connection closed, unless it reconnects.
const ORPHAN_TIMEOUT: Duration = Duration::from_secs(10);
/// Weight of a new sample in exponentially weighted moving averages, from 0 to 1.
const MOVING_AVERAGE_WEIGHT: f64 = 0.1;
/// Initial value of the moving average of the time that a run occupies a slot, in seconds.
const INITIAL_HOLD_SECONDS: f64 = 0.1;
/// Initial value of the moving average of the block import rate, in bytes per second.
const INITIAL_IMPORT_RATE: f64 = 50e6;

/// State of the side of one runner.
///
/// Every call to the backend server passes through this type, which enforces admission, slot limits
/// and at-most-once execution.
#[derive(Debug)]
pub(crate) struct RunnerSide {
    pub(crate) attempts: AttemptTable,
    /// Queued attempts by tier; see [`queue_index`].
    queues: [VecDeque<AttemptKey>; 2],
    /// The last status that the backend server reported.
    pub(crate) backend_status: BackendStatus,
    /// KV cache blocks that the engine holds.
    pub(crate) inventory: BlockInventory,
    pub(crate) order_fencing: OrderFencing,
    /// Proposals to control that have no result yet.
    pub(crate) control: ControlClient<ProposalPurpose>,
    pub(crate) block_exporter: BlockExporter,
    /// The number of the next run; numbers are not reused before the process restarts.
    pub(crate) next_run: u64,
    /// Moving average of the block import rate, in bytes per second.
    pub(crate) import_rate: f64,
    /// Moving average of the time that a run occupies a slot, in seconds.
    hold_seconds: f64,
    /// When the next periodic load report is due.
    next_report_at: Duration,
    last_report: Option<LoadReport>,
    /// Peers without a connection, with the time at which it closed.
    closed_peers: Vec<(InstanceName, Duration)>,
}

/// Returns the index into `queues`: 0 for paying and 1 for trial attempts.
fn queue_index(tier: Tier) -> usize {
    usize::from(tier == Tier::Trial)
}

/// Updates an exponentially weighted moving average with a sample.
pub(crate) fn update_moving_average(average: &mut f64, sample: f64) {
    *average += MOVING_AVERAGE_WEIGHT * (sample - *average);
}

impl RunnerSide {
    pub(crate) fn new(settings: &SideSettings) -> Self {
        let mut side = Self {
            attempts: AttemptTable::default(),
            queues: Default::default(),
            backend_status: BackendStatus {
                version: WeightVersion::default(),
                slots: settings.slots,
                prefill_rate: 0.0,
                block_bytes: 0,
            },
            inventory: BlockInventory::default(),
            order_fencing: OrderFencing::default(),
            control: ControlClient::default(),
            block_exporter: BlockExporter::default(),
            next_run: 1,
            import_rate: INITIAL_IMPORT_RATE,
            hold_seconds: INITIAL_HOLD_SECONDS,
            next_report_at: Duration::ZERO,
            last_report: None,
            closed_peers: Vec::new(),
        };
        side.register(settings);
        side
    }

    pub(crate) fn active_attempts(&self) -> usize {
        self.attempts.active().count()
    }

    /// Returns whether no attempt, proposal or block export is in progress, so that the process may
    /// exit.
    pub(crate) fn is_idle(&self) -> bool {
        self.active_attempts() == 0 && self.control.is_idle() && self.block_exporter.is_idle()
    }

    /// Sends the current load, and to an entry also all cached blocks, to a newly connected peer.
    pub(crate) fn on_opened(
        &mut self,
        peer: &InstanceName,
        role: Role,
        context: &SideContext,
        out: &mut Vec<Output>,
    ) {
        self.closed_peers.retain(|(name, _)| name != peer);
        let load = Message::Load(self.load_report(context));
        out.push(Output::Send {
            to: peer.clone(),
            message: load,
        });
        if role == Role::Entry {
            out.push(Output::Send {
                to: peer.clone(),
                message: self.inventory.snapshot(),
            });
        }
    }

    /// Handles a closed connection. Attempts of an entry continue until [`ORPHAN_TIMEOUT`];
    /// transfers of blocks from and to a store are abandoned at once.
    pub(crate) fn on_closed(&mut self, peer: &InstanceName, now: Duration, out: &mut Vec<Output>) {
        self.closed_peers.push((peer.clone(), now));
        self.block_exporter.on_store_closed(peer);
        self.abandon_imports_from(peer, now, out);
    }

    /// Handles an event of the backend server.
    pub(crate) fn on_event(
        &mut self,
        input: Input,
        context: &SideContext,
        now: Duration,
        out: &mut Vec<Output>,
    ) {
        match input {
            Input::Load(status) => self.backend_status = status,
            Input::CacheEvents {
                whole,
                added,
                removed,
            } => {
                if let Some(message) = self.inventory.apply_changes(whole, added, removed) {
                    context.broadcast(Role::Entry, &message, out);
                }
            }
            Input::BlockExported { key, data } => self.block_exporter.on_exported(key, data, out),
            Input::VersionLoaded {
                fence,
                version,
                done,
            } => {
                self.on_loaded(fence, version, done, context, out);
            }
            other => self.on_run_event(other, context, now, out),
        }
        self.schedule(context, now, out);
        self.tick_control(context, now, out);
    }

    /// Handles a message of a peer.
    pub(crate) fn on_message(
        &mut self,
        from: InstanceName,
        message: Message,
        context: &SideContext,
        now: Duration,
        out: &mut Vec<Output>,
    ) {
        match message {
            Message::Start(start) => self.on_start(from, *start, context, now, out),
            Message::Cancel { attempt } => self.on_cancel(attempt, now, out),
            Message::Query {
                attempt,
                from: chunk,
            } => {
                self.on_query(from, attempt, chunk, now, out);
            }
            Message::Result { tag, result } => self.on_result(tag, *result, context, now, out),
            Message::Block { key, data } => self.on_block(key, data, now, out),
            Message::LacksBlocks { keys } => self.block_exporter.on_missing(&from, &keys, out),
            Message::ResyncBlocks => {
                out.push(Output::Send {
                    to: from,
                    message: self.inventory.snapshot(),
                });
            }
            Message::Order { fence, version } => self.on_order(from, fence, version, out),
            _ => {}
        }
        self.schedule(context, now, out);
        self.tick_control(context, now, out);
    }

    /// Handles timeouts and sends due proposals and load reports.
    pub(crate) fn tick(&mut self, context: &SideContext, now: Duration, out: &mut Vec<Output>) {
        self.tick_timeouts(now, out);
        self.cancel_orphans(now, out);
        self.attempts.remove_expired(now);
        self.schedule(context, now, out);
        self.tick_control(context, now, out);
        self.report_load(context, now, out);
    }

    /// Ends an attempt in any state and sends the result to its entry. A run in progress must have
    /// been cancelled by the calling function.
    pub(crate) fn end_attempt(
        &mut self,
        key: AttemptKey,
        result: Result<dotterelrudder_wire::Usage, Refusal>,
        now: Duration,
        out: &mut Vec<Output>,
    ) {
        for queue in &mut self.queues {
            queue.retain(|k| *k != key);
        }
        if let Some(AnyAttempt::Running(a)) = self.attempts.get(key) {
            update_moving_average(
                &mut self.hold_seconds,
                now.saturating_sub(a.state.since).as_secs_f64(),
            );
        }
        self.attempts
            .advance(key, |any| AnyAttempt::Ended(any.end(result, now)));
        if let Some(AnyAttempt::Ended(ended)) = self.attempts.get(key) {
            let (to, message) = (ended.entry.clone(), ended.end_message());
            out.push(Output::Send { to, message });
        }
    }

    /// Repeats the answer of an attempt from a chunk on, after the entry lost its connection.
    fn on_query(
        &mut self,
        from: InstanceName,
        attempt: AttemptId,
        chunk: u32,
        now: Duration,
        out: &mut Vec<Output>,
    ) {
        let known = self
            .attempts
            .key_of(attempt)
            .and_then(|key| self.attempts.get(key));
        if let Some(known) = known.filter(|known| *known.entry() == from) {
            let messages = known.repeat_from(chunk).into_iter();
            out.extend(messages.map(|message| Output::Send {
                to: from.clone(),
                message,
            }));
            return;
        }
        // An attempt that is neither in the table nor has a tombstone never started on this side.
        // The tombstone added below refuses a start message that arrives late, so that the outcome
        // "not run" stays true.
        let detail = format!("attempt {attempt} is unknown to this side");
        let mut refusal = Refusal::new(ErrorKind::NotFound, detail);
        // An attempt that belongs to another entry is not disclosed, but it may have run, and so
        // may one that has a tombstone.
        if known.is_some() || self.attempts.has_tombstone(attempt) {
            refusal = refusal.with_outcome(Outcome::Unknown);
        }
        self.attempts.add_tombstone(attempt, now);
        out.push(Output::Send {
            to: from,
            message: Message::Refused { attempt, refusal },
        });
    }

    /// Cancels an attempt. If its start message has not arrived yet, a tombstone refuses it later.
    fn on_cancel(&mut self, attempt: AttemptId, now: Duration, out: &mut Vec<Output>) {
        let Some(key) = self.attempts.key_of(attempt) else {
            self.attempts.add_tombstone(attempt, now);
            return;
        };
        let Some(any) = self.attempts.get(key) else {
            return;
        };
        // An at-most-once run continues, so that its answer is stored and returned when the caller
        // sends the request again.
        if any.is_ended() || any.is_claimed() {
            return;
        }
        let run = match any {
            AnyAttempt::Running(a) => Some(a.state.run),
            _ => None,
        };
        let outcome = any.outcome();
        out.extend(run.map(|run| Output::CancelRun { run }));
        let refusal = Refusal::new(ErrorKind::Cancelled, "the caller cancelled the request");
        self.end_attempt(key, Err(refusal.with_outcome(outcome)), now, out);
    }

    /// Ends attempts past their deadline, then handles the timeouts of imports and claim updates.
    /// Attempts that hold a claim continue past their deadline, as they do after a cancellation.
    fn tick_timeouts(&mut self, now: Duration, out: &mut Vec<Output>) {
        let expired = self
            .attempts
            .active()
            .filter(|(_, a)| now >= a.deadline() && !a.is_claimed());
        for key in expired.map(|(key, _)| key).collect::<Vec<_>>() {
            let Some(any) = self.attempts.get(key) else {
                return;
            };
            if let AnyAttempt::Running(a) = any {
                out.push(Output::CancelRun { run: a.state.run });
            }
            let outcome = any.outcome();
            let refusal = Refusal::new(
                ErrorKind::DeadlineExceeded,
                "the request deadline passed before the attempt ended",
            );
            self.end_attempt(key, Err(refusal.with_outcome(outcome)), now, out);
        }
        self.tick_imports(now, out);
        self.tick_claim_updates(now, out);
    }

    /// Cancels the attempts of entries that have been disconnected for [`ORPHAN_TIMEOUT`].
    fn cancel_orphans(&mut self, now: Duration, out: &mut Vec<Output>) {
        let disconnected = self
            .closed_peers
            .iter()
            .filter(|(_, at)| now >= *at + ORPHAN_TIMEOUT);
        let disconnected: Vec<InstanceName> = disconnected.map(|(name, _)| name.clone()).collect();
        if disconnected.is_empty() {
            return;
        }
        self.closed_peers
            .retain(|(name, _)| !disconnected.contains(name));
        let orphans = self
            .attempts
            .active()
            .filter(|(_, a)| disconnected.contains(a.entry()));
        let orphans: Vec<AttemptId> = orphans.map(|(_, a)| a.start().attempt).collect();
        for attempt in orphans {
            self.on_cancel(attempt, now, out);
        }
    }
}
