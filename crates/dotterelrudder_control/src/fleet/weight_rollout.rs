//! Rollout of named weights: which runners load them now, and how many at once.
//!
//! Load pattern: a version is named while every runner serves traffic. Each runner first finishes
//! its running requests and then loads the weights. Too many at once slow each other's load and
//! leave too few runners for the traffic; too few at once keep requests on the old weights for
//! long.

use std::borrow::Borrow;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use compact_str::CompactString;
use dotterelrudder_wire::ModelWeights;
use dotterelrudder_wire::RunnerLoad;

/// Share of a model's runners, from 0 to 1, that finish their running requests or load at the same
/// time. Finishing takes about as long as loading, so that about half of these runners load.
const CONCURRENT_SHARE: f64 = 0.4;
/// Duration of a rollout after which the share grows, since some runners were lost or did not carry
/// out their orders.
const SHARE_GROWTH_DELAY: Duration = Duration::from_secs(3);
/// Growth of the share per second after that.
const SHARE_GROWTH_PER_S: f64 = 0.15;
/// Minimum number of runners that load at the same time, for models with few runners.
const MIN_CONCURRENT: usize = 2;
/// An order without effect for this long is issued again under a higher fencing number. Finishing
/// long requests and loading take less time than this together.
const REISSUE_AFTER: Duration = Duration::from_secs(3);

/// Plans the weight orders of all models and keeps those that have had no effect yet.
#[derive(Debug, Default)]
pub struct WeightRollout {
    /// The last order of each runner that has had no effect yet, with its time.
    issued: BTreeMap<SocketAddr, (ModelWeights, Duration)>,
    /// The newest version named for each model, and the time at which its rollout began.
    rollout_starts: BTreeMap<CompactString, (u64, Duration)>,
}

impl WeightRollout {
    /// Returns the orders to issue now. `loads` holds the runners whose sides are connected.
    pub fn plan<L>(
        &mut self,
        now: Duration,
        named: &[ModelWeights],
        loads: &[L],
    ) -> Vec<(SocketAddr, ModelWeights)>
    where
        L: Borrow<RunnerLoad>,
    {
        let mut orders = Vec::new();
        for target in named {
            self.plan_model(now, target, loads, &mut orders);
        }
        orders
    }

    fn plan_model<L>(
        &mut self,
        now: Duration,
        target: &ModelWeights,
        loads: &[L],
        orders: &mut Vec<(SocketAddr, ModelWeights)>,
    ) where
        L: Borrow<RunnerLoad>,
    {
        let serving: Vec<&RunnerLoad> = loads
            .iter()
            .map(Borrow::borrow)
            .filter(|load| load.version_of(&target.model).is_some())
            .collect();
        let needs_update = |load: &&&RunnerLoad| {
            let held = load.version_of(&target.model);
            held.is_some_and(|held| held < target.version)
                && load.reading.answers
                && !load.reading.leaving
        };
        for load in &serving {
            let held = load.version_of(&target.model).unwrap_or(0);
            let done =
                |issued: &ModelWeights| issued.model == target.model && held >= issued.version;
            if self
                .issued
                .get(&load.reading.address)
                .is_some_and(|(g, _)| done(g))
            {
                self.issued.remove(&load.reading.address);
            }
        }
        let (_, since) = *self
            .rollout_starts
            .entry(target.model.clone())
            .and_modify(|held| {
                if held.0 < target.version {
                    *held = (target.version, now);
                }
            })
            .or_insert((target.version, now));
        let seconds_overdue = now.saturating_sub(since + SHARE_GROWTH_DELAY).as_secs_f64();
        let share = (CONCURRENT_SHARE + SHARE_GROWTH_PER_S * seconds_overdue).min(1.0);
        let limit = ((serving.len() as f64 * share) as usize).max(MIN_CONCURRENT);
        let pending = |load: &RunnerLoad| {
            let issued = self.issued.get(&load.reading.address);
            issued.is_some_and(|(g, at)| *g == *target && now < *at + REISSUE_AFTER)
        };
        let in_progress = serving
            .iter()
            .filter(|l| pending(l) && l.reading.answers)
            .count();
        let waiting = serving.iter().filter(needs_update).filter(|l| !pending(l));
        let next: Vec<SocketAddr> = waiting
            .take(limit.saturating_sub(in_progress))
            .map(|l| l.reading.address)
            .collect();
        for address in next {
            self.issued.insert(address, (target.clone(), now));
            orders.push((address, target.clone()));
        }
    }
}
