//! A small deployment for the gateway's tests.
#![allow(dead_code)]

use std::time::Duration;

use dotterelrudder_config::deployment::AccountEntry;
use dotterelrudder_config::deployment::CallKind;
use dotterelrudder_config::deployment::CallerLimits;
use dotterelrudder_config::deployment::DeploymentConfiguration;
use dotterelrudder_config::deployment::EngineAttributes;
use dotterelrudder_config::deployment::RouteRule;
use dotterelrudder_config::deployment::ServiceEndpoint;
use dotterelrudder_config::deployment::WeightedTarget;
use dotterelrudder_gateway::CallerRequest;
use dotterelrudder_gateway::Gateway;
use dotterelrudder_gateway::GatewaySettings;
use dotterelrudder_gateway::NotPlaced;
use dotterelrudder_gateway::Placement;
use dotterelrudder_gateway::PlacementQuery;
use dotterelrudder_gateway::Prompt;
use dotterelrudder_gateway::PromptPart;
use dotterelrudder_gateway::RoomRule;
use dotterelrudder_gateway::RunnerKey;
use dotterelrudder_types::AccountKeyHash;
use dotterelrudder_types::RoutingPolicy;
use dotterelrudder_types::ServiceName;
use dotterelrudder_wire::CacheGroup;
use dotterelrudder_wire::FleetState;
use dotterelrudder_wire::ModelWeights;
use dotterelrudder_wire::RunnerAttributes;
use dotterelrudder_wire::RunnerLoad;
use dotterelrudder_wire::RunnerLoadSample;
use dotterelrudder_wire::RunnerRecord;

pub const MODEL: &str = "m";

pub fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

pub fn engines() -> ServiceName {
    "engines".into()
}

pub fn settings() -> GatewaySettings {
    GatewaySettings {
        data_centre: "north".into(),
        key_lease: ms(3_500),
        retry_ratio: 0.2,
        retry_window: ms(10_000),
        retry_slack: 60.0,
        old_weights_limit: ms(10_000),
        policy: RoutingPolicy::default(),
    }
}

pub fn route(name: &str, kind: CallKind, service: &str) -> RouteRule {
    RouteRule {
        name: name.into(),
        host: "a.example".into(),
        path_prefix: format!("/{name}/").into(),
        kind,
        time_limit: ms(15_000),
        objective: ms(1_000),
        rank: 0,
        targets: vec![WeightedTarget {
            service: service.into(),
            weight: 1,
        }],
        max_runners: 2,
        needs_key: true,
        pause_objective: None,
    }
}

pub fn configuration(version: u64) -> DeploymentConfiguration {
    let stream = CallKind::Stream { resumable: true };
    DeploymentConfiguration {
        version,
        routes: vec![
            route("long", stream, "engines"),
            route("desk", CallKind::AtMostOnce, "desk"),
        ],
        services: vec![
            ServiceEndpoint {
                name: engines(),
                health_path: "/healthz".into(),
                max_connections: 370,
                engine: Some(EngineAttributes {
                    slots: 64,
                    cache_tokens: 95_000,
                    token_bytes: 18_432,
                    link_mbps: 370_000.0,
                }),
                store: None,
                warm_up: None,
            },
            ServiceEndpoint {
                name: "desk".into(),
                health_path: "/healthz".into(),
                max_connections: 110,
                engine: None,
                store: None,
                warm_up: None,
            },
        ],
        accounts: vec![
            AccountEntry {
                name: "school".into(),
                keys: vec![AccountKeyHash::of_key("k1")],
                rank: None,
                isolated: false,
            },
            AccountEntry {
                name: "bakery".into(),
                keys: vec![AccountKeyHash::of_key("k2")],
                rank: Some(1),
                isolated: true,
            },
        ],
        limits: CallerLimits::default(),
    }
}

pub fn fleet_state(version: u64) -> FleetState {
    FleetState {
        asked: 1,
        version,
        configuration: Some(Box::new(configuration(version))),
        weights: Vec::new(),
        controls: Vec::new(),
        directory: 0,
        engine_clock_ms: 0,
        entries: 1,
    }
}

pub fn record(n: u16, service: &str, data_centre: &str) -> RunnerRecord {
    RunnerRecord {
        identity: format!("i-{n}").into(),
        service: service.into(),
        address: format!("10.0.0.{n}:8080")
            .parse()
            .expect("the test's own value is well formed"),
        data_centre: data_centre.into(),
        slots: if service == "desk" { 6 } else { 64 },
        leaving: false,
        weights: weights(1),
        software: None,
        born_ms: 1,
        cold_left: None,
    }
}

pub fn weights(version: u64) -> Vec<ModelWeights> {
    vec![ModelWeights {
        model: MODEL.into(),
        version,
    }]
}

pub fn load(n: u16, running: u32, used: u64) -> RunnerLoad {
    RunnerLoad {
        reading: RunnerLoadSample {
            address: format!("10.0.0.{n}:8080")
                .parse()
                .expect("the test's own value is well formed"),
            answers: true,
            leaving: false,
            loading: false,
            waiting: 0,
            running,
            used_tokens: used,
        },
        traits: RunnerAttributes {
            born_ms: 1,
            total_tokens: 95_000,
            weights: weights(1),
        },
    }
}

/// A gateway with a configuration and `runners` runners of the service `engines` in one data
/// centre.
pub fn gateway(runners: u16) -> Gateway {
    let mut gateway = Gateway::new(settings(), 7);
    gateway.on_fleet_state(ms(0), fleet_state(1), Some(ms(0)));
    gateway.on_runners(
        (1..=runners)
            .map(|n| record(n, "engines", "north"))
            .collect(),
    );
    gateway
}

pub fn call(path: &str, key: &str) -> CallerRequest {
    CallerRequest {
        id: "r".into(),
        host: "a.example".into(),
        path: path.into(),
        key: Some(AccountKeyHash::of_key(key)),
        max_wait: None,
        prompt: None,
        resume_after: None,
        resumes: None,
    }
}

/// A prompt with a shared common part, a session's part and an own part.
pub fn prompt(session: &str, shared: u32, own: u32) -> Prompt {
    let part = |id: &str, tokens| PromptPart {
        id: id.into(),
        tokens,
    };
    Prompt {
        model: MODEL.into(),
        tokens: 512 + shared + own,
        max_output_tokens: 80,
        parts: [part("common", 512), part(session, shared), part("own", own)]
            .into_iter()
            .collect(),
    }
}

pub fn query<'a>(
    service: &'a ServiceName,
    prompt: Option<&'a Prompt>,
    tried: &'a [RunnerKey],
) -> PlacementQuery<'a> {
    PlacementQuery {
        service,
        prompt,
        cache_group: &CacheGroup::All,
        tried,
        repeatable: true,
        objective: ms(1_000),
        urgency: 0,
        software: None,
        request: 0,
        room: RoomRule::Usual,
    }
}

/// Places a request for the service `engines` that was not sent to any runner yet.
pub fn place(
    gateway: &mut Gateway,
    now: Duration,
    prompt: &Prompt,
) -> Result<Placement, NotPlaced> {
    gateway.place(now, &query(&engines(), Some(prompt), &[]))
}
