//! Publishing of configuration changes: conflict detection by base revision, deduplication of
//! resends by change id, and the history from which deltas are built.

use std::collections::BTreeMap;
use std::collections::VecDeque;

use compact_str::CompactString;
use dotterelrudder_config::ChangeSet;
use dotterelrudder_types::ErrorKind;
use dotterelrudder_types::Refusal;
use dotterelrudder_types::Revision;
use dotterelrudder_wire::CommandResult;
use serde::Deserialize;
use serde::Serialize;

use super::AuditRow;
use super::ReplicatedState;

/// Number of changes kept for deltas; a subscriber further behind gets the full configuration.
const MAX_DELTAS: usize = 1_024;
/// Number of change ids kept, so that a resend gets the result of the first submission.
const MAX_CHANGE_IDS: usize = 10_000;

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
struct AnsweredChange {
    base: Revision,
    content: [u8; 32],
    result: CommandResult,
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
struct AcceptedChange {
    revision: Revision,
    change_id: CompactString,
    author: CompactString,
    change: ChangeSet,
}

/// The latest accepted changes, and the results of the latest change ids.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub(crate) struct ChangeHistory {
    accepted: VecDeque<AcceptedChange>,
    answered: BTreeMap<CompactString, AnsweredChange>,
    answered_order: VecDeque<CompactString>,
}

impl ChangeHistory {
    /// Returns one change that leads from revision `held` to the newest; `None` when `held` is too
    /// old for the changes kept.
    pub(crate) fn delta_from(&self, held: Revision) -> Option<ChangeSet> {
        let first = self.accepted.front()?.revision;
        if held.next() < first {
            return None;
        }
        let mut merged = ChangeSet::default();
        for accepted in self.accepted.iter().filter(|a| a.revision > held) {
            merged.merge(&accepted.change);
        }
        Some(merged)
    }

    fn accept(&mut self, accepted: AcceptedChange) {
        if self.accepted.len() >= MAX_DELTAS {
            self.accepted.pop_front();
        }
        self.accepted.push_back(accepted);
    }

    fn record_result(&mut self, id: &CompactString, answered: AnsweredChange) {
        if self.answered_order.len() >= MAX_CHANGE_IDS {
            if let Some(oldest) = self.answered_order.pop_front() {
                self.answered.remove(&oldest);
            }
        }
        self.answered_order.push_back(id.clone());
        self.answered.insert(id.clone(), answered);
    }

    /// Returns the change that produced the revision after `base`, to be named in a conflict; the
    /// newest change if that one is no longer kept.
    fn winner_over(&self, base: Revision) -> Option<&AcceptedChange> {
        self.accepted
            .iter()
            .find(|a| a.revision == base.next())
            .or(self.accepted.back())
    }
}

impl ReplicatedState {
    pub(super) fn publish(
        &mut self,
        change_id: &CompactString,
        base: Revision,
        author: &CompactString,
        at_ms: u64,
        content: [u8; 32],
        change: &ChangeSet,
    ) -> CommandResult {
        let (outcome, result) = match self.history.answered.get(change_id) {
            Some(known) if known.content == content && known.base == base => {
                ("resent", known.result.clone())
            }
            Some(_) => {
                let detail =
                    format!("change id \"{change_id}\" was already used with different content");
                let refusal = Refusal::new(ErrorKind::ChangeIdReused, detail);
                ("refused", CommandResult::Refused(refusal))
            }
            None => {
                let decided = self.decide(change_id, base, author, change);
                let answered = AnsweredChange {
                    base,
                    content,
                    result: decided.1.clone(),
                };
                self.history.record_result(change_id, answered);
                decided
            }
        };
        self.audit.push(AuditRow {
            index: self.index,
            at_ms,
            author: author.clone(),
            change_id: change_id.clone(),
            base,
            outcome: outcome.into(),
            lines: change.describe(),
        });
        result
    }

    fn decide(
        &mut self,
        change_id: &CompactString,
        base: Revision,
        author: &CompactString,
        change: &ChangeSet,
    ) -> (&'static str, CommandResult) {
        if base != self.configuration.revision {
            let winner = self.history.winner_over(base);
            let (winner, author) = winner
                .map(|w| (w.change_id.clone(), w.author.clone()))
                .unwrap_or_default();
            let revision = self.configuration.revision;
            return (
                "conflict",
                CommandResult::Conflict {
                    revision,
                    winner,
                    author,
                },
            );
        }
        let revision = base.next();
        self.configuration.apply(change, revision);
        self.history.accept(AcceptedChange {
            revision,
            change_id: change_id.clone(),
            author: author.clone(),
            change: change.clone(),
        });
        ("accepted", CommandResult::Accepted(revision))
    }
}
