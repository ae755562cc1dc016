//! Admission of requests: checks of the bearer key, the service, the configuration's freshness, the
//! deadline and the rate limit of the client account.

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

/// The longest `Retry-After` sent to a client account over its limit. Its share of the limit at
/// this entry can grow in the meantime.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(5);

impl EntryCore {
    /// Checks a request and registers it under `id`.
    ///
    /// # Errors
    ///
    /// Returns the refusal for the caller if a check fails; the request was not run then.
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
            let detail = format!(
                "instance \"{}\" has no confirmed configuration yet",
                self.settings.name
            );
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
            let detail = format!(
                "service \"{}\" requires a configuration that control confirmed recently",
                service.name
            );
            return Err(Refusal::new(ErrorKind::NotFresh, detail));
        }
        if deadline <= now {
            return Err(Refusal::new(
                ErrorKind::DeadlineExceeded,
                "the request deadline had passed when the request arrived",
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

/// Returns whether a request is safe to run more than once.
fn is_repeatable(service: &ServiceDeclaration, target: &Target) -> bool {
    match target {
        Target::Completion { .. } => true,
        // Safe methods of RFC 9110, section 9.2.1, unless the service declares otherwise.
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
        "client account \"{}\" exceeds its limit of {rate} requests per second",
        account.name
    );
    let mut refusal = Refusal::new(ErrorKind::LimitReached, detail);
    refusal.retry_after = Some(wait.clamp(Duration::from_secs(1), MAX_RETRY_AFTER));
    refusal
}

/// Hashes the content of a request, so that the reuse of an idempotency key with another request
/// can be detected.
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
