//! The record of a run.

use std::io;
use std::path::Path;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Instant;

/// Lines with the time since the start of the run.
pub struct Record {
    started: Instant,
    lines: Mutex<Vec<String>>,
}

impl Default for Record {
    fn default() -> Self {
        Self {
            started: Instant::now(),
            lines: Mutex::default(),
        }
    }
}

impl Record {
    /// Adds a line.
    pub fn line(&self, text: &str) {
        let line = format!("{:8.3} s  {text}", self.started.elapsed().as_secs_f64());
        let mut lines = self.lines.lock().unwrap_or_else(PoisonError::into_inner);
        lines.push(line);
    }

    /// Writes all lines to a file.
    pub fn write(&self, path: &Path) -> io::Result<()> {
        let lines = self.lines.lock().unwrap_or_else(PoisonError::into_inner);
        std::fs::write(path, lines.join("\n") + "\n")
    }
}
