//! Stand-ins and cases of the review. Run in the repository's root: `rig CASE RECORD`.
//!
//! Exits with 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run. With TROUBLE=0
//! in the environment it does the same without the disruption.

mod deployment;
mod first_start;
mod frozen_voter;
mod http;
mod isolation;
mod large_changes;
mod last_tenant;
mod leaving;
mod plain_runner;
mod refused;
mod silent_runner;

use std::process::exit;
use std::time::Duration;

use deployment::Record;

/// A case ends by itself; this bounds it all the same.
const TIME_LIMIT: Duration = Duration::from_secs(115);

pub enum Verdict {
    Held(String),
    Broken(String),
    CouldNotRun(String),
}

impl Verdict {
    pub fn of(is_broken: bool, text: String) -> Self {
        match is_broken {
            true => Self::Broken(text),
            false => Self::Held(text),
        }
    }
}

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, path] = &arguments[..] else {
        eprintln!("usage: rig CASE RECORD");
        exit(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |v| v != "0");
    let record = match Record::create(path) {
        Ok(record) => record,
        Err(e) => {
            eprintln!("{path}: {e}");
            exit(2);
        }
    };
    std::thread::spawn(|| {
        std::thread::sleep(TIME_LIMIT);
        // The processes of the deployment end with the thread that started them.
        eprintln!("the case takes too long");
        exit(2);
    });
    record.line(&format!("case {case}, trouble {trouble}"));
    let result = match case.as_str() {
        "frozen-voter" => frozen_voter::run(record.clone(), trouble),
        "last-tenant" => last_tenant::run(record.clone(), trouble),
        "leaving" => leaving::run(record.clone(), trouble),
        "first-start" => first_start::run(record.clone(), trouble),
        "isolation" => isolation::run(record.clone(), trouble),
        "large-changes" => large_changes::run(record.clone(), trouble),
        "silent-runner" => silent_runner::run(record.clone(), trouble),
        "refused" => refused::run(record.clone(), trouble),
        _ => Ok(Verdict::CouldNotRun("the case is unknown".into())),
    };
    let (code, text) = match result {
        Ok(Verdict::Held(text)) => (0, format!("held: {text}")),
        Ok(Verdict::Broken(text)) => (1, format!("broken: {text}")),
        Ok(Verdict::CouldNotRun(text)) => (2, format!("couldn't run: {text}")),
        Err(e) => (2, format!("couldn't run: {e}")),
    };
    record.line(&text);
    println!("{text}");
    exit(code);
}
