//! Start of a daemon: command line, settings, runtime, exit codes, signals, hello and timers.

use std::future::Future;
use std::path::Path;
use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::Arc;
use std::sync::OnceLock;
use std::time::Duration;

use compact_str::CompactString;
use dotterelrudder_types::DataCentre;
use dotterelrudder_types::InstanceName;
use dotterelrudder_types::Revision;
use dotterelrudder_types::Role;
use dotterelrudder_wire::Hello;
use dotterelrudder_wire::PROTOCOL_VERSION;
use ractor::ActorRef;
use slog::Logger;

use crate::arguments::read_arguments;
use crate::arguments::Arguments;
use crate::link::LinkEvent;
use crate::link::LinkHub;
use crate::logging;
use crate::settings::read_secret;
use crate::settings::read_settings;
use crate::settings::CommonSettings;
use crate::settings::SettingsFile;

/// Interval between the tick inputs of a core.
pub const TICK: Duration = Duration::from_millis(20);

/// The exit code for invalid arguments.
pub const EXIT_USAGE: u8 = 64;
/// The exit code for invalid settings.
const EXIT_SETTINGS: u8 = 78;
/// The exit code for errors of the operating system, such as an address in use.
const EXIT_SYSTEM: u8 = 71;

/// Reads the command line and the settings file, then runs a daemon to its end.
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
    run_settings(program, &path, check, |settings, _| run(settings))
}

/// Reads a settings file, then runs a daemon to its end; only checks the file if `check` is set.
/// `run` receives the settings and the path of the file.
pub fn run_settings<S, F, R>(program: &str, path: &Path, check: bool, run: F) -> ExitCode
where
    S: SettingsFile,
    F: FnOnce(S, PathBuf) -> R,
    R: Future<Output = Result<(), String>>,
{
    let settings = match read_settings::<S>(path) {
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
    let result = match runtime {
        Ok(runtime) => runtime.block_on(run(settings, path.to_owned())),
        Err(e) => Err(e.to_string()),
    };
    logging::flush();
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => fail(program, &e, EXIT_SYSTEM),
    }
}

/// Prints an error to standard error and returns the exit code for it.
pub fn fail(program: &str, error: &str, code: u8) -> ExitCode {
    eprintln!("{program}: {error}");
    ExitCode::from(code)
}

/// Waits for SIGTERM or SIGINT, which request a graceful shutdown.
///
/// # Errors
///
/// Returns the operating system's error when a signal handler cannot be installed.
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

/// Builds the hello of this process from its settings.
///
/// # Errors
///
/// Returns a message when the file with the secret cannot be read or is empty.
pub fn build_hello(common: &CommonSettings, role: Role) -> Result<Hello, String> {
    let secret = read_secret(&common.secret_file)?;
    Ok(new_hello(
        common.name.clone(),
        role,
        common.data_centre.clone(),
        secret,
    ))
}

/// Builds the hello of this process with a random incarnation, which distinguishes it from earlier
/// starts under the same name.
pub fn new_hello(
    name: InstanceName,
    role: Role,
    data_centre: DataCentre,
    secret: CompactString,
) -> Hello {
    Hello {
        protocol: PROTOCOL_VERSION,
        secret,
        name,
        role,
        data_centre,
        incarnation: rand::random(),
        revision: Revision::default(),
    }
}

/// A slot for the actor that receives the events of connections; it is filled after the actor has
/// started, which needs the connections first.
pub type ActorSlot<M> = Arc<OnceLock<ActorRef<M>>>;

/// Builds the connection hub of a process. Its events are sent to the actor in the slot; events
/// from before the slot is filled are dropped.
pub fn build_hub<M, W>(hello: Hello, log: Logger, to_message: W) -> (LinkHub, ActorSlot<M>)
where
    M: ractor::Message,
    W: Fn(LinkEvent) -> M + Send + Sync + 'static,
{
    let slot: ActorSlot<M> = Arc::default();
    let event_target = slot.clone();
    let hub = LinkHub::new(hello, log, move |event| {
        if let Some(actor) = event_target.get() {
            let _stopped = actor.send_message(to_message(event)).is_err();
        }
    });
    (hub, slot)
}

/// Sends an actor a tick message every `period` until the actor has stopped.
pub async fn tick<M, T>(actor: ActorRef<M>, period: Duration, tick: T)
where
    M: ractor::Message,
    T: Fn() -> M,
{
    while actor.send_message(tick()).is_ok() {
        tokio::time::sleep(period).await;
    }
}
