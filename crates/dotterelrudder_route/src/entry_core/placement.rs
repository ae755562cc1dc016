//! Selection of the runner for each attempt, by the routing policy.

use std::time::Duration;

use dotterelrudder_config::ServiceDeclaration;
use dotterelrudder_config::ServiceKind;
use dotterelrudder_types::AttemptId;
use dotterelrudder_types::BlockKey;
use dotterelrudder_types::ErrorKind;
use dotterelrudder_types::InstanceName;
use dotterelrudder_types::Refusal;
use dotterelrudder_types::WeightVersion;
use dotterelrudder_types::TOKEN_BYTES;
use dotterelrudder_wire::Message;
use dotterelrudder_wire::Start;

use super::hash_score;
use super::EntryCore;
use crate::cost::estimate_cost;
use crate::cost::CostEstimate;
use crate::cost::CostInputs;
use crate::request::CurrentAttempt;
use crate::request::Request;
use crate::Output;
use crate::RoutingPolicy;
use crate::RunnerKey;
use crate::RunnerState;

/// The cost, in weighted seconds, added to the runner that rendezvous hashing prefers least. It is
/// small, so that affinity only decides between runners of nearly equal cost.
const MAX_AFFINITY_PENALTY_SECONDS: f64 = 0.5e-3;

/// A runner that can take a request, with the estimated cost of the request on it.
struct Candidate {
    key: RunnerKey,
    name: InstanceName,
    incarnation: u64,
    estimate: CostEstimate,
    /// The blocks to import, each with the side of the store that holds it.
    import: Vec<(BlockKey, InstanceName)>,
}

impl EntryCore {
    /// Starts an attempt on the runner that the policy selects, or refuses the request if no runner
    /// is available or the estimated time to first token exceeds the time left to the deadline.
    pub(super) fn place(&mut self, id: u64, now: Duration, out: &mut Vec<Output>) {
        let Some(request) = self.requests.get(&id) else {
            return;
        };
        let Some(best) = self.choose_runner(request, now) else {
            let detail = format!(
                "no backend server of service \"{}\" is available",
                request.service
            );
            self.refuse(id, Refusal::new(ErrorKind::NoBackendServer, detail), out);
            return;
        };
        let time_left = request.deadline.saturating_sub(now);
        if best.estimate.first_token_seconds > time_left.as_secs_f64() {
            let seconds = best.estimate.first_token_seconds;
            let detail = format!(
                "the time to first token is estimated at {seconds:.1} s, past the deadline"
            );
            self.refuse(id, Refusal::new(ErrorKind::DeadlineExceeded, detail), out);
            return;
        }
        self.start_attempt(id, best, time_left, out);
    }

    fn start_attempt(
        &mut self,
        id: u64,
        best: Candidate,
        time_left: Duration,
        out: &mut Vec<Output>,
    ) {
        let attempt = AttemptId {
            incarnation: self.settings.incarnation,
            sequence: self.next_sequence,
        };
        self.next_sequence += 1;
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        let start = Start {
            attempt,
            service: request.service.clone(),
            account: request.account.clone(),
            tier: request.tier,
            deadline_ms: time_left.as_millis() as u64,
            prefill_tokens: best.estimate.prefill_tokens,
            claim: request.claim.clone(),
            work: request.work(best.import),
        };
        request.attempts += 1;
        request.current = Some(CurrentAttempt {
            id: attempt,
            side: best.name.clone(),
            incarnation: best.incarnation,
            received_chunks: 0,
            disconnected_at: None,
        });
        self.request_by_attempt.insert(attempt, id);
        if let Some(runner) = self.runners.get_mut(best.key) {
            runner.attempts_since_report += 1;
            runner.prefill_tokens_since_report += best.estimate.prefill_tokens;
        }
        let message = Message::Start(Box::new(start));
        out.push(Output::Send {
            to: best.name.clone(),
            message,
        });
        out.push(Output::Placed {
            id,
            attempt,
            side: best.name,
        });
    }

    /// Returns the runner that the policy selects among those that can serve the request. Runners
    /// on which an earlier attempt failed are candidates only if there are no others.
    fn choose_runner(&self, request: &Request, now: Duration) -> Option<Candidate> {
        let cfg = self.follower.cfg();
        let service = cfg.services.get(&request.service)?;
        let text = request.attempt_input();
        let mut chains: Vec<(WeightVersion, Vec<BlockKey>)> = Vec::new();
        let mut candidates = Vec::new();
        for (key, runner) in self.runners.of_service(&request.service) {
            if !runner.is_available(now) || !can_serve(runner, service, request) {
                continue;
            }
            let version = &runner.load.version;
            if !chains.iter().any(|(computed, _)| computed == version) {
                let chain = BlockKey::chain(&request.account, &service.model, version, &text);
                chains.push((version.clone(), chain));
            }
            let chain = chains.iter().find(|(computed, _)| computed == version);
            let chain = chain.map_or(&[][..], |(_, chain)| chain);
            let candidate = self.build_candidate(key, runner, service, request, &text, chain);
            candidates.push((candidate, self.affinity_penalty(runner, request, chain)));
        }
        let not_failed_before = |c: &Candidate| !request.failed_on.contains(&c.name);
        if candidates.iter().any(|(c, _)| not_failed_before(c)) {
            candidates.retain(|(c, _)| not_failed_before(c));
        }
        self.select_by_policy(candidates)
    }

    /// Estimates the cost of a request on one runner. `chain` holds the keys of the full blocks of
    /// `text`: the runner has the first of them cached, and stores may hold those that follow.
    fn build_candidate(
        &self,
        key: RunnerKey,
        runner: &RunnerState,
        service: &ServiceDeclaration,
        request: &Request,
        text: &[u8],
        chain: &[BlockKey],
    ) -> Candidate {
        let cached = chain
            .iter()
            .take_while(|block| runner.blocks.contains(*block))
            .count();
        let stored: Vec<_> = chain[cached..]
            .iter()
            .map_while(|block| {
                let store = self.runners.find_store_with_block(block, &service.stores)?;
                Some((*block, store.clone()))
            })
            .collect();
        let inputs = CostInputs {
            tokens: text.len().div_ceil(TOKEN_BYTES),
            cached_blocks: cached,
            stored_blocks: stored.len(),
            tier: request.tier,
        };
        let estimate = estimate_cost(runner, inputs, service.objective, self.settings.policy);
        let mut import = stored;
        import.truncate(estimate.import_blocks);
        let (name, incarnation) = (runner.name.clone(), runner.incarnation);
        Candidate {
            key,
            name,
            incarnation,
            estimate,
            import,
        }
    }

    /// Returns the affinity penalty of a runner, from 0 for the highest possible rendezvous score
    /// to 1 for the lowest.
    ///
    /// The key is the first block of the prompt, so that a session returns to the runner that has
    /// its KV cache; for prompts shorter than a block it is the client account.
    fn affinity_penalty(&self, runner: &RunnerState, request: &Request, chain: &[BlockKey]) -> f64 {
        let score = chain.first().map_or_else(
            || hash_score(request.account.as_str(), runner.name.as_str()),
            |first| first.rendezvous_score(runner.name.as_str()),
        );
        1.0 - score as f64 / u64::MAX as f64
    }

    /// Selects among candidates, each with its affinity penalty.
    fn select_by_policy(&self, candidates: Vec<(Candidate, f64)>) -> Option<Candidate> {
        let compare_by = |value: fn(&(Candidate, f64)) -> f64| {
            move |a: &(Candidate, f64), b: &(Candidate, f64)| value(a).total_cmp(&value(b))
        };
        let best = match self.settings.policy {
            RoutingPolicy::RoundRobin => {
                let mut ordered = candidates;
                ordered.sort_by(|(a, _), (b, _)| a.name.cmp(&b.name));
                let index = self.next_sequence as usize % ordered.len().max(1);
                ordered.into_iter().nth(index)
            }
            RoutingPolicy::LeastLoaded => {
                let load = |c: &Candidate| {
                    let runner = self.runners.get(c.key);
                    runner.map_or(0, |r| {
                        r.load.running + r.load.waiting_paying + r.attempts_since_report
                    })
                };
                candidates.into_iter().min_by_key(|(c, _)| load(c))
            }
            RoutingPolicy::HashAffinity => candidates
                .into_iter()
                .min_by(compare_by(|(_, affinity_penalty)| *affinity_penalty)),
            _ => candidates
                .into_iter()
                .min_by(compare_by(|(c, affinity_penalty)| {
                    c.estimate.cost + affinity_penalty * MAX_AFFINITY_PENALTY_SECONDS
                })),
        };
        best.map(|(candidate, _)| candidate)
    }
}

/// Returns whether a runner can serve the request. A model needs loaded weights; to resume an
/// answer that has begun, they must be of the weight version that began it.
fn can_serve(runner: &RunnerState, service: &ServiceDeclaration, request: &Request) -> bool {
    if service.kind != ServiceKind::Model {
        return true;
    }
    let version = &runner.load.version;
    let resumable = request
        .version
        .as_ref()
        .is_none_or(|needed| needed == version);
    !version.as_str().is_empty() && resumable
}
