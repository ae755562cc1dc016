//! Which runners are known after readings of the list that are incomplete or contradict themselves.

use std::time::Duration;

use dotterelrudder_daemon::fleet::RunnerList;
use dotterelrudder_wire::RunnerRecord;

const NOW: Duration = Duration::from_secs(10);

fn record(identity: &str, last: u8) -> RunnerRecord {
    RunnerRecord {
        identity: identity.into(),
        service: "engines".into(),
        address: ([10, 0, 0, last], 8080).into(),
        data_centre: "north".into(),
        slots: 8,
        leaving: false,
        weights: Vec::new(),
        software: Some("v1".into()),
        born_ms: 5,
        cold_left: None,
    }
}

fn names(records: Option<Vec<RunnerRecord>>) -> Vec<String> {
    let mut names: Vec<String> = records
        .expect("the list is known")
        .iter()
        .map(|r| format!("{}@{}", r.identity, r.address.ip()))
        .collect();
    names.sort();
    names
}

#[test]
fn an_incomplete_reading_removes_no_runner() {
    let mut list = RunnerList::default();
    let all = vec![record("a", 1), record("b", 2), record("c", 3)];
    list.apply(NOW, all, true);
    let (known, _) = list.apply(NOW, vec![record("a", 1), record("d", 2)], false);
    // The address of b is used by another runner now.
    assert_eq!(names(known), ["a@10.0.0.1", "c@10.0.0.3", "d@10.0.0.2"]);
    let (known, _) = list.apply(NOW, vec![record("a", 1)], true);
    assert_eq!(names(known), ["a@10.0.0.1"]);
}

#[test]
fn an_incomplete_first_reading_is_held_back_for_a_while() {
    let mut list = RunnerList::default();
    assert_eq!(list.apply(NOW, vec![record("a", 1)], false).0, None);
    let soon = NOW + Duration::from_millis(1_900);
    assert_eq!(list.apply(soon, vec![record("a", 1)], false).0, None);
    let later = NOW + Duration::from_secs(2);
    let (known, _) = list.apply(later, vec![record("a", 1)], false);
    assert_eq!(names(known), ["a@10.0.0.1"]);
}

#[test]
fn of_two_entries_with_one_id_the_known_place_counts() {
    for odd_is_first in [false, true] {
        let mut list = RunnerList::default();
        list.apply(NOW, vec![record("a", 1)], true);
        let mut records = vec![record("a", 1), record("a", 9)];
        if odd_is_first {
            records.reverse();
        }
        let (known, conflicts) = list.apply(NOW, records, true);
        assert_eq!(names(known), ["a@10.0.0.1"], "odd first: {odd_is_first}");
        assert_eq!(conflicts, [record("a", 9)], "odd first: {odd_is_first}");
    }
    // Without an earlier reading the first one counts.
    let mut list = RunnerList::default();
    let (known, _) = list.apply(NOW, vec![record("a", 1), record("a", 9)], true);
    assert_eq!(names(known), ["a@10.0.0.1"]);
}

#[test]
fn a_runner_that_one_of_its_entries_shows_as_leaving_is_leaving() {
    let leaving = RunnerRecord {
        leaving: true,
        ..record("a", 1)
    };
    for records in [
        vec![leaving.clone(), record("a", 1)],
        vec![record("a", 1), leaving],
    ] {
        let (known, conflicts) = RunnerList::default().apply(NOW, records, true);
        assert!(known.is_some_and(|k| k.len() == 1 && k[0].leaving));
        assert_eq!(conflicts, []);
    }
}

#[test]
fn the_newest_start_of_a_runner_counts() {
    let newer = RunnerRecord {
        born_ms: 6,
        ..record("a", 1)
    };
    let older = RunnerRecord {
        leaving: true,
        ..record("a", 1)
    };
    let (known, _) = RunnerList::default().apply(NOW, vec![newer, older], true);
    assert!(known.is_some_and(|k| k[0].born_ms == 6 && !k[0].leaving));
}
