//! Starts a small deployment and plays one case of the review. It exits with 1 if the rule was broken,
//! 0 if it held, and 2 if the case could not run.

mod deployment;
mod http;
mod long_part_names;
mod many_parts;
mod restarted_entry;
mod runner;
mod spoiled_streams;
mod store;
mod uncounted_prompts;

use std::path::PathBuf;
use std::process::exit;
use std::time::Duration;

use deployment::Record;

/// Whether the rule held; otherwise what broke it.
pub type Verdict = Result<Option<String>, String>;

/// The longest time that a case may take.
const LIMIT: Duration = Duration::from_secs(110);

fn main() {
    let mut arguments = std::env::args().skip(1);
    let (Some(case), Some(folder)) = (arguments.next(), arguments.next()) else {
        eprintln!("usage: rig-3 CASE FOLDER");
        exit(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |v| v != "0");
    let record = Record::new(PathBuf::from(folder).join("record.txt"));
    record.add(format!("case {case}, with the disruption: {trouble}"));
    let watched = record.clone();
    std::thread::spawn(move || {
        std::thread::sleep(LIMIT);
        watched.add("the case took too long");
        watched.write();
        deployment::end_all();
        exit(2);
    });
    let verdict = match case.as_str() {
        "uncounted-prompts" => uncounted_prompts::play(record.clone(), trouble),
        "restarted-entry" => restarted_entry::play(record.clone(), trouble),
        "many-parts" => many_parts::play(record.clone(), trouble),
        "spoiled-streams" => spoiled_streams::play(record.clone(), trouble),
        "long-part-names" => long_part_names::play(record.clone(), trouble),
        other => Err(format!("no case {other}")),
    };
    let status = match &verdict {
        Ok(None) => {
            record.add("held");
            0
        }
        Ok(Some(what)) => {
            record.add(format!("broken: {what}"));
            1
        }
        Err(why) => {
            record.add(format!("could not run: {why}"));
            2
        }
    };
    record.write();
    exit(status);
}
