//! What the daemons' `main` functions share.

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

/// How often a core is told the time.
pub const TICK: Duration = Duration::from_millis(20);

/// The exit code for wrong arguments.
pub const EXIT_USAGE: u8 = 64;
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
    run_settings(program, &path, check, |settings, _| run(settings))
}

/// Reads a settings file, then runs a daemon until it ends; only checks the file if `check` is set.
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

/// Ends a program with an error on standard error.
pub fn fail(program: &str, error: &str, code: u8) -> ExitCode {
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

/// Builds the hello of this start of a process.
///
/// # Errors
///
/// Returns why the secret can't be read.
pub fn build_hello(common: &CommonSettings, role: Role) -> Result<Hello, String> {
    let secret = read_secret(&common.secret_file)?;
    Ok(new_hello(
        common.name.clone(),
        role,
        common.data_centre.clone(),
        secret,
    ))
}

/// Builds the hello of this start of a process whose secret is known.
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

/// Where the events of connections go: an actor that is started after them.
pub type ActorSlot<M> = Arc<OnceLock<ActorRef<M>>>;

/// Builds the connections of a process. Their events reach the actor once it is in the slot.
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

/// Tells an actor the time each `period` for as long as it lives.
pub async fn tick<M, T>(actor: ActorRef<M>, period: Duration, tick: T)
where
    M: ractor::Message,
    T: Fn() -> M,
{
    while actor.send_message(tick()).is_ok() {
        tokio::time::sleep(period).await;
    }
}
