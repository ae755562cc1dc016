//! The deployment: processes, links, time.

use std::collections::BTreeMap;
use std::time::Duration;

use dotterelrudder::config::collect;
use dotterelrudder::config::ChangeSet;
use dotterelrudder::config::Configuration;
use dotterelrudder::config::ServiceKind;
use dotterelrudder::config::SourceFile;
use dotterelrudder::control;
use dotterelrudder::route;
use dotterelrudder::route::AnswerEvent;
use dotterelrudder::side;
use dotterelrudder::types::AttemptId;
use dotterelrudder::types::ErrorKind;
use dotterelrudder::types::InstanceName;
use dotterelrudder::types::Refusal;
use dotterelrudder::types::Revision;
use dotterelrudder::types::Role;
use dotterelrudder::wire::encode_frame;
use dotterelrudder::wire::Command;
use dotterelrudder::wire::CommandResult;
use dotterelrudder::wire::Envelope;
use dotterelrudder::wire::Message;
use dotterelrudder::wire::Usage;
use dotterelrudder::wire::Work;
use dotterelrudder::wire::MESSAGE_SET;
use dotterelrudder_standin::answer::expected_answer;
use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use super::backend::MODEL;
use super::case::CallPlan;
use super::invariants::Invariants;
use super::node::Core;
use super::node::Node;
use super::node::CONTROLS;

const TICK: Duration = Duration::from_millis(20);
const DIAL_EVERY: Duration = Duration::from_millis(60);
const SILENCE: Duration = Duration::from_millis(1_400);
const TOKEN: Duration = Duration::from_millis(5);
const WORK: Duration = Duration::from_millis(30);
const LOAD: Duration = Duration::from_millis(400);

const DECLARATIONS: &str = include_str!("declarations.toml");

type Pair = (InstanceName, InstanceName);

#[derive(Debug, Clone)]
pub enum Event {
    Tick,
    Dial,
    Message {
        from: InstanceName,
        connection: u64,
        revision: Revision,
        message: Box<Message>,
    },
    Closed {
        peer: InstanceName,
    },
    Detect {
        pair: Pair,
        connection: u64,
    },
    Synced {
        incarnation: u64,
    },
    Side {
        incarnation: u64,
        input: Box<side::Input>,
    },
}

#[derive(Debug, Default)]
struct Link {
    connection: u64,
    up: bool,
    silent: Vec<InstanceName>,
    cut: bool,
    /// Ends that weren't told yet that the connection closed.
    untold: Vec<InstanceName>,
    last: BTreeMap<InstanceName, Duration>,
}

/// A caller's request as the test sees it.
#[derive(Debug, Clone, Default)]
pub struct Call {
    pub prompt: Vec<u8>,
    pub tokens: u32,
    pub version: String,
    pub answer: Vec<u8>,
    pub status: u16,
    pub cached: u32,
    pub end: Option<Result<(), Refusal>>,
    pub completion: bool,
    pub ended_at: Duration,
    pub entry_incarnation: u64,
}

pub struct World {
    pub now: Duration,
    pub rng: ChaCha8Rng,
    seed: u64,
    pub nodes: BTreeMap<InstanceName, Node>,
    links: BTreeMap<Pair, Link>,
    queue: BTreeMap<(Duration, u64), (InstanceName, Event)>,
    next_event: u64,
    pub lose_percent: u32,
    pub repeat_percent: u32,
    pub cross_percent: u32,
    pub torn_bytes: usize,
    pub calls: BTreeMap<u64, (InstanceName, String, Call)>,
    pub proposals: BTreeMap<u64, (String, Option<CommandResult>)>,
    pub invariants: Invariants,
    attempts: BTreeMap<AttemptId, String>,
    pub traffic: Traffic,
}

/// What was sent and synced so far.
#[derive(Debug, Clone, Copy, Default)]
pub struct Traffic {
    pub messages: u64,
    pub bytes: u64,
    /// Messages to or from control instances.
    pub control_messages: u64,
    pub control_bytes: u64,
    pub syncs: u64,
}

impl Traffic {
    fn count(&mut self, revision: Revision, message: &Message, control: bool) {
        let envelope = Envelope {
            revision,
            message: message.clone(),
        };
        let mut buf = bytes::BytesMut::new();
        encode_frame(&envelope, &mut buf).expect("small enough");
        self.messages += 1;
        self.bytes += buf.len() as u64;
        if control {
            self.control_messages += 1;
            self.control_bytes += buf.len() as u64;
        }
    }

    pub fn since(&self, earlier: &Self) -> Self {
        Self {
            messages: self.messages - earlier.messages,
            bytes: self.bytes - earlier.bytes,
            control_messages: self.control_messages - earlier.control_messages,
            control_bytes: self.control_bytes - earlier.control_bytes,
            syncs: self.syncs - earlier.syncs,
        }
    }
}

fn pair(a: &InstanceName, b: &InstanceName) -> Pair {
    if a < b {
        (a.clone(), b.clone())
    } else {
        (b.clone(), a.clone())
    }
}

pub fn declarations(version: &str) -> Configuration {
    let text = DECLARATIONS.replace("VERSION", version);
    let files = text
        .split("# ---")
        .enumerate()
        .map(|(number, text)| SourceFile {
            name: format!("declarations-{number}.toml"),
            text: text.into(),
        });
    collect(&files.collect::<Vec<_>>()).expect("valid declarations")
}

impl World {
    pub fn new(seed: u64) -> Self {
        Self::sized(seed, 2, 2)
    }

    /// A deployment with this many engines and entries.
    pub fn sized(seed: u64, engines: usize, entries: usize) -> Self {
        let mut world = Self {
            now: Duration::ZERO,
            rng: ChaCha8Rng::seed_from_u64(seed),
            seed,
            nodes: BTreeMap::new(),
            links: BTreeMap::new(),
            queue: BTreeMap::new(),
            next_event: 0,
            lose_percent: 0,
            repeat_percent: 0,
            cross_percent: 0,
            torn_bytes: 0,
            calls: BTreeMap::new(),
            proposals: BTreeMap::new(),
            invariants: Invariants::default(),
            attempts: BTreeMap::new(),
            traffic: Traffic::default(),
        };
        for name in CONTROLS {
            world.add(Node::new(name, Role::Control, "", ServiceKind::Plain));
        }
        for number in 1..=engines {
            let name = format!("engine-{number}");
            world.add(Node::new(&name, Role::Side, "model", ServiceKind::Model));
        }
        for name in ["desk-1", "desk-2"] {
            world.add(Node::new(name, Role::Side, "desk", ServiceKind::Plain));
        }
        world.add(Node::new(
            "store-1",
            Role::Side,
            "store",
            ServiceKind::Store,
        ));
        for number in 1..=entries {
            let name = format!("entry-{number}");
            world.add(Node::new(&name, Role::Entry, "", ServiceKind::Plain));
        }
        world.schedule(Duration::ZERO, "".into(), Event::Dial);
        world
    }

    fn add(&mut self, node: Node) {
        let name = node.name.clone();
        self.nodes.insert(name.clone(), node);
        self.schedule(Duration::ZERO, name.clone(), Event::Tick);
        self.start(&name);
    }

    pub fn node(&mut self, name: &str) -> &mut Node {
        self.nodes
            .get_mut(&InstanceName::from(name))
            .expect("a node of the case")
    }

    fn schedule(&mut self, after: Duration, to: InstanceName, event: Event) {
        self.next_event += 1;
        self.queue
            .insert((self.now + after, self.next_event), (to, event));
    }

    pub fn start(&mut self, name: &InstanceName) {
        let (seed, now) = (self.seed, self.now);
        let Some(node) = self.nodes.get_mut(name) else {
            return;
        };
        if node.is_up() {
            return;
        }
        let out = node.start(seed, now);
        self.control_outputs(name, out);
        let (kind, incarnation) = (self.nodes[name].kind, self.nodes[name].incarnation);
        if self.nodes[name].role == Role::Side {
            self.report_load(name, incarnation, kind);
        }
    }

    pub fn kill(&mut self, name: &InstanceName) {
        let torn = self.torn_bytes;
        let Some(node) = self.nodes.get_mut(name) else {
            return;
        };
        node.core = None;
        node.frozen = false;
        node.deferred.clear();
        node.disk.crash(torn);
        for peer in self.peers(name) {
            self.drop_link(&pair(name, &peer));
        }
    }

    fn peers(&self, name: &InstanceName) -> Vec<InstanceName> {
        let both = self.links.iter().filter(|(_, l)| l.up).map(|(p, _)| p);
        let own = both.filter(|(a, b)| a == name || b == name);
        own.map(|(a, b)| if a == name { b.clone() } else { a.clone() })
            .collect()
    }

    fn drop_link(&mut self, ends: &Pair) {
        if let Some(link) = self.links.get_mut(ends).filter(|l| l.up) {
            link.up = false;
            link.untold = vec![ends.0.clone(), ends.1.clone()];
            let delay = Duration::from_millis(1);
            self.schedule(
                delay,
                ends.0.clone(),
                Event::Closed {
                    peer: ends.1.clone(),
                },
            );
            self.schedule(
                delay,
                ends.1.clone(),
                Event::Closed {
                    peer: ends.0.clone(),
                },
            );
        }
    }

    /// Nothing that `from` sends on its open connection to `to` arrives any more.
    pub fn silence(&mut self, from: &InstanceName, to: &InstanceName) {
        let ends = pair(from, to);
        if let Some(link) = self.links.get_mut(&ends).filter(|l| l.up) {
            link.silent.push(from.clone());
            let connection = link.connection;
            self.detect(ends, connection);
        }
    }

    /// The ends notice that nothing arrives any more, unless they connected anew meanwhile.
    fn detect(&mut self, pair: Pair, connection: u64) {
        self.schedule(SILENCE, "".into(), Event::Detect { pair, connection });
    }

    /// Closes an open connection for both ends; what is on its way is lost.
    pub fn reset(&mut self, a: &InstanceName, b: &InstanceName) {
        self.drop_link(&pair(a, b));
    }

    pub fn cut(&mut self, a: &InstanceName, b: &InstanceName, cut: bool) {
        let ends = pair(a, b);
        let link = self.links.entry(ends.clone()).or_default();
        link.cut = cut;
        if cut && link.up {
            link.silent = vec![a.clone(), b.clone()];
            let connection = link.connection;
            self.detect(ends, connection);
        }
    }

    pub fn isolate(&mut self, name: &InstanceName, cut: bool) {
        for other in self.nodes.keys().cloned().collect::<Vec<_>>() {
            if other != *name {
                self.cut(name, &other, cut);
            }
        }
    }

    pub fn freeze(&mut self, name: &InstanceName) {
        if let Some(node) = self.nodes.get_mut(name) {
            node.frozen = true;
        }
        for peer in self.peers(name) {
            self.silence(name, &peer);
        }
    }

    pub fn thaw(&mut self, name: &InstanceName) {
        let Some(node) = self.nodes.get_mut(name) else {
            return;
        };
        node.frozen = false;
        let deferred = std::mem::take(&mut node.deferred);
        for event in deferred {
            self.schedule(Duration::ZERO, name.clone(), event);
        }
    }

    fn wanted(&self) -> Vec<Pair> {
        let mut wanted = Vec::new();
        for a in self.nodes.values() {
            for b in self.nodes.values().filter(|b| a.name < b.name) {
                let roles = (a.role, b.role);
                let stored = a.kind != b.kind
                    && (a.kind == ServiceKind::Store || b.kind == ServiceKind::Store);
                let linked = match roles {
                    (Role::Control, _) | (_, Role::Control) => true,
                    (Role::Entry, Role::Side) | (Role::Side, Role::Entry) => true,
                    (Role::Side, Role::Side) => stored,
                    _ => false,
                };
                if linked && a.is_up() && b.is_up() && !a.frozen && !b.frozen {
                    wanted.push((a.name.clone(), b.name.clone()));
                }
            }
        }
        wanted
    }

    fn dial(&mut self) {
        for ends in self.wanted() {
            let link = self.links.entry(ends.clone()).or_default();
            if link.up || link.cut {
                continue;
            }
            link.up = true;
            link.connection += 1;
            link.silent.clear();
            link.last.clear();
            // As in the daemons, each end hears of the old connection before the new one.
            for end in std::mem::take(&mut link.untold) {
                let peer = if end == ends.0 {
                    ends.1.clone()
                } else {
                    ends.0.clone()
                };
                self.closed(&end, peer);
            }
            self.open(&ends.0, &ends.1);
            self.open(&ends.1, &ends.0);
        }
        self.schedule(DIAL_EVERY, "".into(), Event::Dial);
    }

    fn closed(&mut self, at: &InstanceName, peer: InstanceName) {
        match self.nodes[at].role {
            Role::Control => self.control(at, control::Input::Closed { peer }),
            Role::Side => self.side(at, side::Input::Closed { peer }),
            Role::Entry => self.entry(at, route::Input::Closed { peer }),
        }
    }

    fn open(&mut self, at: &InstanceName, peer: &InstanceName) {
        let (role, incarnation) = (self.nodes[peer].role, self.nodes[peer].incarnation);
        let peer = peer.clone();
        match self.nodes[at].role {
            Role::Control => self.control(
                at,
                control::Input::Opened {
                    peer,
                    message_set: MESSAGE_SET,
                },
            ),
            Role::Side => self.side(at, side::Input::Opened { peer, role }),
            Role::Entry => self.entry(
                at,
                route::Input::Opened {
                    peer,
                    role,
                    incarnation,
                },
            ),
        }
    }

    fn send(&mut self, from: &InstanceName, to: &InstanceName, message: Message) {
        let revision = self.nodes[from].revision();
        let raft = matches!(message, Message::Raft { .. });
        let (mut roll, jitter) = (
            self.rng.random_range(0..100),
            self.rng.random_range(300..900),
        );
        let Some(link) = self.links.get_mut(&pair(from, to)).filter(|l| l.up) else {
            return;
        };
        if link.silent.contains(from) || raft && roll < self.lose_percent {
            return;
        }
        let mut due = self.now + Duration::from_micros(jitter);
        roll = self.rng.random_range(0..100);
        if roll < self.cross_percent {
            due += Duration::from_micros(self.rng.random_range(0..20_000));
        } else {
            let last = link.last.entry(from.clone()).or_default();
            due = due.max(*last);
            *last = due;
        }
        let connection = link.connection;
        let control =
            self.nodes[from].role == Role::Control || self.nodes[to].role == Role::Control;
        self.traffic.count(revision, &message, control);
        let message = Box::new(message);
        let event = Event::Message {
            from: from.clone(),
            connection,
            revision,
            message,
        };
        if self.rng.random_range(0..100) < self.repeat_percent {
            self.schedule(due - self.now + TOKEN, to.clone(), event.clone());
        }
        self.schedule(due - self.now, to.clone(), event);
    }

    /// Runs until a time.
    pub fn run_until(&mut self, until: Duration) {
        while let Some(((at, _), _)) = self.queue.first_key_value() {
            if *at > until {
                break;
            }
            let Some(((at, _), (to, event))) = self.queue.pop_first() else {
                break;
            };
            self.now = at;
            self.dispatch(to, event);
        }
        self.now = until;
    }

    fn dispatch(&mut self, to: InstanceName, event: Event) {
        match &event {
            Event::Dial => return self.dial(),
            Event::Detect { pair, connection } => {
                if self
                    .links
                    .get(pair)
                    .is_some_and(|l| l.connection == *connection)
                {
                    self.drop_link(pair);
                }
                return;
            }
            Event::Tick => self.schedule(TICK, to.clone(), Event::Tick),
            _ => {}
        }
        let Some(node) = self.nodes.get_mut(&to) else {
            return;
        };
        if node.frozen {
            if !matches!(event, Event::Tick) {
                node.deferred.push(event);
            }
            return;
        }
        if !node.is_up() {
            return;
        }
        let (role, incarnation, kind) = (node.role, node.incarnation, node.kind);
        match event {
            Event::Message {
                from,
                connection,
                revision,
                message,
            } => {
                let link = self.links.get(&pair(&from, &to));
                if link.is_none_or(|l| !l.up || l.connection != connection) {
                    return;
                }
                match role {
                    Role::Control => {
                        self.control(
                            &to,
                            control::Input::Message {
                                from,
                                message: *message,
                            },
                        );
                    }
                    Role::Side => {
                        let message = *message;
                        self.side(
                            &to,
                            side::Input::Message {
                                from,
                                revision,
                                message,
                            },
                        );
                    }
                    Role::Entry => {
                        let message = *message;
                        self.entry(
                            &to,
                            route::Input::Message {
                                from,
                                revision,
                                message,
                            },
                        );
                    }
                }
            }
            Event::Tick => match role {
                Role::Control => {
                    let at_ms = self.now.as_millis() as u64;
                    self.control(&to, control::Input::WallClock { at_ms });
                    self.control(&to, control::Input::Tick);
                }
                Role::Side => {
                    if self.now.as_millis() % 100 < TICK.as_millis() {
                        self.report_load(&to, incarnation, kind);
                    }
                    self.side(&to, side::Input::Tick);
                }
                Role::Entry => self.entry(&to, route::Input::Tick),
            },
            Event::Closed { peer } => {
                let link = self.links.entry(pair(&to, &peer)).or_default();
                if link.untold.contains(&to) {
                    link.untold.retain(|end| *end != to);
                    self.closed(&to, peer);
                }
            }
            Event::Synced {
                incarnation: started,
            } if started == incarnation => {
                self.traffic.syncs += 1;
                let sequence = self.nodes.get_mut(&to).map_or(0, |n| n.disk.sync());
                self.control(&to, control::Input::Synced { sequence });
            }
            Event::Side {
                incarnation: started,
                input,
            } if started == incarnation => {
                self.side(&to, *input);
            }
            _ => {}
        }
    }

    fn report_load(&mut self, name: &InstanceName, incarnation: u64, kind: ServiceKind) {
        let backend = &self.nodes[name].backend;
        let slots = if kind == ServiceKind::Store {
            backend.slots.len() as u32
        } else {
            2
        };
        let load = side::BackendStatus {
            version: backend.version.clone(),
            slots,
            prefill_rate: 10_000.0,
            block_bytes: 64,
        };
        let added = backend.cache.keys().copied().collect();
        self.later(name, incarnation, Duration::ZERO, side::Input::Load(load));
        if kind == ServiceKind::Model {
            let events = side::Input::CacheEvents {
                whole: true,
                added,
                removed: Vec::new(),
            };
            self.later(name, incarnation, Duration::ZERO, events);
        }
    }

    fn later(&mut self, to: &InstanceName, incarnation: u64, after: Duration, input: side::Input) {
        let event = Event::Side {
            incarnation,
            input: Box::new(input),
        };
        self.schedule(after, to.clone(), event);
    }

    pub fn control(&mut self, name: &InstanceName, input: control::Input) {
        let now = self.now;
        let mut out = Vec::new();
        if let Some(Core::Control(core)) = self.nodes.get_mut(name).and_then(|n| n.core.as_mut()) {
            core.handle(now, input, &mut out);
        }
        self.control_outputs(name, out);
        self.invariants.check(&self.nodes[name]);
    }

    fn control_outputs(&mut self, name: &InstanceName, out: Vec<control::Output>) {
        let mut wrote = false;
        for output in out {
            let Some(node) = self.nodes.get_mut(name) else {
                return;
            };
            match output {
                control::Output::Persist { sequence, record } => {
                    node.disk.append(sequence, &record);
                    wrote = true;
                }
                control::Output::Rewrite { sequence, records } => {
                    node.disk.rewrite(sequence, &records);
                    wrote = true;
                }
                control::Output::Send { to, message } => self.send(name, &to, message),
                control::Output::Answer { tag, result } => {
                    if let Some((_, answer)) = self.proposals.get_mut(&tag) {
                        *answer = Some(result);
                    }
                }
                _ => {}
            }
        }
        if wrote {
            let incarnation = self.nodes[name].incarnation;
            let micros = self.rng.random_range(500..4_000);
            let after = Duration::from_micros(micros);
            self.schedule(after, name.clone(), Event::Synced { incarnation });
        }
    }

    pub fn side(&mut self, name: &InstanceName, input: side::Input) {
        let now = self.now;
        let mut out = Vec::new();
        if let Some(Core::Side(core)) = self.nodes.get_mut(name).and_then(|n| n.core.as_mut()) {
            core.handle(now, input, &mut out);
        }
        for output in out {
            self.side_output(name, output);
        }
        self.invariants.check(&self.nodes[name]);
    }

    fn side_output(&mut self, name: &InstanceName, output: side::Output) {
        let (now, incarnation) = (self.now, self.nodes[name].incarnation);
        let Some(node) = self.nodes.get_mut(name) else {
            return;
        };
        match output {
            side::Output::Send { to, message } => {
                if message == Message::Leaving && node.leaving_since.is_none() {
                    node.leaving_since = Some(now);
                }
                self.send(name, &to, message);
            }
            side::Output::Call { run, start, .. } => {
                self.run(name, incarnation, run, &start);
            }
            side::Output::ImportBlock {
                run,
                key,
                version,
                data,
            } => {
                let taken = node.backend.import(key, &version, &data);
                self.later(
                    name,
                    incarnation,
                    TOKEN,
                    side::Input::BlockImported { run, key, taken },
                );
            }
            side::Output::ExportBlock { key } => {
                let data = node.backend.export(&key);
                self.later(
                    name,
                    incarnation,
                    TOKEN,
                    side::Input::BlockExported { key, data },
                );
            }
            side::Output::LoadVersion { fence, version } => {
                let done = node.backend.load(fence, &version);
                let version = node.backend.version.clone();
                let input = side::Input::VersionLoaded {
                    fence,
                    version,
                    done,
                };
                self.later(name, incarnation, LOAD, input);
            }
            side::Output::WriteSlot { slot, data } => {
                node.backend.write(slot.slot, &data);
                let input = side::Input::SlotWritten {
                    slot,
                    written: true,
                };
                self.later(name, incarnation, TOKEN, input);
            }
            side::Output::ReadSlot { slot } => {
                let data = node.backend.read(slot.slot);
                self.later(
                    name,
                    incarnation,
                    TOKEN,
                    side::Input::SlotRead { slot, data },
                );
            }
            side::Output::Exit => {
                node.exited = true;
                self.invariants.on_exit(&self.nodes[name]);
            }
            side::Output::CancelRun { .. } | side::Output::InForce { .. } => {}
        }
    }

    /// Lets the fake backend server answer a run.
    fn run(&mut self, name: &InstanceName, at: u64, run: u64, start: &dotterelrudder::wire::Start) {
        let Some(node) = self.nodes.get_mut(name) else {
            return;
        };
        if node.backend.down {
            let detail = "down".into();
            let failed = side::Input::RunFailed {
                run,
                called: false,
                detail,
            };
            return self.later(name, at, TOKEN, failed);
        }
        // A request counts as run from here: before, no byte of it reached the backend server.
        let request = self
            .attempts
            .get(&start.attempt)
            .cloned()
            .unwrap_or_default();
        self.invariants.on_call(node, &request, self.now);
        let version = node.backend.version.clone();
        let (tokens, cached, pause) = match &start.work {
            Work::Call { body, .. } => {
                let text = String::from_utf8_lossy(body).into_owned();
                *node.backend.runs.entry(text).or_default() += 1;
                (vec![body.clone()], 0, WORK)
            }
            Work::Completion { .. } => {
                let (tokens, cached) = node.backend.complete(start);
                (tokens, cached, TOKEN)
            }
        };
        let cut_after = node.backend.cut_after;
        let content_type = "t".into();
        let started = side::Input::RunStarted {
            run,
            version,
            status: 200,
            content_type,
        };
        self.later(name, at, TOKEN, started);
        let mut after = pause + TOKEN;
        for (number, data) in tokens.into_iter().enumerate() {
            if cut_after == Some(number) {
                let detail = "cut".into();
                let failed = side::Input::RunFailed {
                    run,
                    called: true,
                    detail,
                };
                return self.later(name, at, after, failed);
            }
            self.later(name, at, after, side::Input::RunChunk { run, data });
            after += pause;
        }
        let usage = Usage {
            cached_tokens: cached as u32,
            ..Usage::default()
        };
        self.later(name, at, after, side::Input::RunFinished { run, usage });
    }

    pub fn entry(&mut self, name: &InstanceName, input: route::Input) {
        let now = self.now;
        let mut out = Vec::new();
        if let Some(Core::Entry(core)) = self.nodes.get_mut(name).and_then(|n| n.core.as_mut()) {
            core.handle(now, input, &mut out);
        }
        for output in out {
            match output {
                // The side gets the attempt only after this, so that its run has a name by then.
                route::Output::Placed { id, attempt, .. } => {
                    let request = self.calls.get(&id).map(|c| c.1.clone()).unwrap_or_default();
                    self.attempts.insert(attempt, request);
                }
                route::Output::Send { to, message } => self.send(name, &to, message),
                route::Output::Respond { id, event } => self.on_answer(id, event),
                route::Output::Exit => {
                    if let Some(node) = self.nodes.get_mut(name) {
                        node.exited = true;
                    }
                    self.invariants.on_exit(&self.nodes[name]);
                }
                route::Output::InForce { .. } => {}
            }
        }
        self.invariants.check(&self.nodes[name]);
    }

    /// Sends a caller's request.
    pub fn call(&mut self, plan: &CallPlan) {
        let id = self.calls.len() as u64 + 1;
        let (mut call, target) = plan.build();
        let entry = InstanceName::from(plan.entry.as_str());
        call.entry_incarnation = self.nodes[&entry].incarnation;
        let request = format!("{id} {}", plan.name);
        self.calls.insert(id, (entry.clone(), request, call));
        // Nobody reaches a process that is down or frozen.
        if self.nodes[&entry].frozen || !self.nodes[&entry].is_up() {
            let refusal = Refusal::new(ErrorKind::NotReady, "not reached");
            return self.on_answer(id, AnswerEvent::Refused(refusal));
        }
        let input = route::Input::Request {
            id,
            key: Some(plan.key.as_str().into()),
            target,
            time_limit: Duration::from_millis(plan.time_limit_ms),
            idempotency_key: plan.idempotency_key.as_deref().map(Into::into),
        };
        self.entry(&entry, input);
    }

    fn on_answer(&mut self, id: u64, event: AnswerEvent) {
        let now = self.now;
        let Some((_, request, call)) = self.calls.get_mut(&id) else {
            return;
        };
        let request = request.clone();
        if call.end.is_some() {
            self.invariants
                .broken
                .push(format!("{request} answered after its end"));
            return;
        }
        match event {
            AnswerEvent::Started {
                version, status, ..
            } => {
                call.version = version.to_string();
                call.status = status;
            }
            AnswerEvent::Chunk(data) => call.answer.extend_from_slice(&data),
            AnswerEvent::Finished(usage) => {
                call.end = Some(Ok(()));
                call.cached = usage.cached_tokens;
                call.ended_at = now;
                let right = if call.completion {
                    let Call {
                        version,
                        prompt,
                        tokens,
                        ..
                    } = &*call;
                    call.answer == expected_answer(MODEL, version, prompt, *tokens).into_bytes()
                } else {
                    call.answer == call.prompt
                };
                self.invariants.on_end(&request, false, right);
            }
            AnswerEvent::Refused(refusal) => {
                let not_run = refusal.is_not_run();
                call.end = Some(Err(refusal));
                call.ended_at = now;
                self.invariants.on_end(&request, not_run, true);
            }
        }
    }

    /// Publishes a weight version, or a change of the queue limit, through a control instance.
    pub fn publish(&mut self, at: &str, change_id: &str, base: u64, version: &str, limit: u32) {
        let mut declared = declarations(version);
        for service in declared.services.values_mut() {
            service.queue_limit = limit;
        }
        let change = ChangeSet::between(&Configuration::default(), &declared);
        let content = *blake3::hash(format!("{change:?}").as_bytes()).as_bytes();
        let command = Command::Publish {
            change_id: change_id.into(),
            base: Revision(base),
            author: at.into(),
            at_ms: 0,
            content,
            change,
        };
        let tag = self.proposals.len() as u64 + 1;
        self.proposals
            .insert(tag, (format!("{change_id} at {at}"), None));
        self.control(&at.into(), control::Input::Propose { tag, command });
    }

    /// Returns the instance that leads, if one does in the newest term.
    pub fn leader(&self) -> Option<InstanceName> {
        let leading = self.nodes.values().filter_map(|n| match &n.core {
            Some(Core::Control(c)) if c.raft().is_leader() && !n.frozen => {
                Some((c.raft().term(), n.name.clone()))
            }
            _ => None,
        });
        leading.max().map(|(_, name)| name)
    }

    pub fn finish(&mut self) {
        self.invariants.check_runs(self.nodes.values());
    }
}
