//! Limits of client accounts over several entries, without a shared counter on the path.

mod harness;

use std::time::Duration;

use harness::case::CallPlan;
use harness::world::World;

const RATE: f64 = 40.0;
const ASKED_EVERY: Duration = Duration::from_millis(10);

/// Sends 100 requests a second, a share of them to the first entry, and counts those admitted.
fn admitted(world: &mut World, seconds: u64, first_percent: usize) -> usize {
    let before = world.calls.len();
    let until = world.now + Duration::from_secs(seconds);
    let mut number = 0;
    while world.now < until {
        let entry = if (number * 37) % 100 < first_percent {
            "entry-1"
        } else {
            "entry-2"
        };
        world.call(&CallPlan {
            name: "limited".into(),
            entry: entry.into(),
            key: "limited-key".into(),
            blocks: 0,
            text: "q".into(),
            tokens: 1,
            idempotency_key: None,
            time_limit_ms: 20_000,
            within_ms: None,
        });
        number += 1;
        let next = world.now + ASKED_EVERY;
        world.run_until(next);
    }
    let limited = |r: &dotterelrudder::types::Refusal| {
        r.kind == dotterelrudder::types::ErrorKind::LimitReached
    };
    let calls = world.calls.values().skip(before);
    calls
        .filter(|(_, _, call)| !matches!(&call.end, Some(Err(r)) if limited(r)))
        .count()
}

#[test]
fn an_account_gets_its_rate_when_its_load_shifts_between_entries() {
    let mut world = World::new(5);
    world.run_until(Duration::from_secs(3));
    let leader = world.leader().expect("a leader");
    world.publish(leader.as_str(), "first", 0, "v1", 100);
    world.run_until(Duration::from_secs(6));
    for entry in ["entry-1", "entry-2"] {
        let listed = dotterelrudder::route::Input::Listed {
            entries: 2,
            leaving: Vec::new(),
        };
        world.entry(&entry.into(), listed);
    }
    let mut shares = Vec::new();
    for (seconds, first_percent) in [(20, 50), (20, 100), (20, 0), (20, 80)] {
        let count = admitted(&mut world, seconds, first_percent);
        shares.push(count as f64 / (RATE * seconds as f64));
    }
    println!("admitted of the declared rate: {shares:.3?}");
    for share in &shares {
        assert!(
            (share - 1.0).abs() <= 0.05,
            "admitted of the declared rate: {shares:.3?}"
        );
    }
}

#[test]
fn a_control_instance_without_configuration_takes_nobodys_rate_away() {
    let mut world = World::new(6);
    world.run_until(Duration::from_secs(3));
    let leader = world.leader().expect("a leader");
    world.publish(leader.as_str(), "first", 0, "v1", 100);
    world.run_until(Duration::from_secs(6));
    for control in harness::node::CONTROLS {
        let name = control.into();
        world.kill(&name);
        world.node(control).disk = Default::default();
        // Cut off from its peers it stays without configuration, but entries reach it.
        for peer in harness::node::CONTROLS
            .iter()
            .filter(|peer| **peer != control)
        {
            world.cut(&name, &(*peer).into(), true);
        }
        world.start(&name);
        let share = admitted(&mut world, 6, 50) as f64 / (RATE * 6.0);
        assert!(
            share > 0.9,
            "{control} without configuration leaves {share:.3} of the rate"
        );
        for peer in harness::node::CONTROLS {
            world.cut(&name, &peer.into(), false);
        }
        let repaired = world.now + Duration::from_secs(10);
        world.run_until(repaired);
    }
}
