//! Logs as JSON lines on standard output; prompts, keys and answers are never logged.
//!
//! Logging never blocks the process. Lines are held in two bounded queues, one for routine lines
//! and one for warnings and errors, so that a flood of routine lines cannot displace reports of
//! failures. Lines that do not fit are dropped and counted; the count is a metric, and a log line
//! reports it once there is room again. A reader that has stopped reading does not delay a graceful
//! shutdown either: the queues are never freed, and the process waits at most 500 ms for them at
//! its end.

use std::io;
use std::io::Write;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use dotterelrudder_types::DataCentre;
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

/// Capacity of the queue for routine lines: a few seconds of a busy entry's log.
const ROUTINE_QUEUE_LINES: usize = 3_072;
/// Capacity of the queue for lines of level warning and above.
const FAILURE_QUEUE_LINES: usize = 1_024;
/// Time limit for writing the queued lines at the end of the process.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(500);
/// Interval at which [`flush`] checks whether all lines are written.
const FLUSH_POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Number of lines queued since the start of the process.
static QUEUED_LINES: AtomicU64 = AtomicU64::new(0);
/// Number of lines written since the start of the process.
static WRITTEN_LINES: AtomicU64 = AtomicU64::new(0);
/// Number of lines dropped since the start of the process because their queue was full.
static DROPPED_LINES: AtomicU64 = AtomicU64::new(0);

/// Builds the logger of a daemon, which writes to standard output.
pub fn logger(role: &'static str, name: &str) -> Logger {
    logger_into(role, name, || io::stdout().lock())
}

/// Builds a logger that writes each line to a writer that `out` returns for it.
pub fn logger_into<F, W>(role: &'static str, name: &str, out: F) -> Logger
where
    F: Fn() -> W + Clone + Send + 'static,
    W: Write,
{
    // Leaked on purpose: dropping a queue would block until the reader has taken all lines.
    let queues: &'static Queues = Box::leak(Box::new(Queues {
        routine: build_queue(ROUTINE_QUEUE_LINES, out.clone()),
        failures: build_queue(FAILURE_QUEUE_LINES, out),
        reported_drops: AtomicU64::new(0),
    }));
    Logger::root(queues, o!("role" => role, "instance" => name.to_owned()))
}

/// Returns the number of lines dropped since the start of the process.
pub fn dropped_lines() -> u64 {
    DROPPED_LINES.load(Ordering::Relaxed)
}

/// Waits until all queued lines are written, for at most 500 ms.
pub fn flush() {
    let deadline = Instant::now() + FLUSH_TIMEOUT;
    while WRITTEN_LINES.load(Ordering::Acquire) < QUEUED_LINES.load(Ordering::Acquire) {
        if Instant::now() >= deadline {
            return;
        }
        std::thread::sleep(FLUSH_POLL_INTERVAL);
    }
}

/// Starts a thread that writes queued lines to `out` as JSON; the queue holds up to `capacity`
/// lines.
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

/// Returns the current time in the format of the log's `ts` field, RFC 3339 in UTC.
fn timestamp() -> String {
    // The format fails only for years past 9999.
    OffsetDateTime::now_utc()
        .format(&Rfc3339)
        .unwrap_or_default()
}

/// The queues between the process and the reader of its log.
struct Queues {
    /// Lines below level warning.
    routine: AsyncCore,
    /// Lines of level warning and above.
    failures: AsyncCore,
    /// Number of dropped lines that log lines have reported so far.
    reported_drops: AtomicU64,
}

impl Queues {
    /// Queues a line with the time of the call; returns false when its queue is full.
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

/// A writer that buffers until a line is complete, so that the lines of the two queues are not
/// interleaved.
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

/// Returns the names of data centres as one text.
pub fn join_names(data_centres: &[DataCentre]) -> String {
    let names: Vec<&str> = data_centres.iter().map(|d| d.as_str()).collect();
    names.join(", ")
}
