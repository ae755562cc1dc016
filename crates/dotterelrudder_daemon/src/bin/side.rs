//! The `dotterelrudder-side` daemon.

use std::process::ExitCode;

use dotterelrudder_daemon::side;
use dotterelrudder_daemon::start::run_daemon;

fn main() -> ExitCode {
    run_daemon("dotterelrudder-side", side::run)
}
