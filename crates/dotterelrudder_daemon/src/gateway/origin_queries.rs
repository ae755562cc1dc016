//! The software version at which a stream began that a caller takes up again.

use std::collections::HashMap;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::OnceLock;
use std::time::Duration;

use dotterelrudder_gateway::Dialect;
use dotterelrudder_gateway::Gateway;
use dotterelrudder_types::Refusal;
use dotterelrudder_wire::StreamKey;
use dotterelrudder_wire::StreamOrigin;
use tokio::sync::oneshot;
use tokio::time::timeout;

use super::request::ActiveRequest;
use super::server::EntryServer;
use crate::fleet::FollowerHandle;

/// How long control instances have to reply. It covers a lost packet within a region; an instance
/// that doesn't know the stream replies too, but another one may know it.
const REPLY_TIMEOUT: Duration = Duration::from_millis(250);

/// Queries for the origins of streams that wait for the first reply which names one.
#[derive(Default)]
pub(super) struct OriginQueries {
    waiting: Mutex<HashMap<u64, oneshot::Sender<StreamOrigin>>>,
    last_number: AtomicU64,
    /// Set once the entry follows control.
    pub(super) follower: OnceLock<FollowerHandle>,
}

impl OriginQueries {
    fn lock(&self) -> MutexGuard<'_, HashMap<u64, oneshot::Sender<StreamOrigin>>> {
        self.waiting.lock().unwrap_or_else(|e| e.into_inner())
    }

    /// Asks all control instances for the origin of a stream.
    async fn ask(&self, stream: StreamKey) -> Option<StreamOrigin> {
        let follower = self.follower.get()?;
        let number = self.last_number.fetch_add(1, Ordering::Relaxed);
        let (tx, rx) = oneshot::channel();
        self.lock().insert(number, tx);
        follower.query_origin(number, stream);
        let replied = timeout(REPLY_TIMEOUT, rx).await;
        self.lock().remove(&number);
        replied.ok()?.ok()
    }

    /// Passes a reply that names an origin on to the query.
    pub(super) fn on_reply(&self, number: u64, origin: StreamOrigin) {
        if let Some(tx) = self.lock().remove(&number) {
            // The caller may have disconnected.
            let _gone = tx.send(origin).is_err();
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
        let (admission, call) = (&mut request.admission, &request.call);
        let resumes = call.resume_after.is_some() && admission.route.kind.is_stream();
        if !resumes || !self.gateway().knows_versions(&admission.service) {
            return Ok(());
        }
        let stream = Gateway::resumed_stream(admission, call);
        let own = stream.and_then(|stream| self.gateway().stream_origin(stream));
        let origin = match (own, stream) {
            (None, Some(stream)) => self.origin_queries.ask(stream).await,
            (own, _) => own,
        };
        let now = self.now();
        let mut targets = admission.route.targets.iter();
        let origin = origin.filter(|o| targets.any(|t| t.service == o.service));
        let known = origin.is_some();
        request.software = match origin {
            Some(origin) => {
                admission.service = origin.service;
                Some(origin.software)
            }
            None => self.gateway().only_version(now, &admission.service),
        };
        slog::info!(self.log, "stream taken up again"; "id" => call.id.as_str(),
            "resumes" => call.resumes.as_deref().unwrap_or(""),
            "after" => call.resume_after.as_deref().unwrap_or(""), "origin_known" => known,
            "software" => request.software.as_deref().unwrap_or(""));
        match &request.software {
            Some(_) => Ok(()),
            None => Err(self.gateway().resume_refusal(&admission.service, None)),
        }
    }
}
