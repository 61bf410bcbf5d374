//! Structured logs on standard output, with a bounded queue so that logging never blocks.
//!
//! Lines go to a queue that a thread empties in batches. When the reader of the output is slow,
//! the queue fills up and further lines are dropped and counted; a request never waits for a log
//! line. Failed requests are always logged, successful ones only a few times a second, which keeps
//! the log of a busy daemon readable and cheap.

use std::cell::Cell;
use std::io::Write as _;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};
use std::thread;
use std::time::{Duration, Instant};

use logforth::filter::rustlog::RustLogFilterBuilder;
use logforth::layout::JsonLayout;
use logforth::record::Record;
use logforth::{Append, Diagnostic, Error, Layout};

/// Maximum number of lines that wait to be written; at 300 bytes each, less than a megabyte.
const MAX_QUEUED_LINES: usize = 2048;
/// Time over which lines are collected for one write; waking the thread for each line costs more
/// than the line itself.
const BATCH_TIME: Duration = Duration::from_millis(100);
/// Maximum number of successful requests that are logged per second.
const MAX_LOGGED_PER_SECOND: u32 = 10;

/// Longest time that the process waits for its last lines before it exits.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(300);

/// Number of lines that are queued or being written.
static PENDING: AtomicU64 = AtomicU64::new(0);
/// Number of lines that were dropped because the queue was full or writing failed.
static DROPPED: AtomicU64 = AtomicU64::new(0);

/// Number of lines dropped so far.
pub(crate) fn dropped_lines() -> u64 {
    DROPPED.load(Ordering::Relaxed)
}

/// Log appender that puts lines into the queue.
#[derive(Debug)]
struct QueueAppender {
    lines: SyncSender<Vec<u8>>,
    layout: JsonLayout,
}

impl Append for QueueAppender {
    fn append(&self, record: &Record<'_>, diags: &[Box<dyn Diagnostic>]) -> Result<(), Error> {
        let line = self.layout.format(record, diags)?;
        PENDING.fetch_add(1, Ordering::Relaxed);
        if self.lines.try_send(line).is_err() {
            PENDING.fetch_sub(1, Ordering::Relaxed);
            DROPPED.fetch_add(1, Ordering::Relaxed);
        }
        Ok(())
    }

    fn flush(&self) -> Result<(), Error> {
        Ok(())
    }
}

/// Starts writing logs of a level and above to standard output.
pub fn start(level: &str) {
    let (lines, queue) = sync_channel(MAX_QUEUED_LINES);
    let writer = thread::Builder::new().name("log".into());
    if let Err(error) = writer.spawn(move || write(&queue)) {
        eprintln!("daemon: logging is off, its thread did not start: {error}");
        return;
    }
    let spec = format!("off,poplarvaled={level}");
    logforth::starter_log::builder()
        .dispatch(|dispatch| {
            let layout = JsonLayout::default();
            dispatch
                .filter(RustLogFilterBuilder::from_spec(spec).build())
                .append(QueueAppender { lines, layout })
        })
        .apply();
}

/// Writes queued lines in batches until the logger is dropped.
fn write(queue: &Receiver<Vec<u8>>) {
    while let Ok(first) = queue.recv() {
        thread::sleep(BATCH_TIME);
        let mut out = first;
        let mut lines = 1;
        out.push(b'\n');
        while let Ok(line) = queue.try_recv() {
            lines += 1;
            out.extend_from_slice(&line);
            out.push(b'\n');
        }
        let mut stdout = std::io::stdout().lock();
        if stdout
            .write_all(&out)
            .and_then(|()| stdout.flush())
            .is_err()
        {
            // Standard output has no reader; the lines are lost and counted as dropped.
            DROPPED.fetch_add(lines, Ordering::Relaxed);
        }
        PENDING.fetch_sub(lines, Ordering::Relaxed);
    }
}

/// Waits up to [`FLUSH_TIMEOUT`] until all lines are written; otherwise the reason why the process
/// ended would be missing in the log.
pub(crate) async fn flush() {
    let end = Instant::now() + FLUSH_TIMEOUT;
    while PENDING.load(Ordering::Relaxed) > 0 && Instant::now() < end {
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
}

/// Limits how many successful requests are logged per second.
#[derive(Debug)]
pub(crate) struct Sampler {
    /// When the current second began.
    second: Cell<Instant>,
    logged: Cell<u32>,
}

impl Sampler {
    pub(crate) fn new(now: Instant) -> Self {
        Self {
            second: Cell::new(now),
            logged: Cell::new(0),
        }
    }

    /// Whether one more request may be logged; counts it.
    pub(crate) fn allows(&self, now: Instant) -> bool {
        if now.duration_since(self.second.get()) >= Duration::from_secs(1) {
            self.second.set(now);
            self.logged.set(0);
        }
        self.logged.set(self.logged.get() + 1);
        self.logged.get() <= MAX_LOGGED_PER_SECOND
    }
}
