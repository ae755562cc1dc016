//! What drives the entry role.

use std::time::Duration;

use bytes::Bytes;
use compact_str::CompactString;
use dotterelrudder_types::InstanceName;
use dotterelrudder_types::Revision;
use dotterelrudder_types::Role;
use dotterelrudder_wire::Message;

/// What a caller asks for.
#[derive(Debug, Clone, PartialEq)]
pub enum Target {
    /// A completion by a model.
    Completion {
        /// The model's name.
        model: CompactString,
        /// The prompt as the engine reads it.
        prompt: Bytes,
        /// Tokens to generate at most.
        max_tokens: u32,
    },
    /// A call of a plain service.
    Call {
        /// The HTTP method.
        method: CompactString,
        /// The path with its query.
        path: CompactString,
        /// The body's media type.
        content_type: CompactString,
        /// The body.
        body: Bytes,
    },
}

/// One event.
#[derive(Debug, Clone, PartialEq)]
pub enum Input {
    /// Time passed.
    Tick,
    /// A caller sent a whole request.
    Request {
        /// Names the request in this process.
        id: u64,
        /// The caller's bearer key.
        key: Option<CompactString>,
        /// What it asks for.
        target: Target,
        /// The time that the caller gives for the answer.
        time_limit: Duration,
        /// Present when the request may not be repeated.
        idempotency_key: Option<CompactString>,
    },
    /// The caller of a request went away.
    CallerGone {
        /// The request.
        id: u64,
    },
    /// A connection to a process opened.
    Opened {
        /// The process.
        peer: InstanceName,
        /// Its role.
        role: Role,
        /// The random number that it drew when it started.
        incarnation: u64,
    },
    /// A connection to a process closed or went silent.
    Closed {
        /// The process.
        peer: InstanceName,
    },
    /// A process sent a message.
    Message {
        /// The process.
        from: InstanceName,
        /// The revision that it holds.
        revision: Revision,
        /// The message.
        message: Message,
    },
    /// The platform's list, which lags.
    Listed {
        /// How many live entries it shows.
        entries: u32,
        /// The sides that it shows as leaving.
        leaving: Vec<InstanceName>,
    },
    /// The process shall stop once its work is done.
    Stop,
}
