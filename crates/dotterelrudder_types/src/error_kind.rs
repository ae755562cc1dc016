//! All error kinds, and the table that maps each kind to its HTTP status, outcome and exit code.

use serde::Deserialize;
use serde::Serialize;

use crate::Outcome;

/// Every kind of error that the system returns to a caller, a peer or an operator.
///
/// [`ErrorKind::row`] defines the response for each kind; docs/PROTOCOLS.md prints the same table.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ErrorKind {
    /// The request is malformed.
    BadRequest,
    /// The bearer key is missing or belongs to no client account.
    UnknownKey,
    /// The client account is not permitted to use the service.
    NotAllowed,
    /// No service serves the model or path.
    UnknownModel,
    /// A named size limit is exceeded.
    TooLarge,
    /// The sender took too long to send its request.
    SlowSender,
    /// The rate limit of the client account is exhausted.
    LimitReached,
    /// More work is queued than can be served in time.
    Overloaded,
    /// The deadline passed, or cannot be met.
    DeadlineExceeded,
    /// No live backend server can serve the request.
    NoBackendServer,
    /// The instance is draining or stopping and accepts no new work.
    Leaving,
    /// The instance holds no confirmed configuration.
    NotReady,
    /// The backend server serves a different weight version.
    WrongWeightVersion,
    /// A request with the same idempotency key is running.
    InProgress,
    /// The idempotency key was used with a different request.
    KeyReused,
    /// The idempotency key is older than the retention time of stored responses.
    KeyExpired,
    /// It cannot be determined any more whether the request ran.
    OutcomeUnknown,
    /// The backend server failed during the run.
    BackendFailed,
    /// The caller cancelled the request or closed its connection.
    Cancelled,
    /// The configuration change is based on a revision that is not the newest.
    Conflict,
    /// The change id was used with different content.
    ChangeIdReused,
    /// The published declarations are invalid.
    InvalidDeclaration,
    /// The replica has no recent contact with a quorum.
    NotFresh,
    /// The order carries an outdated fencing number.
    Fenced,
    /// The peer or operator did not present the correct secret.
    Unauthorized,
    /// The requested object is unknown to the receiver.
    NotFound,
    /// The prompt holds a part that crashes the runners which begin to answer it.
    PromptBlocked,
    /// The stream cannot go on: the version of the backend servers that began it is unknown or gone.
    NotResumable,
    /// The request crashes the runners which begin to run it.
    RequestBlocked,
}

/// The response for one error kind.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ErrorRow {
    /// The machine-readable name of the kind, as callers read it.
    pub code: &'static str,
    /// The HTTP status.
    pub status: u16,
    /// The default outcome; code that refuses a request may replace it with a more precise one.
    pub outcome: Outcome,
    /// The delay after which a retry can succeed, in seconds; `None` when no retry is advised.
    pub retry_after_s: Option<u8>,
    /// The exit code of the operator command.
    pub exit_code: u8,
}

/// Builds an [`ErrorRow`], so that the table has one line for each kind.
const fn row(
    code: &'static str,
    status: u16,
    outcome: Outcome,
    retry_after_s: Option<u8>,
    exit_code: u8,
) -> ErrorRow {
    ErrorRow {
        code,
        status,
        outcome,
        retry_after_s,
        exit_code,
    }
}

impl ErrorKind {
    /// All kinds, in the order of the table in docs/PROTOCOLS.md.
    pub const ALL: [Self; 29] = [
        Self::BadRequest,
        Self::UnknownKey,
        Self::NotAllowed,
        Self::UnknownModel,
        Self::TooLarge,
        Self::SlowSender,
        Self::LimitReached,
        Self::Overloaded,
        Self::DeadlineExceeded,
        Self::NoBackendServer,
        Self::Leaving,
        Self::NotReady,
        Self::WrongWeightVersion,
        Self::InProgress,
        Self::KeyReused,
        Self::KeyExpired,
        Self::OutcomeUnknown,
        Self::BackendFailed,
        Self::Cancelled,
        Self::Conflict,
        Self::ChangeIdReused,
        Self::InvalidDeclaration,
        Self::NotFresh,
        Self::Fenced,
        Self::Unauthorized,
        Self::NotFound,
        Self::PromptBlocked,
        Self::NotResumable,
        Self::RequestBlocked,
    ];

    /// Returns the row of the table for this kind.
    pub const fn row(self) -> ErrorRow {
        use Outcome::NotRun;
        use Outcome::Unknown;
        match self {
            Self::BadRequest => row("bad_request", 400, NotRun, None, 64),
            Self::UnknownKey => row("unknown_key", 401, NotRun, None, 77),
            Self::NotAllowed => row("not_allowed", 403, NotRun, None, 77),
            Self::UnknownModel => row("unknown_model", 404, NotRun, None, 64),
            Self::TooLarge => row("too_large", 413, NotRun, None, 65),
            Self::SlowSender => row("slow_sender", 408, NotRun, Some(1), 75),
            Self::LimitReached => row("limit_reached", 429, NotRun, Some(1), 75),
            Self::Overloaded => row("overloaded", 503, NotRun, Some(1), 75),
            Self::DeadlineExceeded => row("deadline_exceeded", 504, NotRun, Some(1), 75),
            Self::NoBackendServer => row("no_backend_server", 503, NotRun, Some(2), 69),
            Self::Leaving => row("leaving", 503, NotRun, Some(1), 75),
            Self::NotReady => row("not_ready", 503, NotRun, Some(1), 75),
            Self::WrongWeightVersion => row("wrong_weight_version", 503, NotRun, Some(1), 75),
            Self::InProgress => row("in_progress", 409, Unknown, Some(1), 75),
            Self::KeyReused => row("key_reused", 422, NotRun, None, 65),
            Self::KeyExpired => row("key_expired", 410, Unknown, None, 65),
            Self::OutcomeUnknown => row("outcome_unknown", 502, Unknown, None, 70),
            Self::BackendFailed => row("backend_failed", 502, Unknown, Some(1), 70),
            Self::Cancelled => row("cancelled", 499, Unknown, None, 75),
            Self::Conflict => row("conflict", 409, NotRun, None, 73),
            Self::ChangeIdReused => row("change_id_reused", 422, NotRun, None, 65),
            Self::InvalidDeclaration => row("invalid_declaration", 422, NotRun, None, 65),
            Self::NotFresh => row("not_fresh", 503, NotRun, Some(1), 75),
            Self::Fenced => row("fenced", 409, NotRun, None, 75),
            Self::Unauthorized => row("unauthorized", 401, NotRun, None, 77),
            Self::NotFound => row("not_found", 404, NotRun, None, 66),
            Self::PromptBlocked => row("prompt_blocked", 500, NotRun, None, 70),
            Self::NotResumable => row("not_resumable", 500, NotRun, None, 69),
            Self::RequestBlocked => row("request_blocked", 500, NotRun, None, 70),
        }
    }

    /// Returns the kind with the given machine-readable name, if there is one.
    pub fn from_code(code: &str) -> Option<Self> {
        Self::ALL.into_iter().find(|kind| kind.row().code == code)
    }
}
