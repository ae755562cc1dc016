//! Rollout of named weights: which runners load them, how many at once, and reissued orders.

use std::net::SocketAddr;
use std::time::Duration;

use dotterelrudder_control::WeightRollout;
use dotterelrudder_wire::ModelWeights;
use dotterelrudder_wire::RunnerAttributes;
use dotterelrudder_wire::RunnerLoad;
use dotterelrudder_wire::RunnerLoadSample;

fn weights(version: u64) -> ModelWeights {
    ModelWeights {
        model: "m".into(),
        version,
    }
}

fn load(n: u16, version: u64) -> RunnerLoad {
    RunnerLoad {
        reading: RunnerLoadSample {
            address: SocketAddr::from(([10, 0, 0, n as u8], 80)),
            answers: true,
            leaving: false,
            loading: false,
            waiting: 0,
            running: 3,
            used_tokens: 0,
        },
        traits: RunnerAttributes {
            born_ms: 1,
            total_tokens: 1,
            weights: vec![weights(version)],
        },
    }
}

fn at(s: f64) -> Duration {
    Duration::from_secs_f64(s)
}

/// Load pattern: nine runners serve traffic, and each takes 2.2 s to finish its requests and load.
/// All serve the new weights within 7 s. At most four load at once in the first 3 s; after that,
/// the limit grows by 0.15 of all runners per second.
#[test]
fn all_runners_load_the_named_weights_in_time() {
    let mut loads: Vec<RunnerLoad> = (1..=9).map(|n| load(n, 1)).collect();
    let mut rollout = WeightRollout::default();
    let mut loading: Vec<(SocketAddr, f64)> = Vec::new();
    let mut now = 0.0;
    while loads.iter().any(|l| l.traits.weights[0].version < 2) {
        assert!(now < 7.0, "{loads:?}");
        for (address, _) in rollout.plan(at(now), &[weights(2)], &loads) {
            loading.push((address, now + 2.2));
        }
        let share = 0.4 + 0.15 * f64::max(now - 3.0, 0.0);
        assert!(
            loading.len() <= (9.0 * share).ceil() as usize,
            "{} at {now}",
            loading.len()
        );
        loading.retain(|(address, until)| {
            let done = now >= *until;
            if done {
                let load = loads
                    .iter_mut()
                    .find(|l| l.reading.address == *address)
                    .unwrap();
                load.traits.weights = vec![weights(2)];
            }
            !done
        });
        now += 0.1;
    }
}

#[test]
fn order_without_effect_is_reissued() {
    let (mut rollout, loads) = (WeightRollout::default(), vec![load(1, 1)]);
    assert_eq!(rollout.plan(at(0.0), &[weights(2)], &loads).len(), 1);
    assert!(rollout.plan(at(2.9), &[weights(2)], &loads).is_empty());
    assert_eq!(rollout.plan(at(3.0), &[weights(2)], &loads).len(), 1);
}

/// When a newer version is named during a rollout, runners load the newest version directly.
#[test]
fn newer_version_replaces_a_rollout_in_progress() {
    let (mut rollout, loads) = (WeightRollout::default(), vec![load(1, 1)]);
    rollout.plan(at(0.0), &[weights(2)], &loads);
    let orders = rollout.plan(at(0.5), &[weights(3)], &loads);
    assert_eq!(orders[0].1, weights(3));
}

#[test]
fn leaving_or_unresponsive_runners_get_no_order() {
    let (mut leaving, mut silent) = (load(1, 1), load(2, 1));
    (leaving.reading.leaving, silent.reading.answers) = (true, false);
    let orders = WeightRollout::default().plan(at(0.0), &[weights(2)], &[leaving, silent]);
    assert!(orders.is_empty());
}

/// Load pattern: runners crash after they got their orders. Other runners get orders in their place
/// at once, and the limit on concurrent loads grows with the age of the rollout.
#[test]
fn lost_runners_do_not_stall_the_rollout() {
    let mut loads: Vec<RunnerLoad> = (1..=10).map(|n| load(n, 1)).collect();
    let mut rollout = WeightRollout::default();
    assert_eq!(rollout.plan(at(0.0), &[weights(2)], &loads).len(), 4);
    for load in &mut loads[..3] {
        load.reading.answers = false;
    }
    assert_eq!(rollout.plan(at(0.1), &[weights(2)], &loads).len(), 3);
    for load in &mut loads[3..7] {
        load.traits.weights = vec![weights(2)];
    }
    assert_eq!(rollout.plan(at(2.0), &[weights(2)], &loads).len(), 3);
    let mut late_rollout = WeightRollout::default();
    let fresh: Vec<RunnerLoad> = (1..=10).map(|n| load(n, 1)).collect();
    late_rollout.plan(at(0.0), &[weights(2)], &Vec::<RunnerLoad>::new());
    late_rollout.plan(at(0.0), &[weights(2)], &fresh[..1]);
    assert!(late_rollout.plan(at(8.0), &[weights(2)], &fresh).len() >= 9);
}

/// Load pattern: a version is named every 4 s, and runners carry their orders out 7 s late and ignore
/// newer ones meanwhile. The orders of each version began again at the first runners by address, so that
/// the last ones kept weights older than those named 30 s before.
#[test]
fn runners_get_their_turn_while_versions_are_named_often() {
    const NAMED_EVERY_S: f64 = 4.0;
    const CARRIED_OUT_AFTER_S: f64 = 7.0;
    const OUTDATED_AFTER_S: f64 = 30.0;
    let mut loads: Vec<RunnerLoad> = (1..=12).map(|n| load(n, 1)).collect();
    let mut rollout = WeightRollout::default();
    let mut carried_out: Vec<(SocketAddr, u64, f64)> = Vec::new();
    for step in 0..600 {
        let now = f64::from(step) * 0.1;
        let named = 2 + (now / NAMED_EVERY_S) as u64;
        for (address, weights) in rollout.plan(at(now), &[weights(named)], &loads) {
            if carried_out.iter().all(|(a, ..)| *a != address) {
                carried_out.push((address, weights.version, now + CARRIED_OUT_AFTER_S));
            }
        }
        carried_out.retain(|(address, version, until)| {
            let mut runners = loads.iter_mut();
            let runner = runners.find(|l| l.reading.address == *address);
            let runner = runner.expect("a runner of the test");
            if now >= *until {
                runner.traits.weights = vec![weights(*version)];
            }
            now < *until
        });
        let named_before = 2 + ((now - OUTDATED_AFTER_S) / NAMED_EVERY_S) as u64;
        let held = loads.iter().map(|l| l.traits.weights[0].version);
        if now >= OUTDATED_AFTER_S {
            let held: Vec<u64> = held.collect();
            let oldest = held.iter().min();
            assert!(oldest >= Some(&named_before), "{held:?} at {now}");
        }
    }
}

/// One runner that never carries out its orders must not make all others load at once when another
/// version is named.
#[test]
fn a_stuck_runner_does_not_raise_the_limit_for_the_others() {
    let mut loads: Vec<RunnerLoad> = (1..=10).map(|n| load(n, 2)).collect();
    loads[9].traits.weights = vec![weights(1)];
    let mut rollout = WeightRollout::default();
    for step in 0..200 {
        rollout.plan(at(f64::from(step) * 0.1), &[weights(2)], &loads);
    }
    let orders = rollout.plan(at(20.0), &[weights(3)], &loads);
    assert!(orders.len() <= 4, "{orders:?}");
}
