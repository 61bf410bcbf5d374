//! Structured logs on standard output, bounded and never waited for.
//!
//! Lines go to a queue that a thread empties in batches. When whoever reads the
//! output is slow, the queue is full and lines are dropped and counted; a request
//! never waits for a log line. What failed is always told; of what went well only
//! a few a second are, so that a busy daemon's log stays readable and cheap.

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

/// Lines that wait to be written; at 300 bytes each, less than a megabyte.
const QUEUE: usize = 2048;
/// Time over which lines are gathered for one write; a wake-up a line costs more
/// than the line.
const GATHER: Duration = Duration::from_millis(100);
/// Requests a second that went well and are told.
const TOLD: u32 = 10;

/// Longest time that the end of the process waits for its last lines.
const LAST: Duration = Duration::from_millis(300);

/// Lines that are queued or being written.
static WAITING: AtomicU64 = AtomicU64::new(0);
/// Lines that were dropped because the queue was full.
static DROPPED: AtomicU64 = AtomicU64::new(0);

/// Lines dropped so far.
pub(crate) fn dropped() -> u64 {
    DROPPED.load(Ordering::Relaxed)
}

/// Appends lines to the queue.
#[derive(Debug)]
struct Queue {
    lines: SyncSender<Vec<u8>>,
    layout: JsonLayout,
}

impl Append for Queue {
    fn append(&self, record: &Record<'_>, diags: &[Box<dyn Diagnostic>]) -> Result<(), Error> {
        let line = self.layout.format(record, diags)?;
        WAITING.fetch_add(1, Ordering::Relaxed);
        if self.lines.try_send(line).is_err() {
            WAITING.fetch_sub(1, Ordering::Relaxed);
            DROPPED.fetch_add(1, Ordering::Relaxed);
        }
        Ok(())
    }

    fn flush(&self) -> Result<(), Error> {
        Ok(())
    }
}

/// Begins to write logs of a level and above to standard output.
pub fn start(level: &str) {
    let (lines, queue) = sync_channel(QUEUE);
    let writer = thread::Builder::new().name("log".into());
    if let Err(error) = writer.spawn(move || write(&queue)) {
        eprintln!("daemon: no logs are written, {error}");
        return;
    }
    let spec = format!("off,poplarvaled={level}");
    logforth::starter_log::builder()
        .dispatch(|dispatch| {
            let layout = JsonLayout::default();
            dispatch
                .filter(RustLogFilterBuilder::from_spec(spec).build())
                .append(Queue { lines, layout })
        })
        .apply();
}

fn write(queue: &Receiver<Vec<u8>>) {
    while let Ok(first) = queue.recv() {
        thread::sleep(GATHER);
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
            // Nobody reads; the lines are lost and counted.
            DROPPED.fetch_add(lines, Ordering::Relaxed);
        }
        WAITING.fetch_sub(lines, Ordering::Relaxed);
    }
}

/// Waits a moment until the last lines are written; without it the reason why a
/// process ended would be missing.
pub(crate) async fn last_lines() {
    let end = Instant::now() + LAST;
    while WAITING.load(Ordering::Relaxed) > 0 && Instant::now() < end {
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
}

/// Lets a few a second of the requests that went well be told.
#[derive(Debug)]
pub(crate) struct Sampler {
    second: Cell<Instant>,
    told: Cell<u32>,
}

impl Sampler {
    pub(crate) fn new(now: Instant) -> Self {
        Self {
            second: Cell::new(now),
            told: Cell::new(0),
        }
    }

    /// Whether one more may be told.
    pub(crate) fn lets(&self, now: Instant) -> bool {
        if now.duration_since(self.second.get()) >= Duration::from_secs(1) {
            self.second.set(now);
            self.told.set(0);
        }
        self.told.set(self.told.get() + 1);
        self.told.get() <= TOLD
    }
}
