//! What requests, changes and idling cost in messages, bytes and syncs: counts, never times.

mod harness;

use std::time::Duration;

use harness::case::CallPlan;
use harness::world::Traffic;
use harness::world::World;

/// Bytes a second that control may cost a node, from the size to design for.
const CONTROL_BYTES_PER_NODE: u64 = 7_000;

fn started(engines: usize, entries: usize) -> World {
    let mut world = World::sized(3, engines, entries);
    world.run_until(Duration::from_secs(3));
    let leader = world.leader().expect("a leader");
    world.publish(leader.as_str(), "first", 0, "v1", 100);
    world.run_until(Duration::from_secs(8));
    world
}

fn plan(number: usize, tokens: u32, key: Option<String>) -> CallPlan {
    CallPlan {
        name: format!("call {number}"),
        entry: "entry-1".into(),
        key: "paying-key".into(),
        blocks: 0,
        text: format!("body {number}"),
        tokens,
        idempotency_key: key,
        time_limit_ms: 10_000,
        within_ms: None,
    }
}

/// Returns the traffic of `seconds` in which `act` happens, above that of as many idle seconds.
fn cost_of<F>(world: &mut World, seconds: u64, act: F) -> Traffic
where
    F: FnOnce(&mut World),
{
    let idle = cost(world, seconds, |_| ());
    let busy = cost(world, seconds, act);
    Traffic {
        messages: busy.messages.saturating_sub(idle.messages),
        bytes: busy.bytes.saturating_sub(idle.bytes),
        control_messages: busy.control_messages.saturating_sub(idle.control_messages),
        control_bytes: busy.control_bytes.saturating_sub(idle.control_bytes),
        syncs: busy.syncs.saturating_sub(idle.syncs),
    }
}

fn cost<F>(world: &mut World, seconds: u64, act: F) -> Traffic
where
    F: FnOnce(&mut World),
{
    let before = world.traffic;
    let until = world.now + Duration::from_secs(seconds);
    act(world);
    world.run_until(until);
    world.traffic.since(&before)
}

#[test]
fn a_completion_costs_a_message_a_token_and_none_at_control() {
    let (mut world, count, tokens) = (started(2, 2), 20, 10);
    let used = cost_of(&mut world, 4, |world| {
        for number in 0..count {
            world.call(&plan(number, tokens, None));
            let next = world.now + Duration::from_millis(100);
            world.run_until(next);
        }
    });
    println!("{count} completions of {tokens} tokens: {used:?}");
    // Start, Started, Finished, a few reports of load, and one message for each token.
    let allowed = count as u64 * (u64::from(tokens) + 3 + 8);
    assert!(
        used.messages <= allowed,
        "{} messages, allowed {allowed}",
        used.messages
    );
    assert_eq!(used.syncs, 0);
    // Demand is told twice a second.
    assert!(
        used.control_messages <= 4 * 8,
        "{} messages to control",
        used.control_messages
    );
}

#[test]
fn a_claimed_call_costs_two_entries_of_the_log() {
    let (mut world, count) = (started(2, 2), 20);
    let used = cost_of(&mut world, 4, |world| {
        for number in 0..count {
            world.call(&plan(number, 0, Some(format!("key {number}"))));
            let next = world.now + Duration::from_millis(100);
            world.run_until(next);
        }
    });
    println!("{count} claimed calls: {used:?}");
    // Each entry: proposed, forwarded, appended twice, acknowledged twice, answered twice.
    let entries = 2 * count as u64;
    assert!(
        used.control_messages <= entries * 8 + 64,
        "{}",
        used.control_messages
    );
    assert!(used.syncs <= entries * 3, "{} syncs", used.syncs);
}

#[test]
fn a_change_costs_each_process_a_few_messages_of_its_own_size() {
    for (engines, entries) in [(2, 2), (8, 4), (24, 8)] {
        let mut world = started(engines, entries);
        let processes = (engines + entries + 3 + 3) as u64;
        let used = cost_of(&mut world, 2, |world| {
            let leader = world.leader().expect("a leader");
            world.publish(leader.as_str(), "second", 1, "v1", 101);
        });
        println!("{processes} processes, one change: {used:?}");
        // The difference once, and what is in force told to three control instances.
        assert!(
            used.control_messages <= processes * 5 + 24,
            "{}",
            used.control_messages
        );
        assert!(used.syncs <= 3 + 3, "{} syncs", used.syncs);
    }
}

#[test]
fn idling_costs_a_node_less_than_its_share() {
    for (engines, entries) in [(2, 2), (8, 4), (24, 8)] {
        let mut world = started(engines, entries);
        let processes = (engines + entries + 3) as u64;
        let used = cost(&mut world, 10, |_| ());
        let per_node = used.control_bytes / 10 / processes;
        println!("{processes} processes beside control, idle for 10 s: {used:?}");
        assert!(
            per_node <= CONTROL_BYTES_PER_NODE,
            "{per_node} bytes a second and process"
        );
        assert_eq!(used.syncs, 0, "idling syncs");
    }
}
