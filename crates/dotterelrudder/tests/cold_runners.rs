//! Cold runners: in no second does one get more requests than it takes, whatever happens to entries and
//! leaders, and a crash loop ends by itself.

mod limit_fleet;

use std::time::Duration;

use limit_fleet::support::ms;
use limit_fleet::LimitFleet;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use rand::Rng;
use rand_chacha::ChaCha8Rng;

/// The most that a service allows in one second, for `rate` requests a second.
fn allowed(rate: f64) -> f64 {
    rate * 1.5 + 5.0
}

/// Draws entries with equal probability.
fn spread(entries: usize) -> impl FnMut(&mut ChaCha8Rng, Duration) -> usize + Copy {
    move |rng, _| rng.random_range(0..entries)
}

/// Crashes all runners at once.
fn crash_all(fleet: &mut LimitFleet) {
    let now = fleet.now;
    let world = fleet.cold.as_mut().expect("runners warm up");
    (0..world.processes.len()).for_each(|n| world.crash(n, now));
}

fn crashes_since(fleet: &LimitFleet, from: Duration) -> usize {
    let world = fleet.cold.as_ref().expect("runners warm up");
    world.crashes.iter().filter(|at| **at > from).count()
}

#[test]
fn a_cold_runner_gets_no_more_than_its_rate_at_any_number_of_entries() {
    println!("entries  rate  most in 1 s  used/rate");
    for (entries, runners) in [(2, 6), (22, 6), (42, 6), (190, 6), (580, 6)] {
        for rate in [12.0, 20.0] {
            let mut fleet = LimitFleet::with_warm_up(entries, runners, rate, true);
            // Ten times what cold runners take.
            let load = [(1, 10.0 * rate * f64::from(runners))];
            fleet.run(ms(1_000), &load, spread(entries));
            crash_all(&mut fleet);
            let from = fleet.now;
            fleet.run(ms(6_000), &load, spread(entries));
            let world = fleet.cold.as_ref().expect("runners warm up");
            let most = world.most_in_a_second(from);
            let got: usize = world.processes.iter().map(|p| p.cold_arrivals.len()).sum();
            let used = got as f64 / f64::from(runners) / 3.0 / rate;
            println!("{entries:7} {rate:5} {most:12} {used:10.2}");
            assert!(most as f64 <= rate, "{most} of {rate} at {entries} entries");
            assert!(
                used >= 0.3,
                "{used:.2} of the rate used at {entries} entries"
            );
            assert_eq!(crashes_since(&fleet, from), 0);
        }
    }
}

/// A deployment whose runners crash at once, with ten times the load that cold runners take.
fn crashed(entries: usize, rate: f64) -> (LimitFleet, [(u8, f64); 1]) {
    let runners = 4;
    let mut fleet = LimitFleet::with_warm_up(entries, runners, rate, true);
    let load = [(1, 10.0 * rate * f64::from(runners))];
    fleet.run(ms(1_000), &load, spread(entries));
    (fleet, load)
}

fn most_in_a_second(fleet: &LimitFleet, from: Duration) -> f64 {
    let world = fleet.cold.as_ref().expect("runners warm up");
    world.most_in_a_second(from) as f64
}

#[test]
fn entries_that_are_cut_off_send_cold_runners_no_more_than_the_reserve() {
    println!("entries  cut off  most in 1 s  allowed");
    for entries in [2, 22, 42, 190, 580] {
        for half in [false, true] {
            let (mut fleet, load) = crashed(entries, 20.0);
            let world = fleet.cold.as_mut().expect("runners warm up");
            // Entries can't know new identities while they are cut off.
            world.keeps_identity = true;
            world.cold_time = Duration::from_secs(9);
            world.begin_leadership(fleet.now);
            fleet.run(ms(500), &load, spread(entries));
            let cut_off = if half { entries / 2 } else { entries };
            crash_all(&mut fleet);
            // The runners are up again after one second, and listed again after another one.
            fleet.run(ms(2_500), &load, spread(entries));
            for entry in &mut fleet.entries[..cut_off] {
                entry.connected = false;
            }
            let from = fleet.now;
            fleet.run(ms(7_000), &load, spread(entries));
            let most = most_in_a_second(&fleet, from);
            let got = fleet.cold.as_ref().expect("runners warm up");
            let got: usize = got.processes.iter().map(|p| p.cold_arrivals.len()).sum();
            println!(
                "{entries:7} {cut_off:8} {most:12} {:8}, {got} in all",
                allowed(20.0)
            );
            assert!(
                most <= allowed(20.0),
                "{most} with {cut_off} of {entries} cut off"
            );
            assert_eq!(crashes_since(&fleet, from), 0);
        }
    }
}

#[test]
fn a_runner_that_restarts_under_its_identity_is_cold_before_anybody_is_told() {
    println!("entries  most in 1 s  allowed");
    for entries in [2, 22, 42, 190, 580] {
        let (mut fleet, load) = crashed(entries, 20.0);
        let world = fleet.cold.as_mut().expect("runners warm up");
        world.keeps_identity = true;
        world.list_states_cold = false;
        crash_all(&mut fleet);
        let from = fleet.now;
        fleet.run(ms(6_000), &load, spread(entries));
        let most = most_in_a_second(&fleet, from);
        println!("{entries:7} {most:12} {:8}", allowed(20.0));
        assert!(most <= allowed(20.0), "{most} at {entries} entries");
        assert_eq!(crashes_since(&fleet, from), 0);
    }
}

#[test]
fn an_entry_that_resumes_sends_nothing_on_what_it_knew_before() {
    println!("entries  most in 1 s  rate");
    for entries in [2, 22, 42, 190, 580] {
        for keeps_identity in [false, true] {
            let (mut fleet, load) = crashed(entries, 20.0);
            let world = fleet.cold.as_mut().expect("runners warm up");
            world.keeps_identity = keeps_identity;
            // All entries but one stand still while the runners become cold; requests wait at them.
            for n in 1..entries {
                fleet.entries[n].frozen = true;
            }
            crash_all(&mut fleet);
            let from = fleet.now;
            fleet.run(ms(2_300), &load, |_, _| 0);
            for n in 1..entries {
                fleet.burst(n, 1, 40);
                fleet.thaw(n);
            }
            fleet.run(ms(4_000), &load, spread(entries));
            let most = most_in_a_second(&fleet, from);
            println!("{entries:7} {most:12} {:5}", 20.0);
            assert!(most <= 20.0, "{most} at {entries} entries");
        }
    }
}

#[test]
fn an_entry_that_resumes_knows_of_runners_that_became_cold_without_a_restart() {
    let (mut fleet, load) = crashed(22, 20.0);
    for n in 0..22 {
        fleet.entries[n].frozen = true;
    }
    let now = fleet.now;
    let world = fleet.cold.as_mut().expect("runners warm up");
    (0..4).for_each(|n| world.cool(n, now));
    fleet.run(ms(2_000), &[], spread(22));
    for n in 0..22 {
        fleet.burst(n, 1, 40);
        fleet.thaw(n);
    }
    let from = fleet.now;
    fleet.run(ms(1_000), &load, spread(22));
    let most = most_in_a_second(&fleet, from);
    assert!(most <= 20.0, "{most}");
}

#[test]
fn a_runner_that_becomes_cold_without_a_restart_is_spared_once_the_list_shows_it() {
    for entries in [2, 22, 190] {
        let (mut fleet, load) = crashed(entries, 20.0);
        let now = fleet.now;
        let world = fleet.cold.as_mut().expect("runners warm up");
        world.crashes_enabled = false;
        world.cold_time = Duration::from_secs(5);
        world.cool(0, now);
        // The list lags by 800 ms and is read every 300 ms; a window counts what was sent before.
        fleet.run(ms(1_200), &load, spread(entries));
        let from = fleet.now;
        fleet.run(ms(3_500), &load, spread(entries));
        let most = most_in_a_second(&fleet, from);
        assert!(most <= 20.0, "{most} at {entries} entries");
    }
}

#[test]
fn restarted_entries_and_new_leaders_keep_the_rate() {
    println!("entries  most in 1 s  rate");
    for entries in [2, 22, 42, 190, 580] {
        let (mut fleet, load) = crashed(entries, 20.0);
        crash_all(&mut fleet);
        let from = fleet.now;
        for round in 0..8 {
            fleet.run(ms(400), &load, spread(entries));
            for n in (round..entries).step_by(4) {
                fleet.restart(n);
            }
            if round % 2 == 1 {
                fleet.change_leader(ms(600));
            }
        }
        fleet.run(ms(2_000), &load, spread(entries));
        let most = most_in_a_second(&fleet, from);
        println!("{entries:7} {most:12} {:5}", 20.0);
        assert!(most <= 20.0, "{most} at {entries} entries");
    }
}

/// All runners have just crashed, there is full load and a burst of long prompts, and all entries were
/// restarted. Returns when runners crashed after that, and when all of them were in use, as seconds since.
fn replay_worst_state(declared: bool) -> (Vec<f64>, Option<f64>) {
    let (entries, runners) = (22, 41);
    let mut fleet = LimitFleet::with_warm_up(entries, runners, 20.0, declared);
    let load = [(1, 25.0 * f64::from(runners))];
    fleet.run(ms(1_000), &load, spread(entries));
    crash_all(&mut fleet);
    let from = fleet.now;
    for n in 0..entries {
        fleet.restart(n);
        fleet.burst(n, 6, 20);
    }
    let mut in_use_at = None;
    for _ in 0..60 {
        let got = |fleet: &LimitFleet| -> Vec<u32> {
            let world = fleet.cold.as_ref().expect("runners warm up");
            world.processes.iter().map(|p| p.arrivals).collect()
        };
        let before = got(&fleet);
        fleet.run(ms(500), &load, spread(entries));
        let after = got(&fleet);
        // An equal part of the load is 12 requests in this time.
        let in_use = before.iter().zip(&after).all(|(b, a)| a - b >= 5);
        if in_use && in_use_at.is_none() {
            in_use_at = Some((fleet.now - from).as_secs_f64());
        }
    }
    let world = fleet.cold.as_ref().expect("runners warm up");
    let crashes = world.crashes.iter().filter(|at| **at > from);
    let crashes = crashes.map(|at| (*at - from).as_secs_f64()).collect();
    (crashes, in_use_at)
}

#[test]
fn a_crash_loop_ends_by_itself_and_goes_on_where_no_warm_up_is_declared() {
    let (crashes, in_use) = replay_worst_state(true);
    println!(
        "declared: {} further crashes, in use after {in_use:?} s",
        crashes.len()
    );
    assert!(crashes.is_empty(), "{crashes:?}");
    // One second until they start, three seconds cold, and the slow start.
    assert!(in_use.is_some_and(|s| s <= 5.0), "{in_use:?}");
    let (crashes, _) = replay_worst_state(false);
    let late = crashes.iter().filter(|at| **at >= 20.0).count();
    println!(
        "not declared: {} further crashes, {late} after 20 s",
        crashes.len()
    );
    assert!(late > 0, "the replay doesn't show the loop: {crashes:?}");
}

/// A disturbance between two stretches of load.
#[derive(Debug, Clone)]
enum Disturbance {
    CrashAll,
    Crash(usize),
    Cut(usize),
    Heal,
    Freeze(usize),
    Thaw,
    Restart(usize),
    ChangeLeader(u64),
    Load(f64),
}

fn disturbance() -> impl Strategy<Value = Disturbance> {
    prop_oneof![
        Just(Disturbance::CrashAll),
        (0..64usize).prop_map(Disturbance::Crash),
        (0..64usize).prop_map(Disturbance::Cut),
        Just(Disturbance::Heal),
        (0..64usize).prop_map(Disturbance::Freeze),
        Just(Disturbance::Thaw),
        (0..64usize).prop_map(Disturbance::Restart),
        (300..1_500u64).prop_map(Disturbance::ChangeLeader),
        (0.05..12.0f64).prop_map(Disturbance::Load),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 128, failure_persistence: None,
        rng_seed: RngSeed::Fixed(29), ..ProptestConfig::default() })]

    #[test]
    fn no_cold_runner_gets_more_than_its_service_allows_whatever_happens(
        entries in 2..12usize,
        runners in 1..5u16,
        rate in prop_oneof![Just(2.0f64), 8.0..30.0f64],
        keeps_identity in any::<bool>(),
        list_states_cold in any::<bool>(),
        steps in prop::collection::vec((disturbance(), 50..1_500u64), 1..16),
    ) {
        let mut fleet = LimitFleet::with_warm_up(entries, runners, rate, true);
        let world = fleet.cold.as_mut().expect("runners warm up");
        world.keeps_identity = keeps_identity;
        world.list_states_cold = list_states_cold;
        // What is sent beyond the bound is counted, and has no further consequence.
        world.crashes_enabled = false;
        let load = |load: f64| [(1, load * rate * f64::from(runners))];
        let mut current = 3.0;
        fleet.run(ms(1_500), &load(current), spread(entries));
        let from = fleet.now;
        for (disturbance, length) in steps {
            match disturbance {
                Disturbance::CrashAll => crash_all(&mut fleet),
                Disturbance::Crash(n) => {
                    let now = fleet.now;
                    let world = fleet.cold.as_mut().expect("runners warm up");
                    world.crash(n % usize::from(runners), now);
                }
                Disturbance::Cut(n) => fleet.entries[n % entries].connected = false,
                Disturbance::Heal => fleet.entries.iter_mut().for_each(|e| e.connected = true),
                Disturbance::Freeze(n) => fleet.entries[n % entries].frozen = true,
                Disturbance::Thaw => (0..entries).for_each(|n| fleet.thaw(n)),
                Disturbance::Restart(n) => fleet.restart(n % entries),
                Disturbance::ChangeLeader(gap) => fleet.change_leader(ms(gap)),
                Disturbance::Load(l) => current = l,
            }
            fleet.run(ms(length), &load(current), spread(entries));
        }
        let most = most_in_a_second(&fleet, from);
        prop_assert!(most <= allowed(rate), "{most} of {}", allowed(rate));
        (0..entries).for_each(|n| fleet.thaw(n));
        fleet.entries.iter_mut().for_each(|e| e.connected = true);
        fleet.run(ms(12_000), &load(0.5), spread(entries));
        let world = fleet.cold.as_ref().expect("runners warm up");
        let warm = world.warm(fleet.now);
        prop_assert_eq!(warm, usize::from(runners));
        let cold = fleet.entries.iter().map(|e| e.gateway.cold_runners()).max();
        prop_assert_eq!(cold, Some(0), "runners stay cold at an entry");
    }
}

#[test]
fn the_cost_of_cold_runners_stays_small() {
    println!("entries  runners  messages/s  bytes/s an entry  leader in 100 of a core");
    for (entries, runners) in [(22, 41), (42, 49), (190, 60)] {
        let mut fleet = LimitFleet::with_warm_up(entries, runners, 20.0, true);
        // Full load, as in the replay of the crash loop.
        let load = [(1, 25.0 * f64::from(runners))];
        fleet.run(ms(1_000), &load, spread(entries));
        crash_all(&mut fleet);
        fleet.run(ms(1_500), &load, spread(entries));
        (fleet.messages, fleet.bytes) = (0, 0);
        fleet.leader_time = Duration::ZERO;
        let length = ms(2_000);
        fleet.run(length, &load, spread(entries));
        let per_s = |n: f64| n / length.as_secs_f64();
        let bytes = per_s(fleet.bytes as f64) / entries as f64;
        println!(
            "{entries:7} {runners:8} {:11.0} {bytes:17.0} {:24.2}",
            per_s(fleet.messages as f64),
            100.0 * per_s(fleet.leader_time.as_secs_f64()),
        );
        // What a node may spend for control, in bytes a second.
        assert!(bytes <= 7_000.0, "{bytes}");
    }
}
