//! The operators' command `dotterelrudder`.

use std::process::ExitCode;

fn main() -> ExitCode {
    dotterelrudder_daemon::operator::run()
}
