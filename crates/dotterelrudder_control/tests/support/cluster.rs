//! Control instances with their disks, on a simulated network.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::ops::Range;
use std::time::Duration;

use dotterelrudder_control::read_journal;
use dotterelrudder_control::ControlCore;
use dotterelrudder_control::ControlSettings;
use dotterelrudder_control::Input;
use dotterelrudder_control::Output;
use dotterelrudder_control::RaftTiming;
use dotterelrudder_types::InstanceName;
use dotterelrudder_wire::CommandResult;
use dotterelrudder_wire::Message;
use dotterelrudder_wire::MESSAGE_SET;
use rand::seq::SliceRandom;
use rand::Rng;
use rand_chacha::ChaCha8Rng;

/// The voters of the smallest deployment that bears a loss.
pub const TARGET_VOTERS: usize = 3;
pub const TICK: Duration = Duration::from_millis(20);
/// The time after which a returned or added instance no longer counts as lost.
pub const CATCH_UP: Duration = Duration::from_secs(4);
/// The time that the remaining replicas have to elect a leader after a loss.
pub const CONTACT: Duration = Duration::from_secs(3);
/// The period of a quota of processor time.
const QUOTA_PERIOD: Duration = Duration::from_millis(100);
/// The bounds of a planned stop, as the daemon has them.
const MIN_STOP_WAIT: Duration = Duration::from_millis(300);
const HAND_OVER_TIMEOUT: Duration = Duration::from_secs(5);
/// The shortest silence after which a voter may be replaced.
pub const LOST_VOTER: Duration = Duration::from_secs(3);

/// An instance with its disk; without a core it is stopped.
#[derive(Default)]
pub struct Instance {
    pub core: Option<ControlCore>,
    pub disk: Vec<u8>,
    starts: u64,
    pub frozen: bool,
    /// How much longer than others its disk takes for a sync.
    pub extra_sync_time: Duration,
    /// Whether the disk refuses writes; the records then wait in `unwritten`.
    is_full: bool,
    unwritten: Vec<Output>,
    /// The records of the running sync, and when it ends.
    syncing: Option<(Duration, Vec<Output>)>,
    /// When its planned stop began, and whether it is removed or starts again at its end.
    stopping: Option<(Duration, AfterStop)>,
    /// When it starts again.
    start_at: Option<Duration>,
    /// The messages on their way to it, with their senders and times of arrival.
    inbox: Vec<(Duration, InstanceName, Message)>,
}

/// How an instance ends that is removed for good without a planned stop.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Crash {
    /// The process ends; its peers see their connections close.
    Process,
    /// The machine loses power; its connections fall silent.
    Power,
}

/// What follows on the end of a process that was stopped as planned.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AfterStop {
    /// The instance is removed for good.
    Removed,
    /// It starts again after this time.
    Starts(Duration),
}

/// Control instances on a simulated network, with simulated disks.
pub struct Cluster {
    pub instances: BTreeMap<InstanceName, Instance>,
    pub cut: BTreeSet<(InstanceName, InstanceName)>,
    pub now: Duration,
    target: usize,
    added: usize,
    /// Draws the order in which instances and messages take their turn; `None` for a fixed order.
    pub order: Option<ChaCha8Rng>,
    /// The newest kinds of messages that the instances can decode.
    pub message_set: u32,
    /// How long a sync of a disk takes.
    pub sync_time: Duration,
    /// The longest delay of a message; needs `order`.
    pub max_message_delay: Duration,
    /// Whether no instance runs for a drawn part of each [`QUOTA_PERIOD`]; needs `order`.
    pub has_quota: bool,
    /// Since when and until when no instance runs.
    stall: Range<Duration>,
    /// The commands that were answered with success, by their tags.
    pub answered: BTreeSet<u64>,
    /// The terms of all entries that some instance committed, by index.
    committed: BTreeMap<u64, u64>,
    /// Entries that two instances committed with different terms.
    conflicts: Vec<u64>,
}

pub fn name(number: usize) -> InstanceName {
    format!("control-{number}").as_str().into()
}

impl Cluster {
    pub fn new() -> Self {
        Self::with_target(TARGET_VOTERS)
    }

    /// Starts a deployment with this number of voters.
    pub fn with_target(target: usize) -> Self {
        let mut cluster = Self {
            instances: BTreeMap::new(),
            cut: BTreeSet::new(),
            now: Duration::ZERO,
            target,
            added: 0,
            order: None,
            message_set: MESSAGE_SET,
            sync_time: Duration::ZERO,
            max_message_delay: Duration::ZERO,
            has_quota: false,
            stall: Duration::ZERO..Duration::ZERO,
            answered: BTreeSet::new(),
            committed: BTreeMap::new(),
            conflicts: Vec::new(),
        };
        for _ in 0..target {
            cluster.add();
        }
        cluster.run(CATCH_UP + CONTACT);
        assert_eq!(cluster.voters().len(), target);
        cluster
    }

    /// Starts a new instance with an empty disk.
    pub fn add(&mut self) -> InstanceName {
        let added = name(self.added);
        self.added += 1;
        self.instances.insert(added.clone(), Instance::default());
        if self.added >= self.target && self.now == Duration::ZERO {
            for number in 0..self.added {
                self.start(&name(number));
            }
        } else if self.now > Duration::ZERO {
            self.start(&added);
        }
        self.list_peers();
        added
    }

    fn peers_of(&self, of: &InstanceName) -> Vec<InstanceName> {
        let others = self.instances.keys().filter(|n| *n != of);
        others.cloned().collect()
    }

    /// Tells each instance the current list of instances.
    fn list_peers(&mut self) {
        for of in self.instances.keys().cloned().collect::<Vec<_>>() {
            let peers = self.peers_of(&of);
            self.handle(&of, Input::Peers { peers });
        }
    }

    pub fn start(&mut self, of: &InstanceName) {
        let peers = self.peers_of(of);
        let (now, is_founder) = (self.now, self.now == Duration::ZERO && *of == name(0));
        let instance = self.instances.get_mut(of).expect("an instance");
        instance.starts += 1;
        instance.inbox.clear();
        let settings = ControlSettings {
            name: of.clone(),
            peers,
            timing: RaftTiming {
                snapshot_entries: 16,
                ..RaftTiming::default()
            },
            bootstrap: is_founder,
            voters: Some(self.target),
        };
        let peers = settings.peers.clone();
        let seed = blake3::hash(format!("{of}{}", instance.starts).as_bytes());
        let seed = u64::from_le_bytes(*seed.as_bytes().first_chunk().expect("32 bytes"));
        let mut out = Vec::new();
        let recovered = read_journal(&instance.disk);
        let core = ControlCore::new(settings, recovered, seed, now, &mut out);
        instance.core = Some(core);
        self.carry_out(of, out);
        for peer in peers {
            self.open_connection(of, &peer);
            self.open_connection(&peer, of);
        }
    }

    /// Tells an instance that its connection to a running peer opened.
    fn open_connection(&mut self, of: &InstanceName, peer: &InstanceName) {
        if self.instances[peer].core.is_some() {
            let opened = Input::Opened {
                peer: peer.clone(),
                message_set: self.message_set,
            };
            self.handle(of, opened);
        }
    }

    pub fn handle(&mut self, of: &InstanceName, input: Input) {
        let now = self.now;
        let Some(instance) = self.instances.get_mut(of).filter(|i| !i.frozen) else {
            return;
        };
        let Some(core) = &mut instance.core else {
            return;
        };
        let mut out = Vec::new();
        core.handle(now, input, &mut out);
        self.carry_out(of, out);
    }

    fn carry_out(&mut self, of: &InstanceName, out: Vec<Output>) {
        for output in out {
            match output {
                Output::Persist { .. } | Output::Rewrite { .. } => {
                    let instance = self.instances.get_mut(of).expect("an instance");
                    instance.unwritten.push(output);
                }
                Output::Answer { tag, result } if !matches!(result, CommandResult::Refused(_)) => {
                    self.answered.insert(tag);
                }
                Output::Send { to, message } => self.send(of, &to, message),
                _ => {}
            }
        }
        self.begin_sync(of);
    }

    /// Puts a message on its way, behind those that its sender sent before.
    fn send(&mut self, from: &InstanceName, to: &InstanceName, message: Message) {
        let is_cut = self.cut.contains(&(from.clone(), to.clone()));
        let longest = self.max_message_delay.as_millis() as u64;
        let delay = match &mut self.order {
            Some(rng) if longest > 0 => Duration::from_millis(rng.random_range(0..=longest)),
            _ => Duration::ZERO,
        };
        let receiver = self.instances.get_mut(to);
        if let Some(receiver) = receiver.filter(|r| r.core.is_some() && !is_cut) {
            let mut earlier = receiver
                .inbox
                .iter()
                .filter(|(_, sender, _)| sender == from);
            let last = earlier.next_back().map_or(Duration::ZERO, |(at, ..)| *at);
            let at = last.max(self.now + delay);
            receiver.inbox.push((at, from.clone(), message));
        }
    }

    /// Begins to sync what is unwritten, unless a sync runs or the disk is full.
    fn begin_sync(&mut self, of: &InstanceName) {
        let instance = self.instances.get_mut(of).expect("an instance");
        let ends = self.now + self.sync_time + instance.extra_sync_time;
        if instance.is_full || instance.syncing.is_some() || instance.unwritten.is_empty() {
            return;
        }
        instance.syncing = Some((ends, std::mem::take(&mut instance.unwritten)));
        self.end_sync(of);
    }

    /// Ends the running sync if it is due, and begins the next one.
    fn end_sync(&mut self, of: &InstanceName) {
        let instance = self.instances.get_mut(of).expect("an instance");
        let Some((_, records)) = instance.syncing.take_if(|(ends, _)| *ends <= self.now) else {
            return;
        };
        let mut synced = 0;
        for record in records {
            match record {
                Output::Persist { sequence, record } => {
                    record.encode(&mut instance.disk);
                    synced = sequence;
                }
                Output::Rewrite { sequence, records } => {
                    instance.disk.clear();
                    for record in records {
                        record.encode(&mut instance.disk);
                    }
                    synced = sequence;
                }
                _ => {}
            }
        }
        self.handle(of, Input::Synced { sequence: synced });
        self.begin_sync(of);
    }

    pub fn run(&mut self, time: Duration) {
        let until = self.now + time;
        while self.now < until {
            self.now += TICK;
            self.end_stops();
            if self.is_stalled() {
                continue;
            }
            let mut turns: Vec<InstanceName> = self.instances.keys().cloned().collect();
            if let Some(rng) = &mut self.order {
                turns.shuffle(rng);
            }
            for of in turns {
                let instance = self.instances.get_mut(&of).expect("an instance");
                if instance.frozen {
                    // A frozen process loses its connections, and what was sent over them.
                    instance.inbox.clear();
                    continue;
                }
                let due = instance.inbox.extract_if(.., |(at, ..)| *at <= self.now);
                for (_, from, message) in due.collect::<Vec<_>>() {
                    self.handle(&of, Input::Message { from, message });
                }
                self.end_sync(&of);
                self.handle(&of, Input::Tick);
                self.record_committed(&of);
            }
        }
    }

    /// Returns whether the instances wait for the next period of their quota.
    fn is_stalled(&mut self) -> bool {
        let Some(rng) = self.order.as_mut().filter(|_| self.has_quota) else {
            return false;
        };
        if self.now >= self.stall.end {
            let runs_for = QUOTA_PERIOD.mul_f64(rng.random_range(0.2..=1.0));
            self.stall = self.now + runs_for..self.now + QUOTA_PERIOD;
        }
        self.stall.contains(&self.now)
    }

    /// Records the entries that an instance committed since the last call.
    fn record_committed(&mut self, of: &InstanceName) {
        let Some(core) = self.instances[of].core.as_ref() else {
            return;
        };
        let raft = core.raft();
        let mut index = raft.commit();
        while let Some(entry) = raft.entry(index) {
            let known = self.committed.insert(index, entry.term);
            if known.is_some_and(|term| term != entry.term) {
                self.conflicts.push(index);
            }
            if known == Some(entry.term) {
                return;
            }
            index -= 1;
        }
    }

    /// Returns why the deployment does not work: no leader, a committed entry that the leader lacks,
    /// or a number of voters other than the target.
    pub fn fault(&self) -> Option<String> {
        let Some(leader) = self.leader() else {
            return Some("no leader".into());
        };
        if !self.conflicts.is_empty() {
            return Some(format!("committed twice: {:?}", self.conflicts));
        }
        let raft = leader.raft();
        let newest = self.committed.keys().next_back().copied().unwrap_or(0);
        let is_kept = |(index, term): (&u64, &u64)| {
            let entry = raft.entry(*index);
            *index <= raft.commit() && entry.is_none_or(|e| e.term == *term)
        };
        if !self.committed.iter().all(is_kept) {
            return Some(format!("the leader lacks committed entries up to {newest}"));
        }
        let voters = self.voters();
        let is_running = |v: &InstanceName| self.instances.get(v).is_some_and(|i| i.core.is_some());
        let is_sound = voters.len() == self.target && voters.iter().all(is_running);
        (!is_sound).then(|| format!("voters {voters:?}"))
    }

    pub fn freeze(&mut self, of: &InstanceName, frozen: bool) {
        self.instances.get_mut(of).expect("an instance").frozen = frozen;
    }

    /// Sets whether the disk of an instance refuses writes; what waits is written once it has room.
    pub fn set_full(&mut self, of: &InstanceName, is_full: bool) {
        let instance = self.instances.get_mut(of).expect("an instance");
        instance.is_full = is_full;
        if !is_full {
            self.begin_sync(of);
        }
    }

    /// Ends the process without a word to its peers; the disk stays.
    pub fn kill(&mut self, of: &InstanceName) {
        let instance = self.instances.get_mut(of).expect("an instance");
        (instance.core, instance.frozen) = (None, false);
        (instance.stopping, instance.syncing) = (None, None);
        instance.unwritten.clear();
    }

    /// Removes the instance for good, without a planned stop.
    pub fn crash(&mut self, of: &InstanceName, crash: Crash) {
        if crash == Crash::Process {
            for peer in self.peers_of(of) {
                self.handle(&peer, Input::Closed { peer: of.clone() });
            }
        }
        self.remove(of);
    }

    /// Ends the process and loses its disk; it starts again after `down`.
    pub fn lose_disk(&mut self, of: &InstanceName, down: Duration) {
        self.kill(of);
        let instance = self.instances.get_mut(of).expect("an instance");
        instance.disk.clear();
        instance.start_at = Some(self.now + down);
    }

    /// Ends the process, which starts again after `down` with its disk.
    pub fn lose_power(&mut self, of: &InstanceName, down: Duration) {
        self.kill(of);
        let instance = self.instances.get_mut(of).expect("an instance");
        instance.start_at = Some(self.now + down);
    }

    /// Begins a planned stop.
    pub fn stop(&mut self, of: &InstanceName, then: AfterStop) {
        let instance = self.instances.get_mut(of).expect("an instance");
        if instance.core.is_none() || instance.stopping.is_some() {
            return;
        }
        instance.stopping = Some((self.now, then));
        self.handle(of, Input::Stop);
    }

    /// Ends the processes whose planned stop is over, and starts those that are due.
    fn end_stops(&mut self) {
        for of in self.instances.keys().cloned().collect::<Vec<_>>() {
            let instance = self.instances.get_mut(&of).expect("an instance");
            if instance.start_at.is_some_and(|at| at <= self.now) {
                instance.start_at = None;
                self.start(&of);
                continue;
            }
            let Some((began, then)) = instance.stopping.filter(|_| !instance.frozen) else {
                continue;
            };
            let waited = self.now - began;
            let may_stop = instance.core.as_ref().is_none_or(|c| c.may_stop());
            if waited < MIN_STOP_WAIT || !may_stop && waited < HAND_OVER_TIMEOUT {
                continue;
            }
            match then {
                AfterStop::Removed => self.remove(&of),
                AfterStop::Starts(pause) => self.lose_power(&of, pause),
            }
        }
    }

    /// Returns whether a planned stop or a start is still to come.
    pub fn is_busy(&self) -> bool {
        let mut instances = self.instances.values();
        instances.any(|i| i.stopping.is_some() || i.start_at.is_some())
    }

    /// Removes the instance for good.
    pub fn remove(&mut self, of: &InstanceName) {
        self.instances.remove(of);
        self.list_peers();
    }

    pub fn cut_off(&mut self, of: &InstanceName) {
        for other in self.peers_of(of) {
            self.cut.insert((of.clone(), other.clone()));
            self.cut.insert((other, of.clone()));
        }
    }

    pub fn leader(&self) -> Option<&ControlCore> {
        let running = self.instances.values().filter(|i| !i.frozen);
        let mut cores = running.filter_map(|i| i.core.as_ref());
        cores.find(|c| c.raft().holds_leader_lease(self.now))
    }

    pub fn voters(&self) -> Vec<InstanceName> {
        let members = self.leader().expect("a leader").raft().members().iter();
        let voters = members.filter(|m| m.voter);
        voters.map(|m| m.instance.clone()).collect()
    }

    pub fn follower(&self) -> InstanceName {
        let leader = self.leader().expect("a leader").raft().id();
        let members = self.leader().expect("a leader").raft().members().iter();
        let mut others = members.filter(|m| m.voter && m.id != leader);
        others.next().expect("a second voter").instance.clone()
    }

    pub fn leading_instance(&self) -> InstanceName {
        let leader = self.leader().expect("a leader");
        leader.leader_instance().expect("a leader knows its name")
    }

    pub fn others_than(&self, not: &[&InstanceName]) -> Vec<InstanceName> {
        let names = self.instances.keys().filter(|n| !not.contains(n));
        names.cloned().collect()
    }

    pub fn describe(&self) -> String {
        let of = |(name, i): (&InstanceName, &Instance)| {
            let Some(core) = &i.core else {
                return format!("{name}: stopped\n");
            };
            let raft = core.raft();
            let members = raft.members().iter().map(|m| {
                let mark = if m.voter { "+" } else { "-" };
                format!("{mark}{}/{:04x}", m.instance, m.id >> 48)
            });
            format!(
                "{name}/{:04x}: frozen {}, confirmed {}, leads {}, term {}, commit {} of {}, {}\n",
                raft.id() >> 48,
                i.frozen,
                raft.is_confirmed(),
                raft.is_leader(),
                raft.term(),
                raft.commit(),
                raft.last_index(),
                members.collect::<Vec<_>>().join(" ")
            )
        };
        self.instances.iter().map(of).collect()
    }
}
