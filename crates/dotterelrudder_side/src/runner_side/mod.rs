//! The side of a model engine or a plain service: intake, queue, drain, load.

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

/// How long an attempt outlives the connection of its entry.
const ORPHAN_TIMEOUT: Duration = Duration::from_secs(10);
/// The weight of a new sample in moving averages.
const MOVING_AVERAGE_WEIGHT: f64 = 0.1;
/// The hold time assumed before the first run, in seconds.
const INITIAL_HOLD_SECONDS: f64 = 0.1;
/// The import rate assumed before the first import, in bytes a second.
const INITIAL_IMPORT_RATE: f64 = 50e6;

/// Guards the calls to one backend server.
#[derive(Debug)]
pub(crate) struct RunnerSide {
    pub(crate) attempts: AttemptTable,
    queues: [VecDeque<AttemptKey>; 2],
    pub(crate) backend_status: BackendStatus,
    pub(crate) inventory: BlockInventory,
    pub(crate) order_fencing: OrderFencing,
    pub(crate) control: ControlClient<ProposalPurpose>,
    pub(crate) block_exporter: BlockExporter,
    pub(crate) next_run: u64,
    pub(crate) import_rate: f64,
    hold_seconds: f64,
    next_report_at: Duration,
    last_report: Option<LoadReport>,
    closed_peers: Vec<(InstanceName, Duration)>,
}

fn queue_index(tier: Tier) -> usize {
    usize::from(tier == Tier::Trial)
}

/// Moves an average towards a new sample.
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

    pub(crate) fn is_idle(&self) -> bool {
        self.active_attempts() == 0 && self.control.is_idle() && self.block_exporter.is_idle()
    }

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

    pub(crate) fn on_closed(&mut self, peer: &InstanceName, now: Duration, out: &mut Vec<Output>) {
        self.closed_peers.push((peer.clone(), now));
        self.block_exporter.on_store_closed(peer);
        self.abandon_imports_from(peer, now, out);
    }

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

    pub(crate) fn tick(&mut self, context: &SideContext, now: Duration, out: &mut Vec<Output>) {
        self.tick_timeouts(now, out);
        self.cancel_orphans(now, out);
        self.attempts.remove_expired(now);
        self.schedule(context, now, out);
        self.tick_control(context, now, out);
        self.report_load(context, now, out);
    }

    /// Ends an attempt and tells its entry.
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
        // Nothing is known of it, so it never started here; the tombstone keeps it so.
        let detail = format!("attempt {attempt} isn't known here");
        let mut refusal = Refusal::new(ErrorKind::NotFound, detail);
        // An attempt of another entry is none of the asker's business.
        if known.is_some() || self.attempts.has_tombstone(attempt) {
            refusal = refusal.with_outcome(Outcome::Unknown);
        }
        self.attempts.add_tombstone(attempt, now);
        out.push(Output::Send {
            to: from,
            message: Message::Refused { attempt, refusal },
        });
    }

    fn on_cancel(&mut self, attempt: AttemptId, now: Duration, out: &mut Vec<Output>) {
        let Some(key) = self.attempts.key_of(attempt) else {
            self.attempts.add_tombstone(attempt, now);
            return;
        };
        let Some(any) = self.attempts.get(key) else {
            return;
        };
        // A run that may not be repeated goes on, so that its answer is kept for a resend.
        if any.is_ended() || any.is_claimed() {
            return;
        }
        let run = match any {
            AnyAttempt::Running(a) => Some(a.state.run),
            _ => None,
        };
        let outcome = any.outcome();
        out.extend(run.map(|run| Output::CancelRun { run }));
        let refusal = Refusal::new(ErrorKind::Cancelled, "the caller cancelled");
        self.end_attempt(key, Err(refusal.with_outcome(outcome)), now, out);
    }

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
            let refusal = Refusal::new(ErrorKind::DeadlineExceeded, "the deadline passed");
            self.end_attempt(key, Err(refusal.with_outcome(outcome)), now, out);
        }
        self.tick_imports(now, out);
        self.tick_claim_updates(now, out);
    }

    /// Cancels what entries left behind that never came back.
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
