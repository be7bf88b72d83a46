//! What was sent, answered and run, as lines with the time since the start.

use std::{cell::RefCell, rc::Rc};

use tokio::time::Instant;

#[derive(Clone)]
pub struct Record {
    started: Instant,
    lines: Rc<RefCell<Vec<String>>>,
}

impl Record {
    pub fn new() -> Record {
        Record { started: Instant::now(), lines: Rc::default() }
    }

    pub fn line(&self, text: &str) {
        let at = self.started.elapsed().as_secs_f64();
        self.lines.borrow_mut().push(format!("{at:8.3} s  {text}"));
    }

    /// Adds a line, and shows it.
    pub fn show(&self, text: &str) {
        println!("{text}");
        self.line(text);
    }

    pub fn write(&self, path: &std::path::Path) {
        let text = self.lines.borrow().join("\n") + "\n";
        std::fs::write(path, text).expect("the record can be written");
    }
}
