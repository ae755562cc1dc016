//! What the daemons' `main` functions share.

use std::future::Future;
use std::process::ExitCode;

use crate::arguments::read_arguments;
use crate::arguments::Arguments;
use crate::settings::read_settings;
use crate::settings::SettingsFile;

/// The exit code for wrong arguments.
const EXIT_USAGE: u8 = 64;
/// The exit code for wrong settings.
const EXIT_SETTINGS: u8 = 78;
/// The exit code when the system refuses something, such as an address in use.
const EXIT_SYSTEM: u8 = 71;

/// Reads arguments and settings, then runs a daemon until it ends.
pub fn run_daemon<S, F, R>(program: &str, run: F) -> ExitCode
where
    S: SettingsFile,
    F: FnOnce(S) -> R,
    R: Future<Output = Result<(), String>>,
{
    let (path, check) = match read_arguments(program) {
        Ok(Arguments::Run { settings, check }) => (settings, check),
        Ok(Arguments::Print(text)) => {
            print!("{text}");
            return ExitCode::SUCCESS;
        }
        Err(e) => return fail(program, &e, EXIT_USAGE),
    };
    let settings = match read_settings::<S>(&path) {
        Ok(settings) => settings,
        Err(e) => return fail(program, &e, EXIT_SETTINGS),
    };
    if check {
        println!("{}: ok", path.display());
        return ExitCode::SUCCESS;
    }
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    let ended = match runtime {
        Ok(runtime) => runtime.block_on(run(settings)),
        Err(e) => Err(e.to_string()),
    };
    match ended {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => fail(program, &e, EXIT_SYSTEM),
    }
}

fn fail(program: &str, error: &str, code: u8) -> ExitCode {
    eprintln!("{program}: {error}");
    ExitCode::from(code)
}

/// Waits for the signal of a planned stop.
///
/// # Errors
///
/// Returns what the system says when it refuses the handler.
pub async fn stop_signal() -> Result<(), String> {
    use tokio::signal::unix::signal;
    use tokio::signal::unix::SignalKind;
    let mut terminate = signal(SignalKind::terminate()).map_err(|e| e.to_string())?;
    let mut interrupt = signal(SignalKind::interrupt()).map_err(|e| e.to_string())?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    Ok(())
}
