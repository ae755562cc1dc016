//! The `dotterelrudder-entry` daemon.

use std::process::ExitCode;

use dotterelrudder_daemon::entry;
use dotterelrudder_daemon::start::run_daemon;

fn main() -> ExitCode {
    run_daemon("dotterelrudder-entry", entry::run)
}
