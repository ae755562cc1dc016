//! Logs as JSON lines on standard output; never a prompt, a key or an answer.
//!
//! Writing never blocks the process. Lines wait in two bounded queues, so that a flood of routine
//! lines leaves room for those that tell of failures. Lines that find no room are counted; the
//! count is a metric, and a line tells it once there is room again. A reader that stopped reading
//! doesn't hold up a planned stop either: the queues live as long as the process, and its end waits
//! for them for a moment only.

use std::io;
use std::io::Write;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use slog::b;
use slog::o;
use slog::record;
use slog::Drain;
use slog::FnValue;
use slog::Level;
use slog::Logger;
use slog::OwnedKVList;
use slog::Record;
use slog_async::AsyncCore;
use time::format_description::well_known::Rfc3339;
use time::OffsetDateTime;

/// Routine lines that wait for a slow reader at most: some seconds of a busy entry.
const ROUTINE_QUEUE_LINES: usize = 3_072;
/// Lines of failures that wait at most.
const FAILURE_QUEUE_LINES: usize = 1_024;
/// How long the end of the process waits for lines that aren't written yet.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(500);
/// How often it looks.
const FLUSH_POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Lines that were queued since the start of the process.
static QUEUED_LINES: AtomicU64 = AtomicU64::new(0);
/// Lines that were written.
static WRITTEN_LINES: AtomicU64 = AtomicU64::new(0);
/// Lines that found no room.
static DROPPED_LINES: AtomicU64 = AtomicU64::new(0);

/// Builds the logger of a daemon.
pub fn logger(role: &'static str, name: &str) -> Logger {
    logger_into(role, name, || io::stdout().lock())
}

/// Builds a logger that writes into what `out` returns, asked again for each line.
pub fn logger_into<F, W>(role: &'static str, name: &str, out: F) -> Logger
where
    F: Fn() -> W + Clone + Send + 'static,
    W: Write,
{
    // Never freed, since dropping a queue waits for the reader.
    let queues: &'static Queues = Box::leak(Box::new(Queues {
        routine: build_queue(ROUTINE_QUEUE_LINES, out.clone()),
        failures: build_queue(FAILURE_QUEUE_LINES, out),
        reported_drops: AtomicU64::new(0),
    }));
    Logger::root(queues, o!("role" => role, "instance" => name.to_owned()))
}

/// Returns how many lines found no room since the start of the process.
pub fn dropped_lines() -> u64 {
    DROPPED_LINES.load(Ordering::Relaxed)
}

/// Waits until all lines are written, for a moment at most.
pub fn flush() {
    let deadline = Instant::now() + FLUSH_TIMEOUT;
    while WRITTEN_LINES.load(Ordering::Acquire) < QUEUED_LINES.load(Ordering::Acquire) {
        if Instant::now() >= deadline {
            return;
        }
        std::thread::sleep(FLUSH_POLL_INTERVAL);
    }
}

fn build_queue<F, W>(capacity: usize, out: F) -> AsyncCore
where
    F: Fn() -> W + Send + 'static,
    W: Write,
{
    let writer = WholeLineWriter {
        buf: Vec::new(),
        out,
    };
    let drain = slog_json::Json::new(writer)
        .add_key_value(o!(
            "msg" => FnValue(|line| line.msg().to_string()),
            "level" => FnValue(|line| line.level().as_short_str()),
        ))
        .build();
    AsyncCore::custom(drain.fuse()).chan_size(capacity).build()
}

/// Returns the present time as lines tell it.
fn timestamp() -> String {
    // The format fails only for years past 9999.
    OffsetDateTime::now_utc()
        .format(&Rfc3339)
        .unwrap_or_default()
}

/// The queues between the process and its reader.
struct Queues {
    routine: AsyncCore,
    failures: AsyncCore,
    /// The dropped lines that a line told of.
    reported_drops: AtomicU64,
}

impl Queues {
    /// Queues a line; false when there is no room.
    fn enqueue(&self, line: &Record<'_>, values: &OwnedKVList) -> bool {
        let queue = if line.level().is_at_least(Level::Warning) {
            &self.failures
        } else {
            &self.routine
        };
        QUEUED_LINES.fetch_add(1, Ordering::AcqRel);
        let timestamped = o!("ts" => timestamp(), values.clone()).into();
        let queued = queue.log(line, &timestamped).is_ok();
        if !queued {
            QUEUED_LINES.fetch_sub(1, Ordering::AcqRel);
        }
        queued
    }
}

impl Drain for &'static Queues {
    type Ok = ();
    type Err = slog::Never;

    fn log(&self, line: &Record<'_>, values: &OwnedKVList) -> Result<(), slog::Never> {
        if !self.enqueue(line, values) {
            DROPPED_LINES.fetch_add(1, Ordering::Relaxed);
            return Ok(());
        }
        let dropped = dropped_lines();
        let unreported = dropped - self.reported_drops.load(Ordering::Relaxed).min(dropped);
        if unreported > 0 {
            let reported = self.enqueue(
                &record!(
                    Level::Warning,
                    "",
                    &format_args!("log lines dropped"),
                    b!("count" => unreported)
                ),
                values,
            );
            if reported {
                self.reported_drops.store(dropped, Ordering::Relaxed);
            }
        }
        Ok(())
    }
}

/// Writes by whole lines, so that those of two queues don't mix.
struct WholeLineWriter<F> {
    buf: Vec<u8>,
    out: F,
}

impl<F, W> Write for WholeLineWriter<F>
where
    F: Fn() -> W,
    W: Write,
{
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.buf.extend_from_slice(bytes);
        if self.buf.ends_with(b"\n") {
            let mut out = (self.out)();
            let written = out.write_all(&self.buf).and_then(|()| out.flush());
            self.buf.clear();
            WRITTEN_LINES.fetch_add(1, Ordering::AcqRel);
            written?;
        }
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}
