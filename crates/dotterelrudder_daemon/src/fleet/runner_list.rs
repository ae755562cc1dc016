//! The runners that the platform lists, over readings of its list that may be incomplete.

use std::collections::HashMap;
use std::collections::HashSet;
use std::time::Duration;

use compact_str::CompactString;
use dotterelrudder_wire::RunnerRecord;

/// How long an incomplete list is held back while no complete one is known: entries forget runners
/// that are not listed. Covers several readings.
const INCOMPLETE_LIST_DELAY: Duration = Duration::from_secs(2);

/// The runners known from the platform's list.
///
/// A runner that is missing in an incomplete reading may be in the part that could not be read, so
/// it stays until a complete reading lacks it or its address is listed for another runner. See
/// [docs/design/platform.md](../../../../docs/design/platform.md).
#[derive(Debug, Default)]
pub struct RunnerList {
    known: Vec<RunnerRecord>,
    /// Whether `known` holds a reading.
    is_known: bool,
    /// When the first incomplete reading came while nothing was known.
    incomplete_since: Option<Duration>,
}

impl RunnerList {
    /// Applies a reading of the list. Returns the runners, or `None` if the reading is incomplete
    /// and nothing is known of the rest yet; also returns the records that conflict with another
    /// record of the same identity.
    pub fn apply(
        &mut self,
        now: Duration,
        records: Vec<RunnerRecord>,
        is_complete: bool,
    ) -> (Option<Vec<RunnerRecord>>, Vec<RunnerRecord>) {
        let (mut records, conflicts) = self.merge_same_identity(records);
        if is_complete {
            self.incomplete_since = None;
        } else if self.is_known {
            self.keep_missing(&mut records);
        } else {
            let since = *self.incomplete_since.get_or_insert(now);
            if now < since + INCOMPLETE_LIST_DELAY {
                return (None, conflicts);
            }
        }
        self.known.clone_from(&records);
        self.is_known = true;
        (Some(records), conflicts)
    }

    /// Appends the known runners that the reading lacks.
    fn keep_missing(&self, records: &mut Vec<RunnerRecord>) {
        let identities: HashSet<&CompactString> = records.iter().map(|r| &r.identity).collect();
        let addresses: HashSet<_> = records.iter().map(|r| r.address).collect();
        let missing = self.known.iter().filter(|known| {
            !identities.contains(&known.identity) && !addresses.contains(&known.address)
        });
        // How long they stay cold is not known from this reading.
        let missing = missing.cloned().map(|known| RunnerRecord {
            cold_left: None,
            ..known
        });
        let missing: Vec<RunnerRecord> = missing.collect();
        records.extend(missing);
    }

    /// Leaves one record for each identity. Of several, the newest start counts, and a runner that
    /// one of them shows as leaving is leaving. If they name different places, that of the last
    /// reading counts, or else the first one.
    fn merge_same_identity(
        &self,
        records: Vec<RunnerRecord>,
    ) -> (Vec<RunnerRecord>, Vec<RunnerRecord>) {
        let mut positions: HashMap<CompactString, usize> = HashMap::new();
        let mut merged: Vec<RunnerRecord> = Vec::with_capacity(records.len());
        let mut conflicts = Vec::new();
        for record in records {
            let position = positions.get(&record.identity).copied();
            let Some(held) = position.and_then(|at| merged.get_mut(at)) else {
                positions.insert(record.identity.clone(), merged.len());
                merged.push(record);
                continue;
            };
            if !is_same_place(held, &record) {
                let other = if self.is_known_place(&record) && !self.is_known_place(held) {
                    std::mem::replace(held, record)
                } else {
                    record
                };
                conflicts.push(other);
            } else if record.born_ms > held.born_ms {
                *held = record;
            } else if record.born_ms == held.born_ms {
                let leaving = held.leaving || record.leaving;
                let cold_left = held.cold_left.max(record.cold_left);
                *held = RunnerRecord {
                    leaving,
                    cold_left,
                    ..record
                };
            }
        }
        (merged, conflicts)
    }

    fn is_known_place(&self, record: &RunnerRecord) -> bool {
        let mut known = self.known.iter();
        known.any(|k| k.identity == record.identity && is_same_place(k, record))
    }
}

fn is_same_place(a: &RunnerRecord, b: &RunnerRecord) -> bool {
    a.service == b.service && a.address == b.address
}
