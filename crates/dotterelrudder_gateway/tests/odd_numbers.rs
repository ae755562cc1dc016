//! Numbers out of all proportion, as runners report them and callers send them, end no request.

mod support;

use dotterelrudder_config::deployment::WeightedTarget;
use dotterelrudder_gateway::EngineEstimate;
use support::*;

#[test]
fn an_idle_runner_with_an_odd_load_report_is_no_end_of_a_request() {
    for (waiting, running, used, total) in [
        (0, 0, u64::MAX, 1),
        (0, 0, u64::MAX, u64::MAX),
        (0, 0, 0, 0),
        (u32::MAX, u32::MAX, 0, 1),
        (u32::MAX, 1, u64::MAX, 1),
    ] {
        let mut gateway = gateway(2);
        let mut odd = load(1, running, used);
        odd.reading.waiting = waiting;
        odd.traits.total_tokens = total;
        gateway.on_load_reports(ms(1), vec![odd, load(2, 1, 0)]);
        for n in 0..20 {
            let prompt = prompt(&format!("s{n}"), 1_000, 10);
            let placed = place(&mut gateway, ms(2), &prompt).unwrap();
            gateway.sent(ms(2), placed.runner, Some(&prompt));
        }
    }
}

#[test]
fn a_prompt_with_odd_token_counts_is_placed_or_waits() {
    let mut gateway = gateway(2);
    let mut odd = prompt("s", 10, 10);
    odd.tokens = u32::MAX;
    odd.parts.iter_mut().for_each(|p| p.tokens = u32::MAX);
    odd.max_output_tokens = u32::MAX;
    for _ in 0..20 {
        if let Ok(placed) = place(&mut gateway, ms(2), &odd) {
            gateway.sent(ms(2), placed.runner, Some(&odd));
        }
    }
}

#[test]
fn a_route_with_weights_of_any_size_has_a_service() {
    let mut gateway = gateway(1);
    let mut state = fleet_state(2);
    let configuration = state.configuration.as_mut().expect("the helper sets it");
    let target = |service: &str| WeightedTarget {
        service: service.into(),
        weight: u64::MAX,
    };
    configuration.routes[0].targets = vec![target("engines"), target("desk")];
    gateway.on_fleet_state(ms(0), state, Some(ms(0)));
    for _ in 0..20 {
        assert!(gateway.admit(ms(1), &call("/long/x", "k1")).is_ok());
    }
}

#[test]
fn an_estimate_is_a_duration_whatever_it_is_computed_from() {
    let estimate = EngineEstimate::default();
    let values = [0.0, -1.0e30, 1.0e30, f64::INFINITY, f64::NAN];
    for backlog in values {
        for memory in values {
            let _estimated = estimate.first_token(backlog, 1.0, backlog, memory);
        }
    }
}
