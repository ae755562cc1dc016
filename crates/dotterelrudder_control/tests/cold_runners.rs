//! Which runners the leader takes to be cold, by the list, reports of sides and presumptions.

use std::net::SocketAddr;
use std::time::Duration;

use dotterelrudder_config::deployment::DeploymentConfiguration;
use dotterelrudder_config::deployment::ServiceEndpoint;
use dotterelrudder_config::deployment::WarmUp;
use dotterelrudder_control::ColdRunners;
use dotterelrudder_wire::RunnerRecord;

const RATE: f64 = 20.0;
const COLD_TIME: Duration = Duration::from_secs(3);
/// The time since the epoch, in milliseconds, by which the first list shows how old starts are.
const CLOCK_MS: u64 = 1_000_000;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn configuration() -> DeploymentConfiguration {
    let service = ServiceEndpoint {
        name: "engines".into(),
        health_path: "/healthz".into(),
        max_connections: 0,
        engine: None,
        store: None,
        warm_up: Some(WarmUp {
            time: COLD_TIME,
            requests_per_s: RATE,
        }),
    };
    DeploymentConfiguration {
        services: vec![service],
        ..DeploymentConfiguration::default()
    }
}

fn address(n: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, n], 80))
}

/// A listed runner; `cold_ms` is how long the list states that it stays cold.
fn record(identity: &str, n: u8, born_ms: u64, cold_ms: u64) -> RunnerRecord {
    RunnerRecord {
        identity: identity.into(),
        service: "engines".into(),
        address: address(n),
        data_centre: if n == 1 { "north" } else { "south" }.into(),
        slots: 1,
        leaving: false,
        weights: Vec::new(),
        software: None,
        born_ms,
        cold_left: Some(ms(cold_ms)),
    }
}

/// The state after a first list at 10 s with one runner that has been warm for long.
fn with_warm_runner() -> ColdRunners {
    let mut runners = ColdRunners::default();
    runners.configure(&configuration());
    runners.on_list(&[record("a", 1, 5, 0)], CLOCK_MS, ms(10_000));
    runners.take_announcement(ms(10_000));
    runners
}

fn rate_of(runners: &ColdRunners, identity: &str) -> Option<f64> {
    let mut rates = runners.rates();
    let found = rates.find(|(id, _, _)| *id == identity);
    found.and_then(|(_, rate, is_cold)| is_cold.then_some(rate))
}

#[test]
fn the_first_list_of_a_leader_does_not_make_all_runners_cold() {
    let mut runners = ColdRunners::default();
    runners.configure(&configuration());
    let listed = [
        record("old", 1, 5, 0),
        record("young", 2, CLOCK_MS - 1_000, 0),
        record("stated", 3, 5, 700),
        // The leader's clock is behind.
        record("future", 4, CLOCK_MS + 60_000, 0),
    ];
    runners.on_list(&listed, CLOCK_MS, ms(10_000));
    assert_eq!(rate_of(&runners, "old"), None);
    assert_eq!(rate_of(&runners, "future"), None);
    assert_eq!(rate_of(&runners, "young"), Some(RATE));
    assert_eq!(rate_of(&runners, "stated"), Some(RATE));
    runners.tick(ms(11_990));
    assert_eq!(rate_of(&runners, "young"), Some(RATE));
    assert_eq!(rate_of(&runners, "stated"), None);
    runners.tick(ms(12_000));
    assert_eq!(rate_of(&runners, "young"), None);
}

#[test]
fn a_new_runner_is_cold_though_the_list_never_states_it() {
    let mut runners = with_warm_runner();
    let listed = [record("a", 1, 5, 0), record("b", 2, 5, 0)];
    runners.on_list(&listed, CLOCK_MS, ms(20_000));
    assert_eq!(rate_of(&runners, "a"), None);
    assert_eq!(rate_of(&runners, "b"), Some(RATE));
    runners.on_list(&listed, CLOCK_MS, ms(22_000));
    assert_eq!(rate_of(&runners, "b"), Some(RATE));
    runners.tick(ms(23_000));
    assert_eq!(rate_of(&runners, "b"), None);
}

#[test]
fn a_report_shows_a_start_that_the_list_does_not_show_yet() {
    let mut runners = with_warm_runner();
    runners.on_report(address(1), 6, ms(20_000));
    assert_eq!(rate_of(&runners, "a"), Some(RATE));
    // The list lags, and then shows the same start as cold for longer than it is.
    runners.on_list(&[record("a", 1, 5, 0)], CLOCK_MS, ms(20_300));
    assert_eq!(rate_of(&runners, "a"), Some(RATE));
    runners.on_list(&[record("a", 1, 6, 2_900)], CLOCK_MS, ms(20_900));
    runners.tick(ms(22_990));
    assert_eq!(rate_of(&runners, "a"), Some(RATE), "one start counts once");
    runners.tick(ms(23_000));
    assert_eq!(rate_of(&runners, "a"), None);
}

#[test]
fn a_runner_that_becomes_cold_without_a_start_is_known_from_the_list() {
    let mut runners = with_warm_runner();
    runners.on_list(&[record("a", 1, 5, 2_500)], CLOCK_MS, ms(20_000));
    assert_eq!(rate_of(&runners, "a"), Some(RATE));
    // A list that may be older than the last one does not make it warm.
    runners.on_list(&[record("a", 1, 5, 0)], CLOCK_MS, ms(20_300));
    assert_eq!(rate_of(&runners, "a"), Some(RATE));
    runners.on_list(&[record("a", 1, 5, 0)], CLOCK_MS, ms(21_000));
    assert_eq!(rate_of(&runners, "a"), None);
}

#[test]
fn the_runners_of_a_data_centre_are_presumed_cold_until_a_later_list_shows_otherwise() {
    let mut runners = with_warm_runner();
    let listed = [record("a", 1, 5, 0), record("b", 2, 5, 0)];
    runners.on_list(&listed, CLOCK_MS, ms(20_000));
    runners.tick(ms(30_000));
    runners.presume_cold(&"south".into(), ms(30_000));
    assert_eq!(rate_of(&runners, "a"), None);
    assert_eq!(rate_of(&runners, "b"), Some(RATE));
    runners.on_list(&listed, CLOCK_MS, ms(30_900));
    assert_eq!(rate_of(&runners, "b"), Some(RATE));
    runners.on_list(&listed, CLOCK_MS, ms(31_000));
    assert_eq!(rate_of(&runners, "b"), None);
    // Without a list that states it, the time decides.
    runners.presume_cold(&"south".into(), ms(40_000));
    let unstated = RunnerRecord {
        cold_left: None,
        ..record("b", 2, 5, 0)
    };
    runners.on_list(&[unstated], CLOCK_MS, ms(42_000));
    assert_eq!(rate_of(&runners, "b"), Some(RATE));
    runners.tick(ms(43_000));
    assert_eq!(rate_of(&runners, "b"), None);
}

#[test]
fn the_rate_halves_with_each_further_start_down_to_a_floor_and_recovers() {
    let mut runners = with_warm_runner();
    let mut rates = Vec::new();
    for start in 0..6u64 {
        let now = ms(20_000 + start);
        let identity = format!("a{start}");
        runners.on_list(&[record(&identity, 1, 6 + start, 3_000)], CLOCK_MS, now);
        rates.push(rate_of(&runners, &identity).expect("a new runner is cold"));
    }
    let expected = [20.0, 10.0, 5.0, 2.5, 2.5, 2.5];
    for (rate, expected) in rates.iter().zip(expected) {
        assert!((rate - expected).abs() < 0.01, "{rates:?}");
    }
    // Six starts are forgotten after six times 20 s.
    runners.on_list(&[record("late", 1, 99, 3_000)], CLOCK_MS, ms(141_000));
    assert_eq!(rate_of(&runners, "late"), Some(RATE));
}

#[test]
fn a_new_leader_does_not_call_runners_warm_before_its_lists_can_show_it() {
    let runners = with_warm_runner();
    let early = runners
        .announcement(ms(10_500))
        .expect("a service warms up");
    assert_eq!((early.services.len(), early.runners.len()), (1, 0));
    let later = runners
        .announcement(ms(11_000))
        .expect("a service warms up");
    assert_eq!(later.runners.len(), 1);
    assert_eq!(later.runners[0].rate, None);
}

#[test]
fn nothing_is_announced_or_kept_without_a_declared_warm_up() {
    let mut runners = ColdRunners::default();
    assert!(!runners.configure(&DeploymentConfiguration::default()));
    runners.on_list(&[record("a", 1, 5, 3_000)], CLOCK_MS, ms(10_000));
    runners.on_report(address(1), 6, ms(10_100));
    runners.presume_cold(&"north".into(), ms(10_200));
    runners.tick(ms(10_300));
    assert_eq!(runners.take_announcement(ms(10_400)), None);
    assert_eq!(runners.announcement(ms(10_400)), None);
    assert_eq!(runners.rates().count(), 0);
    // Once declared and withdrawn again, entries are told so once.
    runners.configure(&configuration());
    assert!(runners.take_announcement(ms(10_500)).is_some());
    runners.configure(&DeploymentConfiguration::default());
    let withdrawn = runners.take_announcement(ms(10_600));
    assert!(withdrawn.is_some_and(|w| w.services.is_empty()));
    assert_eq!(runners.take_announcement(ms(10_700)), None);
}
