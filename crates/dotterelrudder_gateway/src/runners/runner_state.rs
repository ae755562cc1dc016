//! State of one runner: its record, its last load report, and the load that this entry sent to it.

use std::collections::HashMap;
use std::time::Duration;

use compact_str::CompactString;
use dotterelrudder_wire::RunnerLoad;
use dotterelrudder_wire::RunnerRecord;

use crate::Prompt;
use crate::RunnerCondition;
use crate::RunnerHealth;
use crate::RunnerLimit;
use crate::SlowStart;
use crate::WarmConnections;

/// The age at which a load report expires: several reporting periods.
const MAX_LOAD_AGE: Duration = Duration::from_millis(1_500);
/// How long a session's KV cache is assumed to stay in a runner's memory after its last use.
const SESSION_CACHED_FOR: Duration = Duration::from_secs(4);
/// The mean number of tokens left to prefill of a request that waits at a runner, over the short
/// and long prompts of the current deployments.
const MEAN_UNREAD_TOKENS: f64 = 2_500.0;
/// The number of sessions remembered for each runner at which older ones are removed; a few times
/// as many as its memory can hold.
const MAX_SESSIONS: usize = 512;

/// The state of one runner, which is one start of a backend server.
#[derive(Debug)]
pub struct RunnerState {
    /// The runner's record in the platform's list.
    pub record: RunnerRecord,
    /// Whether the newest list contains the runner.
    pub listed: bool,
    /// Whether the runner's data centre is evacuated.
    pub evacuated: bool,
    /// The outcomes of this entry's requests to the runner.
    pub health: RunnerHealth,
    /// The idle connections to the runner.
    pub connections: WarmConnections,
    /// The runner's random rank in this entry's current sample; the lowest ranks are candidates.
    pub sampling_rank: u32,
    /// Whether the runner's load reports have stopped while those of other runners still arrive.
    pub suspected: bool,
    /// The request limit of the runner, with this entry's permits and demand.
    pub limit: RunnerLimit,
    /// Bounds the requests in flight after the runner returned, until it has shown that it works.
    pub slow_start: Option<SlowStart>,
    /// The last load report and when it arrived.
    load: Option<(RunnerLoad, Duration)>,
    /// When this entry last sent a request of each session.
    sessions: HashMap<CompactString, Duration>,
    in_flight: u32,
    /// Tokens to prefill of this entry's requests that have no first token yet.
    unread: f64,
    sent_since_report: u32,
    /// KV-cache memory of the requests that this entry sent since the last load report, in tokens.
    sent_tokens_since_report: f64,
    /// Tokens to prefill of the requests that this entry sent since the last load report.
    unread_since_report: f64,
}

impl RunnerState {
    /// Creates the state of a newly listed runner.
    pub fn new(record: RunnerRecord) -> Self {
        Self {
            record,
            listed: true,
            evacuated: false,
            health: RunnerHealth::default(),
            connections: WarmConnections::default(),
            sampling_rank: 0,
            suspected: false,
            limit: RunnerLimit::default(),
            slow_start: None,
            load: None,
            sessions: HashMap::new(),
            in_flight: 0,
            unread: 0.0,
            sent_since_report: 0,
            sent_tokens_since_report: 0.0,
            unread_since_report: 0.0,
        }
    }

    /// Applies a newer record. A runner that was reported as leaving stays so under the same
    /// identity, and its weight versions never go back. A new start time resets the state but for
    /// the request limit, which only answers end.
    pub fn update(&mut self, record: RunnerRecord) {
        let leaving = self.record.leaving || record.leaving;
        if record.born_ms != self.record.born_ms {
            *self = Self {
                sampling_rank: self.sampling_rank,
                in_flight: self.in_flight,
                unread: self.unread,
                limit: std::mem::take(&mut self.limit),
                slow_start: self.slow_start,
                ..Self::new(record)
            };
            return;
        }
        let mut weights = record.weights.clone();
        for held in &self.record.weights {
            if let Some(w) = weights.iter_mut().find(|w| w.model == held.model) {
                w.version = w.version.max(held.version);
            }
        }
        self.record = RunnerRecord {
            leaving,
            weights,
            ..record
        };
        self.listed = true;
    }

    /// Applies a load report.
    pub fn on_load_report(&mut self, load: RunnerLoad, now: Duration) {
        if load.reading.leaving {
            self.record.leaving = true;
        }
        self.sent_since_report = 0;
        self.sent_tokens_since_report = 0.0;
        self.unread_since_report = 0.0;
        self.suspected = false;
        if load.reading.answers {
            self.limit.on_load_report(now);
        }
        self.load = Some((load, now));
    }

    fn fresh_load(&self, now: Duration) -> Option<&RunnerLoad> {
        let (load, at) = self.load.as_ref()?;
        (now.saturating_sub(*at) < MAX_LOAD_AGE).then_some(load)
    }

    /// Returns the last load report if it may be used to estimate how full the runner is. An
    /// expired report of a suspected runner still counts: a runner with unknown load must not look
    /// empty.
    fn last_known_load(&self, now: Duration) -> Option<&RunnerLoad> {
        let suspected = self.load.as_ref().filter(|_| self.suspected);
        suspected.map(|(load, _)| load).or(self.fresh_load(now))
    }

    /// Returns the age of the last load report.
    pub fn load_age(&self, now: Duration) -> Option<Duration> {
        self.load.as_ref().map(|(_, at)| now.saturating_sub(*at))
    }

    /// Returns whether the runner may take requests. While it loads weights, it only takes requests
    /// that need no model.
    pub fn is_open(&self, now: Duration) -> bool {
        use RunnerCondition::*;
        matches!(self.condition(now), Open | Loading)
    }

    /// Returns whether nothing but failures speaks against sending the runner requests.
    pub fn is_open_but_for_failures(&self, now: Duration) -> bool {
        let in_cooldown = self.condition(now) == RunnerCondition::InCooldown;
        in_cooldown && self.health.is_open_but_for_failures(now)
    }

    /// Returns the runner's condition.
    pub fn condition(&self, now: Duration) -> RunnerCondition {
        if !self.listed || self.record.leaving {
            RunnerCondition::Leaving
        } else if self.evacuated {
            RunnerCondition::Evacuated
        } else if !self.answers_side(now) {
            RunnerCondition::Unresponsive
        } else if !self.health.is_open(now) {
            RunnerCondition::InCooldown
        } else if self.is_loading(now) {
            RunnerCondition::Loading
        } else {
            RunnerCondition::Open
        }
    }

    /// Returns whether the runner's last load report has expired.
    pub fn is_report_stale(&self, now: Duration) -> bool {
        self.load.is_some() && self.fresh_load(now).is_none()
    }

    /// Returns whether the runner answers its side, by the last load report that has not expired;
    /// true without one.
    fn answers_side(&self, now: Duration) -> bool {
        let load = self.fresh_load(now);
        load.is_none_or(|load| load.reading.answers)
    }

    /// Returns whether the runner is suspected or reported unreachable by its side.
    pub fn may_be_unreachable(&self, now: Duration) -> bool {
        self.suspected || !self.answers_side(now)
    }

    /// Returns whether the runner is about to change its weights.
    pub fn is_loading(&self, now: Duration) -> bool {
        self.fresh_load(now)
            .is_some_and(|load| load.reading.loading)
    }

    /// Returns the weight version that the runner serves of a model.
    pub fn version_of(&self, model: &CompactString) -> Option<u64> {
        let listed = self.record.weights.iter().find(|w| w.model == *model);
        let reported = self.load.as_ref().and_then(|(l, _)| l.version_of(model));
        listed.map(|w| w.version).max(reported)
    }

    /// Returns the number of requests in the runner's batch and queue, including those that this
    /// entry sent since the last load report.
    pub fn batch(&self, now: Duration) -> f64 {
        let reported = self
            .last_known_load(now)
            .map(|l| l.reading.running.saturating_add(l.reading.waiting));
        match reported {
            Some(n) => {
                let sent = self.sent_since_report;
                let known = n.max(self.in_flight.min(n.saturating_add(sent)));
                f64::from(known) + f64::from(sent)
            }
            None => f64::from(self.in_flight),
        }
    }

    /// Returns the number of prompt tokens that the runner processes before those of a new request.
    /// This is the larger of two estimates: the tokens of this entry's own requests, and the
    /// runner's reported queue plus the tokens that this entry sent since.
    pub fn backlog(&self, now: Duration) -> f64 {
        let waiting = self
            .last_known_load(now)
            .map(|l| f64::from(l.reading.waiting));
        let reported = waiting.map_or(0.0, |n| n * MEAN_UNREAD_TOKENS + self.unread_since_report);
        reported.max(self.unread)
    }

    /// Returns the runner's memory utilisation with `tokens` more tokens, as a share of the total.
    pub fn memory_utilisation(&self, now: Duration, tokens: f64) -> f64 {
        match self.last_known_load(now) {
            Some(l) if l.traits.total_tokens > 0 => {
                let used = l.reading.used_tokens as f64 + self.sent_tokens_since_report + tokens;
                used / l.traits.total_tokens as f64
            }
            _ => 0.0,
        }
    }

    /// Returns the runner's KV-cache memory in tokens, by its last load report.
    pub fn total_tokens(&self) -> Option<u64> {
        self.load.as_ref().map(|(l, _)| l.traits.total_tokens)
    }

    /// Returns the number of this entry's requests in progress at the runner.
    pub fn in_flight(&self) -> u32 {
        self.in_flight
    }

    /// Returns the number of tokens to prefill of this entry's requests that have no first token
    /// yet.
    pub fn unread(&self) -> f64 {
        self.unread
    }

    /// Returns whether the session's shared parts are probably in the runner's memory.
    pub fn holds_session(&self, session: &CompactString, now: Duration) -> bool {
        let used = self.sessions.get(session);
        used.is_some_and(|at| now.saturating_sub(*at) < SESSION_CACHED_FOR)
    }

    /// Returns when this entry last sent a request of the session to the runner.
    pub fn session_last_used(&self, session: &CompactString) -> Option<Duration> {
        self.sessions.get(session).copied()
    }

    /// Returns the number of tokens of a prompt that the runner has to prefill.
    pub fn unread_tokens(&self, prompt: &Prompt, now: Duration) -> f64 {
        let held = prompt
            .session_part()
            .is_some_and(|part| self.holds_session(&part.id, now));
        let shared = if held { prompt.shared_tokens() } else { 0 };
        f64::from(prompt.tokens.saturating_sub(shared))
    }

    /// Counts a request that is sent. Returns its tokens to prefill, which are passed to
    /// [`Self::prefilled`] later.
    pub fn sent(&mut self, prompt: Option<&Prompt>, now: Duration) -> f64 {
        self.in_flight += 1;
        self.connections.acquire();
        self.sent_since_report += 1;
        let Some(prompt) = prompt else {
            return 0.0;
        };
        let unread = self.unread_tokens(prompt, now);
        self.sent_tokens_since_report += prompt.peak_tokens() as f64;
        self.unread += unread;
        self.unread_since_report += unread;
        if let Some(part) = prompt.session_part() {
            if self.sessions.len() >= MAX_SESSIONS {
                self.sessions
                    .retain(|_, at| now.saturating_sub(*at) < SESSION_CACHED_FOR / 2);
            }
            self.sessions.insert(part.id.clone(), now);
        }
        unread
    }

    /// Removes a request's tokens from the prefill backlog, because its prefill ended or was
    /// cancelled.
    pub fn prefilled(&mut self, unread: f64) {
        self.unread = (self.unread - unread).max(0.0);
    }

    /// Begins a slow start: the runner returned.
    pub fn begin_slow_start(&mut self) {
        self.slow_start = Some(SlowStart::new(self.in_flight));
    }

    /// Counts an answer of the runner that begins.
    pub fn on_answer_begun(&mut self) {
        self.slow_start.take_if(SlowStart::on_answer);
    }

    /// Returns whether the slow start after the runner's return admits no further request now.
    pub fn is_held_back(&self) -> bool {
        self.slow_start.is_some_and(|s| !s.allows(self.in_flight))
    }

    /// Counts a request that ended.
    pub fn ended(&mut self) {
        if let Some(slow_start) = &mut self.slow_start {
            slow_start.on_end();
        }
        self.in_flight = self.in_flight.saturating_sub(1);
    }
}
