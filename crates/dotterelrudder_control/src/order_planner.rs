//! Planning of weight orders for engines whose service declares a weight version: which sides get
//! an order next, and how many at once.

use dotterelrudder_types::InstanceName;
use dotterelrudder_types::WeightVersion;

use crate::subscribers::Subscribers;
use crate::ReplicatedState;

/// Maximum number of engines that load from the weight store at the same time; more than two slow
/// each other down.
const MAX_CONCURRENT_LOADS: usize = 2;
/// An order without effect for this long, in milliseconds, is issued again under a new fencing
/// number.
const REISSUE_AFTER_MS: u64 = 5_000;

/// Returns the orders to issue now, sorted by the sides' names.
pub(crate) fn plan_orders(
    state: &ReplicatedState,
    subscribers: &Subscribers,
    now_ms: u64,
) -> Vec<(InstanceName, WeightVersion)> {
    let mut loading = 0;
    let mut due = Vec::new();
    for (side, subscriber) in subscribers.by_name.iter().filter(|(_, s)| s.connected) {
        let Some(load) = &subscriber.load else {
            continue;
        };
        let Some(service) = state.configuration().services.get(&load.service) else {
            continue;
        };
        let declared = &service.weight_version;
        if declared.as_str().is_empty() || load.version == *declared {
            continue;
        }
        let issued = state.orders().get(side);
        let pending = issued.is_some_and(|order| {
            order.version == *declared && now_ms < order.at_ms + REISSUE_AFTER_MS
        });
        if pending {
            loading += 1;
        } else {
            due.push((side.clone(), declared.clone()));
        }
    }
    due.truncate(MAX_CONCURRENT_LOADS.saturating_sub(loading));
    due
}
