//! Runners that stated that they are leaving.

mod support;

use dotterelrudder_gateway::Gateway;
use dotterelrudder_types::LeavingRunner;
use support::*;

fn leaving(n: u16, born_ms: u64) -> LeavingRunner {
    LeavingRunner {
        identity: format!("i-{n}").into(),
        born_ms,
    }
}

/// Returns whether any of many requests is placed at a runner.
fn is_used(gateway: &mut Gateway, n: u16) -> bool {
    let identity = format!("i-{n}");
    (0..64).any(|i| {
        let prompt = prompt(&format!("session-{i}"), 400, 100);
        let placed = place(gateway, ms(100 + i), &prompt);
        placed.is_ok_and(|p| p.identity == identity.as_str())
    })
}

fn records(numbers: &[u16]) -> Vec<dotterelrudder_wire::RunnerRecord> {
    let records = numbers.iter().map(|n| record(*n, "engines", "north"));
    records.collect()
}

/// A list that lags behind made a runner usable again that had stated that it is leaving.
#[test]
fn a_lagging_list_does_not_bring_a_leaving_runner_back() {
    let mut gateway = gateway(3);
    assert!(is_used(&mut gateway, 2));
    assert!(gateway.add_leaving_runner(leaving(2, 1)));
    assert!(!gateway.add_leaving_runner(leaving(2, 1)));
    assert!(!is_used(&mut gateway, 2));
    gateway.on_runners(records(&[1, 2, 3]));
    assert!(!is_used(&mut gateway, 2));
    // The list of a leader that reads it anew may lack a runner and show it again.
    gateway.on_runners(records(&[1, 3]));
    gateway.on_runners(records(&[1, 2, 3]));
    assert!(!is_used(&mut gateway, 2));
    assert!(is_used(&mut gateway, 1));
}

/// An entry that has just started hears of leaving runners before it has the list.
#[test]
fn a_runner_that_is_not_listed_yet_is_known_to_leave() {
    let mut gateway = gateway(1);
    gateway.add_leaving_runner(leaving(2, 1));
    gateway.on_runners(records(&[1, 2]));
    assert!(!is_used(&mut gateway, 2));
}

/// A runner that starts again, under its identity or under another one at its address, was taken for
/// the one that left.
#[test]
fn a_successor_of_a_leaving_runner_is_used() {
    let mut gateway = gateway(2);
    gateway.add_leaving_runner(leaving(1, 1));
    gateway.add_leaving_runner(leaving(2, 1));
    let mut restarted = record(1, "engines", "north");
    restarted.born_ms = 2;
    let mut successor = record(2, "engines", "north");
    successor.identity = "i-3".into();
    gateway.on_runners(vec![restarted, successor]);
    assert!(is_used(&mut gateway, 1));
    assert!(is_used(&mut gateway, 3));
}

/// A report about an earlier start that arrives late must not end the use of the present one.
#[test]
fn a_late_report_about_an_earlier_start_changes_nothing() {
    let mut gateway = gateway(2);
    gateway.add_leaving_runner(leaving(1, 0));
    assert!(is_used(&mut gateway, 1));
}
