//! Random walks over faults: singly, together and twice; the invariants hold after every step, and
//! once everything is healed the deployment works again.

mod harness;

use std::time::Duration;

use dotterelrudder::types::InstanceName;
use harness::case::act;
use harness::case::Action;
use harness::case::CallPlan;
use harness::case::SETUP;
use harness::node::Core;
use harness::node::CONTROLS;
use harness::world::World;
use proptest::prelude::*;
use proptest::test_runner::Config;
use proptest::test_runner::RngAlgorithm;
use proptest::test_runner::TestRng;
use proptest::test_runner::TestRunner;
use rand::Rng;

const CASES: u32 = 100;
const LONG_CASES: u32 = 5_000;
const HEALED: Duration = Duration::from_secs(20);
const NAMES: [&str; 10] = [
    "control-1",
    "control-2",
    "control-3",
    "engine-1",
    "engine-2",
    "desk-1",
    "desk-2",
    "store-1",
    "entry-1",
    "entry-2",
];

#[derive(Debug, Clone)]
struct Step {
    gap_ms: u64,
    what: u8,
    a: usize,
    b: usize,
}

#[derive(Debug, Clone)]
struct Walk {
    seed: u64,
    percents: (u32, u32, u32),
    torn_bytes: usize,
    steps: Vec<Step>,
}

fn walk() -> impl Strategy<Value = Walk> {
    let step = (1u64..700, 0u8..26, 0usize..10, 0usize..10).prop_map(|(gap_ms, what, a, b)| Step {
        gap_ms,
        what,
        a,
        b,
    });
    let steps = proptest::collection::vec(step, 4..40);
    (
        any::<u64>(),
        (0u32..20, 0u32..10, 0u32..10),
        0usize..40,
        steps,
    )
        .prop_map(|(seed, percents, torn_bytes, steps)| Walk {
            seed,
            percents,
            torn_bytes,
            steps,
        })
}

fn call(world: &mut World, step: &Step) {
    let number = world.calls.len();
    let plain = step.b.is_multiple_of(3);
    let key = if step.b % 4 == 1 {
        "trial-key"
    } else {
        "paying-key"
    };
    let plan = CallPlan {
        name: format!("call {number}"),
        entry: if step.a.is_multiple_of(2) {
            "entry-1".into()
        } else {
            "entry-2".into()
        },
        key: if plain {
            "paying-key".into()
        } else {
            key.into()
        },
        blocks: if plain { 0 } else { step.a % 4 },
        text: if plain {
            format!("body {}", step.a)
        } else {
            format!("sheet {}", step.b % 2)
        },
        tokens: if plain { 0 } else { 5 + 20 * step.a as u32 },
        // Keys come again, so that resends and races of one key happen.
        idempotency_key: plain.then(|| format!("key {}", step.a)),
        time_limit_ms: 8_000,
        within_ms: None,
    };
    world.call(&plan);
}

/// A disk may be lost only while the others can repair it.
fn may_lose_disk(world: &World, name: &InstanceName) -> bool {
    CONTROLS.iter().all(|control| {
        let node = &world.nodes[&InstanceName::from(*control)];
        let Some(Core::Control(core)) = &node.core else {
            return node.name == *name;
        };
        let members = core.raft().members();
        let known = members.iter().any(|m| m.id == core.raft().id() && m.voter);
        !node.frozen && known && members.len() == 3 && core.raft().is_confirmed()
    })
}

fn take(world: &mut World, step: &Step) {
    let (a, b) = (NAMES[step.a].to_owned(), NAMES[step.b].to_owned());
    let control = CONTROLS[step.a % 3].to_owned();
    let name = InstanceName::from(a.as_str());
    match step.what {
        0..=7 => call(world, step),
        8 | 9 => {
            let base = world
                .nodes
                .values()
                .map(|n| n.revision().0)
                .max()
                .unwrap_or(0);
            let version = if step.b.is_multiple_of(2) { "v1" } else { "v2" };
            let id = format!("change {}", world.proposals.len());
            let up = CONTROLS
                .iter()
                .find(|c| world.nodes[&InstanceName::from(**c)].is_up());
            if let Some(at) = up {
                world.publish(at, &id, base, version, 100 + step.a as u32);
            }
        }
        10 | 11 => world.kill(&name),
        12..=14 => world.start(&name),
        15 => world.freeze(&name),
        16 | 17 => world.thaw(&name),
        18 => act(world, &Action::Silence { node: a, peer: b }),
        19 => act(world, &Action::Cut { node: a, peer: b }),
        20 => act(world, &Action::Heal { node: a, peer: b }),
        21 => act(world, &Action::Reset { node: a, peer: b }),
        22 => act(world, &Action::Isolate { node: a }),
        23 => act(world, &Action::Rejoin { node: a }),
        24 => {
            let name = InstanceName::from(control.as_str());
            if may_lose_disk(world, &name) {
                world.kill(&name);
                let action = if step.b.is_multiple_of(2) {
                    Action::WipeDisk { node: control }
                } else {
                    Action::FlipDisk { node: control }
                };
                act(world, &action);
                world.start(&name);
            }
        }
        _ => {
            for node in ["engine-1", "engine-2"] {
                act(world, &Action::Evict { node: node.into() });
            }
        }
    }
}

fn heal(world: &mut World) {
    for name in NAMES {
        let name = InstanceName::from(name);
        world.isolate(&name, false);
        world.thaw(&name);
        // A process that was asked to stop ended by itself; the platform starts it again.
        if world.nodes[&name].exited {
            world.kill(&name);
        }
        world.start(&name);
    }
    (
        world.lose_percent,
        world.repeat_percent,
        world.cross_percent,
    ) = (0, 0, 0);
}

fn run(walk: &Walk) -> Result<(), TestCaseError> {
    let mut world = World::new(walk.seed);
    world.run_until(SETUP / 2);
    let leader = world
        .leader()
        .ok_or_else(|| TestCaseError::fail("no leader"))?;
    world.publish(leader.as_str(), "first", 0, "v1", 100);
    world.run_until(SETUP);
    (
        world.lose_percent,
        world.repeat_percent,
        world.cross_percent,
    ) = walk.percents;
    world.torn_bytes = walk.torn_bytes;
    for step in &walk.steps {
        let next = world.now + Duration::from_millis(step.gap_ms);
        world.run_until(next);
        take(&mut world, step);
        prop_assert!(
            world.invariants.broken.is_empty(),
            "{:?}",
            world.invariants.broken
        );
    }
    heal(&mut world);
    let healed = world.now + HEALED;
    world.run_until(healed);
    let base = world
        .nodes
        .values()
        .map(|n| n.revision().0)
        .max()
        .unwrap_or(0);
    let leader = world
        .leader()
        .ok_or_else(|| TestCaseError::fail("no leader after healing"))?;
    world.publish(leader.as_str(), "last", base, "v1", 100);
    let last = world.now + Duration::from_secs(5);
    world.run_until(last);
    world.finish();
    prop_assert!(
        world.invariants.broken.is_empty(),
        "{:?}",
        world.invariants.broken
    );
    for node in world.nodes.values() {
        prop_assert_eq!(node.revision().0, base + 1, "{} is behind", node.name);
    }
    for (entry, name, call) in world.calls.values() {
        // Only a caller whose entry was killed may be left without an end.
        let killed = world.nodes[entry].incarnation != call.entry_incarnation;
        prop_assert!(killed || call.end.is_some(), "{} has no end", name);
    }
    Ok(())
}

fn run_walks(cases: u32, seed: [u8; 32]) {
    let config = Config {
        cases,
        failure_persistence: None,
        ..Config::default()
    };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &seed);
    let mut runner = TestRunner::new_with_rng(config, rng);
    if let Err(e) = runner.run(&walk(), |walk| run(&walk)) {
        panic!("{e}");
    }
}

#[test]
fn random_walks_keep_the_invariants() {
    run_walks(CASES, [7; 32]);
}

#[test]
#[ignore = "long; prints its seed"]
fn many_random_walks_keep_the_invariants() {
    let seed: [u8; 32] = match std::env::var("DOTTERELRUDDER_WALK_SEED") {
        Ok(text) => *blake3::hash(text.as_bytes()).as_bytes(),
        Err(_) => {
            let drawn: u64 = rand::rng().random();
            println!("DOTTERELRUDDER_WALK_SEED={drawn}");
            *blake3::hash(drawn.to_string().as_bytes()).as_bytes()
        }
    };
    run_walks(LONG_CASES, seed);
}
