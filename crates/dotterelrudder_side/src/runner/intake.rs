//! Which attempts a side takes in.

use std::collections::VecDeque;
use std::time::Duration;

use dotterelrudder_types::ErrorKind;
use dotterelrudder_types::InstanceName;
use dotterelrudder_types::Refusal;
use dotterelrudder_types::Tier;
use dotterelrudder_wire::Message;
use dotterelrudder_wire::Start;
use dotterelrudder_wire::Work;

use super::queue_of;
use super::Runner;
use crate::attempt::AnyAttempt;
use crate::attempt::Attempt;
use crate::attempt::Waiting;
use crate::attempt_table::AttemptKey;
use crate::side_core::Common;
use crate::Output;

impl Runner {
    pub(super) fn on_start(
        &mut self,
        from: InstanceName,
        mut start: Start,
        common: &Common,
        now: Duration,
        out: &mut Vec<Output>,
    ) {
        let id = start.attempt;
        if self.attempts.key_of(id).is_some() {
            self.on_query(from, id, 0, now, out);
            return;
        }
        if let Err(refusal) = self.admit(&mut start, common) {
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
            pieces: Vec::new(),
            claimed: false,
            calls: 0,
            state: Waiting,
        };
        let key = self.attempts.insert(AnyAttempt::Waiting(attempt));
        self.waiting[queue_of(tier)].push_back(key);
        self.displace_trial(common, now, out);
    }

    /// Checks everything that can refuse an attempt before the backend server is called.
    fn admit(&self, start: &mut Start, common: &Common) -> Result<(), Refusal> {
        if self.attempts.is_tombstone(start.attempt) {
            let detail = format!("attempt {} was cancelled or has ended", start.attempt);
            return Err(Refusal::new(ErrorKind::Cancelled, detail));
        }
        if common.leaving {
            return Err(leaving(common));
        }
        if !common.follower.is_confirmed() {
            let detail = format!("\"{}\" holds no configuration yet", common.settings.name);
            return Err(Refusal::new(ErrorKind::NotReady, detail));
        }
        let cfg = common.follower.cfg();
        let own = &common.settings.service;
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
                "the deadline has passed",
            ));
        }
        if let Work::Completion {
            version: Some(version),
            ..
        } = &start.work
        {
            if *version != self.load.version {
                let held = &self.load.version;
                let detail = format!("weight version \"{version}\" isn't here, \"{held}\" is");
                return Err(Refusal::new(ErrorKind::WrongWeightVersion, detail));
            }
        }
        let limit = cfg.services.get(own).map_or(u32::MAX, |s| s.queue_limit) as usize;
        let ahead = match start.tier {
            Tier::Paying => self.waiting[0].len(),
            Tier::Trial => self.waiting.iter().map(VecDeque::len).sum(),
        };
        if ahead >= limit {
            let detail = format!("queue of service \"{own}\" is full");
            return Err(Refusal::new(ErrorKind::Overloaded, detail));
        }
        Ok(())
    }

    /// Keeps the whole queue within its limit when paying work arrives on a queue of trial work.
    fn displace_trial(&mut self, common: &Common, now: Duration, out: &mut Vec<Output>) {
        let service = common.follower.cfg().services.get(&common.settings.service);
        let limit = service.map_or(u32::MAX, |s| s.queue_limit) as usize;
        let waiting: usize = self.waiting.iter().map(VecDeque::len).sum();
        if waiting <= limit {
            return;
        }
        if let Some(key) = self.waiting[1].back().copied() {
            let Some(outcome) = self.attempts.get(key).map(AnyAttempt::outcome) else {
                return;
            };
            let refusal = Refusal::new(ErrorKind::Overloaded, "paying work took the place");
            self.end(key, Err(refusal.with_outcome(outcome)), now, out);
        }
    }

    /// Refuses everything that waits, so that entries route it elsewhere at once.
    pub(crate) fn refuse_waiting(&mut self, common: &Common, now: Duration, out: &mut Vec<Output>) {
        let waiting: Vec<AttemptKey> = self.waiting.iter().flatten().copied().collect();
        for key in waiting {
            let Some(outcome) = self.attempts.get(key).map(AnyAttempt::outcome) else {
                continue;
            };
            self.end(key, Err(leaving(common).with_outcome(outcome)), now, out);
        }
    }
}

fn leaving(common: &Common) -> Refusal {
    Refusal::new(
        ErrorKind::Leaving,
        format!("\"{}\" is leaving", common.settings.name),
    )
}
