//! The stand-ins and the checks of the second review's cases. `rig CASE FOLDER` plays one case and
//! writes its record into the folder. It exits with 1 if the rule was broken, 0 if it held and 2 if the
//! case couldn't run. With the variable `TROUBLE=0` it does the same without the disruption.

mod core_replaced;
mod core_spare;
mod crashing_part;
mod crashing_request;
mod deployment;
mod fleet;
mod http;
mod record;
mod software_upgrade;

use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use record::Record;

/// How long a case may run; `run.sh` allows 120 s.
const LIMIT: Duration = Duration::from_secs(112);

/// What a case found out.
pub enum Outcome {
    Held,
    Broken(String),
}

fn main() -> ExitCode {
    let mut arguments = std::env::args().skip(1);
    let (Some(case), Some(folder)) = (arguments.next(), arguments.next()) else {
        eprintln!("usage: rig CASE FOLDER");
        return ExitCode::from(2);
    };
    std::thread::spawn(|| {
        std::thread::sleep(LIMIT);
        eprintln!("the case took too long");
        // The processes end with this one.
        std::process::exit(2);
    });
    let with_trouble = std::env::var("TROUBLE").map_or(true, |v| v != "0");
    let record = match Record::create(&PathBuf::from(folder)) {
        Ok(record) => record,
        Err(e) => {
            eprintln!("{e}");
            return ExitCode::from(2);
        }
    };
    record.line(format!("case {case}, with the disruption: {with_trouble}"));
    let played = match case.as_str() {
        "core-replaced" => core_replaced::play(&record, with_trouble),
        "core-spare" => core_spare::play(&record, with_trouble),
        "software-upgrade" => software_upgrade::play(&record, with_trouble),
        "crashing-part" => crashing_part::play(&record, with_trouble),
        "crashing-request" => crashing_request::play(&record, with_trouble),
        _ => Err(format!("there is no case {case}")),
    };
    let (text, code) = match played {
        Ok(Outcome::Held) => ("the rule held".to_owned(), 0),
        Ok(Outcome::Broken(how)) => (format!("the rule was broken: {how}"), 1),
        Err(e) => (format!("the case couldn't run: {e}"), 2),
    };
    record.line(&text);
    println!("{text}");
    ExitCode::from(code)
}
