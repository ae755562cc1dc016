//! The software version at which a stream began that a caller takes up again.

use std::collections::BTreeSet;
use std::collections::HashMap;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::OnceLock;
use std::time::Duration;

use dotterelrudder_gateway::Dialect;
use dotterelrudder_gateway::Gateway;
use dotterelrudder_types::ErrorKind;
use dotterelrudder_types::InstanceName;
use dotterelrudder_types::Refusal;
use dotterelrudder_wire::StreamKey;
use dotterelrudder_wire::StreamOrigin;
use tokio::sync::oneshot;
use tokio::time::timeout;

use super::attempt_loop::MAX_WAIT_OBJECTIVES;
use super::request::ActiveRequest;
use super::server::EntryServer;
use crate::fleet::FollowerHandle;
use crate::fleet::OriginReply;
use crate::fleet::ORIGIN_COPIES;

/// How long control instances have to reply before they are asked again. It covers a lost packet
/// within a region.
const REPLY_TIMEOUT: Duration = Duration::from_millis(250);
/// The interval at which it is checked whether the list of backend servers is confirmed. Control is
/// asked every half a second.
const CONFIRMATION_CHECK_INTERVAL: Duration = Duration::from_millis(20);
/// How long a report may take from an entry to a control instance.
const REPORT_LAG: Duration = Duration::from_millis(100);

/// What control instances know of a stream's origin.
enum OriginAnswer {
    Known(StreamOrigin),
    /// Enough of them don't know it that nobody does.
    Unknown,
    /// Too few of them replied in time.
    NoReply,
}

/// A query that waits for replies.
struct WaitingQuery {
    tx: oneshot::Sender<Option<StreamOrigin>>,
    /// The control instances that don't know the stream.
    without: BTreeSet<InstanceName>,
}

/// Queries for the origins of streams that wait for the first reply which names one.
#[derive(Default)]
pub(super) struct OriginQueries {
    waiting: Mutex<HashMap<u64, WaitingQuery>>,
    last_number: AtomicU64,
    /// Set once the entry follows control.
    pub(super) follower: OnceLock<FollowerHandle>,
}

impl OriginQueries {
    fn lock(&self) -> MutexGuard<'_, HashMap<u64, WaitingQuery>> {
        self.waiting.lock().unwrap_or_else(|e| e.into_inner())
    }

    /// Asks all control instances for the origin of a stream. A stream that began a moment ago may be
    /// reported just now, so that what nobody knows is asked once more.
    async fn ask(&self, stream: StreamKey, limit: Duration) -> OriginAnswer {
        let first = self.ask_until_clear(stream, limit).await;
        if !matches!(first, OriginAnswer::Unknown) {
            return first;
        }
        tokio::time::sleep(REPORT_LAG).await;
        self.ask_until_clear(stream, REPLY_TIMEOUT).await
    }

    /// Asks all control instances again and again until the answer is clear or `limit` has passed:
    /// replies get lost, and an entry that has just started is not yet connected to all of them.
    async fn ask_until_clear(&self, stream: StreamKey, limit: Duration) -> OriginAnswer {
        let Some(follower) = self.follower.get() else {
            return OriginAnswer::NoReply;
        };
        let number = self.last_number.fetch_add(1, Ordering::Relaxed);
        let (tx, mut rx) = oneshot::channel();
        let without = BTreeSet::new();
        self.lock().insert(number, WaitingQuery { tx, without });
        let ask_again = async {
            loop {
                follower.query_origin(number, stream);
                if let Ok(replied) = timeout(REPLY_TIMEOUT, &mut rx).await {
                    return replied;
                }
            }
        };
        let replied = timeout(limit, ask_again).await;
        self.lock().remove(&number);
        match replied {
            Ok(Ok(Some(origin))) => OriginAnswer::Known(origin),
            Ok(Ok(None)) => OriginAnswer::Unknown,
            Ok(Err(_)) | Err(_) => OriginAnswer::NoReply,
        }
    }

    /// Passes a control instance's reply on to its query. Nobody knows the stream if fewer instances
    /// are left than keep an origin.
    pub(super) fn on_reply(&self, reply: OriginReply) {
        let mut waiting = self.lock();
        let Some(query) = waiting.get_mut(&reply.number) else {
            return;
        };
        if reply.origin.is_none() {
            query.without.insert(reply.control);
            if query.without.len() + ORIGIN_COPIES <= reply.controls {
                return;
            }
        }
        if let Some(query) = waiting.remove(&reply.number) {
            // The caller may have disconnected.
            let _gone = query.tx.send(reply.origin).is_err();
        }
    }
}

impl<D> EntryServer<D>
where
    D: Dialect,
{
    /// Reports the origins of the streams that began since the last call to control instances.
    pub(super) fn report_origins(&self) {
        let Some(follower) = self.origin_queries.follower.get() else {
            return;
        };
        let streams = self.gateway().take_stream_origins();
        if !streams.is_empty() {
            follower.report_origins(streams);
        }
    }

    /// Sets the service and the software version of a stream that the caller takes up again.
    ///
    /// # Errors
    ///
    /// Returns a refusal if the version is unknown: what two versions write doesn't fit together.
    pub(super) async fn find_origin(&self, request: &mut ActiveRequest) -> Result<(), Refusal> {
        let (admission, call) = (&request.admission, &request.call);
        let resumes = call.resume_after.is_some() && admission.route.kind.is_stream();
        if !resumes || !self.gateway().knows_versions(&admission.route) {
            return Ok(());
        }
        let stream = Gateway::resumed_stream(admission, call);
        let own = stream.and_then(|stream| self.gateway().stream_origin(stream));
        let answer = match (own, stream) {
            (Some(origin), _) => OriginAnswer::Known(origin),
            (None, Some(stream)) => {
                let limit = self.origin_wait(request);
                self.origin_queries.ask(stream, limit).await
            }
            (None, None) => OriginAnswer::Unknown,
        };
        let (origin, has_reply) = match answer {
            OriginAnswer::Known(origin) => (Some(origin), true),
            OriginAnswer::Unknown => (None, true),
            OriginAnswer::NoReply => (None, false),
        };
        let known = origin.is_some();
        let is_current = known || has_reply && self.confirm_versions(request).await;
        let now = self.now();
        if !is_current {
            slog::info!(self.log, "stream not taken up, its version can't be determined now";
                "id" => call.id.as_str(), "resumes" => call.resumes.as_deref().unwrap_or(""),
                "control_replied" => has_reply,
                "waited_ms" => now.saturating_sub(request.began).as_millis() as u64);
            return Err(Refusal::new(
                ErrorKind::NotReady,
                "control did not confirm which version began the stream",
            ));
        }
        let resumed = self.gateway().resumed_at(now, admission, origin);
        slog::info!(self.log, "stream taken up again"; "id" => call.id.as_str(),
            "resumes" => call.resumes.as_deref().unwrap_or(""),
            "after" => call.resume_after.as_deref().unwrap_or(""), "origin_known" => known,
            "software" => resumed.as_ref().map_or("", |o| o.software.as_str()));
        match resumed {
            Ok(origin) => {
                request.admission.service = origin.service;
                request.software = Some(origin.software);
                Ok(())
            }
            Err(refusal) => Err(refusal),
        }
    }

    /// Waits until the leader has confirmed the list of backend servers since the request came. The
    /// only version of an older list may not be the one that began the stream: this entry may have
    /// been frozen or cut off while another one joined. Returns whether the list is confirmed.
    async fn confirm_versions(&self, request: &ActiveRequest) -> bool {
        let confirmed = async {
            while !self.gateway().are_versions_confirmed(request.began) {
                tokio::time::sleep(CONFIRMATION_CHECK_INTERVAL).await;
            }
        };
        let limit = self.wait_limit(request);
        timeout(limit, confirmed).await.is_ok()
    }

    /// Returns how long a request may wait to be placed from now on.
    fn wait_limit(&self, request: &ActiveRequest) -> Duration {
        let objective = request.admission.route.objective;
        let until = request.began + objective.mul_f64(MAX_WAIT_OBJECTIVES);
        until.min(request.deadline).saturating_sub(self.now())
    }

    /// Returns how long a request may wait for the origin of its stream: as long as it would wait
    /// for capacity, but one reply's time if the service's only version will do.
    fn origin_wait(&self, request: &ActiveRequest) -> Duration {
        let (now, admission) = (self.now(), &request.admission);
        if self.gateway().resumed_at(now, admission, None).is_ok() {
            return REPLY_TIMEOUT;
        }
        self.wait_limit(request)
    }
}
