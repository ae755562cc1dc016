//! A backend server in the platform's instance list.

use std::net::SocketAddr;
use std::time::Duration;

use compact_str::CompactString;
use dotterelrudder_types::DataCentre;
use dotterelrudder_types::ServiceName;
use serde::Deserialize;
use serde::Serialize;

use super::ModelWeights;

/// One backend server as the platform lists it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RunnerRecord {
    /// The identity of this start of the server, which a request can require.
    pub identity: CompactString,
    /// The service that the server belongs to.
    pub service: ServiceName,
    /// The address that the server listens on.
    pub address: SocketAddr,
    /// The data centre that the server runs in.
    pub data_centre: DataCentre,
    /// The number of requests that the server runs concurrently.
    pub slots: u32,
    /// Whether the server refuses new work.
    pub leaving: bool,
    /// The weight version that a model engine serves of each of its models.
    pub weights: Vec<ModelWeights>,
    /// The version of the server's software. It isn't part of the encoding, which peers of the release
    /// before decode, and is sent by [`super::RunnerSoftware`].
    #[serde(skip)]
    pub software: Option<CompactString>,
    /// The start time of the server, in milliseconds since the epoch; 0 when it is not reported.
    pub born_ms: u64,
    /// How long the server stays cold, as the platform's list stated when it was read; zero if it is
    /// warm, `None` if the list didn't state it. It isn't part of the encoding; entries are told by
    /// [`super::RunnerWarmUps`].
    #[serde(skip)]
    pub cold_left: Option<Duration>,
}
