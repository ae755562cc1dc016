//! Fetches and saves that are planned with the directory of stored parts.

mod support;

use std::net::SocketAddr;
use std::time::Duration;

use dotterelrudder_gateway::fetch_time_limit;
use dotterelrudder_gateway::CachePlan;
use dotterelrudder_gateway::Prompt;
use dotterelrudder_gateway::StoredParts;
use dotterelrudder_wire::DirectoryUpdate;
use dotterelrudder_wire::PartKey;
use dotterelrudder_wire::StoreStatus;
use dotterelrudder_wire::StoredPart;
use support::*;

fn store(n: u16, data_centre: &str, link_mbps: f64, capacity: u64) -> StoreStatus {
    StoreStatus {
        address: address(n),
        data_centre: data_centre.into(),
        capacity,
        link_mbps,
        first_ms: 0.5,
        fill: 0.0,
        accepts: true,
    }
}

fn address(n: u16) -> SocketAddr {
    format!("172.20.0.{n}:80")
        .parse()
        .expect("the test's own value is well formed")
}

fn key(part: &str) -> PartKey {
    PartKey {
        salt: "v1".into(),
        part: part.into(),
    }
}

fn held(n: u16, part: &str) -> StoredPart {
    StoredPart {
        store: address(n),
        key: key(part),
        tokens: 8_000,
    }
}

fn update(from: u64, number: u64, added: Vec<StoredPart>) -> DirectoryUpdate {
    DirectoryUpdate {
        from,
        number,
        stores: vec![
            store(1, "north", 33_000.0, 800_000),
            store(2, "south", 83_000.0, 100_000),
        ],
        stores_gone: Vec::new(),
        added,
        removed: Vec::new(),
    }
}

fn parts() -> StoredParts {
    let mut parts = StoredParts::default();
    assert!(parts.update(update(0, 10, vec![held(1, "s")])));
    parts.confirm(10, ms(0), 1_000, ms(0));
    parts
}

/// Plans a request to a runner in data centre `north` with a fetch limit of one second.
fn plan_at(parts: &mut StoredParts, now: Duration, prompt: &Prompt) -> CachePlan {
    parts.plan(now, prompt, "v1", &"north".into(), ms(1_000), ms(0))
}

#[test]
fn stored_parts_are_fetched_and_others_saved_once() {
    let mut parts = parts();
    let prompt = prompt("s", 8_000, 2_000);
    let plan = plan_at(&mut parts, ms(100), &prompt);
    assert_eq!(plan.fetch.as_slice(), [None, Some(address(1)), None]);
    // The common part is short and goes to the store with the fast link. The request's own part is
    // not saved.
    assert_eq!(plan.save.as_slice(), [Some(address(2)), None, None]);
    assert_eq!(plan.until_ms, Some(1_000 + 100 + 1_000));
    let again = plan_at(&mut parts, ms(200), &prompt);
    assert!(!again.saves());
    assert_eq!(parts.take_used(), [key("s")]);
}

/// Parts made with other weights or for an isolated account are not shared.
#[test]
fn parts_with_another_salt_are_not_fetched() {
    let mut parts = parts();
    let prompt = prompt("s", 8_000, 2_000);
    for salt in ["v2", "v1.bakery"] {
        assert!(!parts
            .plan(ms(100), &prompt, salt, &"north".into(), ms(1_000), ms(0))
            .fetches());
    }
}

/// Guards against naming a part that a newer leader may have freed: the directory is only used
/// while its confirmation is recent.
#[test]
fn a_directory_that_isn_t_confirmed_is_not_used() {
    let mut parts = parts();
    let prompt = prompt("s", 8_000, 2_000);
    assert!(plan_at(&mut parts, ms(3_199), &prompt).fetches());
    let plan = plan_at(&mut parts, ms(3_200), &prompt);
    assert!(!plan.fetches() && !plan.saves());
    // Confirming another version of the directory than the one held has no effect.
    parts.confirm(11, ms(3_200), 4_200, ms(3_200));
    assert!(!parts.is_usable(ms(3_200)));
    parts.confirm(10, ms(3_200), 4_200, ms(3_200));
    assert!(parts.is_usable(ms(3_200)));
}

#[test]
fn an_update_that_doesn_t_fit_drops_the_directory() {
    let mut parts = parts();
    assert!(!parts.update(update(11, 12, Vec::new())));
    assert!(parts.is_empty() && !parts.is_usable(ms(1)));
    assert!(parts.update(update(0, 12, vec![held(1, "s")])));
    // The confirmation of the dropped directory does not apply to the new one.
    assert!(!parts.is_usable(ms(1)));
}

#[test]
fn a_removed_part_is_not_fetched() {
    let mut parts = parts();
    let mut gone = update(10, 11, Vec::new());
    gone.removed = vec![(address(1), key("s"))];
    assert!(parts.update(gone));
    parts.confirm(11, ms(0), 1_000, ms(0));
    let plan = plan_at(&mut parts, ms(1), &prompt("s", 8_000, 10));
    assert!(!plan.fetches());
}

/// The fast stores are full; short parts then go to the other stores.
#[test]
fn short_parts_spill_over_when_fast_stores_are_full() {
    let mut parts = parts();
    let mut full = update(10, 11, Vec::new());
    full.stores[1].fill = 0.98;
    assert!(parts.update(full));
    parts.confirm(11, ms(0), 1_000, ms(0));
    let plan = plan_at(&mut parts, ms(1), &prompt("s", 8_000, 10));
    assert_eq!(plan.save[0], Some(address(1)));
}

/// A restarted store may still be listed as the holder of parts that it lost, so nothing is saved
/// to it yet.
#[test]
fn nothing_is_saved_to_a_store_that_doesn_t_accept() {
    let mut parts = StoredParts::default();
    let mut closed = update(0, 10, Vec::new());
    closed.stores.iter_mut().for_each(|s| s.accepts = false);
    parts.update(closed);
    parts.confirm(10, ms(0), 1_000, ms(0));
    assert!(!plan_at(&mut parts, ms(1), &prompt("s", 8_000, 10)).saves());
}

/// Many sessions are fetched at once and the links to the stores are busy. On a larger deployment,
/// 1,143 fetches were abandoned within half a minute and their parts prefilled again. While runners
/// have little to do, a prefill is faster than waiting for a slow fetch.
#[test]
fn a_fetch_may_take_longer_while_memories_are_full() {
    assert_eq!(fetch_time_limit(ms(800), 0.3), ms(400));
    assert_eq!(fetch_time_limit(ms(800), 0.8), ms(1_600));
    assert!(fetch_time_limit(ms(800), 0.7) > ms(800));
    let mut parts = parts();
    let prompt = prompt("s", 8_000, 2_000);
    let plan = parts.plan(ms(100), &prompt, "v1", &"north".into(), ms(800), ms(0));
    assert_eq!(plan.until_ms, Some(1_000 + 100 + 800));
    // Every fetch is bounded by the limit that the leader waits for before it frees a part.
    let plan = parts.plan(ms(100), &prompt, "v1", &"north".into(), ms(9_000), ms(0));
    assert_eq!(plan.until_ms, Some(1_000 + 100 + 1_500));
}
