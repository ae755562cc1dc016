//! Passes streams on, and goes on at another runner where that is allowed.

use super::relay::BrokenOff;
use super::relay::FedBody;
use super::relay::RelayBody;
use bytes::Bytes;
use dotterelrudder_gateway::Dialect;
use dotterelrudder_gateway::EventSplitter;
use dotterelrudder_gateway::RunOutcome;
use http::header::CONTENT_LENGTH;
use http::Response;
use http_body_util::BodyExt;
use std::sync::Arc;
use tokio::sync::mpsc;
use tokio::time::timeout;

use super::job::AttemptLog;
use super::job::Begun;
use super::job::Ended;
use super::job::Job;
use super::serving::Serving;

/// Parts of a stream that wait for a slow caller before the runner is read no further.
const STREAM_PARTS: usize = 32;

impl<D> Serving<D>
where
    D: Dialect,
{
    /// Passes a stream on as it arrives.
    pub(super) fn stream(
        self: &Arc<Self>,
        job: Arc<Job>,
        mut begun: Begun,
        log: AttemptLog,
    ) -> Response<RelayBody> {
        let (tx, rx) = mpsc::channel(STREAM_PARTS);
        let mut head = begun.head.clone();
        head.headers.remove(CONTENT_LENGTH);
        let serving = self.clone();
        let cut = job.began + job.admission.route.time_limit;
        let task = tokio::spawn(async move {
            let left = cut.saturating_sub(serving.now());
            let first = begun.first.take();
            let feed = async {
                if job.admission.route.kind.may_repeat() {
                    serving.feed_resumable(&job, begun, first, log, &tx).await
                } else {
                    serving.feed_once(begun, first, &tx).await
                }
            };
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

    /// Feeds a stream that runs once, part by part.
    pub(super) async fn feed_once(
        self: &Arc<Self>,
        mut begun: Begun,
        first: Option<Bytes>,
        tx: &mpsc::Sender<Result<Bytes, BrokenOff>>,
    ) -> Result<(), BrokenOff> {
        let mut next = first;
        loop {
            if let Some(part) = next.take() {
                if tx.send(Ok(part)).await.is_err() {
                    return Ok(());
                }
            }
            match begun.body.frame().await {
                None => {
                    begun.run.end(RunOutcome::Answered);
                    self.keep(begun.upstream);
                    return Ok(());
                }
                Some(Err(_)) => {
                    begun.run.end(RunOutcome::Failed);
                    return Err(BrokenOff("the runner broke off"));
                }
                Some(Ok(frame)) => next = frame.into_data().ok(),
            }
        }
    }

    /// Feeds a stream by whole events, and goes on at another runner when one breaks off.
    pub(super) async fn feed_resumable(
        self: &Arc<Self>,
        job: &Arc<Job>,
        mut begun: Begun,
        first: Option<Bytes>,
        mut log: AttemptLog,
        tx: &mpsc::Sender<Result<Bytes, BrokenOff>>,
    ) -> Result<(), BrokenOff> {
        let mut last_event = job.call.resume_after.clone();
        let mut next = first;
        loop {
            let mut splitter = EventSplitter::default();
            let broken = loop {
                if let Some(part) = next.take() {
                    splitter.push(&part);
                    while let Some(event) = splitter.take() {
                        if event.id.is_some() {
                            last_event = event.id;
                        }
                        if tx.send(Ok(event.bytes)).await.is_err() {
                            return Ok(());
                        }
                    }
                }
                match begun.body.frame().await {
                    None => break None,
                    Some(Err(e)) => break Some(e.to_string()),
                    Some(Ok(frame)) => next = frame.into_data().ok(),
                }
            };
            let Some(reason) = broken else {
                begun.run.end(RunOutcome::Answered);
                self.keep(begun.upstream);
                let rest = Bytes::copy_from_slice(splitter.rest());
                if !rest.is_empty() {
                    // The caller may have left already.
                    let _gone = tx.send(Ok(rest)).await.is_err();
                }
                return Ok(());
            };
            begun.run.end(RunOutcome::Failed);
            drop(begun.upstream);
            slog::info!(self.log, "runner broke off"; "id" => job.call.id.as_str(),
                "broken" => format!("{} {}", begun.placement.identity, begun.placement.address),
                "reason" => reason,
                "after" => last_event.as_deref().unwrap_or(""));
            log.may_have_run += 1;
            let most = job.admission.route.max_runners.max(1) as usize;
            let service = &job.admission.service;
            if log.may_have_run >= most || !self.may_repeat(service) {
                return Err(BrokenOff("the runner broke off"));
            }
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
                    next = begun.first.take();
                }
                Ended::Whole(..) | Ended::Refused(_) => {
                    slog::info!(self.log, "stream goes on nowhere";
                        "id" => job.call.id.as_str(), "attempts" => tried.join("; "));
                    return Err(BrokenOff("no other runner went on"));
                }
            }
        }
    }
}
