//! Admission control: which attempts a side accepts, and which queued ones it refuses later.

use std::collections::VecDeque;
use std::time::Duration;

use dotterelrudder_types::ErrorKind;
use dotterelrudder_types::InstanceName;
use dotterelrudder_types::Refusal;
use dotterelrudder_types::Tier;
use dotterelrudder_wire::Message;
use dotterelrudder_wire::Start;
use dotterelrudder_wire::Work;

use super::queue_index;
use super::RunnerSide;
use crate::attempt::AnyAttempt;
use crate::attempt::Attempt;
use crate::attempt::Queued;
use crate::attempt_table::AttemptKey;
use crate::side_core::SideContext;
use crate::Output;

impl RunnerSide {
    /// Queues an attempt or refuses it. A repeated start message is handled as a query, so that the
    /// attempt runs only once.
    pub(super) fn on_start(
        &mut self,
        from: InstanceName,
        mut start: Start,
        context: &SideContext,
        now: Duration,
        out: &mut Vec<Output>,
    ) {
        let id = start.attempt;
        if self.attempts.key_of(id).is_some() {
            self.on_query(from, id, 0, now, out);
            return;
        }
        if let Err(refusal) = self.admit(&mut start, context) {
            out.push(Output::Send {
                to: from,
                message: Message::Refused {
                    attempt: id,
                    refusal,
                },
            });
            return;
        }
        let deadline = now + Duration::from_millis(start.deadline_ms);
        let tier = start.tier;
        let attempt = Attempt {
            start,
            entry: from,
            deadline,
            head: None,
            chunks: Vec::new(),
            claimed: false,
            calls: 0,
            state: Queued,
        };
        let key = self.attempts.insert(AnyAttempt::Queued(attempt));
        self.queues[queue_index(tier)].push_back(key);
        self.displace_trial(context, now, out);
    }

    /// Checks whether an attempt may be queued, and sets its tier from the configuration.
    ///
    /// # Errors
    ///
    /// Refuses an attempt that was cancelled or has ended, that a draining or unconfigured side
    /// received, whose client account may not use the service, whose deadline has passed, that
    /// needs another weight version, or for which the queue is full.
    fn admit(&self, start: &mut Start, context: &SideContext) -> Result<(), Refusal> {
        if self.attempts.has_tombstone(start.attempt) {
            let detail = format!(
                "attempt {} was cancelled or has already ended",
                start.attempt
            );
            return Err(Refusal::new(ErrorKind::Cancelled, detail));
        }
        if context.draining {
            return Err(draining_refusal(context));
        }
        if !context.follower.is_confirmed() {
            let detail = format!(
                "instance \"{}\" has no confirmed configuration yet",
                context.settings.name
            );
            return Err(Refusal::new(ErrorKind::NotReady, detail));
        }
        let cfg = context.follower.cfg();
        let own = &context.settings.service;
        let account = cfg.accounts.get(&start.account);
        let account = account.filter(|a| a.services.contains(own) && start.service == *own);
        let Some(account) = account else {
            let detail = format!("client account may not use service \"{own}\"");
            return Err(Refusal::new(ErrorKind::NotAllowed, detail));
        };
        start.tier = account.tier;
        if start.deadline_ms == 0 {
            return Err(Refusal::new(
                ErrorKind::DeadlineExceeded,
                "the request deadline had passed when the attempt arrived",
            ));
        }
        if let Work::Completion {
            version: Some(version),
            ..
        } = &start.work
        {
            if *version != self.backend_status.version {
                let loaded = &self.backend_status.version;
                let detail = format!(
                    "weight version \"{version}\" was requested, but \"{loaded}\" is loaded"
                );
                return Err(Refusal::new(ErrorKind::WrongWeightVersion, detail));
            }
        }
        let limit = cfg.services.get(own).map_or(u32::MAX, |s| s.queue_limit) as usize;
        let ahead = match start.tier {
            Tier::Paying => self.queues[0].len(),
            Tier::Trial => self.queues.iter().map(VecDeque::len).sum(),
        };
        if ahead >= limit {
            let detail = format!("queue of service \"{own}\" is full");
            return Err(Refusal::new(ErrorKind::Overloaded, detail));
        }
        Ok(())
    }

    /// Drops the newest queued trial attempt when a paying attempt made both queues together longer
    /// than the limit.
    fn displace_trial(&mut self, context: &SideContext, now: Duration, out: &mut Vec<Output>) {
        let service = context
            .follower
            .cfg()
            .services
            .get(&context.settings.service);
        let limit = service.map_or(u32::MAX, |s| s.queue_limit) as usize;
        let queued: usize = self.queues.iter().map(VecDeque::len).sum();
        if queued <= limit {
            return;
        }
        if let Some(key) = self.queues[1].back().copied() {
            let Some(outcome) = self.attempts.get(key).map(AnyAttempt::outcome) else {
                return;
            };
            let refusal = Refusal::new(
                ErrorKind::Overloaded,
                "a paying request displaced this trial request from the full queue",
            );
            self.end_attempt(key, Err(refusal.with_outcome(outcome)), now, out);
        }
    }

    /// Refuses all queued attempts when the side drains, so that entries retry them on other
    /// runners at once.
    pub(crate) fn refuse_queued(
        &mut self,
        context: &SideContext,
        now: Duration,
        out: &mut Vec<Output>,
    ) {
        let queued: Vec<AttemptKey> = self.queues.iter().flatten().copied().collect();
        for key in queued {
            let Some(outcome) = self.attempts.get(key).map(AnyAttempt::outcome) else {
                continue;
            };
            self.end_attempt(
                key,
                Err(draining_refusal(context).with_outcome(outcome)),
                now,
                out,
            );
        }
    }
}

/// Returns the refusal that a draining side sends for attempts that it does not run.
fn draining_refusal(context: &SideContext) -> Refusal {
    Refusal::new(
        ErrorKind::Leaving,
        format!("instance \"{}\" is draining", context.settings.name),
    )
}
