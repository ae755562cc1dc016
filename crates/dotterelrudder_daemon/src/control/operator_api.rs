//! The HTTP API for operators: configuration, audit trail, status, publishing and draining.

use std::time::Duration;
use std::time::Instant;

use compact_str::CompactString;
use dotterelrudder_config::ChangeSet;
use dotterelrudder_types::AccountKeyHash;
use dotterelrudder_types::ErrorKind;
use dotterelrudder_types::InstanceName;
use dotterelrudder_types::Refusal;
use dotterelrudder_types::Revision;
use dotterelrudder_wire::Command;
use dotterelrudder_wire::CommandResult;
use http::Request;
use http::Response;
use hyper::body::Incoming;
use ractor::ActorRef;
use serde::Deserialize;
use serde_json::json;
use tokio::sync::oneshot;

use super::actor::refusal_of;
use super::actor::ControlMessage;
use crate::http_server::answer;
use crate::http_server::read_body;
use crate::http_server::refusal_answer;
use crate::http_server::AnswerBody;

/// How long a publish call waits until all connected processes have the change in force; the reply
/// then states how many of them do.
const IN_FORCE_TIMEOUT: Duration = Duration::from_secs(5);
/// Interval at which a publish call counts the processes that have the change in force.
const IN_FORCE_POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Handles the requests of operators, who authenticate with a bearer token.
#[derive(Debug, Clone)]
pub(super) struct OperatorApi {
    pub(super) actor: ActorRef<ControlMessage>,
    pub(super) token_hash: AccountKeyHash,
}

#[derive(Deserialize)]
struct PublishBody {
    change_id: CompactString,
    base: Revision,
    author: CompactString,
    content: [u8; 32],
    change: ChangeSet,
}

#[derive(Deserialize)]
struct DrainBody {
    instance: InstanceName,
    on: bool,
    author: CompactString,
}

type Answer = Result<Response<AnswerBody>, Refusal>;

fn stopping_refusal() -> Refusal {
    Refusal::new(ErrorKind::Leaving, "the control instance is stopping")
}

fn read_json<'a, T>(body: &'a [u8]) -> Result<T, Refusal>
where
    T: Deserialize<'a>,
{
    serde_json::from_slice(body)
        .map_err(|e| Refusal::new(ErrorKind::BadRequest, format!("request body: {e}")))
}

impl OperatorApi {
    pub(super) async fn handle(self, req: Request<Incoming>) -> Response<AnswerBody> {
        self.route(req)
            .await
            .unwrap_or_else(|refusal| refusal_answer(&refusal))
    }

    async fn route(&self, req: Request<Incoming>) -> Answer {
        let header = req
            .headers()
            .get("authorization")
            .and_then(|v| v.to_str().ok());
        let token = header
            .and_then(|v| v.strip_prefix("Bearer "))
            .unwrap_or_default();
        if !AccountKeyHash::of_key(token).matches(&self.token_hash) {
            return Err(Refusal::new(
                ErrorKind::Unauthorized,
                "operator token is missing or wrong",
            ));
        }
        let (method, path) = (
            req.method().as_str().to_owned(),
            req.uri().path().to_owned(),
        );
        let body = read_body(req).await?;
        match (method.as_str(), path.as_str()) {
            ("GET", "/v1/configuration") => {
                let (cfg, _) = self.read().await?;
                Ok(answer(200, "application/json", json!(cfg).to_string()))
            }
            ("GET", "/v1/audit") => {
                let (_, audit) = self.read().await?;
                Ok(answer(200, "application/json", json!(audit).to_string()))
            }
            ("GET", "/v1/status") => {
                let status = self.ask(ControlMessage::Status).await?;
                Ok(answer(200, "application/json", json!(status).to_string()))
            }
            ("POST", "/v1/publish") => self.publish(&body).await,
            ("POST", "/v1/drain") => {
                let DrainBody {
                    instance,
                    on,
                    author,
                } = read_json(&body)?;
                let command = Command::Drain {
                    instance,
                    on,
                    author,
                    at_ms: 0,
                };
                self.propose(command).await?;
                Ok(answer(
                    200,
                    "application/json",
                    json!({"done": true}).to_string(),
                ))
            }
            _ => {
                let detail = format!("\"{method} {path}\" is not served");
                Err(Refusal::new(ErrorKind::NotFound, detail))
            }
        }
    }

    async fn ask<T, F>(&self, message: F) -> Result<T, Refusal>
    where
        F: FnOnce(oneshot::Sender<T>) -> ControlMessage,
        T: Send + 'static,
    {
        let (tx, rx) = oneshot::channel();
        self.actor
            .send_message(message(tx))
            .map_err(|_| stopping_refusal())?;
        rx.await.map_err(|_| stopping_refusal())
    }

    async fn propose(&self, command: Command) -> Result<CommandResult, Refusal> {
        let result = self
            .ask(|tx| ControlMessage::Propose(Box::new(command), tx))
            .await?;
        match refusal_of(&result) {
            Some(refusal) => Err(refusal),
            None => Ok(result),
        }
    }

    /// Reads the state, including every change accepted before the call. The no-op entry is
    /// committed first, which proves that a quorum still follows the leader.
    async fn read(
        &self,
    ) -> Result<
        (
            dotterelrudder_config::Configuration,
            Vec<dotterelrudder_control::AuditRow>,
        ),
        Refusal,
    > {
        self.propose(Command::Noop).await?;
        self.ask(ControlMessage::Read).await
    }

    async fn publish(&self, body: &[u8]) -> Answer {
        let PublishBody {
            change_id,
            base,
            author,
            content,
            change,
        } = read_json(body)?;
        let began = Instant::now();
        let command = Command::Publish {
            change_id,
            base,
            author,
            at_ms: 0,
            content,
            change,
        };
        let CommandResult::Accepted(revision) = self.propose(command).await? else {
            return Err(Refusal::new(
                ErrorKind::OutcomeUnknown,
                "publish command returned no revision",
            ));
        };
        let accepted_ms = began.elapsed().as_millis() as u64;
        let mut counts = self
            .ask(|tx| ControlMessage::CountInForce(revision, tx))
            .await?;
        while counts.0 < counts.1 && began.elapsed() < IN_FORCE_TIMEOUT {
            tokio::time::sleep(IN_FORCE_POLL_INTERVAL).await;
            counts = self
                .ask(|tx| ControlMessage::CountInForce(revision, tx))
                .await?;
        }
        let body = json!({
            "revision": revision,
            "in_force": counts.0,
            "live": counts.1,
            "accepted_ms": accepted_ms,
            "in_force_ms": began.elapsed().as_millis() as u64,
        });
        Ok(answer(200, "application/json", body.to_string()))
    }
}
