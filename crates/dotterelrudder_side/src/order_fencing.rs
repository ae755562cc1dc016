//! Orders to the engine, guarded by fencing numbers.
//!
//! Some engines ignore the number, so the side refuses old ones itself. A side that just started
//! lets no order through before control told it the number in force.

use dotterelrudder_types::ErrorKind;
use dotterelrudder_types::Refusal;

/// What a side knows of the orders to its engine.
#[derive(Debug, Default)]
pub(crate) struct OrderFencing {
    fence_in_force: Option<u64>,
    loading: Option<u64>,
}

impl OrderFencing {
    /// Learns the number in force from control.
    pub(crate) fn learn_fence(&mut self, fence: u64) {
        self.fence_in_force = Some(self.fence_in_force.unwrap_or(0).max(fence));
    }

    pub(crate) fn is_loading(&self) -> bool {
        self.loading.is_some()
    }

    /// Decides on an order.
    ///
    /// # Errors
    ///
    /// Refuses an order while the number in force isn't known, and one with an older number.
    pub(crate) fn accept(&mut self, fence: u64) -> Result<(), Refusal> {
        let Some(known) = self.fence_in_force else {
            let detail = "the fencing number in force isn't known yet";
            return Err(Refusal::new(ErrorKind::NotReady, detail));
        };
        if fence < known {
            let detail = format!("order {fence} is older than order {known}");
            return Err(Refusal::new(ErrorKind::Fenced, detail));
        }
        self.fence_in_force = Some(fence);
        self.loading = Some(fence);
        Ok(())
    }

    /// Notes that the engine answered an order.
    pub(crate) fn finish(&mut self, fence: u64) {
        if self.loading == Some(fence) {
            self.loading = None;
        }
    }
}
