//! Planned stops, replacements and losses that follow each other shortly: once all instances are
//! back, there is a leader that holds everything that was committed.

mod support;

use std::time::Duration;

use dotterelrudder_types::InstanceName;
use rand::seq::SliceRandom;
use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use support::cluster::name;
use support::cluster::AfterStop;
use support::cluster::Cluster;
use support::cluster::CATCH_UP;
use support::cluster::TARGET_VOTERS;
use support::cluster::TICK;

/// The time after the last return in which the deployment recovers, and returns to its usual voters.
const RECOVER: Duration = Duration::from_secs(12);
const SEEDS: u64 = 150;
/// Seeds that failed: a learner that was about to stop was promoted by a new leader that did not know.
const REGRESSIONS: &[u64] = &[6603, 6927];

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Runs until the stops and starts are over and the deployment had its time to recover.
fn settle(cluster: &mut Cluster) {
    while cluster.is_busy() {
        cluster.run(TICK);
    }
    cluster.run(RECOVER);
}

fn assert_sound(cluster: &Cluster) {
    assert_eq!(cluster.fault(), None, "{}", cluster.describe());
}

/// Starts three instances and some spare ones, which have caught up.
fn with_spares(spares: usize) -> Cluster {
    let mut cluster = Cluster::new();
    for _ in 0..spares {
        cluster.add();
    }
    cluster.run(CATCH_UP + ms(2_000));
    cluster
}

// A replaced instance ended with its vote, and the loss of a disk after it ended control for good.
#[test]
fn a_lost_disk_after_a_planned_replacement_ends_the_quorum() {
    for leads in [true, false] {
        let mut cluster = with_spares(1);
        let leader = cluster.leading_instance();
        let (leaving, lost) = match leads {
            true => (leader, cluster.follower()),
            false => (cluster.follower(), leader),
        };
        cluster.stop(&leaving, AfterStop::Removed);
        while cluster.instances.contains_key(&leaving) {
            cluster.run(TICK);
        }
        cluster.run(ms(500));
        cluster.lose_disk(&lost, ms(1_000));
        settle(&mut cluster);
        assert_sound(&cluster);
    }
}

// Two instances that were replaced shortly after each other ended with their votes.
#[test]
fn two_planned_replacements_shortly_after_each_other_end_the_quorum() {
    for pause in [0, 20, 300, 500, 1_000, 3_000] {
        let mut cluster = with_spares(2);
        cluster.stop(&name(2), AfterStop::Removed);
        cluster.run(ms(pause));
        cluster.stop(&name(1), AfterStop::Removed);
        settle(&mut cluster);
        assert_sound(&cluster);
    }
}

// An instance that restarted as planned left its vote to the spare one, one instance after the other.
#[test]
fn votes_wander_at_rolling_restarts() {
    let mut cluster = with_spares(1);
    let before = cluster.voters();
    for _ in 0..2 {
        for number in 0..=TARGET_VOTERS {
            let restarted = name(number);
            cluster.stop(&restarted, AfterStop::Starts(ms(800)));
            settle(&mut cluster);
            assert_sound(&cluster);
        }
    }
    assert_eq!(cluster.voters(), before);
}

// Without a quorum a planned stop waited without end, and with no learner it waited for one.
#[test]
fn planned_stops_end_where_nobody_can_take_the_vote() {
    for spares in [0, 1] {
        let mut cluster = with_spares(spares);
        let others = cluster.others_than(&[&name(2)]);
        others.iter().for_each(|o| cluster.kill(o));
        cluster.stop(&name(2), AfterStop::Starts(ms(10_000)));
        cluster.run(ms(5_400));
        assert!(cluster.instances[&name(2)].core.is_none());
        others.iter().for_each(|o| cluster.start(o));
        settle(&mut cluster);
        assert_sound(&cluster);
    }
}

// A silent voter was removed before the spare that was to replace it, which was gone, had its vote.
#[test]
fn a_lost_disk_while_a_voter_and_the_spare_are_away_ends_the_quorum() {
    for second in [500, 1_500, 2_000, 2_900, 3_000, 3_020, 3_100, 4_000] {
        let mut cluster = with_spares(1);
        let lost = cluster.follower();
        let away = cluster.others_than(&[&lost, &cluster.leading_instance(), &name(3)]);
        cluster.lose_power(&away[0], ms(8_000));
        cluster.run(ms(second));
        cluster.lose_power(&name(3), ms(8_000 - second));
        cluster.run(ms(6_000 - second));
        cluster.lose_disk(&lost, ms(1_000));
        settle(&mut cluster);
        assert_sound(&cluster);
    }
}

// A leader without contact to the others obeyed a change of members that nobody else could confirm.
#[test]
fn a_leader_without_a_quorum_removes_the_voter_that_returns() {
    for until_lost in (2_400..3_100).step_by(20) {
        let mut cluster = with_spares(1);
        let lost = cluster.follower();
        let away = cluster.others_than(&[&lost, &cluster.leading_instance(), &name(3)]);
        cluster.lose_power(&away[0], ms(3_300));
        cluster.run(ms(1_000));
        cluster.lose_power(&name(3), ms(9_000));
        cluster.run(ms(until_lost - 1_000));
        cluster.lose_disk(&lost, ms(1_000));
        settle(&mut cluster);
        assert_sound(&cluster);
    }
}

// A replica whose log names voters that were all replaced meanwhile waited for them without end, and
// counted as a voter that is lost.
#[test]
fn a_member_that_restarts_waits_for_voters_that_were_replaced() {
    for is_voter in [true, false] {
        let mut cluster = with_spares(1);
        let leader = cluster.leading_instance();
        let away = if is_voter {
            cluster.others_than(&[&leader, &name(3)]).remove(0)
        } else {
            name(3)
        };
        cluster.kill(&away);
        // Each voter that the log names is replaced by an instance that joins while `away` is down.
        for leaving in cluster.others_than(&[&away]) {
            if cluster.voters().contains(&leaving) {
                cluster.add();
                cluster.run(CATCH_UP);
                cluster.stop(&leaving, AfterStop::Removed);
                settle(&mut cluster);
            }
        }
        cluster.start(&away);
        cluster.run(RECOVER);
        let returned = cluster.instances[&away].core.as_ref().expect("it runs");
        assert!(returned.is_fresh(cluster.now), "{}", cluster.describe());
    }
}

/// One event of a drawn schedule.
#[derive(Debug, Clone)]
enum Event {
    Stop(InstanceName, AfterStop),
    LosePower(InstanceName, Duration),
    LoseDisk(InstanceName, Duration),
    Freeze(InstanceName),
    Thaw(InstanceName),
}

/// Draws events that a deployment has to bear, with the time at which each comes: as many lost disks
/// as are tolerated beside planned work, or beside any number of other losses. An instance that is
/// removed beside those counts as a lost disk, since no quorum may be there to replace it.
fn draw(rng: &mut ChaCha8Rng, cluster: &Cluster, target: usize) -> Vec<(Duration, Event)> {
    let mut names: Vec<InstanceName> = cluster.instances.keys().cloned().collect();
    names.shuffle(rng);
    let spares = names.len() - target;
    let mut left = target / 2;
    let mut events = Vec::new();
    let at = |rng: &mut ChaCha8Rng| ms(rng.random_range(0..6_000));
    let down = |rng: &mut ChaCha8Rng| ms(rng.random_range(300..9_000));
    let has_other_losses = rng.random_bool(0.5);
    let mut free = names.into_iter();
    for leaving in free.by_ref().take(rng.random_range(0..=spares)) {
        if has_other_losses && left == 0 {
            continue;
        }
        left -= usize::from(has_other_losses);
        events.push((at(rng), Event::Stop(leaving, AfterStop::Removed)));
    }
    for lost in free.by_ref().take(rng.random_range(0..=left)) {
        events.push((at(rng), Event::LoseDisk(lost, down(rng))));
    }
    for of in free {
        let begins = at(rng);
        match rng.random_range(0..5) {
            0 if has_other_losses => events.push((begins, Event::LosePower(of, down(rng)))),
            1 if has_other_losses => {
                events.push((begins, Event::Freeze(of.clone())));
                events.push((begins + down(rng), Event::Thaw(of)));
            }
            2 if has_other_losses => {
                let then = AfterStop::Starts(ms(rng.random_range(200..2_000)));
                events.push((begins, Event::Stop(of, then)));
            }
            _ => {}
        }
    }
    events.sort_by_key(|(at, _)| *at);
    events
}

fn play(cluster: &mut Cluster, event: &Event) {
    match event {
        Event::Stop(of, then) => cluster.stop(of, *then),
        Event::LosePower(of, down) => cluster.lose_power(of, *down),
        Event::LoseDisk(of, down) => cluster.lose_disk(of, *down),
        Event::Freeze(of) => cluster.freeze(of, true),
        Event::Thaw(of) => cluster.freeze(of, false),
    }
}

/// Plays some schedules one after the other on a deployment.
fn walk(seed: u64, target: usize) -> Result<(), String> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut cluster = Cluster::with_target(target);
    cluster.order = Some(ChaCha8Rng::seed_from_u64(seed));
    for _ in 0..4 {
        let spares = rng.random_range(0..=2);
        while cluster.instances.len() < target + spares {
            cluster.add();
        }
        cluster.run(CATCH_UP + ms(2_000));
        let before = cluster.describe();
        let events = draw(&mut rng, &cluster, target);
        let began = cluster.now;
        for (at, event) in &events {
            cluster.run((began + *at).saturating_sub(cluster.now));
            play(&mut cluster, event);
        }
        settle(&mut cluster);
        if let Some(fault) = cluster.fault() {
            let after = cluster.describe();
            return Err(format!(
                "seed {seed}, {target} voters: {fault} after {events:?}\nbefore\n{before}after\n{after}"
            ));
        }
    }
    Ok(())
}

// Events shortly after each other, each of them allowed, ended the quorum or lost what was committed.
#[test]
fn allowed_events_shortly_after_each_other_end_the_quorum() {
    let number = |name| std::env::var(name).ok().and_then(|s| s.parse::<u64>().ok());
    let first = number("WALK_FIRST").unwrap_or(0);
    let seeds = first..first + number("WALK_SEEDS").unwrap_or(SEEDS);
    let walks = seeds
        .chain(REGRESSIONS.iter().copied())
        .flat_map(|seed| [walk(seed, TARGET_VOTERS), walk(seed, 5)]);
    let failed: Vec<String> = walks.filter_map(Result::err).collect();
    assert!(failed.is_empty(), "{} failed, {}", failed.len(), failed[0]);
}
