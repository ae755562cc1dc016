//! What newer releases added to the replicated state: it outlasts a snapshot, and a state without it
//! is encoded as older releases encode it.

use std::time::Duration;

use bytes::Bytes;
use dotterelrudder_config::deployment::AccountEntry;
use dotterelrudder_config::deployment::DeploymentConfiguration;
use dotterelrudder_config::deployment::ServiceEndpoint;
use dotterelrudder_config::deployment::WarmUp;
use dotterelrudder_control::ReplicatedState;
use dotterelrudder_types::AccountKeyHash;
use dotterelrudder_wire::Command;
use dotterelrudder_wire::LogEntry;

fn apply(state: &mut ReplicatedState, command: Command) {
    let index = state.index() + 1;
    state.apply(&LogEntry {
        term: 1,
        index,
        command,
    });
}

fn set_evacuation(name: &str, evacuated: bool) -> Command {
    Command::SetEvacuation {
        data_centre: name.into(),
        evacuated,
        at_ms: 0,
    }
}

fn configuration() -> DeploymentConfiguration {
    DeploymentConfiguration {
        version: 1,
        services: vec![ServiceEndpoint {
            name: "engines".into(),
            health_path: "/healthz".into(),
            max_connections: 0,
            engine: None,
            store: None,
            warm_up: Some(WarmUp {
                time: Duration::from_secs(3),
                requests_per_s: 20.0,
            }),
        }],
        ..DeploymentConfiguration::default()
    }
}

/// Guards against an evacuation or a warm-up that is lost when a snapshot replaces the log.
#[test]
fn evacuations_and_warm_ups_outlast_a_snapshot() {
    let mut state = ReplicatedState::default();
    let configuration = configuration();
    apply(
        &mut state,
        Command::PublishExtended {
            extension: configuration.extension(),
            configuration: Box::new(configuration.clone()),
            document: Bytes::from_static(b"one"),
            at_ms: 0,
        },
    );
    apply(&mut state, set_evacuation("north", true));
    let decoded = ReplicatedState::decode(&state.encode()).expect("a snapshot can be decoded");
    assert_eq!(decoded, state);
    assert_eq!(*decoded.deployment_configuration(), configuration);
    assert_eq!(decoded.evacuated(), ["north".into()]);
}

/// Guards against a snapshot that a replica of an older release can't read, though the deployment
/// uses nothing new.
#[test]
fn a_state_without_the_new_fields_is_encoded_without_them() {
    let mut state = ReplicatedState::default();
    apply(&mut state, Command::Noop);
    let shorter = state.encode();
    apply(&mut state, set_evacuation("north", true));
    let longer = state.encode();
    let old = bincode::serde::encode_to_vec(&state, bincode::config::standard());
    let old = old.expect("the state can be encoded");
    assert!(longer.len() > old.len() && longer.starts_with(&old));
    let fresh = bincode::serde::encode_to_vec(
        ReplicatedState::decode(&shorter).expect("a snapshot can be decoded"),
        bincode::config::standard(),
    );
    assert_eq!(shorter, fresh.expect("the state can be encoded"));
}

/// An entry that starts after the last account was removed did not know that keys are needed.
#[test]
fn the_removal_of_the_last_account_outlasts_a_snapshot() {
    let publish = |version, accounts: &[&str]| {
        let accounts = accounts.iter().map(|name| AccountEntry {
            name: (*name).into(),
            keys: vec![AccountKeyHash::of_key(name)],
            rank: None,
            isolated: false,
        });
        let configuration = DeploymentConfiguration {
            version,
            accounts: accounts.collect(),
            ..DeploymentConfiguration::default()
        };
        Command::PublishWhole {
            configuration: Box::new(configuration),
            document: Bytes::from_static(b"document"),
            at_ms: 0,
        }
    };
    let mut state = ReplicatedState::default();
    apply(&mut state, publish(1, &[]));
    assert!(state.deployment_configuration().accounts.is_empty());
    apply(&mut state, publish(2, &["school"]));
    for version in [3, 4] {
        apply(&mut state, publish(version, &[]));
        state = ReplicatedState::decode(&state.encode()).expect("a snapshot can be decoded");
        let accounts = &state.deployment_configuration().accounts;
        assert!(accounts.len() == 1 && accounts[0].keys.is_empty());
    }
    apply(&mut state, publish(5, &["bakery"]));
    let accounts = &state.deployment_configuration().accounts;
    assert!(accounts.len() == 1 && accounts[0].name.as_str() == "bakery");
}
