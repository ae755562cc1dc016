//! The command line of the operators' command.

use std::path::PathBuf;

/// The text of `--help`.
pub(super) const HELP: &str = "\
Usage: dotterelrudder COMMAND [OPTIONS]

Commands:
  check DIR…                      check declaration files; report every fault
  publish DIR… --against REV      put declarations in force
  diff DIR…                       show what publishing would change
  show                            show the configuration in force
  status                          show instances, revisions, leader, drains
  drain INSTANCE [--off]          ask an instance to take no new work
  audit                           show the audit trail of changes
  explain ID [FILE…]              tell a request's story from log lines, of standard input
                                  without FILE
  expectations [FILE…]            tell expected against seen times to first tokens, the same way

Options:
  --control HOST:PORT,…   operator addresses of control (or DOTTERELRUDDER_CONTROL)
  --token-file FILE       the operators' token (or DOTTERELRUDDER_TOKEN)
  --against REV           the revision that the change was made against
  --change-id ID          the change's id; resend with the same one after a lost answer
  --author NAME           who changes (default: USER)
  --prune                 remove declarations that no file holds
  --json                  answer in JSON
  --help, --version       print and exit

Exit codes: 0 done, 64 wrong arguments, 65 faulty declarations, 73 conflict, 75 try again later,
77 not allowed, 69 control can't be reached, 70 outcome unknown.
";

/// What the command line asks for.
#[derive(Debug, Default)]
pub(super) struct Options {
    pub(super) command: String,
    pub(super) operands: Vec<String>,
    pub(super) controls: Vec<String>,
    pub(super) token: String,
    pub(super) against: Option<u64>,
    pub(super) change_id: Option<String>,
    pub(super) author: String,
    pub(super) prune: bool,
    pub(super) off: bool,
    pub(super) json: bool,
    pub(super) print: Option<String>,
}

/// Reads the command line.
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
            Long("json") => options.json = true,
            Value(value) if options.command.is_empty() => {
                options.command = value.string().map_err(text)?;
            }
            Value(value) => options.operands.push(value.string().map_err(text)?),
            other => return Err(other.unexpected().to_string()),
        }
    }
    if options.command.is_empty() && options.print.is_none() {
        return Err("a command is missing".into());
    }
    Ok(options)
}

fn split_addresses(list: &str) -> Vec<String> {
    list.split(',')
        .map(str::trim)
        .filter(|s| !s.is_empty())
        .map(str::to_owned)
        .collect()
}
