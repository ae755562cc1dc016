//! Failure detection for runners whose load reports stop.

mod support;

use std::collections::BTreeSet;
use std::time::Duration;

use dotterelrudder_gateway::Gateway;
use dotterelrudder_gateway::RunnerKey;
use support::*;

/// Tokens in memory of a runner that is neither empty nor full.
const HALF: u64 = 40_000;

/// A gateway with four runners that report every 0.2 s until `until`; those in `silent` stop after
/// `last`. Times are in milliseconds.
fn reporting(silent: &[u16], until: u64, last: u64) -> Gateway {
    let mut gateway = gateway(4);
    for at in (0..=until).step_by(200) {
        let reporting = (1..=4).filter(|n| at <= last || !silent.contains(n));
        let loads = reporting.map(|n| load(n, 4, HALF)).collect();
        gateway.on_load_reports(ms(at), loads);
    }
    gateway
}

fn identities(gateway: &mut Gateway, now: Duration) -> BTreeSet<String> {
    let sessions = (0..40).map(|n| prompt(&format!("s{n}"), 4_000, 200));
    let placed = sessions.filter_map(|p| place(gateway, now, &p).ok());
    placed.map(|p| p.identity.to_string()).collect()
}

fn key_of(gateway: &mut Gateway, now: Duration, identity: &str) -> RunnerKey {
    let mut sessions = (0..200).map(|n| prompt(&format!("s{n}"), 4_000, 200));
    let found = sessions.find_map(|p| {
        let placed = place(gateway, now, &p).ok()?;
        (placed.identity == identity).then_some(placed.runner)
    });
    found.expect("some session prefers each runner")
}

/// A machine froze together with its runner; prompts were sent to it until their callers
/// disconnected.
#[test]
fn a_runner_whose_reports_stopped_is_not_chosen() {
    let mut gateway = reporting(&[2], 2_000, 1_000);
    let taken = identities(&mut gateway, ms(2_050));
    assert!(!taken.contains("i-2") && taken.len() == 3, "{taken:?}");
}

#[test]
fn a_suspected_runner_is_trusted_again_after_its_next_report() {
    let mut gateway = reporting(&[2], 2_000, 1_000);
    let changed = gateway.on_load_reports(ms(2_100), vec![load(2, 0, 0)]);
    assert_eq!(changed.len(), 1);
    assert!(!changed[0].suspected && changed[0].identity == "i-2");
    assert!(identities(&mut gateway, ms(2_150)).contains("i-2"));
}

#[test]
fn a_suspicion_change_is_returned_once_with_the_age_of_the_report() {
    let mut gateway = reporting(&[2], 1_800, 1_000);
    let others = || [1, 3, 4].map(|n| load(n, 4, HALF)).to_vec();
    let changed = gateway.on_load_reports(ms(2_000), others());
    assert_eq!(changed.len(), 1);
    assert!(changed[0].suspected && changed[0].load_age == ms(1_000));
    assert_eq!(gateway.on_load_reports(ms(2_200), others()), Vec::new());
}

/// A suspected runner still takes requests that no other runner has room for: only its side may be
/// down.
#[test]
fn a_suspected_runner_takes_what_has_no_room_elsewhere() {
    let mut gateway = reporting(&[2], 2_000, 1_000);
    let full = [1, 3, 4].map(|n| load(n, 40, 94_000));
    gateway.on_load_reports(ms(2_100), full.to_vec());
    let taken = identities(&mut gateway, ms(2_150));
    assert_eq!(taken, BTreeSet::from(["i-2".to_string()]));
}

/// Without reports, a runner keeps its last known load, so that a full runner does not look empty
/// once it froze.
#[test]
fn a_suspected_runner_counts_as_full_as_last_reported() {
    let mut gateway = gateway(2);
    for at in (0..=3_000).step_by(200) {
        let mut loads = vec![load(1, 40, 94_000)];
        if at <= 600 {
            loads.push(load(2, 40, 94_000));
        }
        gateway.on_load_reports(ms(at), loads);
    }
    let long = prompt("s", 8_000, 2_000);
    assert!(place(&mut gateway, ms(3_050), &long).is_err());
}

/// While no control instance leads, no reports arrive at all, which is no evidence against any
/// runner.
#[test]
fn nobody_is_suspected_when_all_reports_stop() {
    let mut gateway = reporting(&[], 1_000, 1_000);
    assert_eq!(identities(&mut gateway, ms(5_000)).len(), 4);
    // The first reports after the gap come from one side; the others are still in transit.
    let changed = gateway.on_load_reports(ms(5_100), vec![load(1, 4, HALF)]);
    assert_eq!(changed, Vec::new());
}

#[test]
fn a_runner_may_be_unreachable_when_its_side_says_so_or_stops_reporting() {
    let mut gateway = reporting(&[2], 1_800, 1_000);
    let now = ms(1_850);
    let (silent, down) = (
        key_of(&mut gateway, now, "i-2"),
        key_of(&mut gateway, now, "i-3"),
    );
    assert!(!gateway.may_be_unreachable(now, silent) && !gateway.may_be_unreachable(now, down));
    let mut says_down = load(3, 4, HALF);
    says_down.reading.answers = false;
    gateway.on_load_reports(
        ms(2_000),
        vec![load(1, 4, HALF), says_down, load(4, 4, HALF)],
    );
    assert!(
        gateway.may_be_unreachable(ms(2_050), silent)
            && gateway.may_be_unreachable(ms(2_050), down)
    );
}
