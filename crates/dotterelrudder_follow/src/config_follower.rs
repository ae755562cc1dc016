//! Follows the configuration from control, and from peers while control is unreachable.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use dotterelrudder_config::Configuration;
use dotterelrudder_types::InstanceName;
use dotterelrudder_types::Revision;
use dotterelrudder_wire::Message;

/// How long to wait for a message from control before subscribing at the next control instance.
const REPLY_TIMEOUT: Duration = Duration::from_secs(2);
/// How long the configuration counts as fresh after the last confirmation by control.
const CONFIRMATION_LIFETIME: Duration = Duration::from_secs(3);

/// Holds the configuration of a process and keeps it up to date.
///
/// The revision never decreases: a message that would lower it is ignored.
#[derive(Debug)]
pub struct ConfigFollower {
    controls: Vec<InstanceName>,
    connected: BTreeSet<InstanceName>,
    /// The control instance to which this process is subscribed.
    source: Option<InstanceName>,
    /// The time of the last subscription request; zero permits a new one at once.
    requested_at: Duration,
    /// The time of the last message by which control confirmed the configuration.
    confirmed_at: Option<Duration>,
    cfg: Arc<Configuration>,
    draining: Vec<InstanceName>,
}

impl ConfigFollower {
    /// Creates a follower without a configuration. `controls` are the names of the control instances.
    pub fn new(controls: Vec<InstanceName>) -> Self {
        Self {
            controls,
            connected: BTreeSet::new(),
            source: None,
            requested_at: Duration::ZERO,
            confirmed_at: None,
            cfg: Arc::default(),
            draining: Vec::new(),
        }
    }

    /// Returns the configuration that this process holds.
    pub fn cfg(&self) -> &Arc<Configuration> {
        &self.cfg
    }

    /// Returns the revision of that configuration; 0 before the first one arrived.
    pub fn revision(&self) -> Revision {
        self.cfg.revision
    }

    /// Returns whether control has ever confirmed a configuration of this process.
    pub fn is_confirmed(&self) -> bool {
        self.confirmed_at.is_some()
    }

    /// Returns whether control confirmed the configuration within `CONFIRMATION_LIFETIME`.
    pub fn is_fresh(&self, now: Duration) -> bool {
        self.confirmed_at
            .is_some_and(|at| now < at + CONFIRMATION_LIFETIME)
    }

    /// Returns whether operators requested that the instance `name` drains.
    pub fn is_draining(&self, name: &InstanceName) -> bool {
        self.draining.contains(name)
    }

    /// Returns the connected control instances, beginning with the one that this process is subscribed
    /// to.
    pub fn reachable_controls(&self) -> Vec<InstanceName> {
        let source = self
            .source
            .iter()
            .filter(|s| self.controls.contains(s))
            .cloned();
        let others = self
            .connected
            .iter()
            .filter(|c| Some(*c) != self.source.as_ref())
            .cloned();
        source.chain(others).collect()
    }

    /// Handles an opened connection. Reports the revision in force if the peer is a control instance.
    pub fn opened(&mut self, peer: &InstanceName, out: &mut Vec<(InstanceName, Message)>) {
        if !self.controls.contains(peer) {
            return;
        }
        self.connected.insert(peer.clone());
        if self.revision().0 > 0 {
            out.push((
                peer.clone(),
                Message::InForce {
                    revision: self.revision(),
                },
            ));
        }
    }

    /// Handles a closed connection. Ends the subscription if it was to this peer.
    pub fn closed(&mut self, peer: &InstanceName) {
        self.connected.remove(peer);
        if self.source.as_ref() == Some(peer) {
            self.source = None;
        }
    }

    /// Subscribes to the configuration if there is no subscription or its control instance does not
    /// reply, in which case the next connected control instance is used.
    pub fn tick(&mut self, now: Duration, out: &mut Vec<(InstanceName, Message)>) {
        let last_activity = self
            .confirmed_at
            .unwrap_or(Duration::ZERO)
            .max(self.requested_at);
        if self.source.is_some() && now < last_activity + REPLY_TIMEOUT {
            return;
        }
        let last = self.source.take();
        let after = last.and_then(|l| self.connected.range(l..).nth(1).cloned());
        let Some(next) = after.or_else(|| self.connected.first().cloned()) else {
            return;
        };
        self.requested_at = now;
        self.source = Some(next.clone());
        out.push((
            next,
            Message::Subscribe {
                held: self.revision(),
            },
        ));
    }

    /// Requests the configuration from a peer that is not a control instance and reports a higher
    /// revision, as happens while control is unreachable. Waits at least a quarter of
    /// `REPLY_TIMEOUT` after the last request.
    pub fn on_peer_revision(
        &mut self,
        peer: &InstanceName,
        revision: Revision,
        now: Duration,
        out: &mut Vec<(InstanceName, Message)>,
    ) {
        let request_allowed =
            now >= self.requested_at + REPLY_TIMEOUT / 4 || self.requested_at.is_zero();
        if revision > self.revision() && !self.controls.contains(peer) && request_allowed {
            self.requested_at = now;
            out.push((
                peer.clone(),
                Message::Subscribe {
                    held: self.revision(),
                },
            ));
        }
    }

    /// Handles a message about the configuration. Returns whether a newer revision came into force.
    pub fn on_message(
        &mut self,
        from: &InstanceName,
        message: &Message,
        now: Duration,
        out: &mut Vec<(InstanceName, Message)>,
    ) -> bool {
        let from_control = self.controls.contains(from);
        let before = self.revision();
        match message {
            Message::Update(cfg) => {
                if cfg.revision > before {
                    self.cfg = Arc::new((**cfg).clone());
                }
            }
            Message::Delta {
                from: base,
                to,
                change,
            } => {
                if *base == before && *to > before {
                    let mut cfg = (*self.cfg).clone();
                    cfg.apply(change, *to);
                    self.cfg = Arc::new(cfg);
                } else if *to > before {
                    out.push((from.clone(), Message::Subscribe { held: before }));
                    return false;
                }
            }
            Message::Confirmed { revision, draining } if from_control => {
                self.draining.clone_from(draining);
                if *revision > before {
                    out.push((from.clone(), Message::Subscribe { held: before }));
                    return false;
                }
            }
            Message::NotFresh => {
                if self.source.as_ref() == Some(from) {
                    self.requested_at = Duration::ZERO;
                    self.confirmed_at = self
                        .confirmed_at
                        .map(|at| at.min(now.saturating_sub(REPLY_TIMEOUT)));
                }
                return false;
            }
            Message::Subscribe { held } => {
                if before > *held {
                    out.push((from.clone(), Message::Update(Box::new((*self.cfg).clone()))));
                }
                return false;
            }
            _ => return false,
        }
        if from_control {
            self.confirmed_at = Some(now);
        }
        let changed = self.revision() > before;
        if changed {
            let revision = self.revision();
            let controls = self.connected.iter();
            out.extend(controls.map(|c| (c.clone(), Message::InForce { revision })));
        }
        changed
    }
}
