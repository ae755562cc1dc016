//! Runners of evacuated data centres get no requests, whatever leads to a placement.

mod support;

use dotterelrudder_gateway::Gateway;
use dotterelrudder_gateway::NotPlaced;
use dotterelrudder_gateway::RunOutcome;
use dotterelrudder_gateway::RunnerCondition;
use dotterelrudder_types::ErrorKind;
use dotterelrudder_types::Refusal;
use dotterelrudder_types::RoutingPolicy;
use dotterelrudder_wire::RunnerRecord;
use std::collections::BTreeSet;
use support::*;

/// Two runners in each of two data centres.
fn records() -> Vec<RunnerRecord> {
    let places = [(1, "north"), (2, "north"), (3, "south"), (4, "south")];
    let records = places.map(|(n, data_centre)| record(n, "engines", data_centre));
    records.to_vec()
}

fn two_data_centres(policy: RoutingPolicy) -> Gateway {
    let settings = dotterelrudder_gateway::GatewaySettings {
        policy,
        ..settings()
    };
    let mut gateway = Gateway::new(settings, 7);
    gateway.on_fleet_state(ms(0), fleet_state(1), Some(ms(0)));
    gateway.on_runners(records());
    gateway
}

/// Returns the runners at which requests of many sessions are placed, at different times.
fn used(gateway: &mut Gateway, from_ms: u64) -> BTreeSet<String> {
    let placed = (0..80).map(|n| {
        let prompt = prompt(&format!("s{n}"), 2_000, 100);
        let now = ms(from_ms + 50 * n);
        let placed = place(gateway, now, &prompt).expect("a runner is open");
        gateway.sent(now, placed.runner, Some(&prompt));
        gateway.prefill_finished(placed.runner, 1e9);
        gateway.ended(now, placed.runner, RunOutcome::Answered);
        placed.identity.to_string()
    });
    placed.collect()
}

fn names(numbers: &[u16]) -> BTreeSet<String> {
    numbers.iter().map(|n| format!("i-{n}")).collect()
}

fn refusal(placed: Result<dotterelrudder_gateway::Placement, NotPlaced>) -> Refusal {
    match placed {
        Err(NotPlaced::Refused(refusal)) => refusal,
        other => panic!("expected a refusal, got {other:?}"),
    }
}

/// Guards against a policy, or a session that prefers a runner, by which an evacuated one is chosen, and
/// against runners that stay excluded afterwards.
#[test]
fn no_policy_places_requests_in_an_evacuated_data_centre() {
    for policy in [
        RoutingPolicy::ExpectedCost,
        RoutingPolicy::AlwaysImport,
        RoutingPolicy::AlwaysRecompute,
        RoutingPolicy::RoundRobin,
        RoutingPolicy::LeastLoaded,
        RoutingPolicy::HashAffinity,
    ] {
        let mut gateway = two_data_centres(policy);
        let before = used(&mut gateway, 0);
        assert!(
            !before.is_disjoint(&names(&[1, 2])),
            "{policy:?} {before:?}"
        );
        assert!(gateway.on_evacuations(vec!["north".into()]));
        assert!(!gateway.on_evacuations(vec!["north".into()]), "no change");
        let meanwhile = used(&mut gateway, 5_000);
        assert!(
            meanwhile.is_subset(&names(&[3, 4])),
            "{policy:?} {meanwhile:?}"
        );
        let counts = gateway.count_runners(ms(9_000));
        assert!(counts.contains(&(RunnerCondition::Evacuated, 2)));
        assert!(gateway.on_evacuations(Vec::new()));
        let after = used(&mut gateway, 10_000);
        assert!(!after.is_disjoint(&names(&[1, 2])), "{policy:?} {after:?}");
    }
}

/// Guards against runners that are listed after the evacuation began, start again, or are listed in
/// another data centre than before.
#[test]
fn an_evacuation_covers_whatever_the_list_shows_later() {
    let mut gateway = two_data_centres(RoutingPolicy::ExpectedCost);
    gateway.on_evacuations(vec!["north".into()]);
    let mut listed = records();
    listed[0].born_ms = 2;
    listed[1].data_centre = "south".into();
    listed[2].data_centre = "north".into();
    listed.push(record(5, "engines", "north"));
    gateway.on_runners(listed);
    assert_eq!(used(&mut gateway, 0), names(&[2, 4]));
    // A restart of the entry: the evacuations arrive before the list.
    let mut restarted = Gateway::new(settings(), 8);
    restarted.on_evacuations(vec!["north".into()]);
    restarted.on_runners(records());
    restarted.on_fleet_state(ms(0), fleet_state(1), Some(ms(0)));
    assert_eq!(used(&mut restarted, 0), names(&[3, 4]));
}

/// Guards against requests that wait, or are sent after all, while all runners of their service are in
/// evacuated data centres, and against a caller that isn't told when to come back.
#[test]
fn requests_are_refused_at_once_without_another_data_centre() {
    let mut gateway = two_data_centres(RoutingPolicy::ExpectedCost);
    let mut loading = load(3, 0, 0);
    loading.reading.loading = true;
    gateway.on_load_reports(ms(0), vec![loading]);
    gateway.on_evacuations(vec!["north".into(), "south".into()]);
    let (service, prompt) = (engines(), prompt("s", 100, 100));
    let refused = refusal(place(&mut gateway, ms(10), &prompt));
    assert_eq!(refused.kind, ErrorKind::NoBackendServer);
    assert!(refused.is_not_run() && refused.retry_after.is_some());
    let detail = refused.detail.as_str();
    assert!(
        detail.contains("evacuated data centres (north, south)"),
        "{detail}"
    );
    let asked = query(&service, Some(&prompt), &[]);
    assert!(!gateway.has_room_for(ms(10), &asked));
    assert!(gateway.queue_behind_others(ms(10), &asked).is_none());
    // Once a data centre is left, it is its runners that the refusal is about.
    gateway.on_evacuations(vec!["north".into()]);
    let mut leaving = records();
    leaving.iter_mut().for_each(|r| r.leaving = true);
    gateway.on_runners(leaving);
    let refused = refusal(place(&mut gateway, ms(20), &prompt));
    assert!(refused.detail.contains("no open backend server"));
}

/// Guards against a stream that is resumed at an evacuated runner because its software version serves
/// nowhere else, also when that runner failed before.
#[test]
fn a_stream_is_not_resumed_in_an_evacuated_data_centre() {
    let mut gateway = two_data_centres(RoutingPolicy::ExpectedCost);
    let mut versioned = records();
    for (n, record) in versioned.iter_mut().enumerate() {
        record.software = Some(if n == 0 { "v2".into() } else { "v1".into() });
    }
    gateway.on_runners(versioned);
    let (service, prompt) = (engines(), prompt("s", 100, 100));
    let mut resumed = query(&service, Some(&prompt), &[]);
    resumed.software = Some("v2");
    let placed = gateway.place(ms(0), &resumed).expect("v2 has a runner");
    assert_eq!(placed.identity, "i-1");
    gateway.sent(ms(0), placed.runner, Some(&prompt));
    for _ in 0..9 {
        gateway.ended(ms(0), placed.runner, RunOutcome::Failed);
    }
    assert!(
        gateway.place(ms(10), &resumed).is_ok(),
        "the only one is tried again"
    );
    gateway.on_evacuations(vec!["north".into()]);
    assert!(gateway.is_evacuated(&placed.data_centre));
    for now in [20, 60_000] {
        let refused = refusal(gateway.place(ms(now), &resumed));
        assert_eq!(refused.kind, ErrorKind::NoBackendServer);
        assert!(refused.retry_after.is_some());
    }
}

/// Guards against KV cache that is fetched from an evacuated runner, which also is a request to it.
#[test]
fn no_kv_cache_is_fetched_from_an_evacuated_runner() {
    let mut gateway = two_data_centres(RoutingPolicy::ExpectedCost);
    let mut from_north = 0;
    for n in 0..40u64 {
        let prompt = prompt(&format!("s{n}"), 8_000, 2_000);
        let now = ms(100 * n);
        gateway.on_evacuations(Vec::new());
        let first = place(&mut gateway, now, &prompt).expect("a runner is open");
        gateway.sent(now, first.runner, Some(&prompt));
        gateway.ended(now, first.runner, RunOutcome::Answered);
        let tried = [first.runner];
        let service = engines();
        let again = query(&service, Some(&prompt), &tried);
        let sources = |gateway: &mut Gateway| {
            let placed = gateway.place(now, &again).expect("another one is open");
            let fetch = placed.cache.fetch.into_iter().flatten();
            fetch.map(|source| source.to_string()).collect::<Vec<_>>()
        };
        let is_north = |s: &String| s.starts_with("10.0.0.1:") || s.starts_with("10.0.0.2:");
        from_north += sources(&mut gateway).iter().filter(|s| is_north(s)).count();
        gateway.on_evacuations(vec!["north".into()]);
        let meanwhile = sources(&mut gateway);
        assert!(!meanwhile.iter().any(is_north), "{meanwhile:?}");
    }
    assert!(from_north > 0, "nothing would be fetched there anyway");
}
