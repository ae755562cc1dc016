//! Metrics by OpenTelemetry, served for scraping.

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

/// Bounds of the histograms of times, in seconds; 0.63 is the objective that the system is designed
/// for.
const TIME_BUCKETS_SECONDS: &[f64] = &[
    0.001, 0.005, 0.02, 0.05, 0.1, 0.2, 0.4, 0.63, 1.0, 2.0, 5.0, 20.0,
];
/// Bounds of the histogram of differences between two times, in seconds.
const OVERRUN_BUCKETS_SECONDS: &[f64] = &[
    -1.0, -0.4, -0.2, -0.1, -0.05, -0.02, 0.02, 0.05, 0.1, 0.2, 0.4, 1.0, 2.0, 5.0,
];

/// The instruments of a daemon; docs/OPERATIONS.md explains each.
#[derive(Debug, Clone)]
pub struct Metrics {
    registry: Registry,
    _provider: SdkMeterProvider,
    requests: Counter<u64>,
    refusals: Counter<u64>,
    answers: Counter<u64>,
    attempts: Counter<u64>,
    repeats: Counter<u64>,
    runners: Gauge<u64>,
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
    revision: Gauge<u64>,
    open_requests: Gauge<u64>,
    time_to_first_token: Histogram<f64>,
    journal_sync: Histogram<f64>,
}

impl Metrics {
    /// Builds the instruments.
    ///
    /// # Errors
    ///
    /// Returns what the metrics library says when it can't register them.
    pub fn new() -> Result<Self, String> {
        let registry = Registry::new();
        let exporter = opentelemetry_prometheus::exporter()
            .with_registry(registry.clone())
            .without_scope_info()
            .build()
            .map_err(|e| e.to_string())?;
        let provider = SdkMeterProvider::builder().with_reader(exporter).build();
        let meter = provider.meter("dotterelrudder");
        // Observed when scraped, for as long as the provider lives.
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
            answers: counter("dotterelrudder_answers"),
            repeats: counter("dotterelrudder_repeats"),
            runners: gauge("dotterelrudder_runners"),
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
            revision: gauge("dotterelrudder_revision"),
            open_requests: gauge("dotterelrudder_open_requests"),
            time_to_first_token: histogram(
                "dotterelrudder_first_token_seconds",
                TIME_BUCKETS_SECONDS,
            ),
            journal_sync: histogram("dotterelrudder_journal_sync_seconds", TIME_BUCKETS_SECONDS),
            _provider: provider,
        })
    }

    /// Counts a request of a tier.
    pub fn count_request(&self) {
        self.requests.add(1, &[]);
    }

    /// Counts a refusal of a kind.
    pub fn count_refusal(&self, kind: &'static str) {
        self.refusals.add(1, &[KeyValue::new("kind", kind)]);
    }

    /// Counts an attempt at a backend server by its outcome.
    pub fn count_attempt(&self, outcome: &'static str) {
        self.attempts.add(1, &[KeyValue::new("outcome", outcome)]);
    }

    /// Counts an answer by the class of its status.
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

    /// Counts a repeat that the shared budget allowed or denied.
    pub fn count_repeat(&self, allowed: bool) {
        let outcome = if allowed { "allowed" } else { "denied" };
        self.repeats.add(1, &[KeyValue::new("outcome", outcome)]);
    }

    /// Sets how many runners are in a state.
    pub fn set_runners(&self, state: &'static str, runners: usize) {
        self.runners
            .record(runners as u64, &[KeyValue::new("state", state)]);
    }

    /// Sets whether the instance leads, and the term that it knows.
    pub fn set_standing(&self, leads: bool, term: u64) {
        self.leads.record(u64::from(leads), &[]);
        self.term.record(term, &[]);
    }

    /// Sets the age of the last confirmation by control, in seconds.
    pub fn set_confirmation_age(&self, seconds: f64) {
        self.confirmation_age.record(seconds, &[]);
    }

    /// Records how long a request waited at an entry until it was placed, in seconds.
    pub fn record_waited(&self, seconds: f64) {
        self.queue_wait.record(seconds, &[]);
    }

    /// Records an expected time to a first token, and how much later it came, in seconds.
    pub fn record_expectation(&self, estimated: f64, observed: f64) {
        self.estimated_first_token.record(estimated, &[]);
        self.first_token_overrun.record(observed - estimated, &[]);
    }

    /// Sets the number of requests that wait for room at a backend server.
    pub fn set_waiting(&self, queued_requests: usize) {
        self.queued_requests.record(queued_requests as u64, &[]);
    }

    /// Counts the tokens of a finished completion.
    pub fn count_usage(&self, usage: dotterelrudder_wire::Usage) {
        self.completion_tokens
            .add(u64::from(usage.completion_tokens), &[]);
        self.cached_tokens.add(u64::from(usage.cached_tokens), &[]);
        self.prompt_tokens.add(u64::from(usage.prompt_tokens), &[]);
    }

    /// Records the time to a first token, in seconds.
    pub fn record_first_token(&self, seconds: f64) {
        self.time_to_first_token.record(seconds, &[]);
    }

    /// Records the time of a journal sync, in seconds.
    pub fn record_sync(&self, seconds: f64) {
        self.journal_sync.record(seconds, &[]);
    }

    /// Sets the number of open connections between processes.
    pub fn set_links(&self, open_links: usize) {
        self.open_links.record(open_links as u64, &[]);
    }

    /// Sets the revision in force.
    pub fn set_revision(&self, revision: u64) {
        self.revision.record(revision, &[]);
    }

    /// Sets the number of requests or attempts in work.
    pub fn set_open(&self, open_requests: usize) {
        self.open_requests.record(open_requests as u64, &[]);
    }

    /// Renders all instruments in the text format for scraping.
    pub fn render(&self) -> String {
        let mut buf = Vec::new();
        let encoded = TextEncoder::new().encode(&self.registry.gather(), &mut buf);
        encoded.map_or_else(
            |e| format!("# {e}\n"),
            |()| String::from_utf8_lossy(&buf).into_owned(),
        )
    }
}
