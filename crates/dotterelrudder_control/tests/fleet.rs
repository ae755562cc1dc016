//! Fleet queries and pushed updates: what the leading control instance sends to entries and sides.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use bytes::BytesMut;
use dotterelrudder_config::deployment::CallerLimits;
use dotterelrudder_config::deployment::DeploymentConfiguration;
use dotterelrudder_config::deployment::ServiceEndpoint;
use dotterelrudder_config::deployment::StoreTraits;
use dotterelrudder_config::deployment::WarmUp;
use dotterelrudder_control::ControlCore;
use dotterelrudder_control::ControlSettings;
use dotterelrudder_control::Input;
use dotterelrudder_control::Output;
use dotterelrudder_control::RaftTiming;
use dotterelrudder_control::Recovered;
use dotterelrudder_control::StoreEvent;
use dotterelrudder_control::StoreReport;
use dotterelrudder_follow::RunnerLoadTable;
use dotterelrudder_types::InstanceName;
use dotterelrudder_types::LeavingRunner;
use dotterelrudder_wire::encode_frame;
use dotterelrudder_wire::Command;
use dotterelrudder_wire::CommandResult;
use dotterelrudder_wire::DirectoryUpdate;
use dotterelrudder_wire::FleetQuery;
use dotterelrudder_wire::FleetState;
use dotterelrudder_wire::Message;
use dotterelrudder_wire::ModelWeights;
use dotterelrudder_wire::PartKey;
use dotterelrudder_wire::RaftMessage;
use dotterelrudder_wire::RunnerAttributes;
use dotterelrudder_wire::RunnerLoad;
use dotterelrudder_wire::RunnerLoadSample;
use dotterelrudder_wire::RunnerRecord;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn runner() -> SocketAddr {
    SocketAddr::from(([10, 0, 0, 1], 80))
}

/// A control replica whose journal records are synced at once.
struct Leader {
    core: ControlCore,
    out: Vec<Output>,
    now: Duration,
    tag: u64,
}

impl Leader {
    /// Bootstraps a deployment of one replica; with peers, the replica waits for their agreement.
    fn start(peers: Vec<InstanceName>) -> Self {
        let settings = ControlSettings {
            name: "a".into(),
            peers,
            timing: RaftTiming::default(),
            bootstrap: true,
            voters: Some(1),
        };
        let mut out = Vec::new();
        let core = ControlCore::new(settings, Recovered::default(), 7, ms(0), &mut out);
        let mut leader = Self {
            core,
            out,
            now: ms(0),
            tag: 0,
        };
        leader.sync_journal();
        leader.advance(2_000);
        leader
    }

    fn sync_journal(&mut self) {
        loop {
            let sequences = self.out.iter().filter_map(|o| match o {
                Output::Persist { sequence, .. } | Output::Rewrite { sequence, .. } => {
                    Some(*sequence)
                }
                _ => None,
            });
            let Some(sequence) = sequences.max() else {
                return;
            };
            self.out
                .retain(|o| !matches!(o, Output::Persist { .. } | Output::Rewrite { .. }));
            let input = Input::Synced { sequence };
            self.core.handle(self.now, input, &mut self.out);
        }
    }

    fn handle(&mut self, input: Input) {
        self.core.handle(self.now, input, &mut self.out);
        self.sync_journal();
    }

    fn advance(&mut self, millis: u64) {
        for _ in 0..millis / 20 {
            self.now += ms(20);
            self.handle(Input::Tick);
        }
    }

    fn receive(&mut self, from: &str, message: Message) {
        let from = from.into();
        self.handle(Input::Message { from, message });
    }

    fn propose(&mut self, command: Command) -> CommandResult {
        self.tag += 1;
        let tag = self.tag;
        self.handle(Input::Propose { tag, command });
        let answers = self.out.iter().filter_map(|o| match o {
            Output::Answer { tag: t, result } if *t == tag => Some(result.clone()),
            _ => None,
        });
        answers
            .last()
            .expect("the only replica answers each proposal")
    }

    fn take_sent(&mut self, to: &str) -> Vec<Message> {
        let mut sent = Vec::new();
        self.out.retain(|o| match o {
            Output::Send { to: t, message } if t.as_str() == to => {
                sent.push(message.clone());
                false
            }
            _ => true,
        });
        sent
    }

    fn take_fleet_state(&mut self, to: &str) -> Option<FleetState> {
        let fleet_states = self.take_sent(to).into_iter().filter_map(|m| match m {
            Message::Fleet(fleet_state) => Some(*fleet_state),
            _ => None,
        });
        fleet_states.last()
    }
}

fn publish(version: u64, document: &'static str) -> Command {
    Command::PublishWhole {
        configuration: Box::new(DeploymentConfiguration {
            version,
            limits: CallerLimits::default(),
            ..DeploymentConfiguration::default()
        }),
        document: Bytes::from_static(document.as_bytes()),
        at_ms: 0,
    }
}

fn fleet_query(asked: u64, held: u64, beside: Option<SocketAddr>) -> Message {
    Message::FleetQuery(FleetQuery {
        asked,
        held,
        directory: 0,
        beside,
    })
}

fn load(version: u64) -> RunnerLoad {
    RunnerLoad {
        reading: RunnerLoadSample {
            address: runner(),
            answers: true,
            leaving: false,
            loading: false,
            waiting: 0,
            running: 0,
            used_tokens: 0,
        },
        traits: RunnerAttributes {
            born_ms: 1,
            total_tokens: 1,
            weights: vec![ModelWeights {
                model: "m".into(),
                version,
            }],
        },
    }
}

#[test]
fn highest_published_version_wins_and_republishing_changes_nothing() {
    let mut leader = Leader::start(Vec::new());
    for (version, document) in [(3, "three"), (1, "one"), (3, "other three"), (3, "three")] {
        assert_eq!(
            leader.propose(publish(version, document)),
            CommandResult::Done
        );
        let read = leader.propose(Command::ReadWhole);
        let document = Bytes::from_static(b"three");
        assert_eq!(
            read,
            CommandResult::Whole {
                version: 3,
                document
            }
        );
    }
    let outcomes: Vec<_> = leader
        .core
        .state()
        .audit()
        .iter()
        .map(|r| r.outcome.clone())
        .collect();
    assert_eq!(
        outcomes,
        ["accepted", "not newer", "not newer", "not newer"]
    );
}

#[test]
fn fleet_client_gets_missing_state_and_pushed_changes() {
    let mut leader = Leader::start(Vec::new());
    leader.propose(publish(1, "one"));
    leader.receive("entry", fleet_query(5, 0, None));
    let fleet_state = leader.take_fleet_state("entry").expect("a leader answers");
    assert_eq!(
        (fleet_state.asked, fleet_state.version, fleet_state.entries),
        (5, 1, 1)
    );
    assert!(fleet_state.configuration.is_some());
    leader.receive("entry", fleet_query(6, 1, None));
    assert!(leader
        .take_fleet_state("entry")
        .expect("a leader answers")
        .configuration
        .is_none());
    leader.propose(publish(2, "two"));
    let pushed = leader
        .take_fleet_state("entry")
        .expect("a change is pushed without a query");
    // The pushed state carries the number of the last query, so that it confirms nothing newer.
    assert_eq!((pushed.asked, pushed.version), (6, 2));
    assert!(pushed.configuration.is_some());
}

#[test]
fn replica_without_leadership_answers_not_leader() {
    let mut replica = Leader::start(vec!["b".into(), "c".into()]);
    replica.receive("entry", fleet_query(1, 0, None));
    let sent = replica.take_sent("entry");
    assert_eq!(sent, [Message::NotLeader { leader: None }]);
}

/// Only the entry that got a runner's response knew that it is leaving. Others have to hear of it at
/// once, and a starting entry before the state that makes it ready.
#[test]
fn a_leaving_runner_is_announced_to_all_entries() {
    let mut leader = Leader::start(Vec::new());
    leader.propose(publish(1, "one"));
    for entry in ["entry-0", "entry-1"] {
        leader.receive(entry, fleet_query(1, 0, None));
        leader.take_sent(entry);
    }
    leader.receive("side", fleet_query(1, 1, Some(runner())));
    leader.take_sent("side");
    let runners = vec![LeavingRunner {
        identity: "i-1".into(),
        born_ms: 7,
    }];
    let announced = Message::LeavingRunners(runners);
    leader.receive("entry-0", announced.clone());
    let sent = leader.take_sent("entry-1");
    assert!(sent.len() == 1 && sent[0] == announced, "{sent:?}");
    assert_eq!(leader.take_sent("entry-0"), []);
    assert_eq!(leader.take_sent("side"), []);
    // Other entries saw it too, or repeat it after a new connection.
    leader.receive("entry-1", announced.clone());
    assert_eq!(leader.take_sent("entry-0"), []);

    leader.receive("entry-2", fleet_query(1, 0, None));
    let sent = leader.take_sent("entry-2");
    let told = sent.iter().position(|m| *m == announced);
    let state = sent.iter().position(|m| matches!(m, Message::Fleet(_)));
    assert!(told.is_some() && told < state, "{sent:?}");
}

/// A new leader did not know the runners that had stated to entries that they are leaving.
#[test]
fn a_replica_that_does_not_lead_keeps_leaving_runners() {
    let mut replica = Leader::start(vec!["b".into()]);
    let runners = vec![LeavingRunner {
        identity: "i-1".into(),
        born_ms: 7,
    }];
    replica.receive("entry-0", Message::LeavingRunners(runners.clone()));
    let reply = Message::Raft {
        from: 2,
        to: 0,
        message: Box::new(RaftMessage::JoinReply { empty: true }),
    };
    replica.receive("b", reply);
    replica.advance(2_000);
    replica.receive("entry-1", fleet_query(1, 0, None));
    let sent = replica.take_sent("entry-1");
    assert!(sent.contains(&Message::LeavingRunners(runners)), "{sent:?}");
}

/// A weight order's fencing number is its log index, so that it increases across leaders. Only the
/// runner's own side gets the order.
#[test]
fn named_weights_produce_orders_with_increasing_fencing_numbers() {
    let mut leader = Leader::start(Vec::new());
    leader.propose(publish(1, "one"));
    leader.receive("side", fleet_query(1, 1, Some(runner())));
    leader.receive("entry", fleet_query(1, 1, None));
    leader.receive("side", Message::RunnerLoads(vec![load(1)]));
    let weights = |version| ModelWeights {
        model: "m".into(),
        version,
    };
    let mut fences = Vec::new();
    for version in [2, 3] {
        let command = Command::NameWeights {
            weights: weights(version),
            at_ms: 0,
        };
        leader.propose(command);
        leader.advance(100);
        for message in leader.take_sent("side") {
            if let Message::WeightOrder(order) = message {
                assert_eq!((order.runner, order.weights), (runner(), weights(version)));
                fences.push(order.fence);
            }
        }
    }
    assert_eq!(fences.len(), 2);
    assert!(fences[0] < fences[1]);
    let marked_loading = leader.take_sent("entry").into_iter().any(|m| match m {
        Message::RunnerLoadUpdate(loads) => loads.iter().any(|l| l.reading.loading),
        _ => false,
    });
    assert!(
        marked_loading,
        "entries see the runner as loading before it loads"
    );
    leader.receive("side", Message::RunnerLoads(vec![load(3)]));
    leader.advance(4_000);
    let more = leader
        .take_sent("side")
        .into_iter()
        .filter(|m| matches!(m, Message::WeightOrder(_)));
    assert_eq!(more.count(), 0);
}

#[test]
fn changed_loads_are_pushed_and_a_new_entry_gets_all_loads() {
    let mut leader = Leader::start(Vec::new());
    leader.receive("side", fleet_query(1, 0, Some(runner())));
    leader.receive("side", Message::RunnerLoads(vec![load(1)]));
    leader.receive("entry", fleet_query(1, 0, None));
    let mut table = RunnerLoadTable::default();
    assert_eq!(take_loads(&mut leader, &mut table), vec![load(1)]);
    leader.receive("side", Message::RunnerLoads(vec![load(2)]));
    leader.advance(220);
    assert_eq!(take_loads(&mut leader, &mut table), vec![load(2)]);
    let mut busier = load(2);
    busier.reading.running = 9;
    busier.reading.used_tokens = 70_000;
    leader.receive("side", Message::RunnerLoads(vec![busier.clone()]));
    leader.advance(220);
    assert_eq!(take_loads(&mut leader, &mut table), vec![busier]);
}

/// Returns the runner loads that an entry received since the last call, with the attributes that
/// were sent earlier filled in.
fn take_loads(leader: &mut Leader, table: &mut RunnerLoadTable) -> Vec<RunnerLoad> {
    let sent = leader.take_sent("entry").into_iter();
    let updates = sent.filter_map(|m| match m {
        Message::RunnerLoadUpdate(updates) => Some(updates),
        _ => None,
    });
    updates
        .flat_map(|updates| table.complete(updates))
        .collect()
}

/// Load pattern: a hundred entries receive the loads of two hundred runners five times a second
/// over links of 10 Mbit/s. The target size allows 7 KB per second and entry for control traffic.
#[test]
fn load_update_without_changed_attributes_is_small() {
    let mut leader = Leader::start(Vec::new());
    leader.receive("side", fleet_query(1, 0, Some(runner())));
    leader.receive("side", Message::RunnerLoads(vec![load(1)]));
    leader.receive("entry", fleet_query(1, 0, None));
    leader.advance(220);
    let _sent = leader.take_sent("entry");
    let mut busier = load(1);
    busier.reading.running = 40;
    busier.reading.waiting = 3;
    busier.reading.used_tokens = 70_000;
    leader.receive("side", Message::RunnerLoads(vec![busier]));
    leader.advance(220);
    let sent = leader.take_sent("entry");
    let sizes = sent
        .iter()
        .filter(|m| matches!(m, Message::RunnerLoadUpdate(_)));
    let sizes: Vec<usize> = sizes.map(frame_bytes).collect();
    assert!(matches!(sizes[..], [size] if size <= 28), "{sizes:?}");
}

fn frame_bytes(message: &Message) -> usize {
    let mut buf = BytesMut::new();
    encode_frame(message, &mut buf).expect("a load update fits into a frame");
    buf.len()
}

fn store() -> SocketAddr {
    SocketAddr::from(([172, 20, 0, 1], 80))
}

fn part(n: u32) -> PartKey {
    PartKey {
        salt: "v1".into(),
        part: format!("p{n}").into(),
    }
}

/// Returns a leader whose directory holds 100 parts of one store.
fn leader_with_parts() -> Leader {
    let mut leader = Leader::start(Vec::new());
    let traits = StoreTraits {
        address: store(),
        data_centre: "north".into(),
        cache_tokens: 1_000_000,
        link_mbps: 33_000.0,
        first_ms: 6.0,
        managed: true,
    };
    let endpoint = ServiceEndpoint {
        name: "store".into(),
        health_path: "".into(),
        max_connections: 0,
        engine: None,
        store: Some(traits),
        warm_up: None,
    };
    leader.propose(Command::PublishWhole {
        configuration: Box::new(DeploymentConfiguration {
            version: 1,
            services: vec![endpoint],
            ..DeploymentConfiguration::default()
        }),
        document: Bytes::from_static(b"one"),
        at_ms: 0,
    });
    leader.advance(1_000);
    leader.handle(Input::Store(StoreReport::Listed {
        store: store(),
        epoch: 1,
        clock_ms: 1,
        held: (0..100).map(|n| (part(n), 100)).collect(),
        partial: Vec::new(),
    }));
    leader.advance(400);
    leader
}

/// Reports one more part of the store and lets the directory push it.
fn add_part(leader: &mut Leader, n: u32) {
    leader.handle(Input::Store(StoreReport::Changed {
        store: store(),
        epoch: 1,
        clock_ms: 1,
        events: vec![StoreEvent {
            key: part(n),
            tokens: 100,
            held: true,
        }],
    }));
    leader.advance(80);
}

/// Returns the directory updates sent to an entry since the last call: the number of each, and
/// whether it is a snapshot.
fn take_directory_updates(leader: &mut Leader) -> Vec<(u64, bool)> {
    let sent = leader.take_sent("entry").into_iter();
    let updates = sent.filter_map(|m| match m {
        Message::Directory(update) => Some((update.number, update.from == 0)),
        _ => None,
    });
    updates.collect()
}

fn query_directory(leader: &mut Leader, asked: u64, directory: u64) {
    let query = FleetQuery {
        asked,
        held: 1,
        directory,
        beside: None,
    };
    leader.receive("entry", Message::FleetQuery(query));
}

/// Load pattern: a hundred entries query twice a second while parts are saved continuously, so that
/// many queries cross an update. The failure: each such query got a directory snapshot.
#[test]
fn query_crossing_an_update_gets_no_directory_snapshot() {
    let mut leader = leader_with_parts();
    query_directory(&mut leader, 1, 0);
    let first = take_directory_updates(&mut leader);
    assert!(matches!(first[..], [(_, true)]), "{first:?}");
    let mut held = first[0].0;
    for n in 0..20 {
        add_part(&mut leader, 1_000 + n);
        query_directory(&mut leader, 2 + u64::from(n), held);
        let sent = take_directory_updates(&mut leader);
        assert!(sent.iter().all(|(_, is_snapshot)| !is_snapshot), "{sent:?}");
        held = sent.last().map_or(held, |(number, _)| *number);
    }
}

/// An entry that lost an update recovers even when the directory does not change again.
#[test]
fn entry_that_lost_an_update_gets_the_directory_snapshot() {
    let mut leader = leader_with_parts();
    query_directory(&mut leader, 1, 0);
    let held = take_directory_updates(&mut leader)[0].0;
    add_part(&mut leader, 1_000);
    let _lost = take_directory_updates(&mut leader);
    query_directory(&mut leader, 2, held);
    query_directory(&mut leader, 3, held);
    let sent = take_directory_updates(&mut leader);
    assert!(matches!(sent[..], [(_, true)]), "{sent:?}");
    // An entry that reports no directory gets the snapshot at once.
    query_directory(&mut leader, 4, 0);
    assert!(matches!(
        take_directory_updates(&mut leader)[..],
        [(_, true)]
    ));
}

/// Load pattern: all processes restart, and a hundred entries query the directory at the same time.
/// The failure: each got its own copy, which took more memory than a node may use.
#[test]
fn entries_joining_together_share_one_directory_snapshot() {
    let mut leader = leader_with_parts();
    let joined: Vec<String> = (0..100).map(|n| format!("entry-{n}")).collect();
    for name in &joined {
        let query = FleetQuery {
            asked: 1,
            held: 1,
            directory: 0,
            beside: None,
        };
        leader.receive(name, Message::FleetQuery(query));
    }
    let sent = joined.iter().flat_map(|name| leader.take_sent(name));
    let snapshots: Vec<Arc<DirectoryUpdate>> = sent
        .filter_map(|m| match m {
            Message::Directory(update) => Some(update),
            _ => None,
        })
        .collect();
    assert_eq!(snapshots.len(), 100);
    assert!(snapshots.iter().all(|w| Arc::ptr_eq(w, &snapshots[0])));
}

/// A listed runner of the service that warms up.
fn listed(identity: &str, born_ms: u64, cold_ms: u64) -> RunnerRecord {
    RunnerRecord {
        identity: identity.into(),
        service: "engines".into(),
        address: runner(),
        data_centre: "north".into(),
        slots: 1,
        leaving: false,
        weights: Vec::new(),
        software: None,
        born_ms,
        cold_left: Some(ms(cold_ms)),
    }
}

/// Publishes a configuration whose service warms up, or doesn't.
fn publish_service(leader: &mut Leader, warm_up: Option<WarmUp>) {
    let service = ServiceEndpoint {
        name: "engines".into(),
        health_path: "/healthz".into(),
        max_connections: 0,
        engine: None,
        store: None,
        warm_up,
    };
    let configuration = DeploymentConfiguration {
        version: 1,
        services: vec![service],
        ..DeploymentConfiguration::default()
    };
    let document = Bytes::from_static(b"one");
    let command = Command::publish_deployment(configuration, document);
    assert_eq!(leader.propose(command), CommandResult::Done);
}

/// Returns the kinds of the messages to an entry that matter here, and the rates of cold runners.
fn kinds_and_rates(sent: &[Message]) -> (Vec<&'static str>, Vec<Option<f64>>) {
    let mut rates = Vec::new();
    let kinds = sent.iter().filter_map(|m| match m {
        Message::RunnerWarmUps(warm_ups) => {
            rates.extend(warm_ups.runners.iter().map(|r| r.rate));
            Some("warm-ups")
        }
        Message::Runners(_) => Some("list"),
        Message::Fleet(_) => Some("state"),
        Message::RunnerLoadUpdate(_) => Some("loads"),
        _ => None,
    });
    let kinds = kinds.collect();
    (kinds, rates)
}

/// Guards against an entry that uses a runner before it was told that the runner is cold.
#[test]
fn cold_runners_are_announced_before_the_list_the_loads_and_the_state_that_show_them() {
    let mut leader = Leader::start(Vec::new());
    let warm_up = WarmUp {
        time: ms(3_000),
        requests_per_s: 20.0,
    };
    publish_service(&mut leader, Some(warm_up));
    leader.receive("entry", fleet_query(1, 0, None));
    let sent = leader.take_sent("entry");
    assert_eq!(kinds_and_rates(&sent).0, ["warm-ups", "state"]);
    // The runner of the first list did not start just now.
    leader.handle(Input::WallClock { at_ms: 1_000_000 });

    let rows = vec![listed("a", 5, 2_000)];
    leader.handle(Input::RunnersListed { rows });
    let (kinds, rates) = kinds_and_rates(&leader.take_sent("entry"));
    assert_eq!(kinds.first(), Some(&"warm-ups"));
    assert_eq!(kinds.last(), Some(&"list"));
    assert!(rates.iter().all(|r| *r == Some(20.0)), "{rates:?}");

    // A cold time that decreases is no new list, and its end is announced.
    leader.advance(500);
    let rows = vec![listed("a", 5, 1_500)];
    leader.handle(Input::RunnersListed { rows });
    assert!(kinds_and_rates(&leader.take_sent("entry")).0.is_empty());
    leader.advance(1_600);
    let (kinds, rates) = kinds_and_rates(&leader.take_sent("entry"));
    assert_eq!((kinds, rates), (vec!["warm-ups"], vec![None]));

    // A side's report of another start.
    leader.receive("side", fleet_query(1, 1, Some(runner())));
    let mut restarted = load(1);
    restarted.traits.born_ms = 6;
    leader.receive("side", Message::RunnerLoads(vec![restarted]));
    leader.advance(300);
    let (kinds, rates) = kinds_and_rates(&leader.take_sent("entry"));
    assert_eq!(
        (kinds, rates),
        (vec!["warm-ups", "loads"], vec![Some(20.0)])
    );

    // An entry that is new hears of it before it is ready.
    leader.receive("late", fleet_query(1, 0, None));
    let (kinds, rates) = kinds_and_rates(&leader.take_sent("late"));
    assert_eq!(kinds, ["warm-ups", "warm-ups", "list", "state", "loads"]);
    assert!(rates.iter().all(|r| *r == Some(20.0)), "{rates:?}");
    let (kinds, _) = kinds_and_rates(&leader.take_sent("side"));
    assert!(!kinds.contains(&"warm-ups"), "sides need no rates");
}

/// Guards against new messages in a deployment whose services declare no warm-up.
#[test]
fn a_service_without_a_warm_up_is_announced_as_before() {
    let mut leader = Leader::start(Vec::new());
    publish_service(&mut leader, None);
    leader.receive("entry", fleet_query(1, 0, None));
    for left_ms in [2_000, 1_500, 0] {
        let rows = vec![listed("a", 5, left_ms)];
        leader.handle(Input::RunnersListed { rows });
        leader.advance(500);
    }
    leader.receive("side", fleet_query(1, 1, Some(runner())));
    let mut restarted = load(1);
    restarted.traits.born_ms = 6;
    leader.receive("side", Message::RunnerLoads(vec![restarted]));
    leader.advance(300);
    let (kinds, _) = kinds_and_rates(&leader.take_sent("entry"));
    assert_eq!(kinds, ["state", "list", "loads"]);
}

/// The end of an evacuation leaves runners that nothing was sent to.
#[test]
fn the_runners_of_a_data_centre_can_be_presumed_cold() {
    let mut leader = Leader::start(Vec::new());
    let warm_up = WarmUp {
        time: ms(3_000),
        requests_per_s: 20.0,
    };
    publish_service(&mut leader, Some(warm_up));
    leader.receive("entry", fleet_query(1, 0, None));
    let rows = vec![listed("a", 5, 0)];
    leader.handle(Input::RunnersListed { rows });
    leader.advance(3_000);
    leader.receive("entry", fleet_query(2, 1, None));
    leader.take_sent("entry");
    let now = leader.now;
    let (core, out) = (&mut leader.core, &mut leader.out);
    core.presume_cold(&"north".into(), now, out);
    let (kinds, rates) = kinds_and_rates(&leader.take_sent("entry"));
    assert_eq!((kinds, rates), (vec!["warm-ups"], vec![Some(20.0)]));
}
