//! Passes streams on, and goes on at another runner where that is allowed.

use super::relay::BrokenOff;
use super::relay::FedBody;
use super::relay::RelayBody;
use bytes::Bytes;
use compact_str::CompactString;
use dotterelrudder_gateway::Dialect;
use dotterelrudder_gateway::EventSplitter;
use dotterelrudder_gateway::RunOutcome;
use dotterelrudder_gateway::StreamProgress;
use http::header::CONTENT_LENGTH;
use http::Response;
use http_body_util::BodyExt;
use std::sync::Arc;
use tokio::sync::mpsc;
use tokio::time::timeout;

use super::attempt::Fault;
use super::bodies::is_framed;
use super::bodies::UNFRAMED;
use super::job::AttemptLog;
use super::job::Begun;
use super::job::Ended;
use super::job::Job;
use super::offering::LOOK_AT_RUNNER;
use super::serving::Serving;

/// Parts of a stream that wait for a slow caller before the runner is read no further.
const STREAM_PARTS: usize = 32;

/// How the stream of one runner ended.
#[derive(Debug)]
enum Passed {
    Whole,
    CallerLeft,
    Broken(Fault),
    /// Longer than any answer may be: what was passed on is no beginning of a sound one.
    TooLong(Fault),
}

impl Passed {
    fn broken<S>(reason: S) -> Self
    where
        S: Into<String>,
    {
        Self::Broken(Fault::lost(reason))
    }
}

impl<D> Serving<D>
where
    D: Dialect,
{
    /// Passes a stream on as it arrives.
    pub(super) fn stream(
        self: &Arc<Self>,
        job: Arc<Job>,
        begun: Begun,
        log: AttemptLog,
    ) -> Response<RelayBody> {
        let (tx, rx) = mpsc::channel(STREAM_PARTS);
        let mut head = begun.head.clone();
        head.headers.remove(CONTENT_LENGTH);
        let serving = self.clone();
        let cut = job.began + job.admission.route.time_limit;
        let task = tokio::spawn(async move {
            let left = cut.saturating_sub(serving.now());
            let feed = serving.feed(&job, begun, log, &tx);
            let fed = match timeout(left, feed).await {
                Ok(fed) => fed,
                Err(_) => Err(BrokenOff("the time limit of the route passed")),
            };
            if let Err(broken) = fed {
                slog::warn!(serving.log, "stream broken off"; "id" => job.call.id.as_str(),
                    "reason" => broken.0);
                // The caller may have left already.
                let _gone = tx.send(Err(broken)).await.is_err();
            }
        });
        self.pass_on(head, FedBody::new(rx, task).boxed())
    }

    /// Feeds a stream by whole events. When its runner breaks off or falls silent, it goes on at
    /// another one behind the last event, where the route allows that.
    async fn feed(
        self: &Arc<Self>,
        job: &Arc<Job>,
        mut begun: Begun,
        mut log: AttemptLog,
        tx: &mpsc::Sender<Result<Bytes, BrokenOff>>,
    ) -> Result<(), BrokenOff> {
        let mut last_event = job.call.resume_after.clone();
        loop {
            let (fault, may_go_on) = match self
                .pass_events(job, &mut begun, &log, &mut last_event, tx)
                .await
            {
                Passed::Whole => {
                    begun.run.end(RunOutcome::Answered);
                    self.keep(begun.upstream);
                    return Ok(());
                }
                Passed::CallerLeft => return Ok(()),
                Passed::Broken(fault) => (fault, true),
                Passed::TooLong(fault) => (fault, false),
            };
            begun.run.end(fault.outcome);
            drop(begun.upstream);
            slog::info!(self.log, "runner broke off"; "id" => job.call.id.as_str(),
                "broken" => format!("{} {}", begun.placement.identity, begun.placement.address),
                "reason" => fault.reason.as_str(),
                "after" => last_event.as_deref().unwrap_or(""));
            let allowed = may_go_on
                && job.may_run_again(&log)
                && self.may_repeat_after(&fault, &job.admission.service);
            if !allowed {
                return Err(BrokenOff("the runner broke off"));
            }
            log.may_have_run += 1;
            let after = last_event.clone();
            let ended = self.run(job, &mut log, after.as_deref()).await;
            let mut tried = std::mem::take(&mut log.notes);
            match ended {
                Ended::Stream(more, mut newer) => {
                    tried.append(&mut newer.notes);
                    slog::info!(self.log, "stream goes on elsewhere";
                        "id" => job.call.id.as_str(), "attempts" => tried.join("; "));
                    begun = *more;
                    log = newer;
                }
                Ended::Whole(..) | Ended::Refused(_) => {
                    slog::info!(self.log, "stream goes on nowhere";
                        "id" => job.call.id.as_str(), "attempts" => tried.join("; "));
                    return Err(BrokenOff("no other runner went on"));
                }
            }
        }
    }

    /// Passes the events of one runner's answer on until it ends one way or another.
    async fn pass_events(
        &self,
        job: &Job,
        begun: &mut Begun,
        log: &AttemptLog,
        last_event: &mut Option<CompactString>,
        tx: &mpsc::Sender<Result<Bytes, BrokenOff>>,
    ) -> Passed {
        let limits = &self.answer_limits;
        let pause_objective = job.admission.route.pause_objective;
        let mut progress = StreamProgress::new(pause_objective, self.now());
        let mut splitter = EventSplitter::default();
        let mut received = 0;
        let mut next = begun.first.take();
        loop {
            if let Some(part) = next.take() {
                received += part.len();
                splitter.push(&part);
                while let Some(event) = splitter.take() {
                    if event.id.is_some() {
                        last_event.clone_from(&event.id);
                    }
                    if tx.send(Ok(event.bytes.clone())).await.is_err() {
                        return Passed::CallerLeft;
                    }
                    progress.passed(&event, self.now());
                }
                if splitter.rest().len() > limits.event.get() {
                    return Passed::broken("an event is longer than the limit");
                }
                if received > limits.answer.get() {
                    return Passed::TooLong(Fault::lost("the answer is longer than the limit"));
                }
            }
            if let Some(fault) = self.stalls(job, begun, log, &progress) {
                return Passed::Broken(fault);
            }
            match timeout(LOOK_AT_RUNNER, begun.body.frame()).await {
                Ok(Some(Ok(frame))) => next = frame.into_data().ok(),
                Ok(Some(Err(e))) => return Passed::broken(e.to_string()),
                Ok(None) => break,
                // No part came; the next turn looks whether the runner is still trusted.
                Err(_) => {}
            }
        }
        if !is_framed(&begun.head.headers) {
            return Passed::broken(UNFRAMED);
        }
        if splitter.rest().is_empty() {
            return Passed::Whole;
        }
        let rest = Bytes::copy_from_slice(splitter.rest());
        match tx.send(Ok(rest)).await {
            Ok(()) => Passed::Whole,
            Err(_) => Passed::CallerLeft,
        }
    }

    /// Returns why a stream should go on elsewhere, if it may and its runner stands still. The
    /// repeat is taken out of the budget first, so that nothing is broken off for nothing.
    fn stalls(
        &self,
        job: &Job,
        begun: &Begun,
        log: &AttemptLog,
        progress: &StreamProgress,
    ) -> Option<Fault> {
        let now = self.now();
        let may_stall = job.may_run_again(log) && progress.is_stalled(now, true);
        if !may_stall {
            return None;
        }
        let doubted = self
            .gateway()
            .may_be_unreachable(now, begun.placement.runner);
        if !progress.is_stalled(now, doubted) || !self.may_repeat(&job.admission.service) {
            return None;
        }
        let pause = progress.pause(now).as_millis();
        let (outcome, why) = if doubted {
            (RunOutcome::Unreachable, "the runner fell silent")
        } else {
            (RunOutcome::Failed, "the stream stalled")
        };
        let reason = format!("{why}, no event for {pause} ms");
        Some(Fault::silent(outcome, reason))
    }
}
