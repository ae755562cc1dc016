//! The processes that connect to this replica: their configuration subscription, the revision that
//! each has in force, and the load that sides report.

use std::collections::BTreeMap;
use std::time::Duration;

use dotterelrudder_types::InstanceName;
use dotterelrudder_types::Revision;
use dotterelrudder_wire::LoadReport;
use dotterelrudder_wire::Message;

use crate::ReplicatedState;

/// How long a process is kept in the list after its connection closed.
const DISCONNECTED_RETENTION: Duration = Duration::from_secs(60);

#[derive(Debug, Default)]
pub(crate) struct Subscriber {
    pub(crate) connected: bool,
    pub(crate) closed_at: Option<Duration>,
    pub(crate) subscribed: bool,
    pub(crate) sent_revision: Revision,
    pub(crate) in_force: Revision,
    pub(crate) load: Option<LoadReport>,
}

#[derive(Debug, Default)]
pub(crate) struct Subscribers {
    pub(crate) by_name: BTreeMap<InstanceName, Subscriber>,
}

impl Subscribers {
    pub(crate) fn opened(&mut self, peer: &InstanceName) {
        let subscriber = self.by_name.entry(peer.clone()).or_default();
        subscriber.connected = true;
        subscriber.closed_at = None;
        subscriber.subscribed = false;
    }

    pub(crate) fn closed(&mut self, peer: &InstanceName, now: Duration) {
        if let Some(subscriber) = self.by_name.get_mut(peer) {
            subscriber.connected = false;
            subscriber.subscribed = false;
            subscriber.closed_at = Some(now);
            subscriber.load = None;
        }
    }

    pub(crate) fn remove_expired(&mut self, now: Duration) {
        self.by_name.retain(|_, s| {
            s.closed_at
                .is_none_or(|at| now < at + DISCONNECTED_RETENTION)
        });
    }

    pub(crate) fn get_or_insert(&mut self, peer: &InstanceName) -> &mut Subscriber {
        self.by_name.entry(peer.clone()).or_default()
    }

    /// Returns the number of connected processes that have at least `revision` in force, and the
    /// number of all connected processes.
    pub(crate) fn count_in_force(&self, revision: Revision) -> (usize, usize) {
        let live = self.by_name.values().filter(|s| s.connected);
        let holding = live.clone().filter(|s| s.in_force >= revision).count();
        (holding, live.count())
    }
}

/// Returns the message that brings a process from revision `held` to the newest: a confirmation, a
/// delta or the full configuration.
pub(crate) fn catch_up_message(state: &ReplicatedState, held: Revision) -> Message {
    let cfg = state.configuration();
    if held >= cfg.revision {
        return Message::Confirmed {
            revision: cfg.revision,
            draining: state.draining(),
        };
    }
    match state.history().delta_from(held) {
        Some(change) if held.0 > 0 => Message::Delta {
            from: held,
            to: cfg.revision,
            change: Box::new(change),
        },
        _ => Message::Update(Box::new(cfg.clone())),
    }
}
