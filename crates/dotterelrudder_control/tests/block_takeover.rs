//! Blocks of parts that crash runners, while control instances are lost and elected.

use std::collections::BTreeMap;
use std::time::Duration;

use dotterelrudder_control::ControlCore;
use dotterelrudder_control::ControlSettings;
use dotterelrudder_control::Input;
use dotterelrudder_control::Output;
use dotterelrudder_control::RaftTiming;
use dotterelrudder_control::Recovered;
use dotterelrudder_types::InstanceName;
use dotterelrudder_wire::FleetQuery;
use dotterelrudder_wire::Message;
use dotterelrudder_wire::PartReport;
use dotterelrudder_wire::RunnerLoss;
use dotterelrudder_wire::SharedPart;
use dotterelrudder_wire::MESSAGE_SET;

const ENTRY: &str = "entry";

const fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

fn bad() -> SharedPart {
    SharedPart {
        model: "m".into(),
        id: "bad".into(),
    }
}

/// Control instances on a network without delay, with disks that sync at once.
struct Cluster {
    cores: BTreeMap<InstanceName, ControlCore>,
    /// Instances whose timers stand still.
    stopped: Vec<InstanceName>,
    /// Instances that the others can't reach.
    cut: Vec<InstanceName>,
    to_entry: Vec<(InstanceName, Message)>,
    now: Duration,
}

impl Cluster {
    fn start() -> Self {
        let names: Vec<InstanceName> = ["a", "b", "c"].map(InstanceName::from).to_vec();
        let mut cluster = Self {
            cores: BTreeMap::new(),
            stopped: Vec::new(),
            cut: Vec::new(),
            to_entry: Vec::new(),
            now: ms(0),
        };
        let mut out = Vec::new();
        for (n, name) in names.iter().enumerate() {
            let peers = names.iter().filter(|p| *p != name).cloned().collect();
            let settings = ControlSettings {
                name: name.clone(),
                peers,
                timing: RaftTiming::default(),
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
                    to.clone(),
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

    fn handle(&mut self, name: InstanceName, input: Input) {
        let mut out = Vec::new();
        if let Some(core) = self.cores.get_mut(&name) {
            core.handle(self.now, input, &mut out);
        }
        self.deliver(name, out);
    }

    /// Delivers outputs and what follows from them, in order.
    fn deliver(&mut self, name: InstanceName, outputs: Vec<Output>) {
        let mut due: std::collections::VecDeque<(InstanceName, Output)> =
            outputs.into_iter().map(|o| (name.clone(), o)).collect();
        while let Some((from, output)) = due.pop_front() {
            let (at, input) = match output {
                Output::Send { to, message } if to.as_str() == ENTRY => {
                    self.to_entry.push((from, message));
                    continue;
                }
                Output::Send { to, .. } if self.cut.contains(&to) || self.cut.contains(&from) => {
                    continue;
                }
                Output::Send { to, message } => (to, Input::Message { from, message }),
                Output::Persist { sequence, .. } | Output::Rewrite { sequence, .. } => {
                    (from, Input::Synced { sequence })
                }
                _ => continue,
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
                if !self.stopped.contains(&name) {
                    self.handle(name, Input::Tick);
                }
            }
        }
    }

    /// Returns the instance that leads under a valid lease.
    fn leader(&self) -> Option<InstanceName> {
        let mut leaders = self.cores.iter();
        let leader = leaders.find(|(_, c)| c.holds_leader_lease(self.now));
        leader.map(|(name, _)| name.clone())
    }

    fn receive(&mut self, at: &InstanceName, message: Message) {
        let from = ENTRY.into();
        self.handle(at.clone(), Input::Message { from, message });
    }

    /// Returns the number of blocks in the verdicts that an entry which holds none gets for a report.
    fn blocks_of_report(&mut self, at: &InstanceName) -> Option<usize> {
        self.to_entry.clear();
        self.receive(at, Message::PartReport(PartReport::default()));
        self.to_entry.iter().find_map(|(_, m)| match m {
            Message::PartVerdicts(verdicts) => Some(verdicts.blocks.len()),
            _ => None,
        })
    }

    /// Returns the ids that are blocked by what an instance tells an entry before the state that makes
    /// it ready, and whether the entry drops other blocks then.
    fn blocks_before_ready(&mut self, at: &InstanceName) -> (Vec<String>, bool) {
        self.to_entry.clear();
        let query = FleetQuery {
            asked: 1,
            held: 0,
            directory: 0,
            beside: None,
        };
        self.receive(at, Message::FleetQuery(query));
        let mut held = (Vec::new(), false);
        for (_, message) in &self.to_entry {
            match message {
                Message::PartVerdicts(verdicts) => {
                    let parts = verdicts.blocks.iter().flat_map(|b| &b.parts);
                    held = (
                        parts.map(|p| p.id.to_string()).collect(),
                        verdicts.is_complete,
                    );
                }
                Message::Fleet(_) => return held,
                _ => {}
            }
        }
        panic!("the entry was not made ready: {:?}", self.to_entry);
    }
}

#[test]
fn a_leader_without_memory_learns_blocks_from_control_instances_before_entries_are_ready() {
    let mut cluster = Cluster::start();
    let first = cluster.leader().expect("a leader");
    let others: Vec<InstanceName> = cluster
        .cores
        .keys()
        .filter(|n| **n != first)
        .cloned()
        .collect();
    let [knows, forgets] = &others[..] else {
        panic!("three instances")
    };
    // This one hears of no block, as if it had restarted afterwards.
    cluster.cut = vec![forgets.clone()];
    for n in 0..4 {
        let loss = RunnerLoss {
            runner: format!("r{n}").into(),
            sent_ago: ms(50),
            lost_ago: ms(1),
            requests: vec![vec![bad()]],
        };
        let report = PartReport {
            losses: vec![loss],
            ..PartReport::default()
        };
        cluster.receive(&first, Message::PartReport(report));
        cluster.run_for(200);
    }
    cluster.run_for(1_000);
    assert_eq!(
        cluster.blocks_before_ready(&first),
        (vec!["bad".into()], true)
    );
    cluster.cores.remove(&first);
    cluster.cut.clear();
    cluster.stopped = vec![knows.clone()];
    while cluster.leader().is_none() {
        cluster.run_for(20);
        assert!(cluster.now < ms(60_000), "nobody leads");
    }
    assert_eq!(cluster.leader().as_ref(), Some(forgets));
    assert_eq!(
        cluster.blocks_before_ready(forgets),
        (vec!["bad".into()], false)
    );
    cluster.stopped.clear();
    cluster.run_for(4_000);
    assert_eq!(
        cluster.blocks_of_report(forgets),
        Some(1),
        "after entries and control instances have told what they know"
    );
}
