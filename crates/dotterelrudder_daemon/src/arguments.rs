//! The command line of the daemons.

use std::path::PathBuf;

/// What a daemon's command line asks for.
#[derive(Debug)]
pub enum Arguments {
    /// Run with a settings file; `check` stops after reading it.
    Run {
        /// The settings file.
        settings: PathBuf,
        /// Whether only the settings are checked.
        check: bool,
    },
    /// Print this and exit.
    Print(String),
}

/// Reads the command line of the daemon `program`.
///
/// # Errors
///
/// Returns what is wrong with which argument.
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
         --settings FILE    the settings, in TOML; examples/settings/ has annotated ones\n\
         --check-settings   check the settings and exit\n\
         --help, --version  print and exit\n\n\
         Exit codes: 0 done, 64 wrong arguments, 78 wrong settings, 71 the system refused.\n"
    )
}
