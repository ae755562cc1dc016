//! Evacuations of data centres in the control role: what operators are told, what entries learn and
//! when, and what outlasts the loss of instances.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::time::Duration;

use bytes::Bytes;
use dotterelrudder_config::deployment::DeploymentConfiguration;
use dotterelrudder_config::deployment::ServiceEndpoint;
use dotterelrudder_config::deployment::StoreTraits;
use dotterelrudder_control::ControlCore;
use dotterelrudder_control::ControlSettings;
use dotterelrudder_control::Input;
use dotterelrudder_control::Output;
use dotterelrudder_control::RaftTiming;
use dotterelrudder_control::Recovered;
use dotterelrudder_types::DataCentre;
use dotterelrudder_types::ErrorKind;
use dotterelrudder_types::InstanceName;
use dotterelrudder_wire::Command;
use dotterelrudder_wire::CommandResult;
use dotterelrudder_wire::FleetQuery;
use dotterelrudder_wire::Message;
use dotterelrudder_wire::RunnerRecord;
use dotterelrudder_wire::MESSAGE_SET;

const ENTRY: &str = "entry";
const SIDE: &str = "side";
/// Log entries after which a snapshot replaces them.
const SNAPSHOT_ENTRIES: usize = 16;

const fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

fn runner(n: u8, data_centre: &str) -> RunnerRecord {
    RunnerRecord {
        identity: format!("i-{n}").into(),
        service: "engines".into(),
        address: ([10, 0, 0, n], 80).into(),
        data_centre: data_centre.into(),
        slots: 1,
        leaving: false,
        born_ms: 1,
        weights: Vec::new(),
        software: None,
        cold_left: None,
    }
}

fn set_evacuation(data_centre: &str, evacuated: bool) -> Command {
    Command::SetEvacuation {
        data_centre: data_centre.into(),
        evacuated,
        at_ms: 0,
    }
}

fn publish(version: u64) -> Command {
    Command::PublishWhole {
        configuration: Box::new(DeploymentConfiguration {
            version,
            ..DeploymentConfiguration::default()
        }),
        document: Bytes::from_static(b"one"),
        at_ms: 0,
    }
}

fn query(beside: bool) -> Message {
    Message::FleetQuery(FleetQuery {
        asked: 1,
        held: 9,
        directory: 0,
        beside: beside.then(|| ([10, 0, 0, 1], 80).into()),
    })
}

/// Control instances on a network without delay, with disks that sync at once.
struct Cluster {
    cores: BTreeMap<InstanceName, ControlCore>,
    /// Instances that the others can't reach.
    cut: Vec<InstanceName>,
    /// What instances did towards operators, entries and sides, and what they reported, in order.
    seen: Vec<(InstanceName, Output)>,
    now: Duration,
    tag: u64,
}

impl Cluster {
    fn start() -> Self {
        let names: Vec<InstanceName> = ["a", "b", "c"].map(InstanceName::from).to_vec();
        let mut cluster = Self {
            cores: BTreeMap::new(),
            cut: Vec::new(),
            seen: Vec::new(),
            now: ms(0),
            tag: 0,
        };
        let mut out = Vec::new();
        for (n, name) in names.iter().enumerate() {
            let peers = names.iter().filter(|p| *p != name).cloned().collect();
            let settings = ControlSettings {
                name: name.clone(),
                peers,
                timing: RaftTiming {
                    snapshot_entries: SNAPSHOT_ENTRIES,
                    ..RaftTiming::default()
                },
                bootstrap: true,
                voters: Some(3),
            };
            let mut own = Vec::new();
            let seed = n as u64 + 1;
            let core = ControlCore::new(settings, Recovered::default(), seed, ms(0), &mut own);
            cluster.cores.insert(name.clone(), core);
            out.push((name.clone(), own));
        }
        for (name, own) in out {
            cluster.deliver(name, own);
        }
        for from in &names {
            for to in names.iter().filter(|to| *to != from) {
                let peer = from.clone();
                cluster.handle(
                    to,
                    Input::Opened {
                        peer,
                        message_set: MESSAGE_SET,
                    },
                );
            }
        }
        cluster.run_for(6_000);
        cluster
    }

    /// Starts instances whose leader has read a list with runners in "north" and "south".
    fn with_list() -> Self {
        let mut cluster = Self::start();
        cluster.list_runners();
        cluster.seen.clear();
        cluster
    }

    fn list_runners(&mut self) {
        let rows = vec![runner(1, "north"), runner(2, "north"), runner(3, "south")];
        let leader = self.leader();
        self.handle(&leader, Input::RunnersListed { rows });
    }

    fn handle(&mut self, name: &InstanceName, input: Input) {
        let mut out = Vec::new();
        if let Some(core) = self.cores.get_mut(name) {
            core.handle(self.now, input, &mut out);
        }
        self.deliver(name.clone(), out);
    }

    /// Delivers outputs and what follows from them, in order.
    fn deliver(&mut self, name: InstanceName, outputs: Vec<Output>) {
        let mut due: VecDeque<(InstanceName, Output)> =
            outputs.into_iter().map(|o| (name.clone(), o)).collect();
        while let Some((from, output)) = due.pop_front() {
            let (at, input) = match output {
                Output::Send { to, message } if self.cores.contains_key(&to) => {
                    if self.cut.contains(&to) || self.cut.contains(&from) {
                        continue;
                    }
                    (to, Input::Message { from, message })
                }
                Output::Persist { sequence, .. } | Output::Rewrite { sequence, .. } => {
                    (from, Input::Synced { sequence })
                }
                other => {
                    self.seen.push((from, other));
                    continue;
                }
            };
            let mut out = Vec::new();
            if let Some(core) = self.cores.get_mut(&at) {
                core.handle(self.now, input, &mut out);
            }
            due.extend(out.into_iter().map(|o| (at.clone(), o)));
        }
    }

    fn run_for(&mut self, millis: u64) {
        for _ in 0..millis / 20 {
            self.now += ms(20);
            for name in self.cores.keys().cloned().collect::<Vec<_>>() {
                self.handle(&name, Input::Tick);
            }
        }
    }

    /// Returns the instance that leads under a valid lease, once there is one.
    fn leader(&mut self) -> InstanceName {
        for _ in 0..1_000 {
            let mut leaders = self.cores.iter();
            let reachable = |name: &InstanceName| !self.cut.contains(name);
            let leads = |c: &ControlCore| c.holds_leader_lease(self.now);
            if let Some((name, _)) = leaders.find(|(n, c)| reachable(n) && leads(c)) {
                return name.clone();
            }
            self.run_for(20);
        }
        panic!("nobody leads");
    }

    fn follower(&mut self) -> InstanceName {
        let leader = self.leader();
        let follower = self.cores.keys().find(|n| **n != leader);
        follower.cloned().expect("three instances")
    }

    /// Ends the leader for good.
    fn lose_leader(&mut self) {
        let leader = self.leader();
        self.cores.remove(&leader);
    }

    fn propose(&mut self, at: &InstanceName, command: Command) -> u64 {
        self.tag += 1;
        let tag = self.tag;
        self.handle(at, Input::Propose { tag, command });
        tag
    }

    fn result(&self, tag: u64) -> Option<CommandResult> {
        self.seen.iter().find_map(|(_, o)| match o {
            Output::Answer { tag: t, result } if *t == tag => Some(result.clone()),
            _ => None,
        })
    }

    /// Proposes a command at an instance and returns what its operator is told.
    fn call(&mut self, at: &InstanceName, command: Command) -> CommandResult {
        let tag = self.propose(at, command);
        self.run_for(200);
        self.result(tag).expect("the call is answered")
    }

    fn refusal(&mut self, at: &InstanceName, command: Command) -> ErrorKind {
        match self.call(at, command) {
            CommandResult::Refused(refusal) => refusal.kind,
            other => panic!("expected a refusal, got {other:?}"),
        }
    }

    fn ask(&mut self, at: &InstanceName, from: &str, beside: bool) {
        let input = Input::Message {
            from: from.into(),
            message: query(beside),
        };
        self.handle(at, input);
    }

    /// Returns the messages to an entry or a side since the last call.
    fn take_sent(&mut self, to: &str) -> Vec<Message> {
        let mut sent = Vec::new();
        self.seen.retain(|(_, o)| match o {
            Output::Send { to: t, message } if t.as_str() == to => {
                sent.push(message.clone());
                false
            }
            _ => true,
        });
        sent
    }

    /// Returns the evacuations that an entry was sent since the last call.
    fn take_evacuations(&mut self) -> Vec<Vec<DataCentre>> {
        let sent = self.take_sent(ENTRY).into_iter();
        let evacuations = sent.filter_map(|m| match m {
            Message::Evacuations(evacuated) => Some(evacuated),
            _ => None,
        });
        evacuations.collect()
    }

    fn evacuated(&self) -> Vec<Vec<DataCentre>> {
        self.cores.values().map(|c| c.state().evacuated()).collect()
    }

    /// Returns the ends of evacuations that leaders noticed, with the number of runners there.
    fn ended(&self) -> Vec<(InstanceName, DataCentre, usize)> {
        let seen = self.seen.iter();
        let ended = seen.filter_map(|(name, o)| match o {
            Output::EvacuationEnded {
                data_centre,
                runners,
            } => Some((name.clone(), data_centre.clone(), *runners)),
            _ => None,
        });
        ended.collect()
    }
}

/// Guards against other bytes to entries and sides of a deployment that never evacuated anything.
#[test]
fn nothing_is_sent_before_the_first_evacuation() {
    let mut cluster = Cluster::with_list();
    let leader = cluster.leader();
    cluster.call(&leader, publish(1));
    cluster.ask(&leader, ENTRY, false);
    cluster.ask(&leader, SIDE, true);
    cluster.call(&leader, publish(2));
    let sent = [cluster.take_sent(ENTRY), cluster.take_sent(SIDE)].concat();
    assert!(!sent.is_empty());
    let about = |m: &&Message| matches!(m, Message::Evacuations(_));
    assert_eq!(sent.iter().find(about), None);
}

/// Guards against an entry that is ready, or is sent a list, before it knows the evacuations, and against
/// one that isn't told of a change at once.
#[test]
fn entries_learn_evacuations_before_the_fleet_state_and_at_each_change() {
    let mut cluster = Cluster::with_list();
    let leader = cluster.leader();
    cluster.call(&leader, set_evacuation("north", true));
    cluster.ask(&leader, ENTRY, false);
    let sent = cluster.take_sent(ENTRY);
    let at = |wanted: fn(&Message) -> bool| sent.iter().position(wanted).expect("it is sent");
    let evacuations = at(|m| matches!(m, Message::Evacuations(e) if *e == ["north".into()]));
    assert!(evacuations < at(|m| matches!(m, Message::Runners(_))));
    assert!(evacuations < at(|m| matches!(m, Message::Fleet(_))));
    cluster.ask(&leader, ENTRY, false);
    assert!(cluster.take_evacuations().is_empty(), "it knows them");
    let changes = [
        ("south", true),
        ("north", false),
        ("north", false),
        ("south", false),
    ];
    for (data_centre, evacuated) in changes {
        cluster.call(&leader, set_evacuation(data_centre, evacuated));
    }
    let pushed: [Vec<DataCentre>; 3] = [
        vec!["north".into(), "south".into()],
        vec!["south".into()],
        Vec::new(),
    ];
    assert_eq!(cluster.take_evacuations(), pushed);
    let peer = ENTRY.into();
    cluster.handle(&leader, Input::Closed { peer });
    cluster.ask(&leader, ENTRY, false);
    assert_eq!(
        cluster.take_evacuations(),
        [Vec::new()],
        "it may hold an old one"
    );
    cluster.ask(&leader, SIDE, true);
    let to_side = cluster.take_sent(SIDE);
    assert!(!to_side.iter().any(|m| matches!(m, Message::Evacuations(_))));
}

/// Guards against an evacuation of a data centre that doesn't exist, one of an existing data centre that
/// is refused as unknown, and a repeated call that gets another answer than the first one.
#[test]
fn known_data_centres_are_those_of_runners_stores_controls_and_evacuations() {
    let mut cluster = Cluster::start();
    let (leader, follower) = (cluster.leader(), cluster.follower());
    for at in [&leader, &follower] {
        let kind = cluster.refusal(at, set_evacuation("north", true));
        assert_eq!(kind, ErrorKind::NotFresh, "the list is not read yet");
    }
    let data_centre: DataCentre = "west".into();
    cluster.handle(&leader, Input::ControlSeen { data_centre });
    let store = ServiceEndpoint {
        name: "store".into(),
        health_path: "/healthz".into(),
        max_connections: 0,
        engine: None,
        store: Some(StoreTraits {
            address: ([10, 0, 0, 9], 80).into(),
            data_centre: "east".into(),
            cache_tokens: 0,
            link_mbps: 1.0,
            first_ms: 0.0,
            managed: false,
        }),
        warm_up: None,
    };
    let configuration = DeploymentConfiguration {
        version: 1,
        services: vec![store],
        ..DeploymentConfiguration::default()
    };
    let command = Command::PublishWhole {
        configuration: Box::new(configuration),
        document: Bytes::new(),
        at_ms: 0,
    };
    assert_eq!(cluster.call(&leader, command), CommandResult::Done);
    for known in ["west", "east"] {
        for evacuated in [true, false] {
            let result = cluster.call(&follower, set_evacuation(known, evacuated));
            assert_eq!(
                result,
                CommandResult::Done,
                "{known} before the list is read"
            );
        }
    }
    cluster.list_runners();
    for at in [&leader, &follower] {
        for evacuated in [true, false] {
            let kind = cluster.refusal(at, set_evacuation("nowhere", evacuated));
            assert_eq!(kind, ErrorKind::NotFound);
        }
        for evacuated in [false, true, true, false, false] {
            let result = cluster.call(at, set_evacuation("south", evacuated));
            assert_eq!(result, CommandResult::Done);
        }
    }
    // Its only runner has left since.
    let rows = vec![runner(1, "north")];
    cluster.handle(&leader, Input::RunnersListed { rows });
    for evacuated in [false, true, true, false, false] {
        let result = cluster.call(&leader, set_evacuation("south", evacuated));
        assert_eq!(result, CommandResult::Done);
    }
}

/// Guards against an evacuation, or its end, that only the lost leader knew or had announced.
#[test]
fn a_new_leader_knows_evacuations_and_their_ends() {
    for ends in [false, true] {
        let mut cluster = Cluster::with_list();
        let leader = cluster.leader();
        cluster.ask(&leader, ENTRY, false);
        cluster.call(&leader, set_evacuation("north", true));
        assert_eq!(cluster.take_evacuations(), [["north".into()]]);
        if ends {
            cluster.call(&leader, set_evacuation("north", false));
        }
        // The entry did not hear of the end.
        cluster.take_sent(ENTRY);
        cluster.lose_leader();
        let next = cluster.leader();
        cluster.ask(&next, ENTRY, false);
        let expected: Vec<DataCentre> = if ends { vec![] } else { vec!["north".into()] };
        assert_eq!(cluster.take_evacuations(), vec![expected.clone()]);
        // Neither call needs the list, which this leader has not read.
        for evacuated in [!ends, ends, !ends] {
            let result = cluster.call(&next, set_evacuation("north", evacuated));
            assert_eq!(result, CommandResult::Done);
        }
        assert_eq!(cluster.evacuated(), [expected.clone(), expected]);
    }
}

/// Guards against a repeated call that is refused, or an evacuation that is lost, when the leader is
/// lost between the commit and the acknowledgement.
#[test]
fn a_call_repeated_after_the_loss_of_the_leader_is_acknowledged() {
    let mut cluster = Cluster::with_list();
    let (leader, follower) = (cluster.leader(), cluster.follower());
    let tag = cluster.propose(&follower, set_evacuation("north", true));
    // The result on its way to the follower is lost with the leader.
    cluster
        .seen
        .retain(|(_, o)| !matches!(o, Output::Answer { tag: t, .. } if *t == tag));
    cluster.cores.remove(&leader);
    let next = cluster.leader();
    let result = cluster.call(&next, set_evacuation("north", true));
    assert_eq!(result, CommandResult::Done);
    assert_eq!(cluster.evacuated(), [["north".into()], ["north".into()]]);
}

/// Guards against an evacuation that a replica misses which gets a snapshot instead of the log.
#[test]
fn a_replica_learns_evacuations_and_former_ones_from_a_snapshot() {
    let mut cluster = Cluster::with_list();
    let (leader, late) = (cluster.leader(), cluster.follower());
    cluster.cut = vec![late.clone()];
    for command in [("south", true), ("north", true), ("south", false)] {
        cluster.call(&leader, set_evacuation(command.0, command.1));
    }
    for version in 1..=3 * SNAPSHOT_ENTRIES as u64 {
        cluster.call(&leader, publish(version));
    }
    assert!(cluster.cores[&late].state().evacuated().is_empty());
    cluster.seen.clear();
    cluster.cut.clear();
    cluster.run_for(4_000);
    let state = cluster.cores[&late].state();
    assert_eq!(state.evacuated(), ["north".into()]);
    assert!(state.had_evacuation(&"south".into()) && !state.had_evacuation(&"west".into()));
    let reported = cluster.seen.iter().filter_map(|(name, o)| match o {
        Output::Evacuations { evacuated } if *name == late => Some(evacuated.clone()),
        _ => None,
    });
    assert_eq!(reported.collect::<Vec<_>>(), [["north".into()]]);
}

/// Guards against replicas that differ, or calls without an acknowledgement, when two operators and
/// changes of the configuration come at the same time.
#[test]
fn concurrent_operators_and_configurations_end_alike_at_all_replicas() {
    let mut cluster = Cluster::with_list();
    let names: Vec<InstanceName> = cluster.cores.keys().cloned().collect();
    let mut tags = Vec::new();
    let mut last = false;
    for n in 0..60u64 {
        let at = &names[n as usize % names.len()];
        let command = match n % 3 {
            0 => publish(n + 1),
            _ => {
                last = n % 2 == 0;
                set_evacuation("north", last)
            }
        };
        tags.push(cluster.propose(at, command));
    }
    cluster.run_for(1_000);
    for tag in tags {
        assert_eq!(cluster.result(tag), Some(CommandResult::Done), "{tag}");
    }
    let expected: Vec<DataCentre> = last.then(|| "north".into()).into_iter().collect();
    assert_eq!(cluster.evacuated(), vec![expected; 3]);
    let states: Vec<_> = cluster.cores.values().map(|c| c.state()).collect();
    assert!(states.iter().all(|s| *s == states[0]));
    assert_eq!(states[0].deployment_configuration().version, 58);
}

/// Guards against entries that send requests to runners of a data centre whose evacuation has ended before
/// the leader treats these as possibly cold, and against a new leader that doesn't.
#[test]
fn the_leader_notices_the_end_of_an_evacuation_before_entries_do() {
    let mut cluster = Cluster::with_list();
    let leader = cluster.leader();
    cluster.ask(&leader, ENTRY, false);
    cluster.call(&leader, set_evacuation("north", true));
    cluster.take_sent(ENTRY);
    cluster.call(&leader, set_evacuation("north", false));
    let expected = vec![(leader.clone(), "north".into(), 2)];
    assert_eq!(cluster.ended(), expected);
    let is_noticed = |o: &Output| matches!(o, Output::EvacuationEnded { .. });
    let is_sent = |o: &Output| {
        matches!(
            o,
            Output::Send {
                message: Message::Evacuations(_),
                ..
            }
        )
    };
    let noticed = cluster.seen.iter().position(|(_, o)| is_noticed(o));
    assert!(noticed < cluster.seen.iter().position(|(_, o)| is_sent(o)));
    cluster.call(&leader, set_evacuation("north", false));
    assert_eq!(cluster.ended(), expected, "a repeated call ends nothing");

    cluster.seen.clear();
    cluster.lose_leader();
    let next = cluster.leader();
    cluster.ask(&next, ENTRY, false);
    let ended = cluster.ended();
    assert_eq!(
        ended,
        [(next.clone(), "north".into(), 0)],
        "a short time ago"
    );
    let noticed = cluster.seen.iter().position(|(_, o)| is_noticed(o));
    assert!(noticed < cluster.seen.iter().position(|(_, o)| is_sent(o)));
}

/// Guards against runners that are treated as cold again long after an evacuation ended, or while it is
/// in force once more, because another instance takes the lead.
#[test]
fn a_new_leader_passes_over_ends_of_evacuations_that_are_over() {
    for begins_again in [false, true] {
        let mut cluster = Cluster::with_list();
        let leader = cluster.leader();
        cluster.call(&leader, set_evacuation("north", true));
        cluster.call(&leader, set_evacuation("north", false));
        if begins_again {
            cluster.call(&leader, set_evacuation("north", true));
        } else {
            cluster.run_for(10_000);
        }
        cluster.seen.clear();
        cluster.lose_leader();
        let next = cluster.leader();
        cluster.ask(&next, ENTRY, false);
        cluster.run_for(200);
        assert_eq!(cluster.ended(), []);
    }
}
