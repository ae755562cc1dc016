//! Inputs of the entry role: the events that it handles.

use std::time::Duration;

use bytes::Bytes;
use compact_str::CompactString;
use dotterelrudder_types::InstanceName;
use dotterelrudder_types::Revision;
use dotterelrudder_types::Role;
use dotterelrudder_wire::Message;

/// The content of a request.
#[derive(Debug, Clone, PartialEq)]
pub enum Target {
    /// A completion by a model.
    Completion {
        /// The model's name.
        model: CompactString,
        /// The prompt in the form that the engine takes.
        prompt: Bytes,
        /// The maximum number of tokens to generate.
        max_tokens: u32,
    },
    /// An HTTP call to a plain service.
    Call {
        /// The HTTP method.
        method: CompactString,
        /// The path with its query.
        path: CompactString,
        /// The media type of the body.
        content_type: CompactString,
        /// The request body.
        body: Bytes,
    },
}

/// One event, handled in order of arrival.
#[derive(Debug, Clone, PartialEq)]
pub enum Input {
    /// A timer fired; checks timeouts and sends periodic reports.
    Tick,
    /// A caller sent a complete request.
    Request {
        /// Identifies the request within this process.
        id: u64,
        /// The bearer key that the caller presented.
        key: Option<CompactString>,
        /// The content of the request.
        target: Target,
        /// The time within which the caller needs the answer.
        time_limit: Duration,
        /// The idempotency key, present when the request must run at most once.
        idempotency_key: Option<CompactString>,
    },
    /// The caller of a request disconnected.
    CallerGone {
        /// The id of the request.
        id: u64,
    },
    /// A connection to a process opened.
    Opened {
        /// The name of the connected process.
        peer: InstanceName,
        /// The role of the process.
        role: Role,
        /// The random number that the process drew at its start; a new one means a restart.
        incarnation: u64,
    },
    /// A connection to a process closed, or nothing arrived on it for too long.
    Closed {
        /// The name of the disconnected process.
        peer: InstanceName,
    },
    /// A process sent a message.
    Message {
        /// The name of the sender.
        from: InstanceName,
        /// The configuration revision that the sender holds.
        revision: Revision,
        /// The message.
        message: Message,
    },
    /// The platform's instance list was read. It lags behind the processes' actual state.
    Listed {
        /// The number of live entries on the list.
        entries: u32,
        /// The sides that the list shows as leaving.
        leaving: Vec<InstanceName>,
    },
    /// Starts a graceful shutdown: the process exits once all requests in progress have ended.
    Stop,
}
