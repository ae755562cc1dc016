//! Who votes when more replicas join than shall vote.

use std::collections::BTreeMap;
use std::time::Duration;

use dotterelrudder_control::Raft;
use dotterelrudder_control::RaftOutput;
use dotterelrudder_control::RaftTiming;
use dotterelrudder_control::Recovered;
use dotterelrudder_wire::Member;
use dotterelrudder_wire::RaftMessage;

const VOTERS: usize = 3;

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

/// Replicas on a network without delay, whose disks sync at once.
struct Cluster {
    replicas: BTreeMap<u64, Raft>,
    /// The replicas that a joining one knows of; all of them if empty.
    reached: Vec<u64>,
    now: Duration,
}

impl Cluster {
    /// Founds a deployment by replica 1 and lets the others join.
    fn start(ids: &[u64]) -> Self {
        let mut cluster = Self {
            replicas: BTreeMap::new(),
            reached: Vec::new(),
            now: ms(0),
        };
        for id in ids {
            cluster.add(*id);
        }
        let first = cluster.replicas.get_mut(&1).expect("replica 1 is there");
        let founder = Member {
            voter: true,
            ..member(1)
        };
        first.bootstrap(founder, ms(0));
        cluster.pass(6_000);
        cluster
    }

    fn add(&mut self, id: u64) {
        let recovered = Recovered {
            id,
            ..Recovered::default()
        };
        let mut raft = Raft::new(recovered, RaftTiming::default(), id, self.now);
        raft.confirm_as_new();
        raft.set_voters(Some(VOTERS));
        self.replicas.insert(id, raft);
    }

    fn pass(&mut self, millis: u64) {
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
        let reached = self.reached.clone();
        let others = self.replicas.values_mut().filter(|r| r.id() != id);
        for raft in others.filter(|r| reached.is_empty() || reached.contains(&r.id())) {
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
        leaders.max_by_key(|r| r.term()).expect("somebody leads")
    }

    fn voters(&self) -> Vec<u64> {
        let members = self.leader().members().iter();
        let mut ids: Vec<u64> = members.filter(|m| m.voter).map(|m| m.id).collect();
        ids.sort_unstable();
        ids
    }
}

#[test]
fn as_many_vote_as_shall_and_the_rest_waits() {
    let cluster = Cluster::start(&[1, 2, 3, 4]);
    assert_eq!(cluster.voters().len(), VOTERS);
    assert_eq!(cluster.leader().members().len(), 4);
}

/// A replica that is gone for good is replaced by one that waited, so that the next loss is borne
/// as well.
#[test]
fn a_waiting_replica_takes_the_vote_of_a_lost_one() {
    let mut cluster = Cluster::start(&[1, 2, 3, 4]);
    let lost = cluster
        .voters()
        .into_iter()
        .find(|id| *id != cluster.leader().id());
    let lost = lost.expect("others vote besides the leader");
    cluster.replicas.remove(&lost);
    cluster.pass(1_000);
    assert!(cluster.voters().contains(&lost), "a restart is no loss");
    cluster.pass(4_000);
    let voters = cluster.voters();
    assert!(
        voters.len() == VOTERS && !voters.contains(&lost),
        "{voters:?}"
    );
    let next = voters.into_iter().find(|id| *id != cluster.leader().id());
    cluster
        .replicas
        .remove(&next.expect("others vote besides the leader"));
    cluster.pass(2_000);
    assert!(cluster.leader().holds_leader_lease(cluster.now));
}

/// Without a waiting replica the lost one keeps its vote, and comes back with it.
#[test]
fn nobody_is_removed_while_nobody_waits() {
    let mut cluster = Cluster::start(&[1, 2, 3]);
    let lost = cluster
        .voters()
        .into_iter()
        .find(|id| *id != cluster.leader().id());
    cluster
        .replicas
        .remove(&lost.expect("others vote besides the leader"));
    cluster.pass(8_000);
    assert_eq!(cluster.voters(), [1, 2, 3]);
}

/// A replica whose disk was lost knows the seeds only, and none of them may lead.
#[test]
fn a_replica_joins_through_one_that_doesn_t_lead() {
    let mut cluster = Cluster::start(&[1, 2]);
    let leader = cluster.leader().id();
    cluster.reached = vec![3 - leader];
    cluster.add(3);
    cluster.pass(2_000);
    assert_eq!(cluster.voters(), [1, 2, 3]);
}
