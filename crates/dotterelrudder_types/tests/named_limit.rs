//! The limit in force while answers name different limits, or none.

use std::time::Duration;

use dotterelrudder_types::NamedLimit;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

#[test]
fn a_lower_limit_counts_at_once_and_a_higher_one_after_the_hold_and_several_answers() {
    let mut limit = NamedLimit::default();
    assert_eq!(limit.rate(), None);
    limit.on_named(ms(0), 5.0);
    limit.on_named(ms(10), 2.0);
    assert_eq!(limit.rate(), Some(2.0));
    for at in [20, 30, 40, 50, 900] {
        limit.on_named(ms(at), 8.0);
        assert_eq!(limit.rate(), Some(2.0), "at {at} ms");
    }
    limit.on_named(ms(1_010), 9.0);
    assert_eq!(limit.rate(), Some(8.0));
}

#[test]
fn a_limit_below_one_a_second_does_not_rise_with_single_answers() {
    let mut limit = NamedLimit::default();
    for n in 0..20 {
        limit.on_named(ms(n * 8_000), 0.5);
        limit.on_named(ms(n * 8_000 + 2_000), 50.0);
        limit.on_answers_without(ms(n * 8_000 + 4_000), 1);
        limit.on_named(ms(n * 8_000 + 6_000), 50.0);
        assert_eq!(limit.rate(), Some(0.5), "round {n}");
    }
}

#[test]
fn a_limit_that_alternates_from_answer_to_answer_stays_at_its_lowest() {
    let mut limit = NamedLimit::default();
    for n in 0..100 {
        limit.on_named(ms(n * 300), if n % 2 == 0 { 2.0 } else { 200.0 });
        assert_eq!(limit.rate(), Some(2.0), "answer {n}");
    }
}

#[test]
fn answers_without_a_limit_end_it_only_after_the_hold() {
    let mut limit = NamedLimit::default();
    limit.on_named(ms(0), 2.0);
    limit.on_answers_without(ms(500), 9);
    assert_eq!(
        limit.rate(),
        Some(2.0),
        "answers to earlier requests arrive late"
    );
    limit.on_named(ms(600), 2.0);
    limit.on_answers_without(ms(2_000), 1);
    assert_eq!(limit.rate(), Some(2.0), "one answer lacked the limit");
    limit.on_answers_without(ms(2_100), 3);
    assert_eq!(limit.rate(), None);
    limit.on_named(ms(2_200), 3.0);
    assert_eq!(limit.rate(), Some(3.0));
}

#[test]
fn a_limit_of_zero_is_a_limit() {
    let mut limit = NamedLimit::default();
    limit.on_named(ms(0), 0.0);
    assert_eq!(limit.rate(), Some(0.0));
}
