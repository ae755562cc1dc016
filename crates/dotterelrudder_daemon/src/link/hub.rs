//! The connections of one process, keyed by the peer's name.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::AtomicI32;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Duration;

use dotterelrudder_types::DataCentre;
use dotterelrudder_types::InstanceName;
use dotterelrudder_types::Revision;
use dotterelrudder_types::Role;
use dotterelrudder_wire::Hello;
use dotterelrudder_wire::Message;
use slog::Logger;
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::sync::mpsc::UnboundedSender;

use super::dialer;
use super::listener;

/// Delay before the process with the larger name dials, so that the other one can connect first;
/// several times the connection time within a region.
const MUTUAL_DIAL_DELAY: Duration = Duration::from_millis(400);

/// An event of a connection, passed to the core of the process.
#[derive(Debug)]
pub enum LinkEvent {
    /// A connection to a peer is ready for messages.
    Opened {
        /// Name of the peer, from its hello.
        peer: InstanceName,
        /// Role of the peer: entry, side or control.
        role: Role,
        /// Data centre that the peer runs in.
        data_centre: DataCentre,
        /// Random number that the peer generated at its start; it differs after a restart.
        incarnation: u64,
        /// The newest kinds of messages that the peer can decode.
        message_set: u32,
    },
    /// The connection to a peer ended, failed, timed out or was replaced by a newer one.
    Closed {
        /// Name of the peer.
        peer: InstanceName,
    },
    /// A message arrived from a peer.
    Message {
        /// Name of the sender.
        peer: InstanceName,
        /// Configuration revision that the sender held when it sent the message.
        revision: Revision,
        /// Content of the envelope.
        message: Message,
    },
}

/// The current connection to a peer.
#[derive(Debug)]
struct LinkHandle {
    /// Distinguishes the connection from older and newer ones to the same peer.
    connection_id: u64,
    /// Queue of messages to send; dropping it ends the connection.
    tx: UnboundedSender<Message>,
    /// Number of replies awaited from the peer; shortens the ping interval while positive.
    pending_replies: Arc<AtomicI32>,
}

type EventSink = Box<dyn Fn(LinkEvent) + Send + Sync>;

/// The state that all clones of a hub share.
struct Shared {
    hello: Hello,
    revision: AtomicU64,
    /// Open connections by the peer's name.
    links: Mutex<HashMap<InstanceName, LinkHandle>>,
    /// Addresses and tasks of the processes that this one dials.
    dialers: Mutex<HashMap<InstanceName, (SocketAddr, tokio::task::AbortHandle)>>,
    next_connection_id: AtomicU64,
    /// Messages that were dropped because no frame can hold them, and frames that could not be read.
    frame_errors: AtomicU64,
    event_sink: EventSink,
    log: Logger,
}

/// The connections of a process, both dialled and accepted; clones share them.
#[derive(Clone)]
pub struct LinkHub {
    shared: Arc<Shared>,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(|e| e.into_inner())
}

impl LinkHub {
    /// Creates a hub without connections that passes its events to `event_sink`.
    pub fn new<S>(hello: Hello, log: Logger, event_sink: S) -> Self
    where
        S: Fn(LinkEvent) + Send + Sync + 'static,
    {
        let shared = Shared {
            revision: AtomicU64::new(hello.revision.0),
            hello,
            links: Mutex::default(),
            dialers: Mutex::default(),
            next_connection_id: AtomicU64::new(1),
            frame_errors: AtomicU64::new(0),
            event_sink: Box::new(event_sink),
            log,
        };
        Self {
            shared: Arc::new(shared),
        }
    }

    /// Starts to accept connections from other processes.
    ///
    /// # Errors
    ///
    /// Returns the operating system's error when it cannot listen on the address.
    pub async fn listen(&self, address: SocketAddr) -> Result<(), String> {
        listener::listen(self.clone(), address).await
    }

    /// Dials these processes and keeps the connections open. Stops dialling a process that is no
    /// longer among them, unless a connection to it is open. Connections opened by peers are
    /// unaffected.
    pub fn set_targets(&self, targets: &[(InstanceName, SocketAddr)]) {
        self.dial_all(targets, |_| Duration::ZERO);
    }

    /// Like [`LinkHub::set_targets`], for processes that may dial this one as well. Of two
    /// processes the one with the smaller name dials at once and the other one after a delay, so
    /// that two connections at once are rare.
    pub fn set_mutual_targets(&self, targets: &[(InstanceName, SocketAddr)]) {
        let own = self.shared.hello.name.clone();
        self.dial_all(targets, |name| {
            if own < *name {
                Duration::ZERO
            } else {
                MUTUAL_DIAL_DELAY
            }
        });
    }

    /// Starts a dialer for each new target, with the delay that `dial_delay` returns for it, and
    /// stops the dialers of processes that are no longer targets and have no open connection.
    fn dial_all<P>(&self, targets: &[(InstanceName, SocketAddr)], dial_delay: P)
    where
        P: Fn(&InstanceName) -> Duration,
    {
        let mut dialers = lock(&self.shared.dialers);
        dialers.retain(|name, (address, task)| {
            let is_target = targets.iter().any(|(n, a)| n == name && a == address);
            // An address that disappeared from the list may be listed again; an open connection
            // stays.
            let keep = is_target || lock(&self.shared.links).contains_key(name);
            if !keep {
                task.abort();
            }
            keep
        });
        for (name, address) in targets.iter().filter(|(n, _)| *n != self.shared.hello.name) {
            if !dialers.contains_key(name) {
                let dial = dialer::dial(self.clone(), name.clone(), *address, dial_delay(name));
                let task = tokio::spawn(dial);
                dialers.insert(name.clone(), (*address, task.abort_handle()));
            }
        }
    }

    /// Queues a message if a connection to the peer is open, and drops it otherwise; the core is
    /// informed of closed connections by [`LinkEvent::Closed`].
    pub fn send(&self, peer: &InstanceName, message: Message) {
        let links = lock(&self.shared.links);
        if let Some(link) = links.get(peer) {
            let delta = message.waiting_delta();
            if delta > 0 {
                link.pending_replies.fetch_add(delta, Ordering::Relaxed);
            }
            // The receiver is dropped only while the connection is being closed.
            let _closing = link.tx.send(message).is_err();
        }
    }

    /// Sets the configuration revision that is sent with every message.
    pub fn set_revision(&self, revision: Revision) {
        self.shared.revision.store(revision.0, Ordering::Relaxed);
    }

    /// Returns the number of open connections, dialled and accepted.
    pub fn open_links(&self) -> usize {
        lock(&self.shared.links).len()
    }

    /// Counts a message that can't be sent in a frame, or a frame that can't be read.
    pub(super) fn count_frame_error(&self) {
        self.shared.frame_errors.fetch_add(1, Ordering::Relaxed);
    }

    /// Returns the number of messages that could not be sent in a frame and of frames that could not
    /// be read, since the start.
    pub fn frame_errors(&self) -> u64 {
        self.shared.frame_errors.load(Ordering::Relaxed)
    }

    /// Returns whether a connection to the peer is open.
    pub fn is_connected(&self, peer: &InstanceName) -> bool {
        lock(&self.shared.links).contains_key(peer)
    }

    /// Returns the configuration revision that is sent with every message.
    pub(super) fn revision(&self) -> Revision {
        Revision(self.shared.revision.load(Ordering::Relaxed))
    }

    /// Returns the hello of this process with its present revision.
    pub(super) fn hello(&self) -> Hello {
        Hello {
            revision: self.revision(),
            ..self.shared.hello.clone()
        }
    }

    /// Returns the deployment's secret, which every peer has to present.
    pub(super) fn secret(&self) -> &str {
        &self.shared.hello.secret
    }

    pub(super) fn log(&self) -> &Logger {
        &self.shared.log
    }

    /// Passes an event to the sink.
    pub(super) fn emit(&self, event: LinkEvent) {
        (self.shared.event_sink)(event);
    }

    /// Makes a connection the current one of its peer and emits [`LinkEvent::Opened`]. If it
    /// replaces an older connection, that one ends, and [`LinkEvent::Closed`] is emitted before.
    pub(super) fn register(
        &self,
        peer: &Hello,
        message_set: u32,
        pending_replies: Arc<AtomicI32>,
    ) -> (u64, UnboundedReceiver<Message>) {
        let connection_id = self
            .shared
            .next_connection_id
            .fetch_add(1, Ordering::Relaxed);
        let (tx, rx) = tokio::sync::mpsc::unbounded_channel();
        let handle = LinkHandle {
            connection_id,
            tx,
            pending_replies,
        };
        let replaced = lock(&self.shared.links).insert(peer.name.clone(), handle);
        if replaced.is_some() {
            self.emit(LinkEvent::Closed {
                peer: peer.name.clone(),
            });
        }
        self.emit(LinkEvent::Opened {
            peer: peer.name.clone(),
            role: peer.role,
            data_centre: peer.data_centre.clone(),
            incarnation: peer.incarnation,
            message_set,
        });
        (connection_id, rx)
    }

    /// Removes a connection and emits [`LinkEvent::Closed`], unless a newer one has replaced it.
    pub(super) fn unregister(&self, peer: &InstanceName, connection_id: u64) {
        let mut links = lock(&self.shared.links);
        if links
            .get(peer)
            .is_some_and(|link| link.connection_id == connection_id)
        {
            links.remove(peer);
            drop(links);
            self.emit(LinkEvent::Closed { peer: peer.clone() });
        }
    }

    /// Returns whether a connection is still the current one of its peer.
    pub(super) fn is_current(&self, peer: &InstanceName, connection_id: u64) -> bool {
        lock(&self.shared.links)
            .get(peer)
            .is_some_and(|link| link.connection_id == connection_id)
    }
}
