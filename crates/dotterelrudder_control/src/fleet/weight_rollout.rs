//! In which order runners load named weights.
//!
//! Load pattern: a version is named while every runner serves traffic. Each runner first finishes
//! its runs and then loads; too many at once slow each other's load and leave too few for the
//! traffic, too few at once leave requests on old weights for long.

use std::borrow::Borrow;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use compact_str::CompactString;
use dotterelrudder_wire::ModelWeights;
use dotterelrudder_wire::RunnerLoad;

/// The share of a model's runners that finish their runs or load at once. Finishing takes about as
/// long as loading, so that half of them load at a time.
const CONCURRENT_SHARE: f64 = 0.4;
/// After this long the share grows, since some runners were lost or didn't take their orders.
const SHARE_GROWTH_DELAY: Duration = Duration::from_secs(3);
/// By how much the share grows a second then.
const SHARE_GROWTH_PER_S: f64 = 0.15;
/// Runners at once at least, for small services.
const MIN_CONCURRENT: usize = 2;
/// An order without effect for this long is given again under a higher fencing number; finishing
/// long runs and loading take less together.
const REISSUE_AFTER: Duration = Duration::from_secs(3);

/// The orders that were given and have not shown an effect yet.
#[derive(Debug, Default)]
pub struct WeightRollout {
    issued: BTreeMap<SocketAddr, (ModelWeights, Duration)>,
    rollout_starts: BTreeMap<CompactString, (u64, Duration)>,
}

impl WeightRollout {
    /// Returns the orders to give now; `loads` are those of the runners whose sides can be reached.
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
