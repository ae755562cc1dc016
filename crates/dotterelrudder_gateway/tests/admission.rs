//! Admission of requests by configuration, route, API key and lease.

mod support;

use dotterelrudder_config::deployment::CallKind;
use dotterelrudder_types::ErrorKind;
use support::*;

#[test]
fn an_entry_without_configuration_serves_nothing() {
    let mut gateway = dotterelrudder_gateway::Gateway::new(settings(), 7);
    let refusal = gateway.admit(ms(0), &call("/long/x", "k1")).unwrap_err();
    assert_eq!(refusal.kind, ErrorKind::NotReady);
    assert!(!gateway.is_ready(ms(0)));
}

#[test]
fn requests_need_a_route_and_a_known_key() {
    let mut gateway = gateway(1);
    let admitted = gateway.admit(ms(1), &call("/long/x", "k2")).unwrap();
    assert_eq!(admitted.account.unwrap().name.as_str(), "bakery");
    let kind = |path: &str, key: &str, gateway: &mut dotterelrudder_gateway::Gateway| {
        gateway.admit(ms(1), &call(path, key)).unwrap_err().kind
    };
    assert_eq!(
        kind("/nowhere/", "k1", &mut gateway),
        ErrorKind::UnknownModel
    );
    assert_eq!(kind("/long/x", "k9", &mut gateway), ErrorKind::UnknownKey);
}

/// An entry that is cut off from control cannot know whether a key was revoked.
#[test]
fn a_key_is_accepted_only_while_control_confirms() {
    let mut gateway = gateway(1);
    assert!(gateway.admit(ms(3_499), &call("/long/x", "k1")).is_ok());
    let refusal = gateway
        .admit(ms(3_500), &call("/long/x", "k1"))
        .unwrap_err();
    assert_eq!(refusal.kind, ErrorKind::NotReady);
    assert!(!gateway.is_ready(ms(3_500)));
    gateway.on_fleet_state(ms(3_600), fleet_state(1), Some(ms(3_550)));
    assert!(gateway.admit(ms(3_600), &call("/long/x", "k1")).is_ok());
}

/// Guards against a delayed reply, for example after the process was suspended, extending the
/// lease: the lease starts when the query was sent.
#[test]
fn a_late_reply_confirms_no_more_than_its_query() {
    let mut gateway = gateway(1);
    gateway.on_fleet_state(ms(9_000), fleet_state(1), Some(ms(500)));
    assert!(!gateway.is_ready(ms(9_000)));
}

#[test]
fn an_older_configuration_never_comes_back() {
    let mut gateway = gateway(1);
    assert!(gateway.on_fleet_state(ms(1), fleet_state(5), Some(ms(1))));
    assert!(!gateway.on_fleet_state(ms(2), fleet_state(4), Some(ms(2))));
    assert_eq!(gateway.configuration().version, 5);
}

/// A fleet state that names a newer version without its configuration does not confirm the older
/// configuration held.
#[test]
fn a_newer_version_that_hasn_t_come_isn_t_confirmed() {
    let mut gateway = gateway(1);
    let mut newer = fleet_state(9);
    newer.configuration = None;
    gateway.on_fleet_state(ms(4_000), newer, Some(ms(4_000)));
    assert!(!gateway.is_ready(ms(4_000)));
}

/// Removing the last account opened its routes to keys that were revoked with it, and to keys that no
/// configuration ever held.
#[test]
fn keys_that_are_not_held_stay_refused_without_accounts() {
    let mut gateway = gateway(1);
    assert!(gateway.admit(ms(1), &call("/long/x", "k1")).is_ok());
    let mut state = fleet_state(2);
    let configuration = state.configuration.as_mut().expect("a configuration");
    configuration.accounts.clear();
    let mut public = route("open", CallKind::AtMostOnce, "desk");
    public.needs_key = false;
    configuration.routes.push(public);
    gateway.on_fleet_state(ms(2), state, Some(ms(2)));
    for key in ["k1", "k9"] {
        let refusal = gateway.admit(ms(3), &call("/long/x", key)).unwrap_err();
        assert_eq!(refusal.kind, ErrorKind::UnknownKey, "{key}");
        assert!(gateway.admit(ms(3), &call("/open/x", key)).is_ok());
    }
    // Accounts that are declared again are served.
    gateway.on_fleet_state(ms(4), fleet_state(3), Some(ms(4)));
    assert!(gateway.admit(ms(5), &call("/long/x", "k1")).is_ok());
}

/// A deployment that never had accounts needs no keys, whatever its callers present.
#[test]
fn a_deployment_that_never_had_accounts_needs_no_keys() {
    let mut gateway = dotterelrudder_gateway::Gateway::new(settings(), 7);
    for version in [1, 2] {
        let mut state = fleet_state(version);
        let configuration = state.configuration.as_mut().expect("a configuration");
        configuration.accounts.clear();
        gateway.on_fleet_state(ms(version), state, Some(ms(version)));
        assert!(gateway.admit(ms(3), &call("/long/x", "k9")).is_ok());
    }
}
