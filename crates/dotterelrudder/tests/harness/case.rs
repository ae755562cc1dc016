//! Fault cases: steps from a TOML file, and what came of them as text.

use std::fmt::Write;
use std::time::Duration;

use bytes::Bytes;
use dotterelrudder::control;
use dotterelrudder::route;
use dotterelrudder::route::Target;
use dotterelrudder::side;
use dotterelrudder::types::InstanceName;
use dotterelrudder::types::Role;
use dotterelrudder::types::BLOCK_BYTES;
use dotterelrudder::wire::CommandResult;
use dotterelrudder::wire::Message;
use serde::Deserialize;

use super::backend::MODEL;
use super::node::Core;
use super::world::Call;
use super::world::World;

/// How long a deployment gets to start before the first step.
pub const SETUP: Duration = Duration::from_millis(6_000);

fn default_limit() -> u64 {
    20_000
}

/// A caller's request.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CallPlan {
    pub name: String,
    pub entry: String,
    #[serde(default = "default_key")]
    pub key: String,
    /// Whole blocks of the prompt, alike for the same `text`.
    #[serde(default)]
    pub blocks: usize,
    /// What the prompt or body is made of.
    pub text: String,
    /// Tokens to generate; none for a call of the plain service.
    #[serde(default)]
    pub tokens: u32,
    pub idempotency_key: Option<String>,
    #[serde(default = "default_limit")]
    pub time_limit_ms: u64,
    /// The longest time until the end that the case allows.
    pub within_ms: Option<u64>,
}

fn default_key() -> String {
    "paying-key".into()
}

impl CallPlan {
    pub fn build(&self) -> (Call, Target) {
        let mut prompt = self
            .text
            .as_bytes()
            .repeat(self.blocks * BLOCK_BYTES / self.text.len());
        prompt.extend_from_slice(self.text.as_bytes());
        let bytes = Bytes::from(prompt.clone());
        let completion = self.tokens > 0;
        let call = Call {
            prompt,
            tokens: self.tokens,
            completion,
            ..Call::default()
        };
        let target = if completion {
            let (model, max_tokens) = (MODEL.into(), self.tokens);
            Target::Completion {
                model,
                prompt: bytes,
                max_tokens,
            }
        } else {
            let (method, path, content_type) = ("POST".into(), "/desk/x".into(), "t".into());
            Target::Call {
                method,
                path,
                content_type,
                body: bytes,
            }
        };
        (call, target)
    }
}

/// What happens at one time.
#[derive(Debug, Clone, Deserialize)]
#[serde(tag = "do", rename_all = "snake_case", deny_unknown_fields)]
pub enum Action {
    Call {
        call: CallPlan,
    },
    Publish {
        node: String,
        change_id: String,
        base: u64,
        version: String,
        limit: u32,
    },
    PublishMany {
        node: String,
        base: u64,
        count: u64,
    },
    Kill {
        node: String,
    },
    Start {
        node: String,
    },
    Stop {
        node: String,
    },
    Freeze {
        node: String,
    },
    Thaw {
        node: String,
    },
    Silence {
        node: String,
        peer: String,
    },
    Cut {
        node: String,
        peer: String,
    },
    Heal {
        node: String,
        peer: String,
    },
    Isolate {
        node: String,
    },
    Rejoin {
        node: String,
    },
    WipeDisk {
        node: String,
    },
    FlipDisk {
        node: String,
    },
    SaveDisk {
        node: String,
    },
    RollBackDisk {
        node: String,
    },
    Evict {
        node: String,
    },
    HalfWrites {
        node: String,
    },
    FlipReads {
        node: String,
    },
    BackendDown {
        node: String,
        on: bool,
    },
    CutStreams {
        node: String,
        after: usize,
    },
    ListedLeaving {
        node: String,
    },
    OldOrder {
        node: String,
        fence: u64,
        version: String,
    },
    IgnoreFence {
        node: String,
    },
    Reset {
        node: String,
        peer: String,
    },
    /// A check: the process has this revision by now.
    ExpectRevision {
        node: String,
        revision: u64,
    },
}

#[derive(Debug, Clone, Deserialize)]
pub struct Step {
    pub at_ms: u64,
    #[serde(flatten)]
    pub action: Action,
}

/// A whole case.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Case {
    pub seed: u64,
    #[serde(default)]
    pub lose_percent: u32,
    #[serde(default)]
    pub repeat_percent: u32,
    #[serde(default)]
    pub cross_percent: u32,
    #[serde(default)]
    pub torn_bytes: usize,
    pub end_ms: u64,
    pub step: Vec<Step>,
}

impl Case {
    /// Runs the case and describes its end.
    pub fn run(&self) -> (World, String) {
        let mut world = World::new(self.seed);
        world.run_until(SETUP / 2);
        let leader = world.leader().expect("a leader after the setup");
        world.publish(leader.as_str(), "first", 0, "v1", 100);
        world.run_until(SETUP);
        world.lose_percent = self.lose_percent;
        world.repeat_percent = self.repeat_percent;
        world.cross_percent = self.cross_percent;
        world.torn_bytes = self.torn_bytes;
        let mut bounds = Vec::new();
        for step in &self.step {
            world.run_until(SETUP + Duration::from_millis(step.at_ms));
            if let Action::Call { call } = &step.action {
                let due = call
                    .within_ms
                    .map(|ms| world.now + Duration::from_millis(ms));
                bounds.push((world.calls.len() as u64 + 1, due));
            }
            act(&mut world, &step.action);
        }
        world.run_until(SETUP + Duration::from_millis(self.end_ms));
        world.finish();
        for (id, due) in bounds {
            let call = &world.calls[&id];
            let late = due.is_some_and(|due| call.2.end.is_none() || call.2.ended_at > due);
            if late {
                let text = format!("{} ended later than allowed", call.1);
                world.invariants.broken.push(text);
            }
        }
        let text = describe(&world);
        (world, text)
    }
}

/// Finds a node; `leader` is the control instance that leads now, `follower` one that doesn't.
pub fn resolve(world: &World, name: &str) -> InstanceName {
    let leader = || world.leader().expect("a leader");
    match name {
        "leader" => leader(),
        "follower" => {
            let controls = world
                .nodes
                .values()
                .filter(|n| n.role == Role::Control && n.is_up());
            let leader = leader();
            let mut others = controls.filter(|n| n.name != leader);
            others.next().expect("a follower").name.clone()
        }
        other => other.into(),
    }
}

pub fn act(world: &mut World, action: &Action) {
    let at = |world: &World, name: &String| resolve(world, name);
    match action {
        Action::Call { call } => world.call(call),
        Action::Publish {
            node,
            change_id,
            base,
            version,
            limit,
        } => {
            let node = at(world, node);
            world.publish(node.as_str(), change_id, *base, version, *limit);
        }
        Action::PublishMany { node, base, count } => {
            for number in 0..*count {
                let node = at(world, node);
                let (id, limit) = (format!("many-{number}"), 200 + number as u32);
                world.publish(node.as_str(), &id, base + number, "v1", limit);
                let next = world.now + Duration::from_millis(8);
                world.run_until(next);
            }
        }
        Action::Kill { node } => {
            let node = at(world, node);
            world.kill(&node);
        }
        Action::Start { node } => world.start(&at(world, node)),
        Action::Stop { node } => {
            let node = at(world, node);
            match world.nodes[&node].role {
                Role::Control => world.control(&node, control::Input::Stop),
                Role::Side => world.side(&node, side::Input::Stop),
                Role::Entry => world.entry(&node, route::Input::Stop),
            }
        }
        Action::Freeze { node } => world.freeze(&at(world, node)),
        Action::Thaw { node } => world.thaw(&at(world, node)),
        Action::Silence { node, peer } => world.silence(&at(world, node), &at(world, peer)),
        Action::Cut { node, peer } => world.cut(&at(world, node), &at(world, peer), true),
        Action::Heal { node, peer } => world.cut(&at(world, node), &at(world, peer), false),
        Action::Isolate { node } => world.isolate(&at(world, node), true),
        Action::Rejoin { node } => world.isolate(&at(world, node), false),
        Action::WipeDisk { node } => world.node(node).disk = Default::default(),
        Action::FlipDisk { node } => world.node(node).disk.flip_bit(),
        Action::SaveDisk { node } => {
            let disk = &mut world.node(node).disk;
            disk.saved = disk.durable.clone();
        }
        Action::RollBackDisk { node } => {
            let disk = &mut world.node(node).disk;
            disk.durable = disk.saved.clone();
        }
        Action::Evict { node } => world.node(node).backend.cache.clear(),
        Action::HalfWrites { node } => world.node(node).backend.half_writes = true,
        Action::FlipReads { node } => world.node(node).backend.flip_reads = true,
        Action::BackendDown { node, on } => world.node(node).backend.down = *on,
        Action::CutStreams { node, after } => world.node(node).backend.cut_after = Some(*after),
        Action::ListedLeaving { node } => {
            let leaving = vec![InstanceName::from(node.as_str())];
            for entry in ["entry-1", "entry-2"] {
                let input = route::Input::Listed {
                    entries: 2,
                    leaving: leaving.clone(),
                };
                world.entry(&entry.into(), input);
            }
            let now = world.now;
            world.node(node).leaving_since = Some(now);
        }
        Action::OldOrder {
            node,
            fence,
            version,
        } => {
            let message = Message::Order {
                fence: *fence,
                version: version.as_str().into(),
            };
            let from = resolve(world, "leader");
            let revision = world.nodes[&from].revision();
            world.side(
                &node.as_str().into(),
                side::Input::Message {
                    from,
                    revision,
                    message,
                },
            );
        }
        Action::IgnoreFence { node } => world.node(node).backend.ignores_fence = true,
        Action::ExpectRevision { node, revision } => {
            let held = world.nodes[&resolve(world, node)].revision().0;
            if held != *revision {
                let text = format!("{node} holds revision {held} instead of {revision}");
                world.invariants.broken.push(text);
            }
        }
        Action::Reset { node, peer } => world.reset(&at(world, node), &at(world, peer)),
    }
}

/// Describes what callers and operators got and where everything stands, without times.
pub fn describe(world: &World) -> String {
    let mut text = String::new();
    for (_, name, call) in world.calls.values() {
        let end = match &call.end {
            None => "no answer".into(),
            Some(Ok(())) if call.completion => {
                format!(
                    "answered by {}, {} tokens cached",
                    call.version, call.cached
                )
            }
            Some(Ok(())) => format!("answered with {}", call.status),
            Some(Err(r)) => format!("refused: {} ({})", r.kind.row().code, r.outcome.as_str()),
        };
        let called = world.invariants.called.get(name).copied().unwrap_or(0);
        let _written = writeln!(text, "call {name}: {end}; backend calls {called}");
    }
    for (name, result) in world.proposals.values() {
        if name.starts_with("many-") {
            continue;
        }
        let result = match result {
            None => "no answer".into(),
            Some(CommandResult::Accepted(revision)) => format!("accepted as {revision}"),
            Some(CommandResult::Conflict {
                revision,
                winner,
                author,
            }) => {
                format!("conflict: {revision} in force, {winner} by {author} won")
            }
            Some(CommandResult::Refused(r)) => format!("refused: {}", r.kind.row().code),
            Some(other) => format!("{other:?}"),
        };
        let _written = writeln!(text, "change {name}: {result}");
    }
    for node in world.nodes.values() {
        let state = match (&node.core, node.exited) {
            (None, _) => "down".into(),
            (_, true) => "ended by itself".into(),
            (Some(Core::Control(core)), _) => {
                let voters = core.raft().members().iter().filter(|m| m.voter).count();
                format!("revision {}, {voters} voters", node.revision())
            }
            _ if node.service == "model" => {
                format!(
                    "revision {}, version {}",
                    node.revision(),
                    node.backend.version
                )
            }
            _ => format!("revision {}", node.revision()),
        };
        let _written = writeln!(text, "{}: {state}", node.name);
    }
    for row in &world.invariants.broken {
        let _written = writeln!(text, "BROKEN: {row}");
    }
    text
}

/// Returns the audit rows as the leader holds them.
pub fn audit(world: &World) -> Vec<String> {
    let leader = world
        .leader()
        .and_then(|leader| world.nodes[&leader].core.as_ref());
    let Some(Core::Control(core)) = leader else {
        return Vec::new();
    };
    let rows = core
        .state()
        .audit()
        .iter()
        .filter(|r| !r.change_id.starts_with("many-"));
    rows.map(|r| {
        format!(
            "{} by {} against {}: {}",
            r.change_id, r.author, r.base, r.outcome
        )
    })
    .collect()
}
