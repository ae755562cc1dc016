//! What the leading control instance tells the processes that follow it.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use dotterelrudder_config::whole::CallerLimits;
use dotterelrudder_config::whole::WholeConfiguration;
use dotterelrudder_control::ControlCore;
use dotterelrudder_control::ControlSettings;
use dotterelrudder_control::Input;
use dotterelrudder_control::Output;
use dotterelrudder_control::RaftTiming;
use dotterelrudder_control::Recovered;
use dotterelrudder_types::InstanceName;
use dotterelrudder_wire::Command;
use dotterelrudder_wire::CommandResult;
use dotterelrudder_wire::FleetView;
use dotterelrudder_wire::Follow;
use dotterelrudder_wire::Message;
use dotterelrudder_wire::ModelWeights;
use dotterelrudder_wire::RunnerLoad;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn runner() -> SocketAddr {
    SocketAddr::from(([10, 0, 0, 1], 80))
}

/// One replica whose records are synced at once.
struct Leader {
    core: ControlCore,
    out: Vec<Output>,
    now: Duration,
    tag: u64,
}

impl Leader {
    /// Founds a deployment of one replica, or waits for others when there are peers.
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
        leader.settle();
        leader.pass(2_000);
        leader
    }

    fn settle(&mut self) {
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

    fn give(&mut self, input: Input) {
        self.core.handle(self.now, input, &mut self.out);
        self.settle();
    }

    fn pass(&mut self, millis: u64) {
        for _ in 0..millis / 20 {
            self.now += ms(20);
            self.give(Input::Tick);
        }
    }

    fn hear(&mut self, from: &str, message: Message) {
        let from = from.into();
        self.give(Input::Message { from, message });
    }

    fn propose(&mut self, command: Command) -> CommandResult {
        self.tag += 1;
        let tag = self.tag;
        self.give(Input::Propose { tag, command });
        let answers = self.out.iter().filter_map(|o| match o {
            Output::Answer { tag: t, result } if *t == tag => Some(result.clone()),
            _ => None,
        });
        answers
            .last()
            .expect("a proposal of the only replica is answered")
    }

    fn told(&mut self, to: &str) -> Vec<Message> {
        let mut told = Vec::new();
        self.out.retain(|o| match o {
            Output::Send { to: t, message } if t.as_str() == to => {
                told.push(message.clone());
                false
            }
            _ => true,
        });
        told
    }

    fn view(&mut self, to: &str) -> Option<FleetView> {
        let views = self.told(to).into_iter().filter_map(|m| match m {
            Message::Fleet(view) => Some(*view),
            _ => None,
        });
        views.last()
    }
}

fn publish(version: u64, document: &'static str) -> Command {
    Command::PublishWhole {
        configuration: Box::new(WholeConfiguration {
            version,
            limits: CallerLimits::default(),
            ..WholeConfiguration::default()
        }),
        document: Bytes::from_static(document.as_bytes()),
        at_ms: 0,
    }
}

fn follow(asked: u64, held: u64, beside: Option<SocketAddr>) -> Message {
    Message::Follow(Follow {
        asked,
        held,
        directory: 0,
        beside,
    })
}

fn load(version: u64) -> RunnerLoad {
    RunnerLoad {
        address: runner(),
        born_ms: 1,
        answers: true,
        leaving: false,
        loading: false,
        waiting: 0,
        running: 0,
        used_tokens: 0,
        total_tokens: 1,
        weights: vec![ModelWeights {
            model: "m".into(),
            version,
        }],
    }
}

#[test]
fn the_highest_version_is_in_force_and_resends_change_nothing() {
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
fn a_follower_is_told_what_it_lacks_and_of_changes_at_once() {
    let mut leader = Leader::start(Vec::new());
    leader.propose(publish(1, "one"));
    leader.hear("entry", follow(5, 0, None));
    let view = leader.view("entry").expect("a leader answers");
    assert_eq!((view.asked, view.version, view.entries), (5, 1, 1));
    assert!(view.configuration.is_some());
    leader.hear("entry", follow(6, 1, None));
    assert!(leader
        .view("entry")
        .expect("a leader answers")
        .configuration
        .is_none());
    leader.propose(publish(2, "two"));
    let news = leader.view("entry").expect("changes come unasked");
    // It is as old as the last question, so that it confirms no more than that.
    assert_eq!((news.asked, news.version), (6, 2));
    assert!(news.configuration.is_some());
}

#[test]
fn a_replica_that_doesn_t_lead_confirms_nothing() {
    let mut replica = Leader::start(vec!["b".into(), "c".into()]);
    replica.hear("entry", follow(1, 0, None));
    let told = replica.told("entry");
    assert_eq!(told, [Message::FollowElsewhere { leader: None }]);
}

/// An order's fencing number is the index under which it was logged, so that it grows whoever
/// leads, and only the side beside the runner gets it.
#[test]
fn named_weights_lead_to_an_order_with_a_growing_fence() {
    let mut leader = Leader::start(Vec::new());
    leader.propose(publish(1, "one"));
    leader.hear("side", follow(1, 1, Some(runner())));
    leader.hear("entry", follow(1, 1, None));
    leader.hear("side", Message::RunnerLoads(vec![load(1)]));
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
        leader.pass(100);
        for message in leader.told("side") {
            if let Message::WeightOrder(order) = message {
                assert_eq!((order.runner, order.weights), (runner(), weights(version)));
                fences.push(order.fence);
            }
        }
    }
    assert_eq!(fences.len(), 2);
    assert!(fences[0] < fences[1]);
    let spared = leader.told("entry").into_iter().any(|m| match m {
        Message::RunnerLoads(loads) => loads.iter().any(|l| l.loading),
        _ => false,
    });
    assert!(spared, "entries are told before the runner loads");
    leader.hear("side", Message::RunnerLoads(vec![load(3)]));
    leader.pass(4_000);
    let more = leader
        .told("side")
        .into_iter()
        .filter(|m| matches!(m, Message::WeightOrder(_)));
    assert_eq!(more.count(), 0);
}

#[test]
fn loads_reach_entries_and_a_new_entry_gets_all() {
    let mut leader = Leader::start(Vec::new());
    leader.hear("side", follow(1, 0, Some(runner())));
    leader.hear("side", Message::RunnerLoads(vec![load(1)]));
    leader.hear("entry", follow(1, 0, None));
    let told = leader.told("entry");
    assert!(
        told.contains(&Message::RunnerLoads(vec![load(1)])),
        "{told:?}"
    );
    leader.hear("side", Message::RunnerLoads(vec![load(2)]));
    leader.pass(220);
    assert!(leader
        .told("entry")
        .contains(&Message::RunnerLoads(vec![load(2)])));
}
