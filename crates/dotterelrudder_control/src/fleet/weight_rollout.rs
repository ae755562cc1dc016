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
/// How long a runner is outdated until the share grows for it, since some runners were lost or did not
/// carry out their orders.
const SHARE_GROWTH_DELAY: Duration = Duration::from_secs(3);
/// Growth of the share per second after that.
const SHARE_GROWTH_PER_S: f64 = 0.15;
/// Minimum number of runners that load at the same time, for models with few runners.
const MIN_CONCURRENT: usize = 2;
/// An order without effect for this long is issued again under a higher fencing number. Finishing
/// long requests and loading take less time than this together.
const REISSUE_AFTER: Duration = Duration::from_secs(3);

/// The number of versions of a model whose naming times are kept; a runner that is further behind counts
/// as outdated since the oldest of them.
const MAX_VERSIONS: usize = 16;

/// Plans the weight orders of all models and keeps those that have had no effect yet.
#[derive(Debug, Default)]
pub struct WeightRollout {
    /// The last order of each runner that has had no effect yet, with its time.
    issued: BTreeMap<SocketAddr, (ModelWeights, Duration)>,
    /// The versions named for each model, oldest first, each with the time from which it is rolled out.
    named: BTreeMap<CompactString, Vec<(u64, Duration)>>,
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
        let needs_update = |load: &RunnerLoad| {
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
        let versions = self.named.entry(target.model.clone()).or_default();
        if versions.last().is_none_or(|(v, _)| *v < target.version) {
            versions.push((target.version, now));
            if versions.len() > MAX_VERSIONS {
                versions.remove(1);
            }
        }
        // A runner that has waited for longer is not passed over for another one because a newer version
        // was named meanwhile.
        let outdated_since = |load: &RunnerLoad| {
            let held = load.version_of(&target.model).unwrap_or(0);
            let newer = versions.iter().find(|(v, _)| *v > held);
            newer.map_or(now, |(_, at)| *at)
        };
        let limit = |since: Duration| {
            let overdue = now.saturating_sub(since + SHARE_GROWTH_DELAY).as_secs_f64();
            let share = (CONCURRENT_SHARE + SHARE_GROWTH_PER_S * overdue).min(1.0);
            ((serving.len() as f64 * share) as usize).max(MIN_CONCURRENT)
        };
        let order_of = |load: &RunnerLoad| {
            let issued = self.issued.get(&load.reading.address);
            issued.filter(|(order, _)| order.model == target.model)
        };
        let pending = |load: &RunnerLoad| {
            let recent = order_of(load).filter(|(_, at)| now < *at + REISSUE_AFTER);
            recent.map(|(order, _)| order.version)
        };
        let mut in_progress = serving
            .iter()
            .filter(|l| pending(l).is_some() && l.reading.answers)
            .count();
        let mut waiting: Vec<&RunnerLoad> = serving
            .iter()
            .copied()
            .filter(|l| needs_update(l))
            .collect();
        waiting.sort_by_key(|l| (outdated_since(l), order_of(l).map(|(_, at)| *at)));
        let mut next = Vec::new();
        for load in waiting {
            match pending(load) {
                Some(version) if version >= target.version => continue,
                // The runner is in progress already; its order is replaced.
                Some(_) => {}
                None if in_progress < limit(outdated_since(load)) => in_progress += 1,
                None => continue,
            }
            next.push(load.reading.address);
        }
        for address in next {
            self.issued.insert(address, (target.clone(), now));
            orders.push((address, target.clone()));
        }
    }
}
