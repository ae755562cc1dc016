//! Pending proposals: commands that were logged or forwarded to the leader, with the origin that
//! waits for each result.

use std::collections::BTreeMap;
use std::time::Duration;

use dotterelrudder_types::InstanceName;

use crate::Origin;

/// How long a result is awaited before its origin gets an unknown outcome.
const PROPOSAL_TIMEOUT: Duration = Duration::from_secs(3);

#[derive(Debug)]
struct Logged {
    term: u64,
    origin: Origin,
    due: Duration,
}

#[derive(Debug)]
struct Forwarded {
    leader: InstanceName,
    origin: Origin,
    due: Duration,
}

#[derive(Debug, Default)]
pub(crate) struct Proposals {
    logged: BTreeMap<u64, Logged>,
    forwarded: BTreeMap<u64, Forwarded>,
    next_tag: u64,
}

impl Proposals {
    pub(crate) fn track_logged(&mut self, position: (u64, u64), origin: Origin, now: Duration) {
        let (term, index) = position;
        let due = now + PROPOSAL_TIMEOUT;
        self.logged.insert(index, Logged { term, origin, due });
    }

    /// Takes the origin of the entry proposed at `index`. The flag is true if the applied entry is
    /// that proposal, and false if another leader's entry replaced it.
    pub(crate) fn take_logged(&mut self, term: u64, index: u64) -> Option<(Origin, bool)> {
        let logged = self.logged.remove(&index)?;
        Some((logged.origin, logged.term == term))
    }

    pub(crate) fn track_forwarded(
        &mut self,
        leader: &InstanceName,
        origin: Origin,
        now: Duration,
    ) -> u64 {
        self.next_tag += 1;
        let due = now + PROPOSAL_TIMEOUT;
        self.forwarded.insert(
            self.next_tag,
            Forwarded {
                leader: leader.clone(),
                origin,
                due,
            },
        );
        self.next_tag
    }

    pub(crate) fn take_forwarded(&mut self, tag: u64) -> Option<Origin> {
        self.forwarded.remove(&tag).map(|f| f.origin)
    }

    /// Takes the origins of the commands forwarded to a leader whose connection was lost.
    pub(crate) fn take_forwarded_to(&mut self, leader: &InstanceName) -> Vec<Origin> {
        let lost: Vec<u64> = self
            .forwarded
            .iter()
            .filter(|(_, f)| f.leader == *leader)
            .map(|(t, _)| *t)
            .collect();
        lost.into_iter()
            .filter_map(|tag| self.take_forwarded(tag))
            .collect()
    }

    /// Takes the origins of the proposals that timed out.
    pub(crate) fn take_timed_out(&mut self, now: Duration) -> Vec<Origin> {
        let logged: Vec<u64> = self
            .logged
            .iter()
            .filter(|(_, l)| l.due <= now)
            .map(|(i, _)| *i)
            .collect();
        let forwarded: Vec<u64> = self
            .forwarded
            .iter()
            .filter(|(_, f)| f.due <= now)
            .map(|(t, _)| *t)
            .collect();
        let logged = logged
            .into_iter()
            .filter_map(|i| self.logged.remove(&i))
            .map(|l| l.origin);
        let mut all: Vec<Origin> = logged.collect();
        all.extend(
            forwarded
                .into_iter()
                .filter_map(|tag| self.take_forwarded(tag)),
        );
        all
    }
}
