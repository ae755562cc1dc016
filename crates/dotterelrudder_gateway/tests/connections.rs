//! How often requests find an idle connection.

mod support;

use std::collections::HashMap;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::Duration;

use dotterelrudder_gateway::RunOutcome;
use dotterelrudder_gateway::CONNECTION_MAX_IDLE;
use dotterelrudder_wire::DirectoryUpdate;
use dotterelrudder_wire::PartKey;
use dotterelrudder_wire::StoreStatus;
use dotterelrudder_wire::StoredPart;
use support::*;

/// A directory with the common part and 500 sessions in one fast store.
fn stored_sessions() -> DirectoryUpdate {
    let store: SocketAddr = SocketAddr::from(([172, 20, 0, 1], 80));
    let names = (0..500).map(|n| format!("s{n}"));
    let names = names.chain(["common".to_string()]);
    DirectoryUpdate {
        from: 0,
        number: 9,
        stores: vec![StoreStatus {
            address: store,
            data_centre: "north".into(),
            capacity: 9_000_000,
            link_mbps: 83_000.0,
            first_ms: 0.5,
            fill: 0.5,
            accepts: true,
        }],
        stores_gone: Vec::new(),
        added: names
            .map(|name| StoredPart {
                store,
                key: PartKey {
                    salt: "v1".into(),
                    part: name.into(),
                },
                tokens: 1_500,
            })
            .collect(),
        removed: Vec::new(),
    }
}

/// One of a hundred entries sends twenty requests per second to two hundred runners. Without warm
/// candidates, each request took a runner of a new sample, and two of three opened a connection.
#[test]
fn most_requests_of_a_large_deployment_find_a_connection_open() {
    let mut gateway = gateway(200);
    let mut known = fleet_state(1);
    known.entries = 100;
    known.directory = 9;
    known.engine_clock_ms = 1_000;
    gateway.on_directory(stored_sessions());
    let mut idle: HashMap<String, VecDeque<Duration>> = HashMap::new();
    let (mut reused, mut asked) = (0, 0);
    for turn in 0..600 {
        let now = ms(turn * 50);
        if turn % 4 == 0 {
            gateway.on_fleet_state(now, known.clone(), Some(now));
            gateway.on_load_reports(now, (1..=200).map(|n| load(n, 4, 30_000)).collect());
        }
        let prompt = prompt(&format!("s{}", turn * 7 % 500), 1_500, 500);
        let placed = place(&mut gateway, now, &prompt).unwrap();
        let unread = gateway.sent(now, placed.runner, Some(&prompt));
        gateway.prefill_finished(placed.runner, unread);
        let left = idle.entry(placed.identity.to_string()).or_default();
        left.retain(|at| now < *at + CONNECTION_MAX_IDLE);
        asked += 1;
        reused += usize::from(left.pop_back().is_some());
        left.push_back(now + ms(45));
        gateway.ended(now + ms(45), placed.runner, RunOutcome::Answered);
    }
    assert!(reused * 3 > asked * 2, "{reused} of {asked}");
}

/// A runner that other entries load is not chosen for its idle connection.
#[test]
fn an_open_connection_does_not_outweigh_queued_work() {
    let mut gateway = gateway(3);
    let prompt = prompt("s", 1_000, 10);
    let warm = place(&mut gateway, ms(0), &prompt).unwrap();
    let unread = gateway.sent(ms(0), warm.runner, Some(&prompt));
    gateway.prefill_finished(warm.runner, unread);
    gateway.ended(ms(50), warm.runner, RunOutcome::Answered);
    let busy = |n: u16| {
        let mut load = load(n, 4, 30_000);
        load.reading.waiting = u32::from(format!("i-{n}") == warm.identity.as_str()) * 4;
        load
    };
    gateway.on_load_reports(ms(100), (1..=3).map(busy).collect());
    let placed = place(&mut gateway, ms(150), &prompt).unwrap();
    assert_ne!(placed.identity, warm.identity);
}
