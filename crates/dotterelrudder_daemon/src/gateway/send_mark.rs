//! Whether any byte of an attempt was written.

use std::sync::Mutex;

use super::upstream_socket::UnreadCheck;

/// Tells whether any byte of one attempt's request was written to a runner.
#[derive(Debug, Default)]
pub(super) struct SendMark {
    /// The check of the connection that the request was given to; none while there is none.
    check: Mutex<Option<UnreadCheck>>,
}

impl SendMark {
    /// Records that the request was given to the connection with this check, which is armed.
    pub(super) fn given_to(&self, check: &UnreadCheck) {
        let mut known = self.check.lock().unwrap_or_else(|e| e.into_inner());
        *known = Some(check.clone());
    }

    /// Keeps the request from being written if nothing of it was written yet. Returns whether nothing
    /// was.
    pub(super) fn withdraw(&self) -> bool {
        let known = self.check.lock().unwrap_or_else(|e| e.into_inner());
        known.as_ref().is_none_or(UnreadCheck::withdraw)
    }
}
