//! What must hold after every step, each written once.

use std::collections::BTreeMap;
use std::time::Duration;

use dotterelrudder::types::InstanceName;
use dotterelrudder::types::Revision;

use super::node::Core;
use super::node::Node;

/// How long a leaving side may still get new work.
const LEAVING_LIMIT: Duration = Duration::from_secs(3);

/// What was seen so far.
#[derive(Debug, Default)]
pub struct Invariants {
    leaders: BTreeMap<u64, u64>,
    committed: BTreeMap<u64, String>,
    revisions: BTreeMap<InstanceName, Revision>,
    /// Attempts for which a backend server was called, by request.
    pub called: BTreeMap<String, u32>,
    pub broken: Vec<String>,
}

impl Invariants {
    fn must<F>(&mut self, holds: bool, what: F)
    where
        F: FnOnce() -> String,
    {
        if !holds {
            self.broken.push(what());
        }
    }

    /// Checks one process after it handled an event.
    pub fn check(&mut self, node: &Node) {
        if let Some(Core::Control(core)) = &node.core {
            let raft = core.raft();
            if raft.is_leader() {
                let leader = *self.leaders.entry(raft.term()).or_insert(raft.id());
                self.must(leader == raft.id(), || {
                    format!("two leaders of term {}", raft.term())
                });
            }
            // Everything that the replica holds below its commit index agrees with the others.
            for index in raft.commit().saturating_sub(4).max(1)..=raft.commit() {
                if let Some(entry) = raft.entry(index) {
                    let text = format!("{entry:?}");
                    let known = self.committed.entry(index).or_insert_with(|| text.clone());
                    let same = *known == text;
                    self.must(same, || format!("committed entry {index} changed"));
                }
            }
        }
        if node.is_ready() {
            let revision = node.revision();
            let before = self
                .revisions
                .insert(node.name.clone(), revision)
                .unwrap_or_default();
            self.must(revision >= before, || {
                format!("revision at {} fell from {before} to {revision}", node.name)
            });
        }
        let foreign = node.backend.foreign_reads;
        self.must(foreign == 0, || {
            format!("{} read a foreign block", node.name)
        });
        let twice = node.backend.runs.iter().find(|(_, n)| **n > 1);
        let name = twice.map(|(body, _)| body.clone()).unwrap_or_default();
        self.must(twice.is_none(), || {
            format!("\"{name}\" ran twice at {}", node.name)
        });
    }

    /// Notes a call of a backend server.
    pub fn on_call(&mut self, node: &Node, request: &str, now: Duration) {
        *self.called.entry(request.into()).or_default() += 1;
        let late = node
            .leaving_since
            .is_some_and(|at| now > at + LEAVING_LIMIT);
        self.must(!late, || {
            format!("new work on {} while it leaves", node.name)
        });
    }

    /// Checks the end of a request.
    pub fn on_end(&mut self, request: &str, not_run: bool, right: bool) {
        let called = self.called.contains_key(request);
        self.must(!(not_run && called), || {
            format!("{request} told as not run but was called")
        });
        self.must(right, || format!("{request} got a wrong answer"));
    }

    /// Checks that a process that ends by itself has nothing left in work.
    pub fn on_exit(&mut self, node: &Node) {
        let open = match &node.core {
            Some(Core::Side(core)) => core.active_attempts(),
            Some(Core::Entry(core)) => core.open_requests(),
            _ => 0,
        };
        self.must(open == 0, || {
            format!("{} ended with {open} in work", node.name)
        });
    }

    /// Checks that one key ran once over all services.
    pub fn check_runs<'a, I>(&mut self, nodes: I)
    where
        I: Iterator<Item = &'a Node>,
    {
        let mut runs: BTreeMap<&String, u32> = BTreeMap::new();
        for node in nodes {
            for (body, count) in &node.backend.runs {
                *runs.entry(body).or_default() += count;
            }
        }
        let twice = runs
            .into_iter()
            .find(|(_, n)| *n > 1)
            .map(|(body, _)| body.clone());
        self.must(twice.is_none(), || format!("{twice:?} ran twice"));
    }
}
