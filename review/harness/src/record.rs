//! The record of a run: lines with the time since the start.

use std::{
    fmt::Display,
    fs::File,
    io::Write,
    path::Path,
    sync::{Arc, Mutex},
};

use tokio::time::Instant;

/// Writes lines to `record.txt`; clones share the file.
#[derive(Clone)]
pub(crate) struct Record {
    file: Arc<Mutex<File>>,
    start: Instant,
}

impl Record {
    pub(crate) fn create(path: &Path) -> Record {
        let file = File::create(path).expect("the folder of the case is writable");
        Record { file: Arc::new(Mutex::new(file)), start: Instant::now() }
    }

    /// Writes one line.
    pub(crate) fn line(&self, text: impl Display) {
        let seconds = self.start.elapsed().as_secs_f64();
        let mut file = self.file.lock().expect("no writer panics");
        writeln!(file, "{seconds:8.3} s  {text}").expect("the record is writable");
    }
}
