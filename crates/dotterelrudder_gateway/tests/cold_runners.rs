//! What an entry sends to a runner that is cold, or that it can't know to be warm.

mod support;

use std::time::Duration;

use dotterelrudder_gateway::AnswerLimit;
use dotterelrudder_gateway::Gateway;
use dotterelrudder_gateway::NotPlaced;
use dotterelrudder_gateway::Placement;
use dotterelrudder_gateway::RunOutcome;
use dotterelrudder_wire::LimitGrants;
use dotterelrudder_wire::RunnerGrant;
use dotterelrudder_wire::RunnerWarmUps;
use dotterelrudder_wire::WarmUpUpdate;
use support::fleet_state;
use support::gateway;
use support::load;
use support::ms;
use support::place;
use support::prompt;

/// What the leader announces about the first runner.
fn announced(rate: Option<f64>, left_ms: u32) -> RunnerWarmUps {
    RunnerWarmUps {
        services: vec![("engines".into(), 20.0)],
        runners: vec![WarmUpUpdate {
            runner: "i-1".into(),
            rate,
            left_ms,
        }],
    }
}

/// A gateway with one runner of a service that warms up.
fn warming() -> Gateway {
    let mut gateway = gateway(1);
    gateway.on_warm_ups(ms(100_000), announced(None, 0));
    gateway
}

fn try_place(gateway: &mut Gateway, at: u64) -> Result<Placement, NotPlaced> {
    place(gateway, ms(at), &prompt("s", 400, 100))
}

fn needs_permit(gateway: &mut Gateway, at: u64) -> bool {
    matches!(try_place(gateway, at), Err(NotPlaced::Limited(_)))
}

fn grant(number: u64) -> LimitGrants {
    LimitGrants {
        number,
        grants: vec![RunnerGrant {
            runner: "i-1".into(),
            permits: vec![(0, 1)],
            wanted: Vec::new(),
        }],
    }
}

/// Lets the leader confirm a query.
fn confirm(gateway: &mut Gateway, queried_at: u64) {
    gateway.on_fleet_state(ms(queried_at + 5), fleet_state(1), Some(ms(queried_at)));
}

/// Keeps the gateway from seeing a pause between two times.
fn stay_awake(gateway: &mut Gateway, from: u64, to: u64) {
    for at in (from..to).step_by(100) {
        gateway.watch_for_pause(ms(at));
    }
}

#[test]
fn a_cold_runner_gets_a_request_only_with_a_permit_of_short_validity() {
    let mut gateway = warming();
    assert!(try_place(&mut gateway, 100_000).is_ok());
    gateway.on_warm_ups(ms(100_010), announced(Some(20.0), 3_000));
    assert_eq!(gateway.cold_runners(), 1);
    assert!(needs_permit(&mut gateway, 100_020));
    let report = gateway
        .take_limit_report(ms(100_020))
        .expect("demand is reported");
    gateway.on_limit_grants(&grant(report.number));
    let placed = try_place(&mut gateway, 100_280).expect("there is a permit");
    assert_eq!(placed.limit.cold_rate, Some(20.0));
    assert_eq!(placed.limit.send_by, Some(ms(100_320)));
    let runner = placed.runner;
    gateway.sent(ms(100_280), runner, None);
    gateway.on_answer_limit(ms(100_285), runner, AnswerLimit::Absent);
    gateway.ended(ms(100_285), runner, RunOutcome::Answered);
    // The permit is used, and one that comes late is void.
    assert!(needs_permit(&mut gateway, 100_287));
    // A connection has to be opened before it expires.
    gateway.on_limit_grants(&grant(report.number));
    assert!(needs_permit(&mut gateway, 100_290));
}

#[test]
fn answers_without_a_limit_do_not_end_a_warm_up_but_its_time_does() {
    let mut gateway = warming();
    let runner = try_place(&mut gateway, 100_000).expect("warm").runner;
    gateway.on_warm_ups(ms(100_010), announced(Some(20.0), 3_000));
    for at in 0..20 {
        gateway.on_answer_limit(ms(101_000 + at * 100), runner, AnswerLimit::Absent);
    }
    stay_awake(&mut gateway, 100_010, 103_000);
    confirm(&mut gateway, 102_000);
    assert!(needs_permit(&mut gateway, 103_000));
    // No leader said so: the time that it announced is over.
    assert!(try_place(&mut gateway, 103_010).is_ok());
    assert_eq!(gateway.cold_runners(), 0);
}

/// Guards against an entry that takes a runner to be warm though it may have started again since the
/// entry was cut off.
#[test]
fn a_cold_time_does_not_end_by_itself_while_the_leader_does_not_answer() {
    let mut gateway = warming();
    gateway.on_warm_ups(ms(100_010), announced(Some(20.0), 3_000));
    stay_awake(&mut gateway, 100_010, 104_000);
    confirm(&mut gateway, 101_000);
    assert!(needs_permit(&mut gateway, 103_020));
    assert!(needs_permit(&mut gateway, 104_000));
    confirm(&mut gateway, 104_010);
    assert!(try_place(&mut gateway, 104_020).is_ok());
}

#[test]
fn a_runner_counts_as_cold_after_a_lost_connection_until_later_reports_show_it_to_be_the_same() {
    let mut gateway = warming();
    let runner = try_place(&mut gateway, 100_000).expect("warm").runner;
    assert!(gateway.on_connection_lost(ms(100_010), runner));
    assert!(needs_permit(&mut gateway, 100_020));
    // Reports that may have been under way before the loss show nothing.
    for at in [100_200, 100_500, 100_900] {
        gateway.on_load_reports(ms(at), vec![load(1, 0, 0)]);
    }
    stay_awake(&mut gateway, 100_000, 101_000);
    confirm(&mut gateway, 100_950);
    assert!(needs_permit(&mut gateway, 101_000));
    gateway.on_load_reports(ms(101_100), vec![load(1, 0, 0)]);
    confirm(&mut gateway, 101_100);
    assert!(needs_permit(&mut gateway, 101_150));
    gateway.on_load_reports(ms(101_300), vec![load(1, 0, 0)]);
    assert!(try_place(&mut gateway, 101_350).is_ok());
}

#[test]
fn a_report_of_another_start_does_not_show_that_a_runner_is_warm() {
    let mut gateway = warming();
    let runner = try_place(&mut gateway, 100_000).expect("warm").runner;
    gateway.on_connection_lost(ms(100_010), runner);
    stay_awake(&mut gateway, 100_000, 103_000);
    for at in [101_100, 101_300, 101_500, 102_900] {
        let mut other = load(1, 0, 0);
        other.traits.born_ms = 2;
        gateway.on_load_reports(ms(at), vec![other]);
    }
    confirm(&mut gateway, 102_900);
    assert!(needs_permit(&mut gateway, 103_000));
}

/// Guards against a restart that a new leader did not see, since the runner wasn't listed then.
#[test]
fn a_report_of_another_start_shows_that_a_runner_may_be_cold() {
    let mut gateway = warming();
    assert!(try_place(&mut gateway, 100_000).is_ok());
    let mut other = load(1, 0, 0);
    other.traits.born_ms = 2;
    gateway.on_load_reports(ms(100_100), vec![other]);
    assert!(needs_permit(&mut gateway, 100_110));
}

#[test]
fn a_lost_connection_changes_nothing_where_no_warm_up_is_declared() {
    let mut gateway = gateway(1);
    let runner = try_place(&mut gateway, 100_000).expect("warm").runner;
    assert!(!gateway.on_connection_lost(ms(100_010), runner));
    assert!(!gateway.watch_for_pause(ms(100_020)));
    assert!(!gateway.watch_for_pause(ms(109_020)));
    assert!(try_place(&mut gateway, 109_030).is_ok());
    assert!(gateway.take_limit_report(ms(109_040)).is_none());
}

#[test]
fn an_entry_that_stood_still_uses_permits_until_the_leader_answers_a_later_query() {
    let mut gateway = warming();
    assert!(try_place(&mut gateway, 100_000).is_ok());
    stay_awake(&mut gateway, 100_000, 101_000);
    assert!(try_place(&mut gateway, 101_000).is_ok());
    // Nothing was called for 4.5 s; the answer to an earlier query is read first.
    assert!(needs_permit(&mut gateway, 105_500));
    confirm(&mut gateway, 101_000);
    assert!(needs_permit(&mut gateway, 105_510));
    confirm(&mut gateway, 105_520);
    assert!(try_place(&mut gateway, 105_540).is_ok());
}

#[test]
fn requests_in_flight_at_a_runner_that_returned_grow_with_its_answers() {
    let mut gateway = warming();
    let runner = try_place(&mut gateway, 100_000).expect("warm").runner;
    gateway.on_connection_lost(ms(100_010), runner);
    gateway.on_warm_ups(ms(100_020), announced(Some(20.0), 1_000));
    gateway.on_warm_ups(ms(100_030), announced(None, 0));
    stay_awake(&mut gateway, 100_000, 102_000);
    for at in [101_100, 101_300] {
        gateway.on_load_reports(ms(at), vec![load(1, 0, 0)]);
    }
    confirm(&mut gateway, 101_400);
    let mut at = 102_000;
    for round in [1, 2, 4, 8] {
        let mut sent = 0;
        while try_place(&mut gateway, at).is_ok() {
            gateway.sent(ms(at), runner, None);
            sent += 1;
            assert!(sent <= 100, "unbounded");
        }
        assert_eq!(sent, round, "in flight at once");
        assert!(matches!(try_place(&mut gateway, at), Err(NotPlaced::Busy)));
        at += 50;
        for _ in 0..sent {
            gateway.on_answer_limit(ms(at), runner, AnswerLimit::Absent);
            gateway.ended(ms(at), runner, RunOutcome::Answered);
        }
    }
    for _ in 0..17 {
        gateway.sent(ms(at), runner, None);
    }
    let answers = 15 + 1;
    for _ in 15..answers {
        gateway.on_answer_limit(ms(at), runner, AnswerLimit::Absent);
    }
    assert!(
        try_place(&mut gateway, at).is_ok(),
        "it has shown that it works"
    );
}

#[test]
fn a_withdrawn_declaration_ends_all_warm_ups() {
    let mut gateway = warming();
    gateway.on_warm_ups(ms(100_010), announced(Some(20.0), 3_000));
    assert!(needs_permit(&mut gateway, 100_020));
    gateway.on_warm_ups(ms(100_030), RunnerWarmUps::default());
    assert!(try_place(&mut gateway, 100_040).is_ok());
    assert_eq!(gateway.cold_runners(), 0);
}

#[test]
fn a_wait_for_a_cold_runner_is_told_as_no_longer_than_the_runner_is_cold() {
    let mut gateway = warming();
    gateway.on_warm_ups(ms(100_000), announced(Some(2.0), 700));
    let service = support::engines();
    let text = prompt("s", 400, 100);
    let mut longest = Duration::ZERO;
    for request in 1..30 {
        let query = dotterelrudder_gateway::PlacementQuery {
            request,
            ..support::query(&service, Some(&text), &[])
        };
        match gateway.place(ms(100_100), &query) {
            Err(NotPlaced::Limited(wait)) => {
                assert!(wait.is_cold);
                longest = longest.max(wait.time);
            }
            placed => panic!("no wait for a permit: {placed:?}"),
        }
    }
    assert_eq!(longest, ms(600));
}
