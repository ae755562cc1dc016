//! Replicas that were removed from the voters while they were frozen, stopped or cut off.

mod support;

use std::time::Duration;

use dotterelrudder_types::InstanceName;
use rand::seq::IndexedRandom;
use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use support::cluster::name;
use support::cluster::Cluster;
use support::cluster::CATCH_UP;
use support::cluster::CONTACT;
use support::cluster::LOST_VOTER;

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
