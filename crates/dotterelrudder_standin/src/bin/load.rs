//! `dotterelrudder-load`: drives entries as callers would and checks every answer.

use std::collections::BTreeMap;
use std::process::ExitCode;
use std::time::Duration;

use dotterelrudder_daemon::http_client::HttpClient;
use dotterelrudder_standin::load::run_calls;
use dotterelrudder_standin::load::run_once;
use dotterelrudder_standin::load::run_returning;
use dotterelrudder_standin::load::run_steady;
use dotterelrudder_standin::load::run_subscribers;
use dotterelrudder_standin::load::run_workload;
use dotterelrudder_standin::load::Caller;
use dotterelrudder_standin::load::CallsPlan;
use dotterelrudder_standin::load::Report;
use dotterelrudder_standin::load::ReturningPlan;
use dotterelrudder_standin::load::SteadyPlan;
use dotterelrudder_standin::load::TierReport;
use dotterelrudder_standin::load::Workload;
use serde_json::json;
use serde_json::Value;

const HELP: &str = "\
Usage: dotterelrudder-load COMMAND --option VALUE…

  steady     --entries A,B --key K --model M --rate R --seconds S [--prompt-tokens N]
             [--answer-tokens N] [--seed N] --out FILE
  returning  --entries A,B --key K --model M --conversations N --sheet-tokens N
             [--answer-tokens N] --engines E,F [--settle-ms N] [--seed N] --out FILE
  once       --entries A,B --key K --path P --count N [--seed N] --out FILE
  calls      --entries A,B --key K --path P --count N [--parallel N] [--claimed true]
             print how long calls of a plain service take
  run        --workload FILE --entries A,B --engines E,F --stores S,T --salt TEXT
             [--scale X] [--trial-scale X] --out FILE   an open-loop workload
  table      --reports F,G             compare reports of `run`, as a Markdown table
  subscribe  --controls NAME=ADDR,… --secret-file F --count N   follow the configuration
  fetch      --url URL                 print what a stand-in tells
  post       --url URL [--body JSON]   switch a stand-in's fault
  wait       --url URL [--seconds S]   wait until the URL answers with success
  summary    --reports F,G --with F --without F --plain URL --weights URL --in-force-ms N
             print one JSON line; exit 0 only if everything held
  verdict    --reports F,G --plain URL --engines E,F
             print one JSON line; exit 0 only if no answer was wrong and nothing ran twice
";

/// How long a short call may take.
const SHORT_LIMIT: Duration = Duration::from_secs(5);

struct Options(BTreeMap<String, String>);

impl Options {
    fn text(&self, name: &str) -> Result<&str, String> {
        self.0
            .get(name)
            .map(String::as_str)
            .ok_or(format!("--{name} is missing"))
    }

    fn list(&self, name: &str) -> Result<Vec<String>, String> {
        Ok(self.text(name)?.split(',').map(str::to_owned).collect())
    }

    fn number<N>(&self, name: &str, default: Option<N>) -> Result<N, String>
    where
        N: std::str::FromStr,
    {
        match (self.0.get(name), default) {
            (Some(text), _) => text
                .parse()
                .map_err(|_| format!("--{name} can't be \"{text}\"")),
            (None, Some(default)) => Ok(default),
            (None, None) => Err(format!("--{name} is missing")),
        }
    }
}

fn read_options() -> Result<(String, Options), String> {
    use lexopt::prelude::*;
    let mut parser = lexopt::Parser::from_env();
    let mut command = String::new();
    let mut options = BTreeMap::new();
    let text = |e: lexopt::Error| e.to_string();
    while let Some(arg) = parser.next().map_err(text)? {
        match arg {
            Long("help") => return Err(HELP.into()),
            Long(name) => {
                let name = name.to_owned();
                let value = parser.value().map_err(text)?.string().map_err(text)?;
                options.insert(name, value);
            }
            Value(value) if command.is_empty() => command = value.string().map_err(text)?,
            other => return Err(other.unexpected().to_string()),
        }
    }
    Ok((command, Options(options)))
}

fn write(options: &Options, report: &Report) -> Result<bool, String> {
    let out = options.text("out")?;
    let text = json!(report).to_string();
    std::fs::write(out, text).map_err(|e| format!("{out}: {e}"))?;
    report.notes.iter().for_each(|note| eprintln!("  {note}"));
    eprintln!(
        "  {} requests, {} wrong, {} cut off, {} refused, {} failed",
        report.requests, report.wrong_answers, report.cut_off, report.refused, report.failed
    );
    Ok(true)
}

fn read(path: &str) -> Result<Report, String> {
    let text = std::fs::read_to_string(path).map_err(|e| format!("{path}: {e}"))?;
    serde_json::from_str(&text).map_err(|e| format!("{path}: {e}"))
}

async fn fetch(url: &str) -> Result<Value, String> {
    let body = HttpClient::default()
        .get(url, SHORT_LIMIT)
        .await
        .map_err(|e| e.detail)?;
    serde_json::from_slice(&body).map_err(|e| format!("{url}: {e}"))
}

async fn link_bytes(options: &Options) -> Result<u64, String> {
    let mut bytes = 0;
    for store in options.list("stores")? {
        let stats = fetch(&format!("http://{store}/stats")).await?;
        bytes += stats["link_bytes"].as_u64().unwrap_or(0);
    }
    Ok(bytes)
}

async fn backend_calls(options: &Options) -> Result<u64, String> {
    let mut calls = 0;
    for engine in options.list("engines")? {
        // A runner that was lost in the run can't tell its calls.
        if let Ok(stats) = fetch(&format!("http://{engine}/stats")).await {
            calls += stats["calls"].as_u64().unwrap_or(0);
        }
    }
    Ok(calls)
}

async fn run_file(options: &Options) -> Result<bool, String> {
    let path = options.text("workload")?;
    let text = std::fs::read_to_string(path).map_err(|e| format!("{path}: {e}"))?;
    let mut workload: Workload = toml::from_str(&text).map_err(|e| format!("{path}: {e}"))?;
    let scale: f64 = options.number("scale", Some(1.0))?;
    let trial_scale: f64 = options.number("trial-scale", Some(1.0))?;
    for flow in &mut workload.flows {
        flow.rate *= if flow.tier == "trial" {
            trial_scale
        } else {
            scale
        };
    }
    let salt = options.text("salt")?;
    let (bytes, calls) = (link_bytes(options).await?, backend_calls(options).await?);
    let tiers = run_workload(&workload, &options.list("entries")?, salt).await;
    let report = json!({
        "salt": salt,
        "tiers": tiers,
        "link_bytes": link_bytes(options).await? - bytes,
        "backend_calls": backend_calls(options).await?.saturating_sub(calls),
    });
    let out = options.text("out")?;
    std::fs::write(out, report.to_string()).map_err(|e| format!("{out}: {e}"))?;
    for (tier, report) in &tiers {
        eprintln!("  {salt} {tier}: {}", report.line());
        report
            .notes
            .iter()
            .take(3)
            .for_each(|note| eprintln!("    {note}"));
    }
    Ok(tiers.values().all(|tier| tier.wrong_answers == 0))
}

fn table(options: &Options) -> Result<bool, String> {
    println!("| run | tier | requests | answered | first token p50 / p95 / p99 (ms) | between tokens p95 (ms) | within deadline | recomputed | link (MB) | refused | calls |");
    println!("|---|---|---|---|---|---|---|---|---|---|---|");
    for path in options.list("reports")? {
        let text = std::fs::read_to_string(&path).map_err(|e| format!("{path}: {e}"))?;
        let report: Value = serde_json::from_str(&text).map_err(|e| format!("{path}: {e}"))?;
        let tiers: BTreeMap<String, TierReport> =
            serde_json::from_value(report["tiers"].clone()).map_err(|e| format!("{path}: {e}"))?;
        for (tier, r) in &tiers {
            let ttft = |percent| Report::percentile(&r.ttft_ms, percent);
            println!(
                "| {} | {tier} | {} | {} | {:.0} / {:.0} / {:.0} | {:.1} | {} | {:.3} | {:.1} | {} | {} |",
                report["salt"].as_str().unwrap_or(""),
                r.requests,
                r.answered,
                ttft(50.0),
                ttft(95.0),
                ttft(99.0),
                Report::percentile(&r.gaps_ms, 95.0),
                r.within_deadline,
                r.recomputed_tokens as f64 / r.returning_tokens.max(1) as f64,
                report["link_bytes"].as_f64().unwrap_or(0.0) / 1e6,
                r.refused,
                report["backend_calls"],
            );
        }
    }
    Ok(true)
}

async fn calls(options: &Options, caller: &Caller) -> Result<bool, String> {
    let plan = CallsPlan {
        path: options.text("path")?.into(),
        count: options.number("count", None)?,
        parallel: options.number("parallel", Some(1))?,
        claimed: options.number("claimed", Some(false))?,
    };
    let began = std::time::Instant::now();
    let (times, failed) = run_calls(caller, &plan).await;
    let rate = times.len() as f64 / began.elapsed().as_secs_f64();
    let at = |percent| Report::percentile(&times, percent);
    println!(
        "{}",
        json!({"answered": times.len(), "failed": failed, "per_second": rate.round(),
            "p50_ms": at(50.0), "p95_ms": at(95.0), "p99_ms": at(99.0)})
    );
    Ok(failed == 0)
}

async fn subscribe(options: &Options) -> Result<bool, String> {
    let path = options.text("secret-file")?;
    let secret = std::fs::read_to_string(path).map_err(|e| format!("{path}: {e}"))?;
    let mut controls = Vec::new();
    for control in options.list("controls")? {
        let (name, address) = control
            .split_once('=')
            .ok_or("--controls wants NAME=ADDR")?;
        let address = address.parse().map_err(|e| format!("{address}: {e}"))?;
        controls.push((name.into(), address));
    }
    run_subscribers(options.number("count", None)?, &controls, secret.trim()).await;
    Ok(true)
}

async fn post(options: &Options) -> Result<bool, String> {
    let body = options.number("body", Some("{}".to_owned()))?;
    let req = http::Request::post(options.text("url")?).body(http_body_util::Full::from(body));
    let req = req.map_err(|e| e.to_string())?;
    let answer = HttpClient::default()
        .fetch(req, SHORT_LIMIT)
        .await
        .map_err(|e| e.detail)?;
    Ok(answer.0 == 200)
}

async fn wait(options: &Options) -> Result<bool, String> {
    let url = options.text("url")?;
    let seconds: f64 = options.number("seconds", Some(20.0))?;
    let client = HttpClient::default();
    let looked = async {
        while client.get(url, SHORT_LIMIT).await.is_err() {
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    };
    let limit = Duration::from_secs_f64(seconds);
    tokio::time::timeout(limit, looked)
        .await
        .map_err(|_| format!("{url} isn't ready"))?;
    Ok(true)
}

async fn summary(options: &Options) -> Result<bool, String> {
    let mut whole = Report::default();
    for path in options.list("reports")? {
        whole.merge(read(&path)?);
    }
    let with = read(options.text("with")?)?;
    let without = read(options.text("without")?)?;
    let (share, share_without) = (with.recomputed_share(), without.recomputed_share());
    whole.merge(with);
    whole.merge(without);
    let plain = fetch(options.text("plain")?).await?;
    let weights = fetch(options.text("weights")?).await?;
    let ran_twice = plain["ran_twice"].as_u64().unwrap_or(u64::MAX);
    let most_loads = weights["most_at_once"].as_u64().unwrap_or(u64::MAX);
    let in_force_ms: u64 = options.number("in-force-ms", None)?;
    let ttft = |percent| Report::percentile(&whole.ttft_ms, percent);
    let line = json!({
        "requests": whole.requests,
        "wrong_answers": whole.wrong_answers,
        "cut_off": whole.cut_off,
        "failed": whole.failed,
        "refused": whole.refused,
        "ran_twice": ran_twice,
        "recomputed_share": share,
        "recomputed_share_without_stores": share_without,
        "ttft_p50_ms": ttft(50.0),
        "ttft_p95_ms": ttft(95.0),
        "config_in_force_ms": in_force_ms,
        "loads_at_once": most_loads,
    });
    println!("{line}");
    let sound = whole.wrong_answers + whole.cut_off + whole.failed + ran_twice == 0;
    Ok(sound && most_loads <= 2 && share < share_without)
}

/// Judges a run with kills: callers may see refusals and broken connections, but never a wrong
/// answer, a second run or another account's block.
async fn verdict(options: &Options) -> Result<bool, String> {
    let mut whole = Report::default();
    for path in options.list("reports")? {
        whole.merge(read(&path)?);
    }
    let plain = fetch(options.text("plain")?).await?;
    let ran_twice = plain["ran_twice"].as_u64().unwrap_or(u64::MAX);
    let mut foreign_reads = 0;
    for engine in options.list("engines")? {
        let stats = fetch(&format!("http://{engine}/stats")).await?;
        foreign_reads += stats["foreign_reads"].as_u64().unwrap_or(1);
    }
    let line = json!({
        "requests": whole.requests,
        "wrong_answers": whole.wrong_answers,
        "cut_off": whole.cut_off,
        "failed": whole.failed,
        "refused": whole.refused,
        "ran_twice": ran_twice,
        "foreign_reads": foreign_reads,
    });
    println!("{line}");
    Ok(whole.requests > 0 && whole.wrong_answers + ran_twice + foreign_reads == 0)
}

async fn run(command: &str, options: &Options) -> Result<bool, String> {
    let seed = options.number("seed", Some(1))?;
    let caller = || -> Result<Caller, String> {
        Ok(Caller::new(&options.list("entries")?, options.text("key")?))
    };
    match command {
        "steady" => {
            let plan = SteadyPlan {
                model: options.text("model")?.into(),
                rate: options.number("rate", None)?,
                seconds: options.number("seconds", None)?,
                prompt_tokens: options.number("prompt-tokens", Some(400))?,
                answer_tokens: options.number("answer-tokens", Some(40))?,
                seed,
            };
            write(options, &run_steady(&caller()?, &plan).await)
        }
        "returning" => {
            let plan = ReturningPlan {
                model: options.text("model")?.into(),
                conversations: options.number("conversations", None)?,
                sheet_tokens: options.number("sheet-tokens", None)?,
                answer_tokens: options.number("answer-tokens", Some(20))?,
                engines: options.list("engines")?,
                settle_ms: options.number("settle-ms", Some(1_000))?,
                seed,
            };
            write(options, &run_returning(&caller()?, &plan).await)
        }
        "calls" => calls(options, &caller()?).await,
        "run" => run_file(options).await,
        "table" => table(options),
        "subscribe" => subscribe(options).await,
        "once" => {
            let count = options.number("count", None)?;
            let report = run_once(&caller()?, options.text("path")?, count, seed).await;
            write(options, &report)
        }
        "fetch" => {
            println!("{}", fetch(options.text("url")?).await?);
            Ok(true)
        }
        "post" => post(options).await,
        "wait" => wait(options).await,
        "summary" => summary(options).await,
        "verdict" => verdict(options).await,
        other => Err(format!("command \"{other}\" is unknown\n{HELP}")),
    }
}

fn main() -> ExitCode {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    let ended = match (read_options(), runtime) {
        (Ok((command, options)), Ok(runtime)) => runtime.block_on(run(&command, &options)),
        (Err(e), _) => Err(e),
        (_, Err(e)) => Err(e.to_string()),
    };
    match ended {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(e) => {
            eprintln!("dotterelrudder-load: {e}");
            ExitCode::from(64)
        }
    }
}
