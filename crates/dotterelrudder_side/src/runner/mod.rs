//! The side of a model engine or a plain service: intake, queue, drain, load.

mod claims;
mod imports;
mod intake;
mod reports;
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
use crate::block_cache::BlockCache;
use crate::exporter::Exporter;
use crate::input::BackendStatus;
use crate::orders::Orders;
use crate::runner::claims::ControlAsk;
use crate::side_core::Common;
use crate::side_core::SideSettings;
use crate::Input;
use crate::Output;

/// How long an attempt outlives the connection of its entry.
const ORPHAN_AFTER: Duration = Duration::from_secs(10);
/// The weight of a new sample in moving averages.
const SAMPLE_WEIGHT: f64 = 0.1;
/// The hold time assumed before the first run, in seconds.
const FIRST_HOLD_SECONDS: f64 = 0.1;
/// The import rate assumed before the first import, in bytes a second.
const FIRST_IMPORT_RATE: f64 = 50e6;

/// Guards the calls to one backend server.
#[derive(Debug)]
pub(crate) struct Runner {
    pub(crate) attempts: AttemptTable,
    waiting: [VecDeque<AttemptKey>; 2],
    pub(crate) load: BackendStatus,
    pub(crate) cache: BlockCache,
    pub(crate) orders: Orders,
    pub(crate) control: ControlClient<ControlAsk>,
    pub(crate) exporter: Exporter,
    pub(crate) next_run: u64,
    pub(crate) import_rate: f64,
    hold_seconds: f64,
    report_at: Duration,
    reported: Option<LoadReport>,
    entry_closed: Vec<(InstanceName, Duration)>,
}

fn queue_of(tier: Tier) -> usize {
    usize::from(tier == Tier::Trial)
}

/// Moves an average towards a new sample.
pub(crate) fn blend(average: &mut f64, sample: f64) {
    *average += SAMPLE_WEIGHT * (sample - *average);
}

impl Runner {
    pub(crate) fn new(settings: &SideSettings) -> Self {
        let mut runner = Self {
            attempts: AttemptTable::default(),
            waiting: Default::default(),
            load: BackendStatus {
                version: WeightVersion::default(),
                slots: settings.slots,
                prefill_rate: 0.0,
                block_bytes: 0,
            },
            cache: BlockCache::default(),
            orders: Orders::default(),
            control: ControlClient::default(),
            exporter: Exporter::default(),
            next_run: 1,
            import_rate: FIRST_IMPORT_RATE,
            hold_seconds: FIRST_HOLD_SECONDS,
            report_at: Duration::ZERO,
            reported: None,
            entry_closed: Vec::new(),
        };
        runner.register(settings);
        runner
    }

    pub(crate) fn active_attempts(&self) -> usize {
        self.attempts.active().count()
    }

    pub(crate) fn is_idle(&self) -> bool {
        self.active_attempts() == 0 && self.control.is_idle() && self.exporter.is_idle()
    }

    pub(crate) fn on_opened(
        &mut self,
        peer: &InstanceName,
        role: Role,
        common: &Common,
        out: &mut Vec<Output>,
    ) {
        self.entry_closed.retain(|(name, _)| name != peer);
        let load = Message::Load(self.load_report(common));
        out.push(Output::Send {
            to: peer.clone(),
            message: load,
        });
        if role == Role::Entry {
            out.push(Output::Send {
                to: peer.clone(),
                message: self.cache.whole(),
            });
        }
    }

    pub(crate) fn on_closed(&mut self, peer: &InstanceName, now: Duration, out: &mut Vec<Output>) {
        self.entry_closed.push((peer.clone(), now));
        self.exporter.closed(peer);
        self.give_up_imports_from(peer, now, out);
    }

    pub(crate) fn on_event(
        &mut self,
        input: Input,
        common: &Common,
        now: Duration,
        out: &mut Vec<Output>,
    ) {
        match input {
            Input::Load(load) => self.load = load,
            Input::CacheEvents {
                whole,
                added,
                removed,
            } => {
                if let Some(message) = self.cache.change(whole, added, removed) {
                    common.broadcast(Role::Entry, &message, out);
                }
            }
            Input::BlockExported { key, data } => self.exporter.on_exported(key, data, out),
            Input::VersionLoaded {
                fence,
                version,
                done,
            } => {
                self.on_loaded(fence, version, done, common, out);
            }
            other => self.on_run_event(other, common, now, out),
        }
        self.schedule(common, now, out);
        self.tick_control(common, now, out);
    }

    pub(crate) fn on_message(
        &mut self,
        from: InstanceName,
        message: Message,
        common: &Common,
        now: Duration,
        out: &mut Vec<Output>,
    ) {
        match message {
            Message::Start(start) => self.on_start(from, *start, common, now, out),
            Message::Cancel { attempt } => self.on_cancel(attempt, now, out),
            Message::Query {
                attempt,
                from: piece,
            } => {
                self.on_query(from, attempt, piece, now, out);
            }
            Message::Result { tag, result } => self.on_result(tag, *result, common, now, out),
            Message::Block { key, data } => self.on_block(key, data, now, out),
            Message::LacksBlocks { keys } => self.exporter.on_lacking(&from, &keys, out),
            Message::ResyncBlocks => {
                out.push(Output::Send {
                    to: from,
                    message: self.cache.whole(),
                });
            }
            Message::Order { fence, version } => self.on_order(from, fence, version, out),
            _ => {}
        }
        self.schedule(common, now, out);
        self.tick_control(common, now, out);
    }

    pub(crate) fn tick(&mut self, common: &Common, now: Duration, out: &mut Vec<Output>) {
        self.tick_deadlines(now, out);
        self.cancel_orphans(now, out);
        self.attempts.forget_old(now);
        self.schedule(common, now, out);
        self.tick_control(common, now, out);
        self.report_load(common, now, out);
    }

    /// Ends an attempt and tells its entry.
    pub(crate) fn end(
        &mut self,
        key: AttemptKey,
        result: Result<dotterelrudder_wire::Usage, Refusal>,
        now: Duration,
        out: &mut Vec<Output>,
    ) {
        for queue in &mut self.waiting {
            queue.retain(|k| *k != key);
        }
        if let Some(AnyAttempt::Running(a)) = self.attempts.get(key) {
            blend(
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
        piece: u32,
        now: Duration,
        out: &mut Vec<Output>,
    ) {
        let known = self
            .attempts
            .key_of(attempt)
            .and_then(|key| self.attempts.get(key));
        if let Some(known) = known.filter(|known| *known.entry() == from) {
            let messages = known.repeat_from(piece).into_iter();
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
        if known.is_some() || self.attempts.is_tombstone(attempt) {
            refusal = refusal.with_outcome(Outcome::Unknown);
        }
        self.attempts.bury(attempt, now);
        out.push(Output::Send {
            to: from,
            message: Message::Refused { attempt, refusal },
        });
    }

    fn on_cancel(&mut self, attempt: AttemptId, now: Duration, out: &mut Vec<Output>) {
        let Some(key) = self.attempts.key_of(attempt) else {
            self.attempts.bury(attempt, now);
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
        self.end(key, Err(refusal.with_outcome(outcome)), now, out);
    }

    fn tick_deadlines(&mut self, now: Duration, out: &mut Vec<Output>) {
        let overdue = self
            .attempts
            .active()
            .filter(|(_, a)| now >= a.deadline() && !a.is_claimed());
        for key in overdue.map(|(key, _)| key).collect::<Vec<_>>() {
            let Some(any) = self.attempts.get(key) else {
                return;
            };
            if let AnyAttempt::Running(a) = any {
                out.push(Output::CancelRun { run: a.state.run });
            }
            let outcome = any.outcome();
            let refusal = Refusal::new(ErrorKind::DeadlineExceeded, "the deadline passed");
            self.end(key, Err(refusal.with_outcome(outcome)), now, out);
        }
        self.tick_imports(now, out);
        self.tick_settling(now, out);
    }

    /// Cancels what entries left behind that never came back.
    fn cancel_orphans(&mut self, now: Duration, out: &mut Vec<Output>) {
        let gone = self
            .entry_closed
            .iter()
            .filter(|(_, at)| now >= *at + ORPHAN_AFTER);
        let gone: Vec<InstanceName> = gone.map(|(name, _)| name.clone()).collect();
        if gone.is_empty() {
            return;
        }
        self.entry_closed.retain(|(name, _)| !gone.contains(name));
        let orphans = self
            .attempts
            .active()
            .filter(|(_, a)| gone.contains(a.entry()));
        let orphans: Vec<AttemptId> = orphans.map(|(_, a)| a.start().attempt).collect();
        for attempt in orphans {
            self.on_cancel(attempt, now, out);
        }
    }
}
