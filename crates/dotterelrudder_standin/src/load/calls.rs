//! Calls of a plain service, timed: through an entry, claimed or not, or straight at the stand-in.

use std::time::Duration;
use std::time::Instant;

use http::header::HeaderValue;

use super::Caller;

/// How long one answer may take.
const ANSWER_LIMIT: Duration = Duration::from_secs(10);

/// What to send.
#[derive(Debug, Clone)]
pub struct CallsPlan {
    /// The path.
    pub path: String,
    /// Calls in all.
    pub count: usize,
    /// Calls at once.
    pub parallel: usize,
    /// Whether each carries an idempotency key of its own.
    pub claimed: bool,
}

/// Returns the milliseconds of each answered call, and how many weren't answered with 200.
pub async fn run_calls(caller: &Caller, plan: &CallsPlan) -> (Vec<f64>, usize) {
    let mut tasks = Vec::new();
    for lane in 0..plan.parallel {
        let (caller, plan) = (caller.clone(), plan.clone());
        tasks.push(tokio::spawn(async move {
            let mut times = Vec::new();
            let mut failed = 0;
            for number in (lane..plan.count).step_by(plan.parallel) {
                let began = Instant::now();
                match call(&caller, &plan, number).await {
                    Ok(200) => times.push(began.elapsed().as_secs_f64() * 1e3),
                    _ => failed += 1,
                }
            }
            (times, failed)
        }));
    }
    let mut whole = (Vec::new(), 0);
    for task in tasks {
        if let Ok((times, failed)) = task.await {
            whole.0.extend(times);
            whole.1 += failed;
        }
    }
    whole
}

async fn call(caller: &Caller, plan: &CallsPlan, number: usize) -> Result<u16, String> {
    let name = format!("timed-{}-{number}", std::process::id());
    let entry = &caller.entries[number % caller.entries.len()];
    let mut req = caller.request("POST", entry, &plan.path, name.clone().into());
    if plan.claimed {
        let key = HeaderValue::from_str(&name).map_err(|e| e.to_string())?;
        req.headers_mut().insert("idempotency-key", key);
    }
    let answered = caller.client.fetch(req, ANSWER_LIMIT).await;
    answered.map(|(status, _)| status).map_err(|e| e.detail)
}
