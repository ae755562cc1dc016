//! The directory of stored parts: when parts are published, withdrawn and freed.

use std::net::SocketAddr;
use std::time::Duration;

use dotterelrudder_config::deployment::DeploymentConfiguration;
use dotterelrudder_config::deployment::ServiceEndpoint;
use dotterelrudder_config::deployment::StoreTraits;
use dotterelrudder_control::CacheDirectory;
use dotterelrudder_control::StoreEvent;
use dotterelrudder_wire::ModelWeights;
use dotterelrudder_wire::PartKey;
use dotterelrudder_wire::DIRECTORY_LEASE;
use dotterelrudder_wire::FETCH_LIMIT;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn store() -> SocketAddr {
    "172.20.0.1:80".parse().expect("the address is valid")
}

fn key(part: &str) -> PartKey {
    PartKey {
        salt: "v1".into(),
        part: part.into(),
    }
}

fn event(part: &str, held: bool) -> StoreEvent {
    StoreEvent {
        key: key(part),
        tokens: 100,
        held,
    }
}

fn configuration() -> DeploymentConfiguration {
    DeploymentConfiguration {
        services: vec![ServiceEndpoint {
            name: "store".into(),
            health_path: "".into(),
            max_connections: 0,
            engine: None,
            store: Some(StoreTraits {
                address: store(),
                data_centre: "north".into(),
                cache_tokens: 1_000,
                link_mbps: 33_000.0,
                first_ms: 6.0,
                managed: true,
            }),
            warm_up: None,
        }],
        ..DeploymentConfiguration::default()
    }
}

/// Returns a directory under leadership since 0 s, which read an empty store at 1 s.
fn directory() -> CacheDirectory {
    let mut directory = CacheDirectory::default();
    directory.begin_leadership(ms(0), 1 << 40);
    directory.configure(&configuration());
    directory.record_clock(ms(1_000), store(), 50_000);
    directory.apply_listing(ms(1_000), store(), 7, &[], &[]);
    directory
}

#[test]
fn new_leader_reads_stores_after_the_takeover_delay() {
    let mut directory = CacheDirectory::default();
    directory.begin_leadership(ms(0), 1);
    directory.configure(&configuration());
    assert!(directory.stores_to_read(ms(349)).is_empty());
    assert_eq!(directory.stores_to_read(ms(350)), [store()]);
}

#[test]
fn part_is_published_once_it_is_completely_stored() {
    let mut directory = directory();
    directory.take_update();
    directory.apply_listing(ms(1_100), store(), 7, &[], &[(key("a"), 16)]);
    assert_eq!(directory.take_update(), None);
    directory.apply_events(ms(1_200), store(), 7, &[event("a", true)]);
    let update = directory.take_update().unwrap();
    assert_eq!(update.added.len(), 1);
    assert_eq!(update.number, update.from + 1);
}

/// A part must not be freed while an entry may still have it fetched, or while a fetch is running.
#[test]
fn a_withdrawn_part_is_freed_after_the_last_fetch() {
    let mut directory = directory();
    for n in 0..10 {
        directory.apply_events(ms(2_000 + n), store(), 7, &[event(&format!("p{n}"), true)]);
    }
    directory.record_use(ms(2_500), &[key("p0")]);
    directory.take_update();
    assert!(directory.tick(ms(23_000)).is_empty());
    let withdrawn = directory.take_update().unwrap().removed;
    // The least recently used parts are withdrawn, down to the lower fill ratio.
    assert_eq!(withdrawn, [(store(), key("p1"))]);
    let safe = ms(23_000) + DIRECTORY_LEASE + FETCH_LIMIT;
    assert!(directory.tick(safe).is_empty());
    let orders = directory.tick(safe + ms(500));
    assert_eq!(orders[0].parts, [key("p1")]);
    assert_eq!(orders[0].epoch, 7);
    // The order expires by the engines' clock.
    let clock = directory.engine_clock_ms(safe + ms(500));
    // A new leader waits longer than this validity before it reads the store.
    assert_eq!(orders[0].until_ms, clock + 250);
}

/// A report from before a part was freed must not publish the part again: a new write of it may be
/// in progress.
#[test]
fn stale_reports_of_a_freed_part_are_ignored() {
    let mut directory = directory();
    for n in 0..10 {
        directory.apply_events(ms(2_000 + n), store(), 7, &[event(&format!("p{n}"), true)]);
    }
    directory.tick(ms(23_000));
    let freed = directory.tick(ms(28_200));
    assert_eq!(freed[0].parts, [key("p0")]);
    directory.take_update();
    directory.apply_events(ms(28_300), store(), 7, &[event("p0", true)]);
    directory.apply_listing(ms(28_400), store(), 7, &[(key("p0"), 100)], &[]);
    let update = directory.take_update();
    assert!(update.is_none_or(|u| u.added.is_empty()));
    directory.apply_events(ms(29_800), store(), 7, &[event("p0", true)]);
    assert_eq!(directory.take_update().unwrap().added.len(), 1);
}

/// A restarted store is empty. No part is saved to it until no entry can still have a part fetched
/// that the store lost.
#[test]
fn restarted_store_is_empty_and_accepts_no_parts_until_fetches_end() {
    let mut directory = directory();
    directory.apply_events(ms(2_000), store(), 7, &[event("a", true)]);
    directory.tick(ms(6_500));
    assert!(directory.take_update().unwrap().stores[0].accepts);
    directory.apply_events(ms(7_000), store(), 8, &[]);
    let update = directory.take_update().unwrap();
    assert_eq!(update.removed, [(store(), key("a"))]);
    assert!(!update.stores[0].accepts);
    directory.tick(ms(7_000) + DIRECTORY_LEASE + FETCH_LIMIT);
    assert_eq!(directory.take_update(), None);
    directory.tick(ms(7_000) + DIRECTORY_LEASE + FETCH_LIMIT + ms(500));
    assert!(directory.take_update().unwrap().stores[0].accepts);
}

#[test]
fn unreachable_store_is_withdrawn_at_once() {
    let mut directory = directory();
    directory.apply_events(ms(2_000), store(), 7, &[event("a", true)]);
    directory.take_update();
    directory.mark_unreachable(store());
    let update = directory.take_update().unwrap();
    assert_eq!(update.removed, [(store(), key("a"))]);
    assert!(update.stores.is_empty());
    assert_eq!(update.stores_gone, [store()]);
}

#[test]
fn parts_with_stalled_writes_are_freed() {
    let mut directory = directory();
    for at in [2_000, 5_000, 8_001] {
        directory.apply_listing(
            ms(at),
            store(),
            7,
            &[],
            &[(key("a"), 16), (key("b"), at as u32)],
        );
    }
    assert_eq!(directory.tick(ms(8_001))[0].parts, [key("a")]);
}

/// A clock that runs ahead at one store must not move the estimate of the engines' clock.
#[test]
fn engine_clock_is_the_earliest_store_clock() {
    let mut directory = directory();
    directory.record_clock(ms(2_000), "172.20.0.2:80".parse().unwrap(), 90_000);
    assert_eq!(directory.engine_clock_ms(ms(2_000)), 51_000);
}

/// Load pattern: fifty stores are written to continuously, and a hundred entries receive an update
/// for each part. The failure: every update held the status of all stores, most of its size.
#[test]
fn small_update_omits_unchanged_store_statuses() {
    let mut directory = directory();
    directory.apply_events(ms(7_000), store(), 7, &[event("first", true)]);
    directory.tick(ms(7_000));
    let _first = directory.take_update();
    directory.apply_events(ms(7_100), store(), 7, &[small_event("one-more")]);
    let update = directory.take_update().unwrap();
    assert_eq!(update.added.len(), 1);
    assert!(update.stores.is_empty() && update.stores_gone.is_empty());
    // A part that changes the rounded fill ratio publishes the store's status.
    directory.apply_events(ms(7_200), store(), 7, &[event("large", true)]);
    let update = directory.take_update().unwrap();
    assert_eq!(update.stores.len(), 1);
}

fn small_event(part: &str) -> StoreEvent {
    StoreEvent {
        tokens: 1,
        ..event(part, true)
    }
}

/// Load pattern: sessions whose parts together about fill all stores return every ten seconds or
/// so. The failure: parts were withdrawn for parts of other sessions, although they were requested
/// as soon as those. Their space stays empty for five seconds; a tenth of the stores was empty.
#[test]
fn recently_used_part_stays_in_a_full_store() {
    let mut directory = directory();
    for n in 0..10 {
        directory.apply_events(ms(2_000 + n), store(), 7, &[event(&format!("p{n}"), true)]);
    }
    directory.tick(ms(12_000));
    directory.tick(ms(18_000));
    let removed = directory.take_update().unwrap().removed;
    assert!(removed.is_empty(), "{removed:?}");
}

/// Load pattern: new weights are named, and all prompts are computed and saved again while the
/// stores are full of parts that no runner can use any more.
#[test]
fn parts_of_outdated_weights_are_withdrawn_at_once() {
    let mut directory = directory();
    for n in 0..10 {
        directory.apply_events(ms(2_000 + n), store(), 7, &[event(&format!("p{n}"), true)]);
    }
    let named = |version| ModelWeights {
        model: "m".into(),
        version,
    };
    directory.set_named_weights(&[named(1)]);
    directory.tick(ms(3_000));
    assert!(directory.take_update().unwrap().removed.is_empty());
    directory.set_named_weights(&[named(2)]);
    directory.tick(ms(3_020));
    assert_eq!(directory.take_update().unwrap().removed.len(), 5);
}
