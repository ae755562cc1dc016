//! Fencing of orders that make the engine load weights.
//!
//! Some engines ignore fencing numbers, so the side refuses orders with an old number itself. After
//! a start it refuses all orders until control has sent the fencing number in force.

use dotterelrudder_types::ErrorKind;
use dotterelrudder_types::Refusal;

/// The fencing number in force and the order in progress.
#[derive(Debug, Default)]
pub(crate) struct OrderFencing {
    /// Absent until control has sent it.
    fence_in_force: Option<u64>,
    /// The fencing number of the order that the engine carries out.
    loading: Option<u64>,
}

impl OrderFencing {
    /// Raises the number in force to the one that control sent.
    pub(crate) fn learn_fence(&mut self, fence: u64) {
        self.fence_in_force = Some(self.fence_in_force.unwrap_or(0).max(fence));
    }

    /// Returns whether the engine is carrying out an order.
    pub(crate) fn is_loading(&self) -> bool {
        self.loading.is_some()
    }

    /// Accepts an order with the given fencing number, which becomes the number in force.
    ///
    /// # Errors
    ///
    /// Refuses an order while the number in force is not known, and an order with a lower number.
    pub(crate) fn accept(&mut self, fence: u64) -> Result<(), Refusal> {
        let Some(known) = self.fence_in_force else {
            let detail =
                "the fencing number in force is not known until control confirms the registration";
            return Err(Refusal::new(ErrorKind::NotReady, detail));
        };
        if fence < known {
            let detail = format!(
                "order with fencing number {fence} is older than the one in force, {known}"
            );
            return Err(Refusal::new(ErrorKind::Fenced, detail));
        }
        self.fence_in_force = Some(fence);
        self.loading = Some(fence);
        Ok(())
    }

    /// Ends an order that the engine has answered.
    pub(crate) fn finish(&mut self, fence: u64) {
        if self.loading == Some(fence) {
            self.loading = None;
        }
    }
}
