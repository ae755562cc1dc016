//! The order of log lines by their time stamps.

use std::io;
use std::io::Write;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;

use dotterelrudder_daemon::logging;
use dotterelrudder_explain::Event;

/// Number of pairs of a routine line and a warning; small enough that no line is dropped.
const PAIRS: u64 = 400;

/// A writer that keeps the log's output.
#[derive(Clone, Default)]
struct CapturedOutput(Arc<Mutex<Vec<u8>>>);

impl CapturedOutput {
    fn text(&self) -> String {
        let captured = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        String::from_utf8(captured.clone()).expect("the log is UTF-8")
    }
}

impl Write for CapturedOutput {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        let mut captured = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        captured.write(bytes)
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Routine lines and warnings are written by different threads, so a time stamp taken when a line
/// is written could date a failure before the routine line that shows its cause.
#[test]
fn a_failure_is_never_dated_before_its_cause() {
    let captured = CapturedOutput::default();
    let out = captured.clone();
    let log = logging::logger_into("entry", "e", move || out.clone());
    for n in 0..PAIRS {
        slog::info!(log, "cause"; "n" => 2 * n);
        slog::warn!(log, "failure"; "n" => 2 * n + 1);
    }
    logging::flush();

    let text = captured.text();
    let lines = text.lines().map(Event::read);
    let mut events: Vec<Event> = lines
        .map(|e| e.expect("the line is a complete event"))
        .collect();
    events.sort_by_key(|e| e.at);
    let read_back: Vec<_> = events.iter().filter_map(|e| e.number("n")).collect();
    let logged: Vec<_> = (0..2 * PAIRS).collect();
    assert_eq!(read_back, logged);
}
