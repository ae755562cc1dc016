//! The KV cache that accounts share with each other, and what isolation keeps apart.

mod support;

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use compact_str::format_compact;
use compact_str::CompactString;
use dotterelrudder_config::deployment::AccountEntry;
use dotterelrudder_gateway::Gateway;
use dotterelrudder_types::AccountKeyHash;
use dotterelrudder_wire::weights_of_salt;
use dotterelrudder_wire::FleetState;
use rand::seq::IndexedRandom;
use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use support::*;

/// Accounts of the drawn configurations. Some names look like the text behind a separator.
const NAMES: [&str; 5] = ["school", "bakery", ".school", "+", "school.bakery"];
const STEPS: usize = 400;

fn account(name: &str, isolated: bool) -> AccountEntry {
    AccountEntry {
        name: name.into(),
        keys: vec![AccountKeyHash::of_key(name)],
        rank: None,
        isolated,
    }
}

fn configure(gateway: &mut Gateway, version: u64, accounts: &[AccountEntry]) {
    let mut state: FleetState = fleet_state(version);
    if let Some(configuration) = &mut state.configuration {
        configuration.accounts = accounts.to_vec();
    }
    gateway.on_fleet_state(ms(0), state, Some(ms(0)));
}

/// Returns the salt of a new request of an account.
fn salt_of(gateway: &mut Gateway, key: &str) -> CompactString {
    let admission = gateway
        .admit(ms(1), &call("/long/", key))
        .expect("an admitted request");
    let (service, prompt) = (engines(), prompt("s", 1_000, 10));
    let mut query = query(&service, Some(&prompt), &[]);
    query.cache_group = &admission.cache_group;
    let placed = gateway.place(ms(1), &query).expect("a runner with room");
    placed.cache_salt.expect("a prompt has a salt")
}

#[test]
fn cache_is_kept_apart_by_weights_and_isolated_accounts() {
    let mut gateway = gateway(1);
    let salts = ["school", "bakery", "mill"].map(|name| {
        let accounts = [
            account("school", false),
            account("bakery", true),
            account("mill", false),
        ];
        configure(&mut gateway, 2, &accounts);
        salt_of(&mut gateway, name)
    });
    assert_eq!(salts[1], "v1.bakery");
    assert_eq!(salts[0], salts[2]);
    assert!(salts[0].starts_with("v1+"), "{salts:?}");
    assert!(
        salts.iter().all(|s| weights_of_salt(s) == Some(1)),
        "{salts:?}"
    );
}

/// What an account left in the cache before it was isolated was read by others afterwards.
#[test]
fn cache_from_before_an_account_was_isolated_is_read_by_others() {
    let mut rng = ChaCha8Rng::seed_from_u64(35);
    // Entries that follow the configurations late, or begin with a later one.
    let mut entries = [gateway(1), gateway(1), gateway(1)];
    let mut made_by: BTreeMap<CompactString, BTreeSet<&str>> = BTreeMap::new();
    let mut accounts: Vec<AccountEntry> = NAMES.map(|name| account(name, false)).into();
    for step in 0..STEPS {
        let changed = rng.random_range(0..NAMES.len());
        match rng.random_range(0..3) {
            0 => accounts.retain(|a| a.name.as_str() != NAMES[changed]),
            _ => {
                accounts.retain(|a| a.name.as_str() != NAMES[changed]);
                accounts.push(account(NAMES[changed], rng.random_bool(0.5)));
            }
        }
        if accounts.is_empty() {
            accounts.push(account(NAMES[0], false));
        }
        let version = step as u64 + 10;
        let has_newest = entries.each_mut().map(|entry| {
            let follows = rng.random_bool(0.7);
            if follows {
                configure(entry, version, &accounts);
            }
            follows
        });
        for (entry, has_newest) in entries.iter_mut().zip(has_newest) {
            let name = *NAMES.choose(&mut rng).expect("names");
            if entry.admit(ms(1), &call("/long/", name)).is_err() {
                continue;
            }
            let salt = salt_of(entry, name);
            let made_by = made_by.entry(salt.clone()).or_default();
            let isolated = |n: &str| accounts.iter().any(|a| a.isolated && a.name.as_str() == n);
            let foreign = made_by
                .iter()
                .find(|maker| **maker != name && (isolated(maker) || isolated(name)));
            if has_newest {
                assert_eq!(foreign, None, "step {step}, {name} reads under {salt}");
            }
            made_by.insert(name);
        }
    }
    let shared = format_compact!("v1");
    assert!(made_by.contains_key(&shared), "{:?}", made_by.keys());
}
