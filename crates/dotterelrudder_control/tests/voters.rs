//! Selection of the voters when more replicas join than the target number of voters.

use std::collections::BTreeMap;
use std::time::Duration;

use dotterelrudder_control::Raft;
use dotterelrudder_control::RaftOutput;
use dotterelrudder_control::RaftTiming;
use dotterelrudder_control::Recovered;
use dotterelrudder_wire::Command;
use dotterelrudder_wire::LogEntry;
use dotterelrudder_wire::Member;
use dotterelrudder_wire::RaftMessage;

const TARGET_VOTERS: usize = 3;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn member(id: u64) -> Member {
    Member {
        id,
        instance: format!("10.0.0.{id}:7580").as_str().into(),
        voter: false,
    }
}

/// Simulated replicas on a network without delay, with disks that sync at once.
struct Cluster {
    replicas: BTreeMap<u64, Raft>,
    /// The replicas to which a joining replica sends its request; all of them if empty.
    join_targets: Vec<u64>,
    now: Duration,
}

impl Cluster {
    /// Founds a deployment with replica 1 and runs it for 6 s, so that the other replicas join.
    fn start(ids: &[u64]) -> Self {
        let mut cluster = Self {
            replicas: BTreeMap::new(),
            join_targets: Vec::new(),
            now: ms(0),
        };
        for id in ids {
            cluster.add(*id);
        }
        let first = cluster.replicas.get_mut(&1).expect("replica 1 exists");
        let founder = Member {
            voter: true,
            ..member(1)
        };
        first.bootstrap(founder, ms(0));
        cluster.run_for(6_000);
        cluster
    }

    fn add(&mut self, id: u64) {
        let recovered = Recovered {
            id,
            ..Recovered::default()
        };
        let mut raft = Raft::new(recovered, RaftTiming::default(), id, self.now);
        raft.confirm_as_new();
        raft.set_voters(Some(TARGET_VOTERS));
        self.replicas.insert(id, raft);
    }

    fn run_for(&mut self, millis: u64) {
        for _ in 0..millis / 20 {
            self.now += ms(20);
            let ids: Vec<u64> = self.replicas.keys().copied().collect();
            for id in ids {
                self.join_if_needed(id);
                if let Some(raft) = self.replicas.get_mut(&id) {
                    raft.tick(self.now);
                }
            }
            self.deliver();
        }
    }

    fn join_if_needed(&mut self, id: u64) {
        let known = self.replicas[&id].members().iter().any(|m| m.id == id);
        if known {
            return;
        }
        let join_targets = self.join_targets.clone();
        let others = self.replicas.values_mut().filter(|r| r.id() != id);
        for raft in others.filter(|r| join_targets.is_empty() || join_targets.contains(&r.id())) {
            let join = RaftMessage::Join { member: member(id) };
            raft.receive(id, join, self.now);
        }
    }

    fn deliver(&mut self) {
        loop {
            let mut sent = Vec::new();
            for (id, raft) in &mut self.replicas {
                let mut outputs = raft.take_outputs();
                raft.synced(raft.persist_sequence());
                outputs.extend(raft.take_outputs());
                for output in outputs {
                    if let RaftOutput::Send { to, message } = output {
                        sent.push((*id, to, message));
                    }
                }
            }
            if sent.is_empty() {
                return;
            }
            for (from, to, message) in sent {
                if let Some(raft) = self.replicas.get_mut(&to) {
                    raft.receive(from, message, self.now);
                }
            }
        }
    }

    fn leader(&self) -> &Raft {
        let leaders = self.replicas.values().filter(|r| r.is_leader());
        leaders
            .max_by_key(|r| r.term())
            .expect("the cluster has a leader")
    }

    fn voters(&self) -> Vec<u64> {
        let members = self.leader().members().iter();
        let mut ids: Vec<u64> = members.filter(|m| m.voter).map(|m| m.id).collect();
        ids.sort_unstable();
        ids
    }
}

#[test]
fn replicas_beyond_the_target_stay_learners() {
    let cluster = Cluster::start(&[1, 2, 3, 4]);
    assert_eq!(cluster.voters().len(), TARGET_VOTERS);
    assert_eq!(cluster.leader().members().len(), 4);
}

/// After the permanent loss of a voter, a learner must become a voter: otherwise the loss of a
/// second voter would leave the cluster without a quorum.
#[test]
fn a_learner_replaces_a_lost_voter() {
    let mut cluster = Cluster::start(&[1, 2, 3, 4]);
    let lost = cluster
        .voters()
        .into_iter()
        .find(|id| *id != cluster.leader().id());
    let lost = lost.expect("a voter besides the leader");
    cluster.replicas.remove(&lost);
    cluster.run_for(1_000);
    let is_member = cluster.leader().members().iter().any(|m| m.id == lost);
    assert!(
        is_member && !cluster.voters().contains(&lost),
        "a voter was removed before it could restart, or kept its vote"
    );
    cluster.run_for(4_000);
    let voters = cluster.voters();
    assert!(
        voters.len() == TARGET_VOTERS && !voters.contains(&lost),
        "{voters:?}"
    );
    let next = voters.into_iter().find(|id| *id != cluster.leader().id());
    cluster
        .replicas
        .remove(&next.expect("a voter besides the leader"));
    cluster.run_for(2_000);
    assert!(cluster.leader().holds_leader_lease(cluster.now));
}

/// Without a learner to replace it, a lost voter must stay a voter, so that it votes again when it
/// returns.
#[test]
fn a_lost_voter_stays_if_no_learner_can_replace_it() {
    let mut cluster = Cluster::start(&[1, 2, 3]);
    let lost = cluster
        .voters()
        .into_iter()
        .find(|id| *id != cluster.leader().id());
    cluster
        .replicas
        .remove(&lost.expect("a voter besides the leader"));
    cluster.run_for(8_000);
    assert_eq!(cluster.voters(), [1, 2, 3]);
}

/// A replica that lost its disk knows only the seeds, and possibly none of them leads. A follower
/// must then forward the join request to the leader.
#[test]
fn a_replica_joins_through_a_follower() {
    let mut cluster = Cluster::start(&[1, 2]);
    let leader = cluster.leader().id();
    cluster.join_targets = vec![3 - leader];
    cluster.add(3);
    cluster.run_for(2_000);
    assert_eq!(cluster.voters(), [1, 2, 3]);
}

// A follower whose newest change of members was dropped by the next leader still obeyed that change.
#[test]
fn a_dropped_change_of_members_stays_in_force() {
    let recovered = Recovered {
        id: 2,
        ..Recovered::default()
    };
    let mut raft = Raft::new(recovered, RaftTiming::default(), 2, ms(0));
    raft.confirm_as_new();
    let members = |ids: &[u64]| Command::Members {
        members: ids
            .iter()
            .map(|id| Member {
                voter: true,
                ..member(*id)
            })
            .collect(),
    };
    let append = |term, index, command| RaftMessage::Append {
        term,
        prev_index: index - 1,
        prev_term: u64::from(index > 1),
        entries: vec![LogEntry {
            term,
            index,
            command,
        }],
        commit: 0,
        round: 1,
    };
    raft.receive(1, append(1, 1, members(&[1, 2, 3])), ms(10));
    raft.receive(1, append(1, 2, members(&[1, 2])), ms(20));
    assert_eq!(raft.voter_count(), 2);
    raft.receive(3, append(2, 2, Command::Noop), ms(30));
    assert_eq!(raft.voter_count(), 3);
}
