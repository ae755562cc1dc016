//! Parses the command line of the daemons.

use std::path::PathBuf;

/// The parsed command line of a daemon.
#[derive(Debug)]
pub enum Arguments {
    /// Run the daemon, or only check its settings file.
    Run {
        /// Path of the settings file.
        settings: PathBuf,
        /// Whether to exit after the settings file was read and checked.
        check: bool,
    },
    /// Print this text to standard output and exit.
    Print(String),
}

/// Parses the command line of the process; `program` is the daemon's name in its messages.
///
/// # Errors
///
/// Returns a message that names the unknown, incomplete or missing argument.
pub fn read_arguments(program: &str) -> Result<Arguments, String> {
    use lexopt::prelude::*;
    let mut settings = None;
    let mut check = false;
    let mut parser = lexopt::Parser::from_env();
    while let Some(arg) = parser.next().map_err(|e| e.to_string())? {
        match arg {
            Long("settings") => {
                settings = Some(PathBuf::from(parser.value().map_err(|e| e.to_string())?));
            }
            Long("check-settings") => check = true,
            Long("help") | Short('h') => return Ok(Arguments::Print(help(program))),
            Long("version") | Short('V') => {
                let version = env!("CARGO_PKG_VERSION");
                return Ok(Arguments::Print(format!("{program} {version}\n")));
            }
            other => return Err(format!("{}; see {program} --help", other.unexpected())),
        }
    }
    let settings = settings.ok_or(format!("--settings FILE is missing; see {program} --help"))?;
    Ok(Arguments::Run { settings, check })
}

fn help(program: &str) -> String {
    format!(
        "Usage: {program} --settings FILE [--check-settings]\n\n\
         --settings FILE    the settings file, in TOML; see examples/settings/ for annotated ones\n\
         --check-settings   check the settings file and exit\n\
         --help, --version  print and exit\n\n\
         Exit codes: 0 success, 64 invalid arguments, 78 invalid settings, 71 system error.\n"
    )
}
