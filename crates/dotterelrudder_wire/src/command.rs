//! Changes of the replicated state.

use std::net::SocketAddr;

use bytes::Bytes;
use compact_str::CompactString;
use dotterelrudder_config::deployment::DeploymentConfiguration;
use dotterelrudder_config::ChangeSet;
use dotterelrudder_types::AttemptId;
use dotterelrudder_types::InstanceName;
use dotterelrudder_types::Revision;
use dotterelrudder_types::WeightVersion;
use serde::Deserialize;
use serde::Serialize;

use crate::ClaimKey;
use crate::ModelWeights;
use crate::Usage;

/// A replica of the log.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// The identity of the replica's disk.
    pub id: u64,
    /// The instance that runs it.
    pub instance: InstanceName,
    /// Whether it votes; a learner only receives.
    pub voter: bool,
}

/// One change of the replicated state.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Command {
    /// Changes nothing; a new leader commits it to commit what came before.
    Noop,
    /// Changes the configuration.
    Publish {
        /// The caller's id for the change; a resend carries the same.
        change_id: CompactString,
        /// The revision that the change was made against.
        base: Revision,
        /// Who changes.
        author: CompactString,
        /// When, in milliseconds of the wall clock.
        at_ms: u64,
        /// A hash of the declarations published, alike for a resend whatever is in force by then.
        content: [u8; 32],
        /// What changes.
        change: ChangeSet,
    },
    /// Opens or reads a claim.
    Claim {
        /// What is claimed.
        key: ClaimKey,
        /// The side that would run it.
        holder: InstanceName,
        /// The side's incarnation.
        incarnation: u64,
        /// The attempt that would run it.
        attempt: AttemptId,
        /// When, in milliseconds of the wall clock.
        at_ms: u64,
    },
    /// Stores the answer of a claimed request.
    FinishClaim {
        /// What was claimed.
        key: ClaimKey,
        /// The attempt that ran it.
        attempt: AttemptId,
        /// The answer's status.
        status: u16,
        /// The media type of the answer.
        content_type: CompactString,
        /// The answer's body.
        body: Bytes,
        /// The tokens that a completion used.
        usage: Usage,
        /// When, in milliseconds of the wall clock.
        at_ms: u64,
    },
    /// Gives a claim back; the backend server was not called.
    ReleaseClaim {
        /// What was claimed.
        key: ClaimKey,
        /// The attempt that held it.
        attempt: AttemptId,
    },
    /// Says that the outcome of a claimed request can't be told.
    MarkClaimLost {
        /// What was claimed.
        key: ClaimKey,
        /// The attempt that held it.
        attempt: AttemptId,
    },
    /// Announces a side's start and reads the fencing number in force for it.
    RegisterSide {
        /// The side.
        side: InstanceName,
        /// Its new incarnation.
        incarnation: u64,
    },
    /// Issues an order to load a weight version.
    IssueOrder {
        /// The side that passes the order on.
        side: InstanceName,
        /// The version to load.
        version: WeightVersion,
        /// When, in milliseconds of the wall clock.
        at_ms: u64,
    },
    /// Asks an instance to drain, or takes that back.
    Drain {
        /// The instance.
        instance: InstanceName,
        /// Whether it shall drain.
        on: bool,
        /// Who asks.
        author: CompactString,
        /// When, in milliseconds of the wall clock.
        at_ms: u64,
    },
    /// Changes the members by one.
    Members {
        /// All members after the change.
        members: Vec<Member>,
    },
    /// Publishes a whole configuration; a version that isn't higher than the one held changes
    /// nothing.
    PublishWhole {
        /// The configuration.
        configuration: Box<DeploymentConfiguration>,
        /// The document as the operator sent it, for reading back.
        document: Bytes,
        /// When, in milliseconds of the wall clock.
        at_ms: u64,
    },
    /// Reads the whole configuration behind everything that was logged before.
    ReadWhole,
    /// Names the weight version that a model's runners shall serve.
    NameWeights {
        /// The model and the version; one that isn't higher than the one held changes nothing.
        weights: ModelWeights,
        /// When, in milliseconds of the wall clock.
        at_ms: u64,
    },
    /// Gives out a fencing number for an order to a runner.
    OrderWeights {
        /// The runner.
        runner: SocketAddr,
        /// What it shall load.
        weights: ModelWeights,
    },
}
