//! Offers a request to runners until one answers.

use super::attempt::Fault;
use super::attempt::Outgoing;
use super::attempt::Reach;
use dotterelrudder_gateway::BackendRequest;
use dotterelrudder_gateway::CapacityRequest;
use dotterelrudder_gateway::Dialect;
use dotterelrudder_gateway::NotPlaced;
use dotterelrudder_gateway::Placement;
use dotterelrudder_gateway::PlacementQuery;
use dotterelrudder_gateway::RunOutcome;
use dotterelrudder_gateway::RunnerKey;
use dotterelrudder_types::ErrorKind;
use dotterelrudder_types::Refusal;
use dotterelrudder_types::ServiceName;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::timeout;

use super::first_part::FirstPart;
use super::job::AttemptLog;
use super::job::Begun;
use super::job::Ended;
use super::job::Job;
use super::job::Place;
use super::job::RunGuard;
use super::refusals::given_up;
use super::refusals::late;
use super::refusals::not_placed;
use super::serving::Serving;

/// Runners that one request is offered to at most, those that could not be reached included.
const MOST_OFFERS: usize = 4;
/// How much of the objective a repeatable request waits for an answer before another runner is
/// asked.
const PATIENCE_OBJECTIVES: f64 = 2.0;
/// The same at a runner that may have fallen silent.
const DOUBTED_OBJECTIVES: f64 = 0.5;
/// How often an attempt looks whether its runner is still trusted; reports come twice as rarely.
pub(super) const LOOK_AT_RUNNER: Duration = Duration::from_millis(100);
/// Bounds on the wait for an answer before another runner is asked.
const PATIENCE_LEAST: Duration = Duration::from_millis(250);
/// The least time left for which a runner is still asked.
const LEAST_LEFT: Duration = Duration::from_millis(5);
/// The share of the objective after which a waiting request can't be in time any more.
const DUE_SHARE: f64 = 0.7;
/// How many objectives a request waits for room before its caller is told to come back; callers
/// leave after four.
const WAIT_OBJECTIVES: f64 = 2.5;
/// How often a waiting request looks for room; loads are told every few tenths of a second, and
/// own requests end in between.
const LOOK_AGAIN: Duration = Duration::from_millis(15);

impl<D> Serving<D>
where
    D: Dialect,
{
    /// Offers the request to runners until one answers.
    pub(super) async fn run(
        self: &Arc<Self>,
        job: &Job,
        log: &mut AttemptLog,
        resume_after: Option<&str>,
    ) -> Ended {
        let route = &job.admission.route;
        for _ in 0..MOST_OFFERS {
            let now = self.now();
            let left = job.deadline.saturating_sub(now);
            if left < LEAST_LEFT {
                return Ended::Refused(late(log));
            }
            let query = PlacementQuery {
                service: &job.admission.service,
                prompt: job.call.prompt.as_ref(),
                account: job.admission.account.as_deref(),
                tried: &log.tried,
                repeatable: route.kind.may_repeat(),
                objective: route.objective,
            };
            let placement = match self.find_room(job, &query).await {
                Ok(placement) => Arc::new(placement),
                Err(refusal) => {
                    let refusal = not_placed(refusal, log);
                    return log.last_answer(refusal);
                }
            };
            let left = job.deadline.saturating_sub(self.now());
            log.tried.push(placement.runner);
            let fault = match self.offer(job, &placement, left, resume_after, log).await {
                Ok(ended) => return ended,
                Err(fault) => fault,
            };
            log.notes.push(note(&placement, &fault.reason));
            let outcome = match fault.reach {
                Reach::NotSent => continue,
                Reach::Declined => ErrorKind::Overloaded,
                Reach::Lost | Reach::Silent => ErrorKind::BackendFailed,
            };
            log.may_have_run += usize::from(fault.reach != Reach::Declined);
            let most = route.max_runners.max(1) as usize;
            let repeatable = log.may_have_run == 0 || route.kind.may_repeat();
            let allowed = repeatable
                && log.may_have_run < most
                && self.may_repeat_after(&fault, &job.admission.service);
            if !allowed {
                let refusal = given_up(outcome, fault.reason, log);
                return log.last_answer(refusal);
            }
        }
        let reason = "no runner took the request".to_string();
        Ended::Refused(given_up(ErrorKind::Overloaded, reason, log))
    }

    /// Takes a repeat out of the shared budget.
    pub(super) fn may_repeat(&self, service: &ServiceName) -> bool {
        let allowed = self.gateway().may_repeat(self.now(), service);
        self.metrics.count_repeat(allowed);
        allowed
    }

    /// Takes a repeat out of the shared budget, unless that was done before the attempt was given up.
    pub(super) fn may_repeat_after(&self, fault: &Fault, service: &ServiceName) -> bool {
        fault.reach == Reach::Silent || self.may_repeat(service)
    }

    /// Waits for a runner with room for the request.
    pub(super) async fn find_room(
        &self,
        job: &Job,
        query: &PlacementQuery<'_>,
    ) -> Result<Placement, Refusal> {
        let service = query.service;
        let need = CapacityRequest {
            urgency: self.gateway().urgency(&job.admission),
            tokens: query.prompt.map_or(0, |p| p.peak_tokens()),
            due: job.began + query.objective.mul_f64(DUE_SHARE),
        };
        let give_up = job.began + query.objective.mul_f64(WAIT_OBJECTIVES);
        let mut place = Place {
            room: &self.room,
            ticket: None,
        };
        let came = self.now();
        loop {
            let now = self.now();
            if place.may_try(now, service, &need) {
                match self.gateway().place(now, query) {
                    Ok(placement) => {
                        let waited = now.saturating_sub(came);
                        self.metrics.record_waited(waited.as_secs_f64());
                        return Ok(placement);
                    }
                    Err(NotPlaced::Refused(refusal)) => return Err(refusal),
                    Err(NotPlaced::Busy) => {}
                }
            }
            if now >= give_up {
                return Err(self.gateway().overload_refusal(service));
            }
            place.join(service, &need);
            tokio::time::sleep(LOOK_AGAIN).await;
        }
    }

    /// Offers the request to one runner.
    pub(super) async fn offer(
        self: &Arc<Self>,
        job: &Job,
        placement: &Arc<Placement>,
        left: Duration,
        resume_after: Option<&str>,
        log: &mut AttemptLog,
    ) -> Result<Ended, Fault> {
        let route = &job.admission.route;
        let may_repeat = route.kind.may_repeat();
        let call = self.outbound(job, placement, left, resume_after);
        let outgoing = Outgoing {
            head: &job.head,
            body: &job.body,
            id: &job.call.id,
            may_repeat,
        };
        let more = job.may_run_again(log);
        let limit = if more {
            let patience = route.objective.mul_f64(PATIENCE_OBJECTIVES);
            patience.max(PATIENCE_LEAST).min(left)
        } else {
            left
        };
        // Ends before the request's own time does, so that the runner's silence is noted.
        let limit = limit.saturating_sub(LEAST_LEFT);
        let began = self.now();
        let prompt = job.call.prompt.as_ref();
        let unread = self.gateway().sent(began, placement.runner, prompt);
        let run = self.run_guard(job, placement, unread, began);
        let first = self.first_part(
            &outgoing,
            placement,
            &call,
            limit,
            began,
            route.kind.is_stream(),
        );
        let first = timeout(limit, first);
        let first = tokio::select! {
            first = first => first.unwrap_or_else(|_| {
                let reason = format!("no answer within {} ms", limit.as_millis());
                Err(Fault::lost(reason))
            }),
            () = self.falls_silent(job, placement.runner, began), if more => {
                let reason = "no answer, and the runner fell silent";
                Err(Fault::silent(RunOutcome::Unreachable, reason))
            }
        };
        let took = self.now().saturating_sub(began);
        match first {
            Err(fault) => {
                run.end(fault.outcome);
                if let Some(asked) = fault.rest {
                    self.rest(placement, asked);
                }
                Err(fault)
            }
            Ok(FirstPart::Whole(head, body, upstream)) => {
                run.end(RunOutcome::Answered);
                self.keep(upstream);
                let status = head.status;
                let text = format!("status {} after {} ms", status.as_u16(), took.as_millis());
                if more && status.is_server_error() {
                    log.failed = Some((head, body));
                    return Err(Fault::lost(text));
                }
                log.notes.push(note(placement, &text));
                Ok(Ended::Whole(head, body))
            }
            Ok(FirstPart::Begun(head, first, body, upstream)) => {
                self.gateway().prefill_finished(placement.runner, unread);
                let expected = placement.estimate.expected.as_secs_f64();
                self.metrics
                    .record_expectation(expected, took.as_secs_f64());
                let text = format!("began after {} ms", took.as_millis());
                log.notes.push(note(placement, &text));
                let begun = Begun {
                    placement: placement.clone(),
                    head,
                    first,
                    body,
                    upstream,
                    run,
                };
                Ok(Ended::Stream(Box::new(begun), std::mem::take(log)))
            }
        }
    }

    /// Waits until an attempt isn't worth waiting for any more: its runner may have fallen silent
    /// and the request may run at another one. Takes the repeat out of the budget.
    async fn falls_silent(&self, job: &Job, runner: RunnerKey, began: Duration) {
        let patience = job.admission.route.objective.mul_f64(DOUBTED_OBJECTIVES);
        loop {
            tokio::time::sleep(LOOK_AT_RUNNER).await;
            let now = self.now();
            let doubted = now > began + patience && self.gateway().may_be_unreachable(now, runner);
            if doubted && self.may_repeat(&job.admission.service) {
                return;
            }
        }
    }

    /// Sends a runner nothing for as long as it asks.
    fn rest(&self, placement: &Placement, asked: Duration) {
        slog::info!(self.log, "runner asks for rest";
            "runner" => placement.identity.as_str(), "address" => %placement.address,
            "asked_ms" => asked.as_millis() as u64);
        let now = self.now();
        self.gateway().back_off(now, placement.runner, asked);
    }

    pub(super) fn outbound(
        &self,
        job: &Job,
        placement: &Placement,
        left: Duration,
        resume_after: Option<&str>,
    ) -> BackendRequest {
        let admission = &job.admission;
        let is_model = job.call.prompt.is_some();
        BackendRequest {
            identity: placement.identity.clone(),
            weights: placement.weights,
            cache_salt: placement.cache_salt.clone(),
            cache: placement.cache.clone(),
            account: admission.account.as_ref().map(|a| a.name.clone()),
            time_left: left,
            urgency: is_model.then(|| self.gateway().urgency(admission)),
            resume_after: resume_after
                .map(Into::into)
                .or_else(|| job.call.resume_after.clone()),
        }
    }

    /// Counts the attempt as ended once the guard ends, whichever way that comes about.
    fn run_guard(
        self: &Arc<Self>,
        job: &Job,
        placement: &Arc<Placement>,
        unread: f64,
        began: Duration,
    ) -> RunGuard {
        let (serving, placement) = (self.clone(), placement.clone());
        let id = job.call.id.clone();
        RunGuard {
            note: Some(Box::new(move |outcome| {
                serving.metrics.count_attempt(outcome.as_str());
                let now = serving.now();
                if matches!(outcome, RunOutcome::Abandoned) {
                    let after = now.saturating_sub(began).as_millis();
                    let told = note(&placement, &format!("given up after {after} ms"));
                    slog::info!(serving.log, "attempt given up"; "id" => id.as_str(),
                        "attempts" => told);
                }
                let mut gateway = serving.gateway();
                gateway.prefill_finished(placement.runner, unread);
                gateway.ended(now, placement.runner, outcome);
            })),
        }
    }
}

fn note(placement: &Placement, text: &str) -> String {
    let e = &placement.estimate;
    let age = placement.load_age.map_or(-1, |a| a.as_millis() as i64);
    format!(
        "{} {} expected {} ms (reads {} behind {}, fetch {} ms, batch {}, memory {}%), \
         load {} ms old, {} fetched, {} saved: {}",
        placement.identity,
        placement.address,
        e.expected.as_millis(),
        e.unread as i64,
        e.backlog as i64,
        e.fetch.map_or(-1, |f| f.as_millis() as i64),
        e.batch as i64,
        (e.memory * 100.0) as i64,
        age,
        placement.cache.fetch.iter().flatten().count(),
        placement.cache.save.iter().flatten().count(),
        text
    )
}
