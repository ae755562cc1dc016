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
const SHARE_AT_ONCE: f64 = 0.4;
/// After this long the share grows, since some runners were lost or didn't take their orders.
const CALM_FOR: Duration = Duration::from_secs(3);
/// By how much the share grows a second then.
const SHARE_GROWS: f64 = 0.15;
/// Runners at once at least, for small services.
const AT_ONCE_LEAST: usize = 2;
/// An order without effect for this long is given again under a higher fencing number; finishing
/// long runs and loading take less together.
const REISSUE_AFTER: Duration = Duration::from_secs(3);

/// The orders that were given and have not shown an effect yet.
#[derive(Debug, Default)]
pub struct WeightWaves {
    given: BTreeMap<SocketAddr, (ModelWeights, Duration)>,
    named: BTreeMap<CompactString, (u64, Duration)>,
}

impl WeightWaves {
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
        for wanted in named {
            self.plan_model(now, wanted, loads, &mut orders);
        }
        orders
    }

    fn plan_model<L>(
        &mut self,
        now: Duration,
        wanted: &ModelWeights,
        loads: &[L],
        orders: &mut Vec<(SocketAddr, ModelWeights)>,
    ) where
        L: Borrow<RunnerLoad>,
    {
        let serving: Vec<&RunnerLoad> = loads
            .iter()
            .map(Borrow::borrow)
            .filter(|load| load.version_of(&wanted.model).is_some())
            .collect();
        let behind = |load: &&&RunnerLoad| {
            let held = load.version_of(&wanted.model);
            held.is_some_and(|held| held < wanted.version)
                && load.reading.answers
                && !load.reading.leaving
        };
        for load in &serving {
            let held = load.version_of(&wanted.model).unwrap_or(0);
            let done = |given: &ModelWeights| given.model == wanted.model && held >= given.version;
            if self
                .given
                .get(&load.reading.address)
                .is_some_and(|(g, _)| done(g))
            {
                self.given.remove(&load.reading.address);
            }
        }
        let (_, since) = *self
            .named
            .entry(wanted.model.clone())
            .and_modify(|held| {
                if held.0 < wanted.version {
                    *held = (wanted.version, now);
                }
            })
            .or_insert((wanted.version, now));
        let late = now.saturating_sub(since + CALM_FOR).as_secs_f64();
        let share = (SHARE_AT_ONCE + SHARE_GROWS * late).min(1.0);
        let at_once = ((serving.len() as f64 * share) as usize).max(AT_ONCE_LEAST);
        let pending = |load: &RunnerLoad| {
            let given = self.given.get(&load.reading.address);
            given.is_some_and(|(g, at)| *g == *wanted && now < *at + REISSUE_AFTER)
        };
        let busy = serving
            .iter()
            .filter(|l| pending(l) && l.reading.answers)
            .count();
        let waiting = serving.iter().filter(behind).filter(|l| !pending(l));
        let next: Vec<SocketAddr> = waiting
            .take(at_once.saturating_sub(busy))
            .map(|l| l.reading.address)
            .collect();
        for address in next {
            self.given.insert(address, (wanted.clone(), now));
            orders.push((address, wanted.clone()));
        }
    }
}
