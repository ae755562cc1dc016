//! The `dotterelrudder-control` daemon.

use std::process::ExitCode;

use dotterelrudder_daemon::control;
use dotterelrudder_daemon::start::run_daemon;

fn main() -> ExitCode {
    run_daemon("dotterelrudder-control", control::run)
}
