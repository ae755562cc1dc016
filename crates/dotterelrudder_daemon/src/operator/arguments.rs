//! Parses the arguments and environment variables of the operators' command line.

use std::path::PathBuf;

/// The text of `--help`.
pub(super) const HELP: &str = "\
Usage: dotterelrudder COMMAND [OPTIONS]

Commands:
  check DIR…                      check declaration files; report every fault
  publish DIR… --against REV      put declarations in force
  diff DIR…                       show what publishing would change
  show                            show the configuration in force
  status                          show instances, revisions, leader, drains, evacuations
  drain INSTANCE [--off]          ask an instance to take no new work
  evacuate DATA_CENTRE [--end]    send nothing more to the backend servers of a data centre, or end
                                  this
  audit                           show the audit trail of changes
  explain ID [FILE…]              show what happened to a request, from log lines in FILE or on
                                  standard input
  expectations [FILE…]            compare expected with measured times to first token, from the
                                  same log lines

Options:
  --control HOST:PORT,…   operator addresses of control (or DOTTERELRUDDER_CONTROL)
  --token-file FILE       the operators' token (or DOTTERELRUDDER_TOKEN)
  --against REV           the revision that the change is based on
  --change-id ID          the change's id; use the same id to resend after a lost response
  --author NAME           the author of the change (default: USER)
  --prune                 remove declarations that no file contains
  --json                  print JSON
  --help, --version       print and exit

Exit codes: 0 done, 64 wrong arguments, 65 faulty declarations, 73 conflict, 75 try again later,
77 not allowed, 69 control unreachable, 70 outcome unknown.
";

/// The parsed command line.
#[derive(Debug, Default)]
pub(super) struct Options {
    pub(super) command: String,
    /// The positional arguments after the command.
    pub(super) operands: Vec<String>,
    /// The operator addresses of the control instances, as `HOST:PORT`.
    pub(super) controls: Vec<String>,
    pub(super) token: String,
    /// The configuration revision that the change is based on.
    pub(super) against: Option<u64>,
    pub(super) change_id: Option<String>,
    pub(super) author: String,
    /// Whether to remove services and client accounts that no file declares.
    pub(super) prune: bool,
    /// Whether `drain` ends a drain instead of starting one.
    pub(super) off: bool,
    /// Whether `evacuate` ends an evacuation instead of starting one.
    pub(super) end: bool,
    pub(super) json: bool,
    /// The text to print before exiting without running a command.
    pub(super) print: Option<String>,
}

/// Parses the command line; the environment variables are the defaults.
pub(super) fn parse() -> Result<Options, String> {
    use lexopt::prelude::*;
    let env = |name| std::env::var(name).unwrap_or_default();
    let mut options = Options {
        controls: split_addresses(&env("DOTTERELRUDDER_CONTROL")),
        token: env("DOTTERELRUDDER_TOKEN"),
        author: env("USER"),
        ..Options::default()
    };
    let mut parser = lexopt::Parser::from_env();
    let text = |e: lexopt::Error| e.to_string();
    while let Some(arg) = parser.next().map_err(text)? {
        match arg {
            Long("help") | Short('h') => options.print = Some(HELP.into()),
            Long("version") | Short('V') => {
                options.print = Some(format!("dotterelrudder {}\n", env!("CARGO_PKG_VERSION")));
            }
            Long("control") => {
                options.controls =
                    split_addresses(&parser.value().map_err(text)?.string().map_err(text)?);
            }
            Long("token-file") => {
                let path = PathBuf::from(parser.value().map_err(text)?);
                let contents = std::fs::read_to_string(&path);
                let token =
                    contents.map_err(|e| format!("--token-file {}: {e}", path.display()))?;
                options.token = token.trim().into();
            }
            Long("against") => {
                options.against = Some(parser.value().map_err(text)?.parse().map_err(text)?);
            }
            Long("change-id") => {
                options.change_id = Some(parser.value().map_err(text)?.string().map_err(text)?);
            }
            Long("author") => {
                options.author = parser.value().map_err(text)?.string().map_err(text)?;
            }
            Long("prune") => options.prune = true,
            Long("off") => options.off = true,
            Long("end") => options.end = true,
            Long("json") => options.json = true,
            Value(value) if options.command.is_empty() => {
                options.command = value.string().map_err(text)?;
            }
            Value(value) => options.operands.push(value.string().map_err(text)?),
            other => return Err(other.unexpected().to_string()),
        }
    }
    if options.command.is_empty() && options.print.is_none() {
        return Err("the command is missing".into());
    }
    Ok(options)
}

/// Splits a comma-separated list of addresses.
fn split_addresses(list: &str) -> Vec<String> {
    list.split(',')
        .map(str::trim)
        .filter(|s| !s.is_empty())
        .map(str::to_owned)
        .collect()
}
