//! Exchanges with control: claims of at-most-once requests, the registration of this side and
//! orders to load weights.
//!
//! A request that may not be repeated runs only after control granted a claim on its idempotency
//! key. Afterwards the claim stores the answer, is released, or is marked as lost.

use std::time::Duration;

use compact_str::CompactString;
use dotterelrudder_types::AttemptId;
use dotterelrudder_types::ErrorKind;
use dotterelrudder_types::InstanceName;
use dotterelrudder_types::Outcome;
use dotterelrudder_types::Refusal;
use dotterelrudder_types::WeightVersion;
use dotterelrudder_wire::ClaimKey;
use dotterelrudder_wire::ClaimVerdict;
use dotterelrudder_wire::Command;
use dotterelrudder_wire::CommandResult;
use dotterelrudder_wire::Message;
use dotterelrudder_wire::Usage;

use crate::attempt::AnswerHead;
use crate::attempt::AnyAttempt;
use crate::attempt::Claiming;
use crate::attempt::ReleasingClaim;
use crate::attempt::StoringAnswer;
use crate::attempt_table::AttemptKey;
use crate::runner_side::RunnerSide;
use crate::side_core::SideContext;
use crate::side_core::SideSettings;
use crate::Output;

/// How long the end of an attempt is withheld from its entry until control has stored the answer or
/// released the claim. After that the entry receives the result all the same.
const CLAIM_UPDATE_TIMEOUT: Duration = Duration::from_secs(2);

/// What a proposal to control is for; decides how its result is handled.
#[derive(Debug)]
pub(crate) enum ProposalPurpose {
    /// Registers this incarnation of the side; the result is the fencing number in force.
    Register,
    /// Claims an idempotency key for an attempt.
    Claim(AttemptId, ClaimKey),
    /// Stores the answer of a claimed attempt.
    Finish(AttemptId),
    /// Releases the claim of an attempt that did not run.
    Release(AttemptId),
    /// Releases a claim or marks it as lost for an attempt that has ended; the result is ignored.
    ClaimCleanup,
}

impl RunnerSide {
    /// Registers this incarnation of the side with control.
    pub(crate) fn register(&mut self, settings: &SideSettings) {
        let side = settings.name.clone();
        let command = Command::RegisterSide {
            side,
            incarnation: settings.incarnation,
        };
        self.control.propose(ProposalPurpose::Register, command);
    }

    /// Sends due proposals to the control instances that are connected.
    pub(crate) fn tick_control(
        &mut self,
        context: &SideContext,
        now: Duration,
        out: &mut Vec<Output>,
    ) {
        if self.control.is_idle() {
            return;
        }
        let mut sends = Vec::new();
        self.control
            .tick(now, &context.follower.reachable_controls(), &mut sends);
        out.extend(
            sends
                .into_iter()
                .map(|(to, message)| Output::Send { to, message }),
        );
    }

    /// Proposes a claim for the attempt, which holds its slot until the verdict arrives.
    pub(crate) fn propose_claim(&mut self, key: AttemptKey, context: &SideContext) {
        let Some(start) = self.attempts.get(key).map(|a| a.start().clone()) else {
            return;
        };
        let Some(claim) = start.claim.clone() else {
            return;
        };
        self.attempts.advance(key, |any| match any {
            AnyAttempt::Queued(a) => AnyAttempt::Claiming(a.into_state(Claiming)),
            other => other,
        });
        let command = Command::Claim {
            key: claim.clone(),
            holder: context.settings.name.clone(),
            incarnation: context.settings.incarnation,
            attempt: start.attempt,
            at_ms: 0,
        };
        self.control
            .propose(ProposalPurpose::Claim(start.attempt, claim), command);
    }

    /// Handles the result of a proposal.
    pub(crate) fn on_result(
        &mut self,
        tag: u64,
        result: CommandResult,
        context: &SideContext,
        now: Duration,
        out: &mut Vec<Output>,
    ) {
        match self.control.on_result(tag, result, now) {
            Some((ProposalPurpose::Register, CommandResult::Fence(fence))) => {
                self.order_fencing.learn_fence(fence)
            }
            Some((ProposalPurpose::Claim(attempt, key), CommandResult::Claim(verdict))) => {
                self.on_claim_verdict(attempt, key, verdict, context, now, out);
            }
            Some((ProposalPurpose::Finish(attempt) | ProposalPurpose::Release(attempt), _)) => {
                if let Some(key) = self.attempts.key_of(attempt) {
                    self.end_after_claim_update(key, now, out);
                }
            }
            _ => {}
        }
    }

    /// Runs the attempt if its claim was granted, and otherwise ends it with the stored answer or a
    /// refusal.
    fn on_claim_verdict(
        &mut self,
        attempt: AttemptId,
        claim: ClaimKey,
        verdict: ClaimVerdict,
        context: &SideContext,
        now: Duration,
        out: &mut Vec<Output>,
    ) {
        let key = self
            .attempts
            .key_of(attempt)
            .filter(|key| matches!(self.attempts.get(*key), Some(AnyAttempt::Claiming(_))));
        let Some(key) = key else {
            // The attempt ended before the verdict arrived and must not run, so a granted claim is
            // released.
            if verdict == ClaimVerdict::Granted {
                let command = Command::ReleaseClaim {
                    key: claim,
                    attempt,
                };
                self.control.propose(ProposalPurpose::ClaimCleanup, command);
            }
            return;
        };
        let refusal = match verdict {
            ClaimVerdict::Granted => {
                if let Some(AnyAttempt::Claiming(a)) = self.attempts.get_mut(key) {
                    a.claimed = true;
                }
                self.import_or_call(key, context, now, out);
                return;
            }
            ClaimVerdict::Finished {
                status,
                content_type,
                body,
                usage,
            } => {
                let head = AnswerHead {
                    version: WeightVersion::default(),
                    status,
                    content_type,
                };
                if let Some(AnyAttempt::Claiming(a)) = self.attempts.get_mut(key) {
                    a.head = Some(head);
                    a.chunks = vec![body];
                    let messages = a.repeat_from(0).into_iter();
                    let to = a.entry.clone();
                    out.extend(messages.map(|message| Output::Send {
                        to: to.clone(),
                        message,
                    }));
                }
                self.end_attempt(key, Ok(usage), now, out);
                return;
            }
            ClaimVerdict::InProgress => Refusal::new(
                ErrorKind::InProgress,
                "a request with this idempotency key is still running",
            ),
            ClaimVerdict::Unknown => Refusal::new(
                ErrorKind::OutcomeUnknown,
                "it is unknown whether the request with this idempotency key ran",
            ),
            ClaimVerdict::KeyReused => Refusal::new(
                ErrorKind::KeyReused,
                "this idempotency key was used with a different request",
            ),
            ClaimVerdict::Expired => Refusal::new(
                ErrorKind::KeyExpired,
                "the stored answer for this idempotency key has expired",
            ),
        };
        self.end_attempt(key, Err(refusal), now, out);
    }

    /// Proposes to store the answer of a claimed attempt. The entry receives the end of the answer
    /// only after control has stored it, so that a repeated request finds it.
    pub(crate) fn store_answer(&mut self, key: AttemptKey, usage: Usage, now: Duration) {
        let Some(AnyAttempt::Running(a)) = self.attempts.get(key) else {
            return;
        };
        let Some(claim) = a.start.claim.clone() else {
            return;
        };
        let (status, content_type) = match &a.head {
            Some(head) => (head.status, head.content_type.clone()),
            None => (200, CompactString::default()),
        };
        let attempt = a.start.attempt;
        let command = Command::FinishClaim {
            key: claim,
            attempt,
            status,
            content_type,
            body: a.text().into(),
            usage,
            at_ms: 0,
        };
        self.control
            .propose(ProposalPurpose::Finish(attempt), command);
        let due = now + CLAIM_UPDATE_TIMEOUT;
        self.attempts.advance(key, |any| match any {
            AnyAttempt::Running(a) => {
                AnyAttempt::StoringAnswer(a.into_state(StoringAnswer { usage, due }))
            }
            other => other,
        });
    }

    /// Ends an attempt whose claim was updated, or whose update timed out.
    fn end_after_claim_update(&mut self, key: AttemptKey, now: Duration, out: &mut Vec<Output>) {
        let result = match self.attempts.get(key) {
            Some(AnyAttempt::StoringAnswer(a)) => Ok(a.state.usage),
            Some(AnyAttempt::ReleasingClaim(a)) => Err(a.state.refusal.clone()),
            _ => return,
        };
        self.end_attempt(key, result, now, out);
    }

    /// Ends attempts whose claim update timed out; the proposal is still repeated.
    pub(crate) fn tick_claim_updates(&mut self, now: Duration, out: &mut Vec<Output>) {
        let due = self.attempts.active().filter(|(_, any)| match any {
            AnyAttempt::StoringAnswer(a) => now >= a.state.due,
            AnyAttempt::ReleasingClaim(a) => now >= a.state.due,
            _ => false,
        });
        for key in due.map(|(key, _)| key).collect::<Vec<_>>() {
            self.end_after_claim_update(key, now, out);
        }
    }

    /// Ends an attempt whose run failed. The claim of an attempt that may have run is marked as
    /// lost; that of one that did not run is released before the entry receives the refusal, so
    /// that a retry finds the key free.
    pub(crate) fn fail_attempt(
        &mut self,
        key: AttemptKey,
        refusal: Refusal,
        now: Duration,
        out: &mut Vec<Output>,
    ) {
        let any = self
            .attempts
            .get(key)
            .filter(|a| a.is_claimed())
            .map(|a| a.start());
        let Some((attempt, claim)) = any.and_then(|s| Some((s.attempt, s.claim.clone()?))) else {
            self.end_attempt(key, Err(refusal), now, out);
            return;
        };
        if refusal.outcome == Outcome::Unknown {
            let command = Command::MarkClaimLost {
                key: claim,
                attempt,
            };
            self.control.propose(ProposalPurpose::ClaimCleanup, command);
            self.end_attempt(key, Err(refusal), now, out);
            return;
        }
        let command = Command::ReleaseClaim {
            key: claim,
            attempt,
        };
        self.control
            .propose(ProposalPurpose::Release(attempt), command);
        let state = ReleasingClaim {
            refusal,
            due: now + CLAIM_UPDATE_TIMEOUT,
        };
        self.attempts.advance(key, |any| match any {
            AnyAttempt::Running(a) => AnyAttempt::ReleasingClaim(a.into_state(state)),
            other => other,
        });
    }

    /// Passes an order to load weights on to the engine, or refuses one with an old fencing number.
    pub(crate) fn on_order(
        &mut self,
        from: InstanceName,
        fence: u64,
        version: WeightVersion,
        out: &mut Vec<Output>,
    ) {
        match self.order_fencing.accept(fence) {
            Ok(()) => out.push(Output::LoadVersion { fence, version }),
            Err(refusal) => {
                let version = self.backend_status.version.clone();
                let message = Message::OrderDone {
                    fence,
                    version,
                    refusal: Some(refusal),
                };
                out.push(Output::Send { to: from, message });
            }
        }
    }

    /// Records the version that the engine holds after an order and reports the result to control.
    pub(crate) fn on_loaded(
        &mut self,
        fence: u64,
        version: WeightVersion,
        done: bool,
        context: &SideContext,
        out: &mut Vec<Output>,
    ) {
        self.order_fencing.finish(fence);
        self.backend_status.version = version.clone();
        let detail = "the engine did not load the ordered weight version";
        let refusal = (!done).then(|| Refusal::new(ErrorKind::BackendFailed, detail));
        let message = Message::OrderDone {
            fence,
            version,
            refusal,
        };
        context.broadcast(dotterelrudder_types::Role::Control, &message, out);
    }
}
