//! What an entry knows of whether a runner is cold.

use std::time::Duration;

/// How long after a lost connection a load report, or an answer of the leader, must come to show that the
/// runner is still the same: longer than a side reads and the leader passes a report on.
const REPORT_LAG: Duration = Duration::from_secs(1);
/// The number of such reports. Of two, the second was read after the first one was sent, also if a side
/// or the leader stood still in between.
const REPORTS_TO_TRUST: u32 = 2;
/// How long after a lost connection a runner without load reports counts as cold, if the leader answers.
/// It has announced by then that the runner started, if it did.
const WITHOUT_REPORTS: Duration = Duration::from_secs(10);

/// How old the leader's last answer may be when an announced cold time ends by itself: a few intervals of
/// queries.
const CONFIRMED_FOR: Duration = Duration::from_millis(1_500);

/// A connection that was refused or lost, since which the runner may have started again.
#[derive(Debug, Clone, Copy)]
struct LostConnection {
    at: Duration,
    /// Load reports since then that show the same start of the runner.
    reports: u32,
    /// When the last query was sent that the leader answered.
    confirmed_at: Duration,
}

impl LostConnection {
    /// Returns whether the runner is known to be the same as before.
    fn is_over(&self, now: Duration) -> bool {
        let is_confirmed = self.confirmed_at >= self.at + REPORT_LAG;
        is_confirmed && (self.reports >= REPORTS_TO_TRUST || now >= self.at + WITHOUT_REPORTS)
    }
}

/// The rate that a cold runner takes, while it is cold or may be.
#[derive(Debug, Default)]
pub struct WarmUpLimit {
    /// The rate that the leader announced, and when the runner is warm.
    announced: Option<(f64, Duration)>,
    /// The rate of the service's cold runners, and the lost connection.
    lost: Option<(f64, LostConnection)>,
    /// The same rate, and since when this entry may have missed announcements.
    unsure: Option<(f64, Duration)>,
}

impl WarmUpLimit {
    /// Returns the rate in requests per second; none if the runner is known to be warm.
    pub fn rate(&self) -> Option<f64> {
        let lost = self.lost.map(|(rate, _)| rate);
        let unsure = self.unsure.map(|(rate, _)| rate);
        let rates = [self.announced.map(|(rate, _)| rate), lost, unsure];
        rates.into_iter().flatten().min_by(f64::total_cmp)
    }

    /// Returns whether the runner counts as cold without the leader's announcement.
    pub fn is_presumed(&self) -> bool {
        self.lost.is_some() || self.unsure.is_some()
    }

    /// Returns when the runner is warm by the leader's word, if nothing else speaks against it.
    pub fn ends_at(&self) -> Option<Duration> {
        let (_, until) = self.announced?;
        (!self.is_presumed()).then_some(until)
    }

    /// Applies the leader's announcement.
    pub fn announce(&mut self, rate: Option<f64>, until: Duration) {
        self.announced = rate.map(|rate| (rate, until));
    }

    /// Records a refused or lost connection.
    pub fn on_lost(&mut self, now: Duration, rate: f64) {
        let lost = LostConnection {
            at: now,
            reports: 0,
            confirmed_at: Duration::ZERO,
        };
        self.lost = Some((rate, lost));
    }

    /// Records that this entry stood still, and may have missed announcements.
    pub fn on_pause(&mut self, now: Duration, rate: f64) {
        self.unsure = Some((rate, now));
    }

    /// Records a load report that shows the same start of the runner.
    pub fn on_load_report(&mut self, now: Duration) {
        if let Some((_, lost)) = &mut self.lost {
            lost.reports += u32::from(now >= lost.at + REPORT_LAG);
        }
    }

    /// Records that the leader answered a query of `queried_at`. Its earlier announcements have arrived.
    pub fn on_confirmed(&mut self, queried_at: Duration) {
        if let Some((_, lost)) = &mut self.lost {
            lost.confirmed_at = lost.confirmed_at.max(queried_at);
        }
        self.unsure = self.unsure.filter(|(_, since)| queried_at < *since);
    }

    /// Removes what is over. A cold time that ends while the leader hasn't answered for a while does so
    /// only once it answers: it may have announced a further start meanwhile.
    pub fn advance(&mut self, now: Duration, confirmed_at: Duration) {
        if let Some((rate, _)) = self.announced.take_if(|(_, until)| now >= *until) {
            if now >= confirmed_at + CONFIRMED_FOR {
                self.unsure = Some((rate, now));
            }
        }
        self.lost = self.lost.filter(|(_, lost)| !lost.is_over(now));
    }
}
