//! Disks that are full for some seconds, one after the other: changes go on meanwhile, and every instance
//! takes part again once its disk has room.

mod support;

use std::time::Duration;

use dotterelrudder_control::Input;
use dotterelrudder_types::InstanceName;
use dotterelrudder_wire::Command;
use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use support::cluster::Cluster;
use support::cluster::CONTACT;
use support::cluster::TICK;

const SEEDS: u64 = 40;
/// How often a change is sent, each time to the next instance.
const CHANGE_EVERY: u64 = 5;
/// The bound for the answer to a change, without an election.
const ANSWERED: Duration = Duration::from_secs(1);

/// Sends changes to the instances in turn for a time; returns their tags.
fn change(cluster: &mut Cluster, time: Duration, next: &mut u64) -> Vec<u64> {
    let until = cluster.now + time;
    let mut tags = Vec::new();
    while cluster.now < until {
        *next += 1;
        if next.is_multiple_of(CHANGE_EVERY) {
            let names: Vec<InstanceName> = cluster.instances.keys().cloned().collect();
            let of = &names[(*next / CHANGE_EVERY) as usize % names.len()];
            let (tag, command) = (*next, Command::Noop);
            cluster.handle(of, Input::Propose { tag, command });
            tags.push(tag);
        }
        cluster.run(TICK);
    }
    tags
}

// Changes stayed unanswered long after the last full disk had room again.
#[test]
fn changes_stay_unanswered_after_full_disks() {
    for seed in 0..SEEDS {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut cluster = Cluster::new();
        cluster.order = Some(ChaCha8Rng::seed_from_u64(seed));
        let mut next = 0;
        for _ in 0..rng.random_range(2..7) {
            let of = match rng.random_bool(0.5) {
                true => cluster.leading_instance(),
                false => cluster.follower(),
            };
            cluster.set_full(&of, true);
            let restarts = rng.random_bool(0.3);
            let full_for = Duration::from_millis(rng.random_range(3_000..6_000));
            let tags = change(&mut cluster, full_for / 2, &mut next);
            cluster.run(ANSWERED);
            let missing = tags.iter().filter(|t| !cluster.answered.contains(t));
            assert_eq!(missing.count(), 0, "seed {seed}: beside the disk of {of}");
            if restarts {
                cluster.kill(&of);
                cluster.start(&of);
            }
            change(&mut cluster, full_for / 2, &mut next);
            cluster.set_full(&of, false);
            change(&mut cluster, CONTACT, &mut next);
        }
        let tags = change(&mut cluster, ANSWERED, &mut next);
        cluster.run(ANSWERED);
        let missing = tags.iter().filter(|t| !cluster.answered.contains(t));
        assert_eq!(missing.count(), 0, "seed {seed}: {}", cluster.describe());
        assert_eq!(cluster.fault(), None, "seed {seed}: {}", cluster.describe());
        let mut cores = cluster.instances.values().filter_map(|i| i.core.as_ref());
        assert!(
            cores.all(|c| c.is_fresh(cluster.now)),
            "seed {seed}: {}",
            cluster.describe()
        );
    }
}
