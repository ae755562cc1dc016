//! What an entry does with runners that name request limits, before and after the leader answers.

mod support;

use std::time::Duration;

use dotterelrudder_gateway::Gateway;
use dotterelrudder_gateway::NotPlaced;
use dotterelrudder_gateway::PermitWait;
use dotterelrudder_gateway::Placement;
use dotterelrudder_gateway::PlacementQuery;
use dotterelrudder_wire::LimitGrants;
use dotterelrudder_wire::LimitUpdate;
use dotterelrudder_wire::RunnerGrant;
use support::engines;
use support::gateway;
use support::ms;
use support::place;
use support::prompt;
use support::query;

fn limit(rate: f64) -> Vec<LimitUpdate> {
    vec![LimitUpdate {
        runner: "i-1".into(),
        rate: Some(rate),
    }]
}

/// Returns how long a request would wait for a permit; fails if it was placed.
fn permit_wait(placed: Result<Placement, NotPlaced>) -> PermitWait {
    match placed {
        Err(NotPlaced::Limited(wait)) => wait,
        placed => panic!("no wait for a permit: {placed:?}"),
    }
}

#[test]
fn the_first_limit_does_not_make_an_entry_look_cut_off() {
    let mut gateway = gateway(1);
    gateway.on_limit_updates(ms(100_000), limit(6.0));
    let wait = permit_wait(place(&mut gateway, ms(100_001), &prompt("s", 400, 100)));
    assert!(!wait.is_known, "{wait:?}");
    assert!(wait.time < ms(1_000), "{wait:?}");
}

#[test]
fn reports_without_an_answer_show_that_the_entry_is_cut_off() {
    let mut gateway = gateway(1);
    gateway.on_limit_updates(ms(100_000), limit(6.0));
    for at in [100_000, 101_000, 102_000] {
        assert!(gateway.take_limit_report(ms(at)).is_some());
    }
    let wait = permit_wait(place(&mut gateway, ms(102_400), &prompt("s", 400, 100)));
    assert!(!wait.is_known, "{wait:?}");
    let wait = permit_wait(place(&mut gateway, ms(102_600), &prompt("s", 400, 100)));
    assert!(wait.is_known && wait.time > ms(2_000), "{wait:?}");
}

#[test]
fn a_permit_is_valid_for_one_request_and_from_the_report_on() {
    let mut gateway = gateway(1);
    let session = prompt("s", 400, 100);
    let answer = |gateway: &mut Gateway, reported_at: Duration| {
        let report = gateway.take_limit_report(reported_at).expect("a limit");
        gateway.on_limit_grants(&LimitGrants {
            number: report.number,
            grants: vec![RunnerGrant {
                runner: "i-1".into(),
                permits: vec![(0, 1)],
                wanted: Vec::new(),
            }],
        });
    };
    gateway.on_limit_updates(ms(100_000), limit(6.0));
    answer(&mut gateway, ms(100_000));
    let placement = place(&mut gateway, ms(100_900), &session).expect("a permit");
    assert_eq!(placement.limit.rate, Some(6.0));
    permit_wait(place(&mut gateway, ms(100_901), &session));
    answer(&mut gateway, ms(101_000));
    permit_wait(place(&mut gateway, ms(102_000), &session));
}

#[test]
fn a_limited_runner_without_a_permit_is_passed_over() {
    let mut gateway = gateway(2);
    gateway.on_limit_updates(ms(100_000), limit(6.0));
    for request in 0..20 {
        let session = prompt(&format!("s{request}"), 400, 100);
        let engines = engines();
        let query = PlacementQuery {
            request,
            ..query(&engines, Some(&session), &[])
        };
        let placed = gateway.place(ms(100_001), &query);
        let placement = placed.expect("another runner has room");
        assert_eq!(placement.identity, "i-2");
    }
    let report = gateway.take_limit_report(ms(100_002)).expect("demand");
    assert!(!report.runners[0].wanted.is_empty(), "{report:?}");
}
