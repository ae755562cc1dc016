//! The software versions at which streams began, and at which they may go on.
//!
//! Load pattern: runners of several software versions serve side by side, and what two versions write
//! doesn't fit together. A stream that breaks off, or that its caller takes up again at any entry,
//! goes on at the version that began it or not at all. See docs/design/software-versions.md.

use super::Gateway;
use crate::stream_key;
use crate::Admission;
use crate::CallerRequest;
use crate::Placement;
use compact_str::format_compact;
use compact_str::CompactString;
use dotterelrudder_config::deployment::RouteRule;
use dotterelrudder_types::ErrorKind;
use dotterelrudder_types::Refusal;
use dotterelrudder_types::ServiceName;
use dotterelrudder_wire::StreamKey;
use dotterelrudder_wire::StreamOrigin;
use std::collections::BTreeSet;
use std::time::Duration;

/// How long a service must have had one software version only, so that a stream whose origin is
/// unknown can't have begun at another one: longer than the time limits of routes.
const SINGLE_VERSION_FOR: Duration = Duration::from_secs(30);

/// The longest time between two confirmations of the list in which no version can have joined and
/// left unseen: a release takes longer.
const MAX_CONFIRMATION_GAP: Duration = Duration::from_secs(3);

/// How often all entries together report origins of streams, while their services have one software
/// version each; it bounds the messages that control instances get.
const ORIGIN_REPORTS_PER_SECOND: f64 = 600.0;
/// The longest interval between two such reports of an entry.
const MAX_ORIGIN_REPORT_INTERVAL: Duration = Duration::from_millis(250);

/// The software versions that a service has, and since when these.
#[derive(Debug, Default)]
pub(super) struct ServiceVersions {
    versions: BTreeSet<CompactString>,
    since: Duration,
}

impl Gateway {
    /// Updates the software versions of the services after a change of the list.
    pub fn update_versions(&mut self, now: Duration) {
        for (name, known) in &mut self.versions {
            let versions = self.runners.software_of(name);
            if versions != known.versions {
                known.since = now;
                known.versions = versions;
            }
        }
        for name in self.runners.services() {
            if !self.versions.contains_key(&name) {
                let versions = self.runners.software_of(&name);
                let since = now;
                self.versions
                    .insert(name, ServiceVersions { versions, since });
            }
        }
    }

    /// Records that the leader confirmed the list of backend servers at or after `queried_at`. After a
    /// longer time without a confirmation, versions may have come and gone unseen.
    pub(super) fn confirm_versions(&mut self, now: Duration, queried_at: Duration) {
        let previous = self.versions_confirmed_at.unwrap_or_default();
        if queried_at > previous + MAX_CONFIRMATION_GAP {
            for known in self.versions.values_mut() {
                known.since = now;
            }
        }
        self.versions_confirmed_at = Some(queried_at.max(previous));
    }

    /// Returns whether the leader has confirmed the list since a time, so that the versions which had
    /// runners until then are known here.
    pub fn are_versions_confirmed(&self, since: Duration) -> bool {
        self.versions_confirmed_at.is_some_and(|at| at >= since)
    }

    /// Records that a stream began at a runner. Returns whether the control instances should hear of
    /// it at once, since the service has runners of several versions.
    pub fn on_stream_begun(
        &mut self,
        now: Duration,
        admission: &Admission,
        call: &CallerRequest,
        placement: &Placement,
    ) -> bool {
        let Some(software) = placement.software.clone() else {
            return false;
        };
        let account = admission.account.as_ref().map(|a| &a.name);
        let origin = StreamOrigin {
            service: admission.service.clone(),
            software,
        };
        self.stream_origins
            .add(now, stream_key(account, &call.id), origin);
        let known = self.versions.get(&admission.service);
        known.is_some_and(|known| known.versions.len() > 1)
    }

    /// Returns the shortest interval between two reports of origins: what is not reported yet is lost
    /// with the entry.
    pub fn origin_report_interval(&self) -> Duration {
        let seconds = f64::from(self.entries.get()) / ORIGIN_REPORTS_PER_SECOND;
        Duration::from_secs_f64(seconds).min(MAX_ORIGIN_REPORT_INTERVAL)
    }

    /// Returns the origins of the streams that began since the last call.
    pub fn take_stream_origins(&mut self) -> Vec<(StreamKey, StreamOrigin)> {
        self.stream_origins.take()
    }

    /// Returns the origins of the streams that began here a short time ago, for a control instance
    /// that was restarted or not connected.
    pub fn kept_stream_origins(&mut self, now: Duration) -> Vec<(StreamKey, StreamOrigin)> {
        self.stream_origins.kept(now)
    }

    /// Returns the origin of a stream that began here a short time ago.
    pub fn stream_origin(&self, stream: StreamKey) -> Option<StreamOrigin> {
        self.stream_origins.find(stream).cloned()
    }

    /// Returns the key of the stream that a caller takes up again, if it names one.
    pub fn resumed_stream(admission: &Admission, call: &CallerRequest) -> Option<StreamKey> {
        let account = admission.account.as_ref().map(|a| &a.name);
        call.resumes.as_ref().map(|id| stream_key(account, id))
    }

    /// Returns the version at which a stream of unknown origin must have begun, if the service has
    /// had no other one for long enough.
    pub fn only_version(&self, now: Duration, service: &ServiceName) -> Option<CompactString> {
        let known = self.versions.get(service)?;
        let is_settled = known.versions.len() == 1
            && now >= known.since + SINGLE_VERSION_FOR
            && !self.runners.has_unversioned(service);
        known.versions.first().filter(|_| is_settled).cloned()
    }

    /// Returns whether the software versions of one of the route's services are known.
    pub fn knows_versions(&self, route: &RouteRule) -> bool {
        let mut known = route
            .targets
            .iter()
            .filter_map(|t| self.versions.get(&t.service));
        known.any(|known| !known.versions.is_empty())
    }

    /// Returns the service and the version at which a stream goes on that a caller takes up again:
    /// those of its origin, if that is known. The service that was picked for the request may be
    /// another one of the route.
    ///
    /// # Errors
    ///
    /// Returns a refusal if the route no longer leads to the service that began the stream, or if
    /// the origin is unknown and the stream may have begun at several services or versions.
    pub fn resumed_at(
        &self,
        now: Duration,
        admission: &Admission,
        origin: Option<StreamOrigin>,
    ) -> Result<StreamOrigin, Refusal> {
        let (service, targets) = (&admission.service, &admission.route.targets);
        if let Some(origin) = origin {
            if targets.iter().any(|t| t.service == origin.service) {
                return Ok(origin);
            }
            let detail = format_compact!(
                "the route no longer leads to \"{}\", which began the stream",
                origin.service
            );
            return Err(Refusal::new(ErrorKind::NotResumable, detail));
        }
        let only = self
            .only_version(now, service)
            .filter(|_| targets.len() == 1);
        let service = service.clone();
        match only {
            Some(software) => Ok(StreamOrigin { service, software }),
            None => Err(self.resume_refusal(&service, None)),
        }
    }

    /// Builds the refusal of a stream that can't go on.
    pub fn resume_refusal(&self, service: &ServiceName, software: Option<&str>) -> Refusal {
        let detail = match software {
            Some(version) => format_compact!(
                "no backend server of \"{service}\" has version {version}, which began the stream"
            ),
            None => {
                format_compact!("the version of \"{service}\" that began the stream is unknown")
            }
        };
        Refusal::new(ErrorKind::NotResumable, detail)
    }
}
