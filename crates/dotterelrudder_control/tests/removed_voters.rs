//! Replicas that were removed from the voters while they were frozen, stopped or cut off.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use dotterelrudder_control::read_journal;
use dotterelrudder_control::ControlCore;
use dotterelrudder_control::ControlSettings;
use dotterelrudder_control::Input;
use dotterelrudder_control::Output;
use dotterelrudder_control::RaftTiming;
use dotterelrudder_types::InstanceName;
use dotterelrudder_wire::Message;
use rand::seq::IndexedRandom;
use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

const TARGET_VOTERS: usize = 3;
const TICK: Duration = Duration::from_millis(20);
/// The time after which a returned or added instance no longer counts as lost.
const CATCH_UP: Duration = Duration::from_secs(4);
/// The time that the remaining replicas have to elect a leader after a loss.
const CONTACT: Duration = Duration::from_secs(3);
/// The shortest silence after which a voter may be replaced.
const LOST_VOTER: Duration = Duration::from_secs(3);

/// An instance with its disk; without a core it is stopped.
#[derive(Default)]
struct Instance {
    core: Option<ControlCore>,
    disk: Vec<u8>,
    starts: u64,
    frozen: bool,
    inbox: Vec<(InstanceName, Message)>,
}

/// Control instances on a network without delay, with disks that sync at once.
struct Cluster {
    instances: BTreeMap<InstanceName, Instance>,
    cut: BTreeSet<(InstanceName, InstanceName)>,
    now: Duration,
    added: usize,
}

fn name(number: usize) -> InstanceName {
    format!("control-{number}").as_str().into()
}

impl Cluster {
    fn new() -> Self {
        let mut cluster = Self {
            instances: BTreeMap::new(),
            cut: BTreeSet::new(),
            now: Duration::ZERO,
            added: 0,
        };
        for _ in 0..TARGET_VOTERS {
            cluster.add();
        }
        cluster.run(CATCH_UP + CONTACT);
        assert_eq!(cluster.voters().len(), TARGET_VOTERS);
        cluster
    }

    /// Starts a new instance with an empty disk.
    fn add(&mut self) -> InstanceName {
        let added = name(self.added);
        self.added += 1;
        self.instances.insert(added.clone(), Instance::default());
        if self.added >= TARGET_VOTERS && self.now == Duration::ZERO {
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

    fn start(&mut self, of: &InstanceName) {
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
            voters: Some(TARGET_VOTERS),
        };
        let seed = blake3::hash(format!("{of}{}", instance.starts).as_bytes());
        let seed = u64::from_le_bytes(*seed.as_bytes().first_chunk().expect("32 bytes"));
        let mut out = Vec::new();
        let recovered = read_journal(&instance.disk);
        let core = ControlCore::new(settings, recovered, seed, now, &mut out);
        instance.core = Some(core);
        self.carry_out(of, out);
    }

    fn handle(&mut self, of: &InstanceName, input: Input) {
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
        let mut synced = None;
        for output in out {
            match output {
                Output::Persist { sequence, record } => {
                    let instance = self.instances.get_mut(of).expect("an instance");
                    record.encode(&mut instance.disk);
                    synced = Some(sequence);
                }
                Output::Rewrite { sequence, records } => {
                    let instance = self.instances.get_mut(of).expect("an instance");
                    instance.disk.clear();
                    for record in records {
                        record.encode(&mut instance.disk);
                    }
                    synced = Some(sequence);
                }
                Output::Send { to, message } => {
                    let is_cut = self.cut.contains(&(of.clone(), to.clone()));
                    let receiver = self.instances.get_mut(&to);
                    if let Some(receiver) = receiver.filter(|r| r.core.is_some() && !is_cut) {
                        receiver.inbox.push((of.clone(), message));
                    }
                }
                _ => {}
            }
        }
        if let Some(sequence) = synced {
            self.handle(of, Input::Synced { sequence });
        }
    }

    fn run(&mut self, time: Duration) {
        let until = self.now + time;
        while self.now < until {
            self.now += TICK;
            for of in self.instances.keys().cloned().collect::<Vec<_>>() {
                let instance = self.instances.get_mut(&of).expect("an instance");
                if instance.frozen {
                    // A frozen process loses its connections, and what was sent over them.
                    instance.inbox.clear();
                    continue;
                }
                for (from, message) in std::mem::take(&mut instance.inbox) {
                    self.handle(&of, Input::Message { from, message });
                }
                self.handle(&of, Input::Tick);
            }
        }
    }

    fn freeze(&mut self, of: &InstanceName, frozen: bool) {
        self.instances.get_mut(of).expect("an instance").frozen = frozen;
    }

    /// Ends the process; the disk stays.
    fn kill(&mut self, of: &InstanceName) {
        let instance = self.instances.get_mut(of).expect("an instance");
        (instance.core, instance.frozen) = (None, false);
    }

    /// Removes the instance for good.
    fn remove(&mut self, of: &InstanceName) {
        self.instances.remove(of);
        self.list_peers();
    }

    fn cut_off(&mut self, of: &InstanceName) {
        for other in self.peers_of(of) {
            self.cut.insert((of.clone(), other.clone()));
            self.cut.insert((other, of.clone()));
        }
    }

    fn leader(&self) -> Option<&ControlCore> {
        let running = self.instances.values().filter(|i| !i.frozen);
        let mut cores = running.filter_map(|i| i.core.as_ref());
        cores.find(|c| c.raft().holds_leader_lease(self.now))
    }

    fn voters(&self) -> Vec<InstanceName> {
        let members = self.leader().expect("a leader").raft().members().iter();
        let voters = members.filter(|m| m.voter);
        voters.map(|m| m.instance.clone()).collect()
    }

    fn follower(&self) -> InstanceName {
        let leader = self.leader().expect("a leader").raft().id();
        let members = self.leader().expect("a leader").raft().members().iter();
        let mut others = members.filter(|m| m.voter && m.id != leader);
        others.next().expect("a second voter").instance.clone()
    }

    fn leading_instance(&self) -> InstanceName {
        let leader = self.leader().expect("a leader");
        leader.leader_instance().expect("a leader knows its name")
    }

    fn others_than(&self, not: &[&InstanceName]) -> Vec<InstanceName> {
        let names = self.instances.keys().filter(|n| !not.contains(n));
        names.cloned().collect()
    }

    fn describe(&self) -> String {
        let of = |(name, i): (&InstanceName, &Instance)| {
            let status = i.core.as_ref().map(|c| c.status(self.now));
            format!("{name} frozen={} {status:?}\n", i.frozen)
        };
        self.instances.iter().map(of).collect()
    }
}

/// Has `frozen` removed in favour of a waiting successor of `leaving`, which then leaves. The last
/// voter of the first three is lost afterwards.
fn replace_beside_pause(cluster: &mut Cluster, paused: &InstanceName, leaving: &InstanceName) {
    cluster.add();
    cluster.run(CATCH_UP);
    cluster.freeze(paused, true);
    cluster.run(Duration::from_secs(4));
    cluster.freeze(paused, false);
    cluster.run(CATCH_UP);
    cluster.remove(leaving);
    cluster.run(CATCH_UP + CONTACT);
    let lost = cluster.others_than(&[paused, &name(3)]);
    cluster.kill(&lost[0]);
    cluster.run(CONTACT);
}

/// A voter that was removed while it was frozen takes part again after it woke up.
#[test]
fn a_voter_removed_while_frozen_never_returns() {
    let mut cluster = Cluster::new();
    let paused = cluster.follower();
    let leaving = cluster.others_than(&[&paused, &cluster.leading_instance()]);
    replace_beside_pause(&mut cluster, &paused, &leaving[0]);
    assert!(cluster.leader().is_some(), "{}", cluster.describe());
}

/// The same for a leader that froze, and whose successor removed it.
#[test]
fn a_leader_removed_while_frozen_never_returns() {
    let mut cluster = Cluster::new();
    let paused = cluster.leading_instance();
    let leaving = cluster.others_than(&[&paused]);
    replace_beside_pause(&mut cluster, &paused, &leaving[0]);
    assert!(cluster.leader().is_some(), "{}", cluster.describe());
}

/// A removed voter whose process restarted finds only a part of the voters that its log names.
#[test]
fn a_removed_voter_that_restarts_waits_for_voters_that_are_gone() {
    let mut cluster = Cluster::new();
    let away = cluster.follower();
    cluster.add();
    cluster.run(CATCH_UP);
    cluster.kill(&away);
    cluster.run(LOST_VOTER + CATCH_UP);
    assert!(!cluster.voters().contains(&away));
    for leaving in cluster.others_than(&[&away, &name(3)]) {
        cluster.add();
        cluster.run(CATCH_UP);
        cluster.remove(&leaving);
        cluster.run(CATCH_UP + CONTACT);
    }
    cluster.start(&away);
    cluster.run(CATCH_UP);
    let members = cluster.leader().expect("a leader").raft().members();
    let returned = cluster.instances[&away].core.as_ref().expect("it runs");
    let id = returned.raft().id();
    assert!(
        members.iter().any(|m| m.id == id) && returned.is_fresh(cluster.now),
        "{}",
        cluster.describe()
    );
}

/// A voter that is frozen is not removed in favour of a learner that has stopped.
#[test]
fn a_frozen_voter_is_removed_for_a_learner_that_is_gone() {
    let mut cluster = Cluster::new();
    let learner = cluster.add();
    cluster.run(CATCH_UP);
    cluster.remove(&learner);
    cluster.run(LOST_VOTER + CONTACT);
    let paused = cluster.follower();
    cluster.freeze(&paused, true);
    cluster.run(CATCH_UP);
    assert!(cluster.voters().contains(&paused), "{}", cluster.describe());
}

/// One loss at a time, with time to catch up after each: the instances left always elect a leader.
fn walk(seed: u64) -> Result<(), String> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut cluster = Cluster::new();
    let mut history = Vec::new();
    for _ in 0..8 {
        let names: Vec<InstanceName> = cluster.instances.keys().cloned().collect();
        let chosen = names.choose(&mut rng).expect("instances").clone();
        let pause = Duration::from_millis(rng.random_range(500..8_000));
        let kind = rng.random_range(0..6);
        history.push(format!("{kind} {chosen} {pause:?}"));
        let successor = rng.random_bool(0.5).then(|| cluster.add());
        if successor.is_some() {
            cluster.run(CATCH_UP);
        }
        match kind {
            0 | 1 => cluster.freeze(&chosen, true),
            2 => cluster.kill(&chosen),
            3 => {
                cluster.kill(&chosen);
                cluster.instances.get_mut(&chosen).expect("it").disk.clear();
            }
            4 => cluster.cut_off(&chosen),
            _ => {}
        }
        cluster.run(pause);
        let is_live = cluster.leader().is_some() || pause < CONTACT;
        match kind {
            0 | 1 => cluster.freeze(&chosen, false),
            2 | 3 => cluster.start(&chosen),
            4 => cluster.cut.clear(),
            _ => {}
        }
        cluster.run(CATCH_UP);
        // A planned replacement ends with the stop of the instance that is replaced.
        if let Some(successor) = &successor {
            let leaving = cluster.others_than(&[&chosen, successor]);
            let leaving = leaving.choose(&mut rng).expect("another").clone();
            history.push(format!("leaves {leaving}"));
            cluster.remove(&leaving);
            cluster.run(CATCH_UP + CONTACT);
        }
        if !is_live || cluster.leader().is_none() {
            return Err(format!(
                "seed {seed}: no leader after {history:?}\n{}",
                cluster.describe()
            ));
        }
    }
    Ok(())
}

/// Freezes, cuts, restarts, lost disks and planned replacements, one at a time, leave a quorum.
#[test]
fn single_losses_beside_replacements_end_the_quorum() {
    let seeds = std::env::var("WALK_SEEDS")
        .ok()
        .and_then(|s| s.parse().ok());
    let failed: Vec<String> = (0..seeds.unwrap_or(60))
        .filter_map(|seed| walk(seed).err())
        .collect();
    assert!(failed.is_empty(), "{} failed, {}", failed.len(), failed[0]);
}
