//! Connections that runners close before an answer began, and requests that are refused since such
//! requests crash runners.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use compact_str::CompactString;
use dotterelrudder_gateway::Dialect;
use dotterelrudder_gateway::Placement;
use dotterelrudder_types::Refusal;
use dotterelrudder_wire::PartBlock;
use tokio::net::TcpStream;
use tokio::time::timeout;

use super::request::ActiveRequest;
use super::server::EntryServer;

/// How long the closed connections of one runner are collected before it is probed.
const COLLECT_PERIOD: Duration = Duration::from_millis(20);
/// The time limit of the connection that finds out whether a runner ended.
const PROBE_TIMEOUT: Duration = Duration::from_millis(400);

impl<D> EntryServer<D>
where
    D: Dialect,
{
    /// Logs that a runner closed the connection of a request that had not begun, with what tells its
    /// repetitions and the shared parts of its prompt, and finds out whether the runner ended.
    pub(super) fn record_lost_connection(
        self: &Arc<Self>,
        request: &ActiveRequest,
        placement: &Placement,
        sent_at: Duration,
        reason: &str,
    ) {
        self.metrics.count_lost_connection();
        let prompt = request.call.prompt.as_ref();
        let parts = prompt.map(|p| p.shared_parts()).unwrap_or_default();
        let parts = parts.iter().map(|p| p.id.as_str());
        slog::info!(self.log, "connection to runner lost before the answer began";
            "id" => request.call.id.as_str(), "runner" => placement.identity.as_str(),
            "address" => %placement.address, "reason" => reason,
            "request" => %request.fingerprint, "parts" => parts.collect::<Vec<_>>().join(","));
        let identity = &placement.identity;
        let now = self.now();
        // A runner that leaves closes its connections when it ends.
        if self.gateway().is_leaving(placement.runner) {
            return;
        }
        let is_first =
            self.gateway()
                .on_connection_closed(now, identity, sent_at, request.traits());
        if is_first {
            let (identity, address) = (identity.clone(), placement.address);
            tokio::spawn(self.clone().probe_runner(identity, address));
        }
    }

    /// Records that a runner refused or closed a connection. It may start again, and be cold then.
    pub(super) fn note_lost_runner(&self, placement: &Placement) {
        let now = self.now();
        let mut gateway = self.gateway();
        let counts_as_cold = gateway.on_connection_lost(now, placement.runner);
        if gateway.is_limit_report_due() {
            self.limit_report_due.notify_one();
        }
        drop(gateway);
        if counts_as_cold {
            slog::info!(self.log, "runner counts as cold after a lost connection";
                "runner" => placement.identity.as_str(), "address" => %placement.address);
        }
    }

    /// Finds out whether a runner ended: only the host of a process that has ended refuses a
    /// connection. A connection that was reset, a lost answer or a cut link leave the runner there,
    /// and a machine without power doesn't answer.
    async fn probe_runner(self: Arc<Self>, identity: CompactString, address: SocketAddr) {
        tokio::time::sleep(COLLECT_PERIOD).await;
        let connected = timeout(PROBE_TIMEOUT, TcpStream::connect(address)).await;
        let refused = std::io::ErrorKind::ConnectionRefused;
        let has_ended = matches!(&connected, Ok(Err(e)) if e.kind() == refused);
        slog::info!(self.log, "runner probed after it closed connections";
            "runner" => identity.as_str(), "address" => %address, "ended" => has_ended);
        let mut gateway = self.gateway();
        let blocked = gateway.on_runner_probed(&identity, has_ended);
        if gateway.is_part_report_due() {
            self.part_report_due.notify_one();
        }
        drop(gateway);
        self.announce_blocks(&blocked, "own");
    }

    /// Logs new blocks with whose evidence decided, and cancels the requests that they cover.
    pub(super) fn announce_blocks(&self, blocks: &[PartBlock], evidence: &'static str) {
        for block in blocks {
            let parts = block.parts.iter().filter(|p| !p.is_whole_request());
            let (runners, age_ms) = (block.runners, block.age.as_millis() as u64);
            let model = parts.clone().next().map_or("", |p| p.model.as_str());
            let ids: Vec<&str> = parts.map(|p| p.id.as_str()).collect();
            match block.request() {
                Some(request) => slog::warn!(self.log, "request blocked, it crashes runners";
                    "request" => request, "runners" => runners, "age_ms" => age_ms,
                    "evidence" => evidence),
                None => slog::warn!(self.log, "prompt part blocked, it crashes runners";
                    "part" => ids.join("+"), "model" => model, "runners" => runners,
                    "age_ms" => age_ms),
            }
        }
        if !blocks.is_empty() {
            self.parts_blocked.notify_waiters();
        }
    }

    /// Returns whether a runner is still there whose response ended with its connection: when a
    /// process ends, its connections are closed in order too. The connection that shows it replaces
    /// the closed one.
    pub(super) async fn is_still_there(&self, placement: &Placement) -> bool {
        match self.pool.connect(placement.address).await {
            Ok(upstream) => {
                self.pool.put_back(upstream, self.now());
                true
            }
            Err(reason) => {
                slog::info!(self.log, "runner not reached after an answer ended with its connection";
                    "runner" => placement.identity.as_str(), "address" => %placement.address,
                    "reason" => reason);
                false
            }
        }
    }

    /// Records that the answer to a request begins at a runner, before its first event is passed on.
    pub(super) fn record_answer_begun(&self, request: &ActiveRequest, placement: &Placement) {
        let now = self.now();
        let mut gateway = self.gateway();
        // A stream that is taken up again began with another request.
        if request.call.resume_after.is_none() {
            if gateway.on_stream_begun(now, &request.admission, &request.call, placement) {
                drop(gateway);
                self.report_origins();
                gateway = self.gateway();
            } else {
                self.origin_report_due.notify_one();
            }
        }
        gateway.on_answer_begun(now, request.traits());
        if gateway.is_part_report_due() {
            self.part_report_due.notify_one();
        }
    }

    /// Records that the whole answer to a request arrived.
    pub(super) fn record_answer(&self, request: &ActiveRequest) {
        let now = self.now();
        let mut gateway = self.gateway();
        gateway.on_answer_begun(now, request.traits());
        if gateway.is_part_report_due() {
            self.part_report_due.notify_one();
        }
    }

    /// Returns the refusal of a request that is blocked.
    pub(super) fn refuse_blocked(&self, request: &ActiveRequest) -> Option<Refusal> {
        let refusal = self.gateway().block_refusal(request.traits())?;
        self.metrics.count_block_refusal();
        Some(refusal)
    }

    /// Waits until a request is blocked.
    pub(super) async fn until_blocked(&self, request: &ActiveRequest) {
        loop {
            let blocked = self.parts_blocked.notified();
            if self.gateway().is_blocked(request.traits()) {
                return;
            }
            blocked.await;
        }
    }
}
