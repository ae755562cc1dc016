//! Which requests are taken in.

use std::time::Duration;

use compact_str::CompactString;
use dotterelrudder_config::AccountDeclaration;
use dotterelrudder_config::PartitionPolicy;
use dotterelrudder_config::ServiceDeclaration;
use dotterelrudder_types::AccountKeyHash;
use dotterelrudder_types::ErrorKind;
use dotterelrudder_types::Refusal;
use dotterelrudder_wire::ClaimKey;

use super::EntryCore;
use crate::request::Request;
use crate::Target;

/// The longest wait told to an account over its limit, since its share can grow meanwhile.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(5);

impl EntryCore {
    /// Checks a request and takes it in.
    ///
    /// # Errors
    ///
    /// Returns the refusal to answer with; the request was not run.
    pub(super) fn admit(
        &mut self,
        id: u64,
        key: Option<CompactString>,
        target: Target,
        deadline: Duration,
        idempotency_key: Option<CompactString>,
        now: Duration,
    ) -> Result<(), Refusal> {
        if !self.follower.is_confirmed() {
            let detail = format!("\"{}\" holds no configuration yet", self.settings.name);
            return Err(Refusal::new(ErrorKind::NotReady, detail));
        }
        let cfg = self.follower.cfg().clone();
        let account = key
            .and_then(|key| cfg.account_by_key(&AccountKeyHash::of_key(&key)))
            .ok_or_else(|| {
                Refusal::new(
                    ErrorKind::UnknownKey,
                    "the bearer key belongs to no client account",
                )
            })?;
        let service = find_service(&cfg, &target)?;
        if !account.services.contains(&service.name) {
            let detail = format!(
                "client account \"{}\" may not use service \"{}\"",
                account.name, service.name
            );
            return Err(Refusal::new(ErrorKind::NotAllowed, detail));
        }
        if service.island == PartitionPolicy::Refuse && !self.follower.is_fresh(now) {
            let detail = format!("service \"{}\" needs fresh configuration", service.name);
            return Err(Refusal::new(ErrorKind::NotFresh, detail));
        }
        if deadline <= now {
            return Err(Refusal::new(
                ErrorKind::DeadlineExceeded,
                "the deadline has passed",
            ));
        }
        self.account_limits
            .try_acquire(account, now)
            .map_err(|wait| limit_refusal(account, wait))?;
        let claim = idempotency_key.map(|key| ClaimKey {
            account: account.name.clone(),
            key,
            request_hash: request_hash(&target),
        });
        let request = Request {
            account: account.name.clone(),
            tier: account.tier,
            service: service.name.clone(),
            repeatable: is_repeatable(service, &target),
            target,
            claim,
            deadline,
            version: None,
            received_text: Vec::new(),
            failed_on: Vec::new(),
            attempts: 0,
            may_have_run: false,
            current: None,
        };
        self.requests.insert(id, request);
        Ok(())
    }
}

fn find_service<'a>(
    cfg: &'a dotterelrudder_config::Configuration,
    target: &Target,
) -> Result<&'a ServiceDeclaration, Refusal> {
    match target {
        Target::Completion { model, .. } => cfg.service_by_model(model).ok_or_else(|| {
            Refusal::new(
                ErrorKind::UnknownModel,
                format!("no service serves model \"{model}\""),
            )
        }),
        Target::Call { path, .. } => cfg.service_by_path(path).ok_or_else(|| {
            Refusal::new(
                ErrorKind::UnknownModel,
                format!("no service serves path \"{path}\""),
            )
        }),
    }
}

/// Returns whether the request may run again after it may have run.
fn is_repeatable(service: &ServiceDeclaration, target: &Target) -> bool {
    match target {
        Target::Completion { .. } => true,
        // RFC 9110, section 9.2.1: safe methods, unless the service declares otherwise.
        Target::Call { method, path, .. } => {
            let declared = service
                .not_repeatable
                .iter()
                .any(|p| path.starts_with(p.as_str()));
            matches!(method.as_str(), "GET" | "HEAD") && !declared
        }
    }
}

fn limit_refusal(account: &AccountDeclaration, wait: Duration) -> Refusal {
    let rate = account.requests_per_second;
    let detail = format!(
        "client account \"{}\" is over {rate} requests a second",
        account.name
    );
    let mut refusal = Refusal::new(ErrorKind::LimitReached, detail);
    refusal.retry_after = Some(wait.clamp(Duration::from_secs(1), MAX_RETRY_AFTER));
    refusal
}

fn request_hash(target: &Target) -> [u8; 16] {
    let mut hasher = blake3::Hasher::new();
    let mut hash_field = |bytes: &[u8]| {
        hasher.update(&(bytes.len() as u64).to_le_bytes());
        hasher.update(bytes);
    };
    match target {
        Target::Completion {
            model,
            prompt,
            max_tokens,
        } => {
            hash_field(model.as_bytes());
            hash_field(prompt);
            hash_field(&max_tokens.to_le_bytes());
        }
        Target::Call {
            method, path, body, ..
        } => {
            hash_field(method.as_bytes());
            hash_field(path.as_bytes());
            hash_field(body);
        }
    }
    let mut hash = [0; 16];
    hash.copy_from_slice(&hasher.finalize().as_bytes()[..16]);
    hash
}
