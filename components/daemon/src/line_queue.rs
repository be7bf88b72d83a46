//! Lines of the log on their way to the standard output.
//!
//! A thread of its own writes them: a reader that stops to read holds up no
//! request. Lines beyond the queue are dropped and counted.

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

/// Lines that wait to be written.
const QUEUE: usize = 1024;

/// Time between two looks at whether the last lines are written.
const LAST_LINES_POLL: Duration = Duration::from_millis(1);

/// Looks until the end of the process waits no longer for the last lines.
const LAST_LINES_POLLS: u32 = 100;

/// Writes lines without ever waiting for their reader.
pub(crate) struct LineQueue {
    tx: SyncSender<Vec<u8>>,
    /// Lines in the queue or on their way out.
    waiting: Arc<AtomicUsize>,
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
        let (tx, rx) = sync_channel(QUEUE);
        let waiting = Arc::new(AtomicUsize::new(0));
        let left = waiting.clone();
        thread::Builder::new().name("log".into()).spawn(move || write_lines(&rx, out, &left))?;
        Ok(LineQueue { tx, waiting, dropped, format })
    }
}

impl LogWriter for LineQueue {
    fn write(&self, now: &mut DeferredNow, record: &Record<'_>) -> io::Result<()> {
        let mut line = Vec::with_capacity(256);
        (self.format)(&mut line, now, record)?;
        line.push(b'\n');
        self.waiting.fetch_add(1, Ordering::Relaxed);
        if self.tx.try_send(line).is_err() {
            self.waiting.fetch_sub(1, Ordering::Relaxed);
            self.dropped.inc();
        }
        Ok(())
    }

    fn flush(&self) -> io::Result<()> {
        for _ in 0..LAST_LINES_POLLS {
            if self.waiting.load(Ordering::Relaxed) == 0 {
                return Ok(());
            }
            thread::sleep(LAST_LINES_POLL);
        }
        Err(io::ErrorKind::TimedOut.into())
    }

    fn shutdown(&self) {
        if let Err(err) = self.flush() {
            complain("the last lines are not written", &err);
        }
    }
}

/// Says on the standard error what the log itself can't say.
fn complain(what: &str, err: &io::Error) {
    // Nothing is left that could take a failure of this.
    let _written = writeln!(io::stderr(), "log: {what}: {err}");
}

/// Writes lines, each in one call, until nobody can send more.
fn write_lines(rx: &Receiver<Vec<u8>>, mut out: impl Write, waiting: &AtomicUsize) {
    while let Ok(line) = rx.recv() {
        let written = out.write_all(&line).and_then(|()| out.flush());
        waiting.fetch_sub(1, Ordering::Relaxed);
        if let Err(err) = written {
            complain("no more lines are written", &err);
            return;
        }
    }
}
