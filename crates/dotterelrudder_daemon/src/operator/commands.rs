//! The commands of the operators' command line.

use std::process::ExitCode;

use dotterelrudder_config::collect;
use dotterelrudder_config::collect_onto;
use dotterelrudder_config::ChangeSet;
use dotterelrudder_config::Configuration;
use dotterelrudder_config::Fault;
use dotterelrudder_explain::Expectations;
use dotterelrudder_explain::Story;
use serde_json::json;
use serde_json::Value;

use super::arguments;
use super::arguments::Options;
use super::control_client::send_request;
use super::control_client::Failure;
use super::input_files;

/// The exit code for faulty declarations, and for log lines that contain nothing to report.
const EXIT_FAULTS: u8 = 65;

/// Parses the command line, runs the command and returns its exit code.
pub fn run() -> ExitCode {
    let options = match arguments::parse() {
        Ok(options) => options,
        Err(e) => {
            eprintln!("dotterelrudder: {e}; see dotterelrudder --help");
            return ExitCode::from(64);
        }
    };
    if let Some(text) = &options.print {
        print!("{text}");
        return ExitCode::SUCCESS;
    }
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    let done = match runtime {
        Ok(runtime) => runtime.block_on(dispatch(&options)),
        Err(e) => Err(Failure {
            message: e.to_string(),
            exit_code: 71,
        }),
    };
    match done {
        Ok(()) => ExitCode::SUCCESS,
        Err(failure) => {
            if !failure.message.is_empty() {
                eprintln!("dotterelrudder: {}", failure.message);
            }
            ExitCode::from(failure.exit_code)
        }
    }
}

async fn dispatch(options: &Options) -> Result<(), Failure> {
    match options.command.as_str() {
        "check" => check(options),
        "publish" => publish(options).await,
        "diff" => diff(options).await,
        "show" => {
            let cfg = fetch_configuration(options).await?;
            print_configuration(options, &cfg);
            Ok(())
        }
        "status" => status(options).await,
        "drain" => drain(options).await,
        "evacuate" => evacuate(options).await,
        "audit" => audit(options).await,
        "explain" => explain(options),
        "expectations" => expectations(options),
        other => Err(Failure::usage(format!("unknown command \"{other}\""))),
    }
}

fn print_json(value: &Value) {
    println!("{value}");
}

fn report_faults(options: &Options, faults: &[Fault]) -> Failure {
    if options.json {
        print_json(&json!({"faults": faults}));
    } else {
        faults.iter().for_each(|fault| eprintln!("{fault}"));
    }
    Failure {
        message: format!("{} faults; nothing was changed", faults.len()),
        exit_code: EXIT_FAULTS,
    }
}

fn check(options: &Options) -> Result<(), Failure> {
    let files = input_files::read_declarations(&options.operands).map_err(Failure::usage)?;
    let cfg = collect(&files).map_err(|faults| report_faults(options, &faults))?;
    let (services, accounts) = (cfg.services.len(), cfg.accounts.len());
    if options.json {
        print_json(&json!({"faults": [], "services": services, "client_accounts": accounts}));
    } else {
        println!("ok: {services} services, {accounts} client accounts");
    }
    Ok(())
}

async fn fetch_configuration(options: &Options) -> Result<Configuration, Failure> {
    let value = send_request(options, "GET", "/v1/configuration", "").await?;
    serde_json::from_value(value).map_err(|e| Failure {
        message: format!("the configuration sent by control cannot be parsed: {e}"),
        exit_code: 70,
    })
}

/// Computes what publishing would change. Returns the configuration in force, the change set and a
/// hash of the declarations and of `--prune`.
async fn plan_change(options: &Options) -> Result<(Configuration, ChangeSet, [u8; 32]), Failure> {
    let files = input_files::read_declarations(&options.operands).map_err(Failure::usage)?;
    let in_force = fetch_configuration(options).await?;
    // With `--prune` the target contains only what the files declare.
    let base = if options.prune {
        Configuration::default()
    } else {
        in_force.clone()
    };
    let declared = collect_onto(&files, &base).map_err(|faults| report_faults(options, &faults))?;
    let content = *blake3::hash(json!([declared, options.prune]).to_string().as_bytes()).as_bytes();
    let mut target = base;
    target.services.extend(declared.services);
    target.accounts.extend(declared.accounts);
    Ok((
        in_force.clone(),
        ChangeSet::between(&in_force, &target),
        content,
    ))
}

async fn publish(options: &Options) -> Result<(), Failure> {
    let against = options
        .against
        .ok_or(Failure::usage("--against REV is missing"))?;
    let (_, change, content) = plan_change(options).await?;
    let random_id = || format!("{:016x}", rand::random::<u64>());
    let change_id = options.change_id.clone().unwrap_or_else(random_id);
    let body = json!({
        "change_id": change_id,
        "base": against,
        "author": options.author,
        "content": content,
        "change": change,
    });
    let answer = send_request(options, "POST", "/v1/publish", &body.to_string()).await?;
    if options.json {
        print_json(&answer);
    } else {
        let (revision, live) = (&answer["revision"], &answer["live"]);
        let (in_force, ms) = (&answer["in_force"], &answer["in_force_ms"]);
        println!(
            "revision {revision} is in force at {in_force} of {live} live processes ({ms} ms)"
        );
    }
    Ok(())
}

async fn diff(options: &Options) -> Result<(), Failure> {
    let (in_force, change, _) = plan_change(options).await?;
    let lines = change.describe();
    if options.json {
        print_json(&json!({"against": in_force.revision, "changes": lines}));
    } else {
        println!(
            "against revision {}: {} changes",
            in_force.revision,
            lines.len()
        );
        lines.iter().for_each(|line| println!("{line}"));
    }
    Ok(())
}

fn print_configuration(options: &Options, cfg: &Configuration) {
    if options.json {
        print_json(&json!(cfg));
        return;
    }
    println!("revision {}", cfg.revision);
    for s in cfg.services.values() {
        let what = if s.model.is_empty() {
            &s.path_prefix
        } else {
            &s.model
        };
        println!(
            "service {} {:?} {} {}",
            s.name, s.kind, what, s.weight_version
        );
    }
    for a in cfg.accounts.values() {
        let (name, tier, rate) = (&a.name, a.tier.as_str(), a.requests_per_second);
        println!("client_account {name} {tier} {rate}/s");
    }
}

async fn status(options: &Options) -> Result<(), Failure> {
    let status = send_request(options, "GET", "/v1/status", "").await?;
    if options.json {
        print_json(&status);
        return Ok(());
    }
    println!(
        "leader {} term {} revision {} fresh {}",
        status["leader"], status["term"], status["revision"], status["fresh"]
    );
    for data_centre in status["evacuated"].as_array().into_iter().flatten() {
        println!("evacuated {data_centre}");
    }
    for member in status["members"].as_array().into_iter().flatten() {
        let votes = if member[2] == true { "votes" } else { "learns" };
        println!("control {} {} {votes}", member[0], member[1]);
    }
    for i in status["instances"].as_array().into_iter().flatten() {
        println!(
            "instance {} connected {} revision {} version {} running {} waiting {} draining {}",
            i["name"],
            i["connected"],
            i["revision"],
            i["weight_version"],
            i["running"],
            i["waiting"],
            i["draining"]
        );
    }
    Ok(())
}

async fn drain(options: &Options) -> Result<(), Failure> {
    let [instance] = options.operands.as_slice() else {
        return Err(Failure::usage("drain takes exactly one INSTANCE"));
    };
    let body = json!({"instance": instance, "on": !options.off, "author": options.author});
    let answer = send_request(options, "POST", "/v1/drain", &body.to_string()).await?;
    if options.json {
        print_json(&answer);
    } else {
        println!(
            "{instance}: drain {}",
            if options.off { "off" } else { "on" }
        );
    }
    Ok(())
}

/// Requests or ends the evacuation of a data centre.
async fn evacuate(options: &Options) -> Result<(), Failure> {
    let [data_centre] = options.operands.as_slice() else {
        return Err(Failure::usage("evacuate takes exactly one DATA_CENTRE"));
    };
    let method = if options.end { "DELETE" } else { "POST" };
    let path = format!("/v1/evacuations/{data_centre}");
    let answer = send_request(options, method, &path, "").await?;
    if options.json {
        print_json(&answer);
    } else {
        println!(
            "{data_centre}: evacuation {}",
            if options.end { "off" } else { "on" }
        );
    }
    Ok(())
}

async fn audit(options: &Options) -> Result<(), Failure> {
    let rows = send_request(options, "GET", "/v1/audit", "").await?;
    if options.json {
        print_json(&rows);
        return Ok(());
    }
    for row in rows.as_array().into_iter().flatten() {
        println!(
            "{} at_ms {} by {} change {} against {} {}",
            row["index"],
            row["at_ms"],
            row["author"],
            row["change_id"],
            row["base"],
            row["outcome"]
        );
        for line in row["lines"].as_array().into_iter().flatten() {
            println!("    {}", line.as_str().unwrap_or(""));
        }
    }
    Ok(())
}

/// Prints what happened to a request, from log lines in files or on standard input.
fn explain(options: &Options) -> Result<(), Failure> {
    let Some((id, paths)) = options.operands.split_first() else {
        return Err(Failure::usage("explain takes the ID of a request"));
    };
    let lines = input_files::read_lines(paths).map_err(Failure::usage)?;
    let story = Story::read(id, lines);
    print!("{story}");
    if story.is_empty() {
        return Err(Failure {
            message: format!("no log line mentions request \"{id}\""),
            exit_code: EXIT_FAULTS,
        });
    }
    Ok(())
}

/// Prints how well entries predicted the time to first token, from log lines in files or on
/// standard input.
fn expectations(options: &Options) -> Result<(), Failure> {
    let lines = input_files::read_lines(&options.operands).map_err(Failure::usage)?;
    let expectations = Expectations::read(lines);
    if expectations.is_empty() {
        return Err(Failure {
            message: "no log line mentions a first token".into(),
            exit_code: EXIT_FAULTS,
        });
    }
    print!("{expectations}");
    Ok(())
}
