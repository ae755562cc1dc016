//! The holder of the memory that one request occupies.

use compact_str::CompactString;
use dotterelrudder_gateway::Admission;

use crate::intake::ByteLease;
use crate::intake::CallerConnection;
use crate::intake::HoldingPhase;

/// The connection and the client account of a request, which what it occupies is counted for.
#[derive(Debug)]
pub(super) struct RequestIntake {
    connection: CallerConnection,
    /// Empty for a request without an account.
    account: CompactString,
}

impl RequestIntake {
    /// Builds the holder of an admitted request.
    pub(super) fn new(connection: CallerConnection, admission: &Admission) -> Self {
        let account = admission.account.as_ref();
        Self {
            connection,
            account: account.map(|a| a.name.0.clone()).unwrap_or_default(),
        }
    }

    /// Opens a holding without bytes.
    pub(super) fn open(&self, phase: HoldingPhase) -> ByteLease {
        self.connection.open_holding(&self.account, phase)
    }
}
