//! OpenTelemetry metrics of a daemon, exposed in the Prometheus text format.

use opentelemetry::metrics::Counter;
use opentelemetry::metrics::Gauge;
use opentelemetry::metrics::Histogram;
use opentelemetry::metrics::MeterProvider;
use opentelemetry::KeyValue;
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::Encoder;
use prometheus::Registry;
use prometheus::TextEncoder;

use crate::logging::dropped_lines;

/// Bucket bounds of the histograms of durations, in seconds; 0.63 s is the time to first token that
/// the system is designed for.
const TIME_BUCKETS_SECONDS: &[f64] = &[
    0.001, 0.005, 0.02, 0.05, 0.1, 0.2, 0.4, 0.63, 1.0, 2.0, 5.0, 20.0,
];
/// Bucket bounds of the histogram of the measured minus the estimated time to first token, in
/// seconds; negative when the token came early.
const OVERRUN_BUCKETS_SECONDS: &[f64] = &[
    -1.0, -0.4, -0.2, -0.1, -0.05, -0.02, 0.02, 0.05, 0.1, 0.2, 0.4, 1.0, 2.0, 5.0,
];

/// The instruments of a daemon; docs/OPERATIONS.md describes each metric.
#[derive(Debug, Clone)]
pub struct Metrics {
    registry: Registry,
    /// Kept alive, since the instruments stop recording when the provider is dropped.
    _provider: SdkMeterProvider,
    requests: Counter<u64>,
    refusals: Counter<u64>,
    answers: Counter<u64>,
    attempts: Counter<u64>,
    lost_connections: Counter<u64>,
    aborted_streams: Counter<u64>,
    repeats: Counter<u64>,
    limited_sends: Counter<u64>,
    limited_runners: Gauge<u64>,
    limit_refusals: Counter<u64>,
    cold_runners: Gauge<u64>,
    cold_refusals: Counter<u64>,
    admissions: Counter<u64>,
    unused_permits: Gauge<u64>,
    part_blocks: Gauge<u64>,
    request_blocks: Gauge<u64>,
    block_refusals: Counter<u64>,
    runners: Gauge<u64>,
    unreadable_list_entries: Gauge<u64>,
    evacuated_data_centres: Gauge<u64>,
    leads: Gauge<u64>,
    term: Gauge<u64>,
    confirmation_age: Gauge<f64>,
    queue_wait: Histogram<f64>,
    estimated_first_token: Histogram<f64>,
    first_token_overrun: Histogram<f64>,
    queued_requests: Gauge<u64>,
    completion_tokens: Counter<u64>,
    cached_tokens: Counter<u64>,
    prompt_tokens: Counter<u64>,
    open_links: Gauge<u64>,
    frame_errors: Gauge<u64>,
    revision: Gauge<u64>,
    open_requests: Gauge<u64>,
    held_bytes: Gauge<u64>,
    caller_connections: Gauge<u64>,
    intake_refusals: Counter<u64>,
    time_to_first_token: Histogram<f64>,
    journal_sync: Histogram<f64>,
}

impl Metrics {
    /// Creates and registers all instruments.
    ///
    /// # Errors
    ///
    /// Returns the error of the metrics library when the exporter cannot be registered.
    pub fn new() -> Result<Self, String> {
        let registry = Registry::new();
        let exporter = opentelemetry_prometheus::exporter()
            .with_registry(registry.clone())
            .without_scope_info()
            .build()
            .map_err(|e| e.to_string())?;
        let provider = SdkMeterProvider::builder().with_reader(exporter).build();
        let meter = provider.meter("dotterelrudder");
        // The callback runs at each scrape until the provider is dropped; the handle is not needed.
        let _dropped = meter
            .u64_observable_counter("dotterelrudder_dropped_log_lines")
            .with_callback(|o| o.observe(dropped_lines(), &[]))
            .build();
        let counter = |name: &'static str| meter.u64_counter(name).build();
        let gauge = |name: &'static str| meter.u64_gauge(name).build();
        let histogram = |name: &'static str, bounds: &[f64]| {
            let builder = meter.f64_histogram(name);
            builder.with_boundaries(bounds.to_vec()).build()
        };
        Ok(Self {
            registry,
            requests: counter("dotterelrudder_requests"),
            refusals: counter("dotterelrudder_refusals"),
            attempts: counter("dotterelrudder_attempts"),
            lost_connections: counter("dotterelrudder_lost_connections"),
            aborted_streams: counter("dotterelrudder_aborted_streams"),
            answers: counter("dotterelrudder_answers"),
            repeats: counter("dotterelrudder_repeats"),
            limited_sends: counter("dotterelrudder_limited_sends"),
            limited_runners: gauge("dotterelrudder_limited_runners"),
            limit_refusals: counter("dotterelrudder_limit_refusals"),
            cold_runners: gauge("dotterelrudder_cold_runners"),
            cold_refusals: counter("dotterelrudder_cold_refusals"),
            admissions: counter("dotterelrudder_admissions"),
            unused_permits: gauge("dotterelrudder_unused_permits"),
            part_blocks: gauge("dotterelrudder_part_blocks"),
            request_blocks: gauge("dotterelrudder_request_blocks"),
            block_refusals: counter("dotterelrudder_block_refusals"),
            runners: gauge("dotterelrudder_runners"),
            unreadable_list_entries: gauge("dotterelrudder_unreadable_list_entries"),
            evacuated_data_centres: gauge("dotterelrudder_evacuated_data_centres"),
            leads: gauge("dotterelrudder_leads"),
            term: gauge("dotterelrudder_term"),
            confirmation_age: meter
                .f64_gauge("dotterelrudder_confirmation_age_seconds")
                .build(),
            queue_wait: histogram("dotterelrudder_waited_seconds", TIME_BUCKETS_SECONDS),
            estimated_first_token: histogram(
                "dotterelrudder_expected_first_token_seconds",
                TIME_BUCKETS_SECONDS,
            ),
            first_token_overrun: histogram(
                "dotterelrudder_first_token_over_expected_seconds",
                OVERRUN_BUCKETS_SECONDS,
            ),
            queued_requests: gauge("dotterelrudder_waiting_requests"),
            completion_tokens: counter("dotterelrudder_completion_tokens"),
            cached_tokens: counter("dotterelrudder_cached_tokens"),
            prompt_tokens: counter("dotterelrudder_prompt_tokens"),
            open_links: gauge("dotterelrudder_open_links"),
            frame_errors: gauge("dotterelrudder_frame_errors"),
            revision: gauge("dotterelrudder_revision"),
            open_requests: gauge("dotterelrudder_open_requests"),
            held_bytes: gauge("dotterelrudder_held_bytes"),
            caller_connections: gauge("dotterelrudder_caller_connections"),
            intake_refusals: counter("dotterelrudder_intake_refusals"),
            time_to_first_token: histogram(
                "dotterelrudder_first_token_seconds",
                TIME_BUCKETS_SECONDS,
            ),
            journal_sync: histogram("dotterelrudder_journal_sync_seconds", TIME_BUCKETS_SECONDS),
            _provider: provider,
        })
    }

    /// Counts a request received by an entry, or an attempt started by a side.
    pub fn count_request(&self) {
        self.requests.add(1, &[]);
    }

    /// Counts a refusal by the code of its kind.
    pub fn count_refusal(&self, kind: &'static str) {
        self.refusals.add(1, &[KeyValue::new("kind", kind)]);
    }

    /// Counts a connection that a runner closed before the answer on it began.
    pub fn count_lost_connection(&self) {
        self.lost_connections.add(1, &[]);
    }

    /// Counts a stream to a caller that was aborted, by the reason.
    pub fn count_aborted_stream(&self, reason: &'static str) {
        self.aborted_streams
            .add(1, &[KeyValue::new("reason", reason)]);
    }

    /// Sets the numbers of blocked parts of prompts and of blocked requests.
    pub fn set_blocks(&self, parts: usize, requests: usize) {
        self.part_blocks.record(parts as u64, &[]);
        self.request_blocks.record(requests as u64, &[]);
    }

    /// Counts a request that was refused since it crashes runners.
    pub fn count_block_refusal(&self) {
        self.block_refusals.add(1, &[]);
    }

    /// Counts a finished attempt at a backend server by its outcome.
    pub fn count_attempt(&self, outcome: &'static str) {
        self.attempts.add(1, &[KeyValue::new("outcome", outcome)]);
    }

    /// Counts an answer by its status class, `2xx` to `5xx`, or `none` for any other status.
    pub fn count_answer(&self, status: u16) {
        let class = match status / 100 {
            2 => "2xx",
            3 => "3xx",
            4 => "4xx",
            5 => "5xx",
            _ => "none",
        };
        self.answers.add(1, &[KeyValue::new("class", class)]);
    }

    /// Counts a retry that the shared retry budget allowed or denied.
    pub fn count_repeat(&self, allowed: bool) {
        let outcome = if allowed { "allowed" } else { "denied" };
        self.repeats.add(1, &[KeyValue::new("outcome", outcome)]);
    }

    /// Counts a request sent to a runner that names a request limit.
    pub fn count_limited_send(&self) {
        self.limited_sends.add(1, &[]);
    }

    /// Counts a request that was refused because no permit was to come in time.
    pub fn count_limit_refusal(&self) {
        self.limit_refusals.add(1, &[]);
    }

    /// Counts a request refused because runners are cold and no permit was left for them.
    pub fn count_cold_refusal(&self) {
        self.cold_refusals.add(1, &[]);
    }

    /// Sets the number of runners that are cold, or may be.
    pub fn set_cold_runners(&self, runners: usize) {
        self.cold_runners.record(runners as u64, &[]);
    }

    /// Counts a request that `overload_control` decided on, by its priority, its client account and
    /// what became of it.
    pub fn count_admission(&self, priority: u8, account: &str, outcome: &'static str) {
        let labels = [
            KeyValue::new("priority", i64::from(priority)),
            KeyValue::new("account", account.to_owned()),
            KeyValue::new("outcome", outcome),
        ];
        self.admissions.add(1, &labels);
    }

    /// Sets the number of runners that name a request limit, and of unused permits for them.
    pub fn set_limited_runners(&self, runners: usize, permits: usize) {
        self.limited_runners.record(runners as u64, &[]);
        self.unused_permits.record(permits as u64, &[]);
    }

    /// Sets the number of runners in a state.
    pub fn set_runners(&self, state: &'static str, runners: usize) {
        self.runners
            .record(runners as u64, &[KeyValue::new("state", state)]);
    }

    /// Sets the number of evacuated data centres.
    pub fn set_evacuated_data_centres(&self, data_centres: usize) {
        self.evacuated_data_centres.record(data_centres as u64, &[]);
    }

    /// Sets whether the control instance is the leader, and its current term.
    pub fn set_leadership(&self, leads: bool, term: u64) {
        self.leads.record(u64::from(leads), &[]);
        self.term.record(term, &[]);
    }

    /// Sets the age of the last confirmation of the configuration by control, in seconds.
    pub fn set_confirmation_age(&self, seconds: f64) {
        self.confirmation_age.record(seconds, &[]);
    }

    /// Records how long a request waited at an entry until it was assigned to a runner, in seconds.
    pub fn record_waited(&self, seconds: f64) {
        self.queue_wait.record(seconds, &[]);
    }

    /// Records an estimated time to first token, and the measured time minus the estimate, in
    /// seconds.
    pub fn record_expectation(&self, estimated: f64, observed: f64) {
        self.estimated_first_token.record(estimated, &[]);
        self.first_token_overrun.record(observed - estimated, &[]);
    }

    /// Sets the number of requests queued at the entry for capacity at a backend server.
    pub fn set_waiting(&self, queued_requests: usize) {
        self.queued_requests.record(queued_requests as u64, &[]);
    }

    /// Adds the prompt, cached and completion tokens of a finished completion.
    pub fn count_usage(&self, usage: dotterelrudder_wire::Usage) {
        self.completion_tokens
            .add(u64::from(usage.completion_tokens), &[]);
        self.cached_tokens.add(u64::from(usage.cached_tokens), &[]);
        self.prompt_tokens.add(u64::from(usage.prompt_tokens), &[]);
    }

    /// Records the time to first token of a completion, in seconds.
    pub fn record_first_token(&self, seconds: f64) {
        self.time_to_first_token.record(seconds, &[]);
    }

    /// Records how long a sync of the journal to disk took, in seconds.
    pub fn record_sync(&self, seconds: f64) {
        self.journal_sync.record(seconds, &[]);
    }

    /// Sets the number of entries of the instance list that could not be read.
    pub fn set_unreadable_list_entries(&self, entries: usize) {
        self.unreadable_list_entries.record(entries as u64, &[]);
    }

    /// Sets the number of open connections to other processes.
    pub fn set_links(&self, open_links: usize, frame_errors: u64) {
        self.frame_errors.record(frame_errors, &[]);
        self.open_links.record(open_links as u64, &[]);
    }

    /// Sets the configuration revision in force.
    pub fn set_revision(&self, revision: u64) {
        self.revision.record(revision, &[]);
    }

    /// Sets the number of open requests at an entry, or of running attempts at a side.
    pub fn set_open(&self, open_requests: usize) {
        self.open_requests.record(open_requests as u64, &[]);
    }

    /// Sets the bytes held for peers that the process does not control.
    pub fn set_held_bytes(&self, bytes: usize) {
        self.held_bytes.record(bytes as u64, &[]);
    }

    /// Sets the number of open connections at a port.
    pub fn set_caller_connections(&self, port: &'static str, connections: usize) {
        self.caller_connections
            .record(connections as u64, &[KeyValue::new("port", port)]);
    }

    /// Counts a peer that was refused or closed for the limits on memory and descriptors.
    pub fn count_intake_refusal(&self, kind: &'static str) {
        self.intake_refusals.add(1, &[KeyValue::new("kind", kind)]);
    }

    /// Renders all instruments in the Prometheus text format; an encoding error becomes a comment
    /// line.
    pub fn render(&self) -> String {
        let mut buf = Vec::new();
        let encoded = TextEncoder::new().encode(&self.registry.gather(), &mut buf);
        encoded.map_or_else(
            |e| format!("# {e}\n"),
            |()| String::from_utf8_lossy(&buf).into_owned(),
        )
    }
}
