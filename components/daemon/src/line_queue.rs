//! Bounded queue of log lines for the standard output.
//!
//! A separate thread writes the lines, so that a stalled reader of the output does not block
//! requests. Lines that do not fit into the queue are dropped and counted.

use std::{
    io::{self, Write},
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
        mpsc::{Receiver, SyncSender, sync_channel},
    },
    thread,
    time::Duration,
};

use flexi_logger::{DeferredNow, FormatFunction, Record, writers::LogWriter};
use prometheus::IntCounter;

/// Capacity of the queue, in lines.
const QUEUE_CAPACITY: usize = 1024;

/// Interval at which a flush checks whether all lines are written.
const FLUSH_POLL_INTERVAL: Duration = Duration::from_millis(1);

/// Number of checks after which a flush times out.
const MAX_FLUSH_POLLS: u32 = 100;

/// Log writer that never blocks on the output.
pub(crate) struct LineQueue {
    tx: SyncSender<Vec<u8>>,
    /// Number of lines that are queued or being written.
    pending: Arc<AtomicUsize>,
    dropped: IntCounter,
    format: FormatFunction,
}

impl LineQueue {
    /// Starts the thread that writes to `out`.
    pub(crate) fn start(
        out: impl Write + Send + 'static,
        format: FormatFunction,
        dropped: IntCounter,
    ) -> io::Result<LineQueue> {
        let (tx, rx) = sync_channel(QUEUE_CAPACITY);
        let pending = Arc::new(AtomicUsize::new(0));
        let unwritten = pending.clone();
        thread::Builder::new()
            .name("log".into())
            .spawn(move || write_lines(&rx, out, &unwritten))?;
        Ok(LineQueue { tx, pending, dropped, format })
    }
}

impl LogWriter for LineQueue {
    fn write(&self, now: &mut DeferredNow, record: &Record<'_>) -> io::Result<()> {
        let mut line = Vec::with_capacity(256);
        (self.format)(&mut line, now, record)?;
        line.push(b'\n');
        self.pending.fetch_add(1, Ordering::Relaxed);
        if self.tx.try_send(line).is_err() {
            self.pending.fetch_sub(1, Ordering::Relaxed);
            self.dropped.inc();
        }
        Ok(())
    }

    fn flush(&self) -> io::Result<()> {
        for _ in 0..MAX_FLUSH_POLLS {
            if self.pending.load(Ordering::Relaxed) == 0 {
                return Ok(());
            }
            thread::sleep(FLUSH_POLL_INTERVAL);
        }
        Err(io::ErrorKind::TimedOut.into())
    }

    fn shutdown(&self) {
        if let Err(err) = self.flush() {
            report_error("the last lines were not written", &err);
        }
    }
}

/// Reports a failure of the log on the standard error.
fn report_error(what: &str, err: &io::Error) {
    // There is no other output on which a failure of this write could be reported.
    let _written = writeln!(io::stderr(), "log: {what}: {err}");
}

/// Writes each line in one call until the queue is closed or a write fails.
fn write_lines(rx: &Receiver<Vec<u8>>, mut out: impl Write, pending: &AtomicUsize) {
    while let Ok(line) = rx.recv() {
        let written = out.write_all(&line).and_then(|()| out.flush());
        pending.fetch_sub(1, Ordering::Relaxed);
        if let Err(err) = written {
            report_error("write failed, no more lines are written", &err);
            return;
        }
    }
}
