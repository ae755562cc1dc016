//! Commands of the replicated log: the changes of control's replicated state.

use std::net::SocketAddr;

use bytes::Bytes;
use compact_str::CompactString;
use dotterelrudder_config::deployment::DeploymentConfiguration;
use dotterelrudder_config::deployment::DeploymentExtension;
use dotterelrudder_config::ChangeSet;
use dotterelrudder_types::AttemptId;
use dotterelrudder_types::DataCentre;
use dotterelrudder_types::InstanceName;
use dotterelrudder_types::Revision;
use dotterelrudder_types::WeightVersion;
use serde::Deserialize;
use serde::Serialize;

use crate::ClaimKey;
use crate::ModelWeights;
use crate::Usage;

/// A member of the Raft group that replicates the log.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// The identity of the replica, which is bound to its disk.
    pub id: u64,
    /// The control instance that runs the replica.
    pub instance: InstanceName,
    /// Whether the replica votes; a learner only receives entries.
    pub voter: bool,
}

/// One change or linearizable read of the replicated state, carried by a log entry.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Command {
    /// Changes nothing; a new leader commits it in its own term, which also commits all earlier
    /// entries.
    Noop,
    /// Applies a change set to the configuration.
    Publish {
        /// The id that the caller chose for the change; a resend carries the same id.
        change_id: CompactString,
        /// The revision that the change was made against.
        base: Revision,
        /// The operator who makes the change, for the audit history.
        author: CompactString,
        /// The time in milliseconds since the Unix epoch, set from the leader's wall clock when the
        /// command is proposed.
        at_ms: u64,
        /// A hash of the published declarations; it is the same for a resend, whichever revision is
        /// in force by then.
        content: [u8; 32],
        /// The difference between the base revision and the published declarations.
        change: ChangeSet,
    },
    /// Takes a claim, or reads its state when it exists already.
    Claim {
        /// The request to claim.
        key: ClaimKey,
        /// The side that runs the request if the claim is granted.
        holder: InstanceName,
        /// The incarnation of that side.
        incarnation: u64,
        /// The attempt that runs the request if the claim is granted.
        attempt: AttemptId,
        /// The time in milliseconds since the Unix epoch, set from the leader's wall clock when the
        /// command is proposed.
        at_ms: u64,
    },
    /// Stores the response to a claimed request.
    FinishClaim {
        /// The claimed request.
        key: ClaimKey,
        /// The attempt that ran the request.
        attempt: AttemptId,
        /// The HTTP status of the response.
        status: u16,
        /// The media type of the body.
        content_type: CompactString,
        /// The body of the response.
        body: Bytes,
        /// The token counts of a completion.
        usage: Usage,
        /// The time in milliseconds since the Unix epoch, set from the leader's wall clock when the
        /// command is proposed.
        at_ms: u64,
    },
    /// Releases a claim; the backend server was not called.
    ReleaseClaim {
        /// The claimed request.
        key: ClaimKey,
        /// The attempt that held the claim.
        attempt: AttemptId,
    },
    /// Records that it cannot be determined whether a claimed request ran.
    MarkClaimLost {
        /// The claimed request.
        key: ClaimKey,
        /// The attempt that held the claim.
        attempt: AttemptId,
    },
    /// Registers a new incarnation of a side and returns the fencing number in force for the side.
    RegisterSide {
        /// The side that started.
        side: InstanceName,
        /// The new incarnation of the side.
        incarnation: u64,
    },
    /// Issues an order to load a weight version, under a new fencing number.
    IssueOrder {
        /// The side that forwards the order to its engine.
        side: InstanceName,
        /// The weight version to load.
        version: WeightVersion,
        /// The time in milliseconds since the Unix epoch, set from the leader's wall clock when the
        /// command is proposed.
        at_ms: u64,
    },
    /// Requests that an instance drain, or withdraws the request.
    Drain {
        /// The instance to drain.
        instance: InstanceName,
        /// Whether the instance is to drain.
        on: bool,
        /// The operator who requests the change, for the audit history.
        author: CompactString,
        /// The time in milliseconds since the Unix epoch, set from the leader's wall clock when the
        /// command is proposed.
        at_ms: u64,
    },
    /// Changes the members of the Raft group, by one member at a time.
    Members {
        /// All members after the change.
        members: Vec<Member>,
    },
    /// Replaces the deployment configuration; a version that is not higher than the stored one
    /// changes nothing.
    PublishWhole {
        /// The parsed configuration.
        configuration: Box<DeploymentConfiguration>,
        /// The document as the operator sent it, returned by [`Command::ReadWhole`].
        document: Bytes,
        /// The time in milliseconds since the Unix epoch, set from the leader's wall clock when the
        /// command is proposed.
        at_ms: u64,
    },
    /// Reads the deployment configuration after all earlier log entries are applied.
    ReadWhole,
    /// Sets the weight version that the runners of a model are to serve.
    NameWeights {
        /// The model and the version; a version that is not higher than the stored one changes
        /// nothing.
        weights: ModelWeights,
        /// The time in milliseconds since the Unix epoch, set from the leader's wall clock when the
        /// command is proposed.
        at_ms: u64,
    },
    /// Allocates a fencing number for an order that has a runner load weights.
    OrderWeights {
        /// The address of the runner.
        runner: SocketAddr,
        /// The model and the weight version to load.
        weights: ModelWeights,
    },
    /// Replaces the deployment configuration like [`Command::PublishWhole`], by one with fields that
    /// older releases can't decode.
    PublishExtended {
        /// The parsed configuration.
        configuration: Box<DeploymentConfiguration>,
        /// Its fields that aren't part of the encoding.
        extension: DeploymentExtension,
        /// The document as the operator sent it.
        document: Bytes,
        /// The time in milliseconds since the Unix epoch, set from the leader's wall clock when the
        /// command is proposed.
        at_ms: u64,
    },
    /// Requests that the backend servers of a data centre get no requests, or withdraws this.
    SetEvacuation {
        /// The data centre.
        data_centre: DataCentre,
        /// Whether it is to be evacuated.
        evacuated: bool,
        /// The time in milliseconds since the Unix epoch, set from the leader's wall clock when the
        /// command is proposed.
        at_ms: u64,
    },
}

impl Command {
    /// Builds the command that replaces the deployment configuration. Replicas of older releases can
    /// decode it unless the configuration uses fields that they don't know.
    pub fn publish_deployment(configuration: DeploymentConfiguration, document: Bytes) -> Self {
        let extension = configuration.extension();
        let configuration = Box::new(configuration);
        if extension.is_empty() {
            return Self::PublishWhole {
                configuration,
                document,
                at_ms: 0,
            };
        }
        Self::PublishExtended {
            configuration,
            extension,
            document,
            at_ms: 0,
        }
    }

    /// Returns the lowest [`crate::MESSAGE_SET`] of a replica that can decode the command.
    pub fn message_set(&self) -> u32 {
        match self {
            Self::PublishExtended { .. } | Self::SetEvacuation { .. } => 3,
            _ => 0,
        }
    }
}
