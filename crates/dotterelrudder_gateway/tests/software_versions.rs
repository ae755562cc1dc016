//! Streams go on only at runners of the software version that began them.

mod support;

use dotterelrudder_config::deployment::CallKind;
use dotterelrudder_config::deployment::WeightedTarget;
use dotterelrudder_gateway::Admission;
use dotterelrudder_gateway::Gateway;
use dotterelrudder_gateway::NotPlaced;
use dotterelrudder_gateway::RunOutcome;
use dotterelrudder_gateway::StreamOriginReports;
use dotterelrudder_types::ErrorKind;
use dotterelrudder_wire::CacheGroup;
use dotterelrudder_wire::RunnerRecord;
use dotterelrudder_wire::StreamOrigin;
use std::sync::Arc;
use support::*;

fn versioned(n: u16, software: &str) -> RunnerRecord {
    RunnerRecord {
        software: Some(software.into()),
        ..record(n, "engines", "z")
    }
}

fn gateway_with(records: Vec<RunnerRecord>) -> Gateway {
    let mut gateway = Gateway::new(settings(), 7);
    gateway.on_fleet_state(ms(0), fleet_state(1), Some(ms(0)));
    gateway.on_runners(records);
    gateway.update_versions(ms(0));
    gateway
}

#[test]
fn a_stream_goes_on_at_its_version_or_not_at_all() {
    let mut gateway = gateway_with(vec![
        versioned(1, "v1"),
        versioned(2, "v2"),
        versioned(3, "v1"),
    ]);
    let (engines, prompt) = (engines(), prompt("s", 100, 100));
    for _ in 0..50 {
        let mut of_version = query(&engines, Some(&prompt), &[]);
        of_version.software = Some("v2");
        let placed = gateway.place(ms(10), &of_version).expect("v2 has a runner");
        assert_eq!(placed.identity, "i-2");
    }
    let mut gone = query(&engines, Some(&prompt), &[]);
    gone.software = Some("v0");
    let Err(NotPlaced::Refused(refusal)) = gateway.place(ms(10), &gone) else {
        panic!("no runner has this version");
    };
    assert_eq!(refusal.kind, ErrorKind::NotResumable);
    assert_eq!(refusal.retry_after, None);
}

#[test]
fn a_version_that_is_there_but_was_tried_already_asks_callers_to_come_back() {
    let mut gateway = gateway_with(vec![versioned(1, "v1"), versioned(2, "v2")]);
    let (engines, prompt) = (engines(), prompt("s", 100, 100));
    let mut of_version = query(&engines, Some(&prompt), &[]);
    of_version.software = Some("v2");
    let tried = [gateway.place(ms(10), &of_version).expect("v2").runner];
    of_version.tried = &tried;
    let Err(NotPlaced::Refused(refusal)) = gateway.place(ms(10), &of_version) else {
        panic!("the only runner of this version was tried");
    };
    assert_eq!(refusal.kind, ErrorKind::NoBackendServer);
    assert!(refusal.retry_after.is_some());
}

#[test]
fn an_unknown_origin_is_taken_for_the_only_version_only_after_a_while() {
    let mut gateway = gateway_with(vec![versioned(1, "v1"), versioned(2, "v2")]);
    assert_eq!(gateway.only_version(ms(60_000), &engines()), None);
    gateway.on_runners(vec![versioned(2, "v2")]);
    gateway.update_versions(ms(60_000));
    assert_eq!(gateway.only_version(ms(61_000), &engines()), None);
    gateway.update_versions(ms(80_000));
    assert_eq!(
        gateway.only_version(ms(90_000), &engines()),
        Some("v2".into())
    );
}

/// An entry that was frozen or cut off took its old list's only version for that of a stream which had
/// begun at a newer one.
#[test]
fn a_version_that_came_unseen_is_not_ruled_out() {
    let mut gateway = gateway_with(vec![versioned(1, "v1")]);
    let confirm = |gateway: &mut Gateway, at| {
        gateway.on_fleet_state(ms(at), fleet_state(1), Some(ms(at)));
    };
    for at in (0..=40_000).step_by(500) {
        confirm(&mut gateway, at);
    }
    let only = |gateway: &Gateway, now| gateway.only_version(ms(now), &engines());
    assert_eq!(only(&gateway, 40_000), Some("v1".into()));
    assert!(gateway.are_versions_confirmed(ms(40_000)));
    assert!(!gateway.are_versions_confirmed(ms(40_001)));
    // After a pause in which versions may have come and gone.
    confirm(&mut gateway, 48_000);
    assert_eq!(only(&gateway, 48_000), None);
    for at in (48_500..=78_500).step_by(500) {
        confirm(&mut gateway, at);
    }
    assert_eq!(only(&gateway, 78_500), Some("v1".into()));
    // A runner whose version has not come yet.
    gateway.on_runners(vec![versioned(1, "v1"), record(2, "engines", "z")]);
    gateway.update_versions(ms(79_000));
    assert_eq!(only(&gateway, 79_000), None);
}

fn origin(service: &str) -> StreamOrigin {
    StreamOrigin {
        service: service.into(),
        software: "v1".into(),
    }
}

#[test]
fn origins_are_kept_for_a_while_after_they_were_reported() {
    let mut reports = StreamOriginReports::default();
    reports.add(ms(0), 1, origin("engines"));
    reports.add(ms(30_000), 2, origin("engines"));
    assert_eq!(reports.take().len(), 2);
    assert_eq!(reports.take(), Vec::new());
    assert_eq!(reports.find(1), Some(&origin("engines")));
    assert_eq!(reports.kept(ms(59_000)).len(), 2);
    assert_eq!(reports.kept(ms(61_000)), vec![(2, origin("engines"))]);
    assert_eq!(reports.find(1), None);
    for key in 0..10_000 {
        reports.add(ms(62_000), key, origin("engines"));
    }
    assert_eq!(reports.kept(ms(62_000)).len(), 4_096);
}

#[test]
fn a_stream_goes_on_at_a_failing_runner_if_its_version_has_no_other() {
    let mut gateway = gateway_with(vec![versioned(1, "v1"), versioned(2, "v2")]);
    let (engines, prompt) = (engines(), prompt("s", 100, 100));
    let mut of_version = query(&engines, Some(&prompt), &[]);
    of_version.software = Some("v2");
    let newer = gateway.place(ms(10), &of_version).expect("v2").runner;
    for _ in 0..3 {
        gateway.ended(ms(20), newer, RunOutcome::Failed);
    }
    for _ in 0..20 {
        let any = query(&engines, Some(&prompt), &[]);
        assert_eq!(gateway.place(ms(30), &any).expect("v1").identity, "i-1");
    }
    let placed = gateway.place(ms(30), &of_version);
    assert_eq!(placed.expect("v2 has a runner").runner, newer);
    gateway.back_off(ms(40), newer, ms(500));
    assert!(gateway.place(ms(50), &of_version).is_err());
}

/// Guards against all streams of a version being sent to its only open runner, which begins none of
/// them in time, while the others only failed some requests.
#[test]
fn streams_of_a_version_are_not_all_sent_to_its_one_open_runner() {
    let records = vec![
        versioned(1, "v1"),
        versioned(2, "v2"),
        versioned(3, "v2"),
        versioned(4, "v2"),
    ];
    let mut gateway = gateway_with(records);
    let (engines, prompt) = (engines(), prompt("s", 9_000, 2_000));
    let mut failed = Vec::new();
    for n in 0..2 {
        let mut of_version = query(&engines, Some(&prompt), &failed);
        of_version.software = Some("v2");
        let runner = gateway.place(ms(10 + n), &of_version).expect("v2").runner;
        for _ in 0..3 {
            gateway.ended(ms(20), runner, RunOutcome::Failed);
        }
        failed.push(runner);
    }
    let mut of_version = query(&engines, Some(&prompt), &[]);
    of_version.software = Some("v2");
    let mut placed = Vec::new();
    for n in 0..5 {
        let now = ms(30 + n);
        let runner = gateway.place(now, &of_version).expect("v2").runner;
        gateway.sent(now, runner, Some(&prompt));
        placed.push(runner);
    }
    assert!(!failed.contains(&placed[0]), "the open runner comes first");
    let at_failed = placed.iter().filter(|r| failed.contains(r)).count();
    assert!(at_failed >= 2, "{at_failed} of 5 at the others");
}

fn admission(services: &[&str]) -> Admission {
    let mut route = route("long", CallKind::Stream { resumable: true }, services[0]);
    let target = |service: &&str| WeightedTarget {
        service: (*service).into(),
        weight: 1,
    };
    route.targets = services.iter().map(target).collect();
    Admission {
        route: Arc::new(route),
        account: None,
        cache_group: CacheGroup::All,
        service: services[0].into(),
    }
}

#[test]
fn a_stream_of_a_service_that_its_route_left_goes_on_nowhere() {
    let gateway = gateway_with(vec![versioned(1, "v1")]);
    let (moved, later) = (admission(&["engines"]), ms(60_000));
    let refusal = gateway.resumed_at(later, &moved, Some(origin("desk")));
    let refusal = refusal.expect_err("the other service began the stream");
    assert_eq!(refusal.kind, ErrorKind::NotResumable);
    let resumed = gateway.resumed_at(later, &moved, None);
    assert_eq!(resumed, Ok(origin("engines")));
}

#[test]
fn a_stream_of_unknown_origin_goes_on_at_none_of_several_services() {
    let gateway = gateway_with(vec![versioned(1, "v1")]);
    let (shared, later) = (admission(&["engines", "desk"]), ms(60_000));
    assert!(gateway.resumed_at(later, &shared, None).is_err());
    let resumed = gateway.resumed_at(later, &shared, Some(origin("desk")));
    assert_eq!(resumed, Ok(origin("desk")));
}

#[test]
fn versions_count_of_every_service_to_which_the_route_leads() {
    let gateway = gateway_with(vec![versioned(1, "v1")]);
    let knows = |services: &[&str]| gateway.knows_versions(&admission(services).route);
    assert!(knows(&["engines"]) && knows(&["desk", "engines"]));
    assert!(!knows(&["desk"]));
}

#[test]
fn few_entries_report_origins_within_milliseconds() {
    let mut gateway = gateway_with(vec![versioned(1, "v1")]);
    let intervals = [3, 60, 600].map(|entries| {
        let mut state = fleet_state(1);
        state.entries = entries;
        gateway.on_fleet_state(ms(0), state, None);
        gateway.origin_report_interval()
    });
    assert_eq!(intervals, [ms(5), ms(100), ms(250)]);
}
